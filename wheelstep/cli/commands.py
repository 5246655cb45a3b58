"""The commands that need the rehearsal kit; some are in `check_commands` and `matrix_commands`."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path

from wheelstep.cli import check_commands, matrix_commands, playing
from wheelstep.cli.exits import OK, InputError
from wheelstep.operator import OperatorError
from wheelstep.recording.format import RecordError
from wheelstep.rehearsal import rig, scenario
from wheelstep.rehearsal.broken import BROKEN_COURIERS
from wheelstep.rehearsal.historyfile import HistoryError
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.replay import replay
from wheelstep.rehearsal.report import EXIT_CODES, Screen
from wheelstep.rehearsal.scenario import ScenarioError
from wheelstep.rehearsal.standins.process import NoStartError
from wheelstep.standalone.model import FileError


def run(args: argparse.Namespace) -> int:
    """Run a parsed command and return its exit code. Errors in the input files become `InputError`."""
    try:
        if args.command == "demo":
            return _demo(args)
        if args.command == "config":
            return check_commands.check(args)
        if args.verb == "partners":
            return _partners(args)
        return {"list": _list, "run": _run, "replay": _replay, "record": _record, "verify": check_commands.verify,
                "matrix": matrix_commands.matrix}[args.verb](args)
    except (ScenarioError, RecordError, HistoryError, OperatorError, FileError, NoStartError) as error:
        raise InputError(str(error)) from error


def _demo(args: argparse.Namespace) -> int:
    name, found = scenario.find("demo")
    if args.length is not None:
        if not 8 <= args.length <= 600:
            raise InputError(f"--length: {args.length} is out of range; expected 8 to 600 seconds")
        # Scales the times of faults with the length; rates and processing times stay.
        share = args.length * 1e6 / found.length
        faults = tuple(fault.model_copy(update={
            "at": (round(fault.at[0] * share), round(fault.at[1] * share)),
            "lasts": None if fault.lasts is None else (round(fault.lasts[0] * share), round(fault.lasts[1] * share))})
            for fault in found.faults)
        found = found.model_copy(update={"length": round(args.length * 1e6), "faults": faults})
    screen = Screen(args.json)
    if not args.json:
        print(f"{found.title}: {found.couriers} couriers, {sum(p.endpoints for p in found.partners)} endpoints of "
              f"{len(found.partners)} partners, {found.traffic.rate_per_s:.0f} messages a second for "
              f"{found.length / 1e6:.0f} s", flush=True)
    result = playing.play(draw(name, found, args.seed), rig.OURS, "ours", screen)
    screen.result(result)
    return EXIT_CODES[result.verdict.ruling]


def _list(args: argparse.Namespace) -> int:
    rows: list[tuple[str, str, str, str]] = []
    for name, text in scenario.shipped().items():
        found = scenario.parse(text, f"{name}.toml")
        rows.append(("scenario", name, found.rule, f"{found.title} ({found.length / 1e6:.0f} s)"))
    rows += [("broken courier", name, courier.rule.name.lower(), courier.description)
             for name, courier in BROKEN_COURIERS.items()]
    Screen(args.json).rows(("what", "name", "rule", "about"), rows)
    return OK


def _run(args: argparse.Namespace) -> int:
    command, name = playing.courier_command(args)
    speed = playing.checked_speed(args)
    found = [scenario.find(one) for one in args.scenarios]
    if args.repeat < 1:
        raise InputError(f"--repeat: {args.repeat} is out of range; expected 1 or more")
    if args.save and (len(found) > 1 or args.repeat > 1):
        raise InputError("--save: holds one rehearsal; expected one scenario and no --repeat")
    screen = Screen(args.json)
    codes = []
    for label, one in found:
        for _ in range(args.repeat):
            result = playing.play(draw(label, one, args.seed, speed), command, name, screen)
            screen.result(result)
            codes.append(EXIT_CODES[result.verdict.ruling])
            playing.save_history(args.save, result)
    return playing.worst_exit_code(codes)


def _replay(args: argparse.Namespace) -> int:
    command, name = playing.courier_command(args)
    record = playing.read_record(args.record, args.up_to_damage)
    if record.damage:
        print(f"umberchute: {args.record}: {record.damage}; {len(record.rows)} messages are played",
              file=sys.stderr)
    stage = scenario.single_courier(scenario.find(args.scenario)[1]) if args.scenario else None
    screen = Screen(args.json)
    plan = replay(record, args.seed, playing.checked_speed(args), Path(args.record).name, stage)
    result = playing.play(plan, command, name, screen)
    screen.result(result)
    playing.save_history(args.save, result)
    return EXIT_CODES[result.verdict.ruling]


def _record(args: argparse.Namespace) -> int:
    label, found = scenario.find(args.scenario)
    found = scenario.single_courier(found)  # a record covers one process of one courier: each start begins a new one
    found = found.model_copy(update={
        "faults": tuple(fault for fault in found.faults if fault.kind not in ("kill", "term"))})
    target = Path(args.record).resolve()
    if target.exists():
        raise InputError(f"{target}: exists already; expected a new name")
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        operator.write_text(f"[recording]\non = true\nfile = {json.dumps(str(target))}\n"
                            f"bodies = {json.dumps(args.bodies)}\n", encoding="utf-8")
        command = rig.module_command("wheelstep.cli", "serve", "--operator", str(operator))
        screen = Screen(args.json)
        result = playing.play(draw(label, found, args.seed), command, "ours, recording", screen, orderly=True)
    screen.result(result)
    return EXIT_CODES[result.verdict.ruling]


def _partners(args: argparse.Namespace) -> int:
    from wheelstep.rehearsal.partners import serve
    asyncio.run(serve(Path(args.file)))
    return OK
