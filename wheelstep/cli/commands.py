"""The commands that need the rehearsal kit; `check_commands` and `matrix_commands` have some of them."""

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
from wheelstep.rehearsal.broken import BUILDS
from wheelstep.rehearsal.historyfile import HistoryError
from wheelstep.rehearsal.plan import draw
from wheelstep.rehearsal.replay import replay
from wheelstep.rehearsal.report import EXITS, Screen
from wheelstep.rehearsal.scenario import ScenarioError
from wheelstep.rehearsal.standins.process import NoStartError
from wheelstep.standalone.model import FileError


def run(given: argparse.Namespace) -> int:
    """Carry out a parsed command."""
    try:
        if given.command == "demo":
            return _demo(given)
        if given.command == "config":
            return check_commands.check(given)
        if given.verb == "partners":
            return _partners(given)
        return {"list": _list, "run": _run, "replay": _replay, "record": _record, "verify": check_commands.verify,
                "matrix": matrix_commands.matrix}[given.verb](given)
    except (ScenarioError, RecordError, HistoryError, OperatorError, FileError, NoStartError) as error:
        raise InputError(str(error)) from error


def _demo(given: argparse.Namespace) -> int:
    name, found = scenario.find("demo")
    if given.length is not None:
        if not 8 <= given.length <= 600:
            raise InputError(f"--length: {given.length} makes no sense; expected 8 to 600 seconds")
        # The story keeps its shape: times are moved, speeds stay.
        share = given.length * 1e6 / found.length
        faults = tuple(fault.model_copy(update={
            "at": (round(fault.at[0] * share), round(fault.at[1] * share)),
            "lasts": None if fault.lasts is None else (round(fault.lasts[0] * share), round(fault.lasts[1] * share))})
            for fault in found.faults)
        found = found.model_copy(update={"length": round(given.length * 1e6), "faults": faults})
    screen = Screen(given.json)
    if not given.json:
        print(f"{found.title}: {found.couriers} couriers, {sum(p.endpoints for p in found.partners)} endpoints of "
              f"{len(found.partners)} partners, {found.traffic.rate_per_s:.0f} messages a second for "
              f"{found.length / 1e6:.0f} s", flush=True)
    result = playing.play(draw(name, found, given.seed), rig.OURS, "ours", screen)
    screen.result(result)
    return EXITS[result.verdict.ruling]


def _list(given: argparse.Namespace) -> int:
    rows: list[tuple[str, str, str, str]] = []
    for name, text in scenario.shipped().items():
        found = scenario.parse(text, f"{name}.toml")
        rows.append(("scenario", name, found.rule, f"{found.title} ({found.length / 1e6:.0f} s)"))
    rows += [("broken courier", name, build.rule.name.lower(), build.what) for name, build in BUILDS.items()]
    Screen(given.json).rows(("what", "name", "rule", "about"), rows)
    return OK


def _run(given: argparse.Namespace) -> int:
    command, name = playing.command(given)
    speed = playing.speed(given)
    found = [scenario.find(one) for one in given.scenarios]
    if given.repeat < 1:
        raise InputError(f"--repeat: {given.repeat} makes no sense; expected 1 or more")
    if given.save and (len(found) > 1 or given.repeat > 1):
        raise InputError("--save: keeps one rehearsal; expected one scenario and no --repeat")
    screen = Screen(given.json)
    codes = []
    for label, one in found:
        for _ in range(given.repeat):
            result = playing.play(draw(label, one, given.seed, speed), command, name, screen)
            screen.result(result)
            codes.append(EXITS[result.verdict.ruling])
            playing.save(given.save, result)
    return playing.worst(codes)


def _replay(given: argparse.Namespace) -> int:
    command, name = playing.command(given)
    record = playing.read(given.record, given.up_to_damage)
    if record.damage:
        print(f"umberchute: {given.record}: {record.damage}; {len(record.rows)} messages are played",
              file=sys.stderr)
    stage = scenario.alone(scenario.find(given.scenario)[1]) if given.scenario else None
    screen = Screen(given.json)
    plan = replay(record, given.seed, playing.speed(given), Path(given.record).name, stage)
    result = playing.play(plan, command, name, screen)
    screen.result(result)
    playing.save(given.save, result)
    return EXITS[result.verdict.ruling]


def _record(given: argparse.Namespace) -> int:
    label, found = scenario.find(given.scenario)
    found = scenario.alone(found)  # a record is one courier's, and one process's: it begins anew with each start
    found = found.model_copy(update={
        "faults": tuple(fault for fault in found.faults if fault.kind not in ("kill", "term"))})
    target = Path(given.record).resolve()
    if target.exists():
        raise InputError(f"{target}: is there already; expected a new name")
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        operator.write_text(f"[recording]\non = true\nfile = {json.dumps(str(target))}\n"
                            f"bodies = {json.dumps(given.bodies)}\n", encoding="utf-8")
        command = rig.module_command("wheelstep.cli", "serve", "--operator", str(operator))
        screen = Screen(given.json)
        result = playing.play(draw(label, found, given.seed), command, "ours, recording", screen, orderly=True)
    screen.result(result)
    return EXITS[result.verdict.ruling]


def _partners(given: argparse.Namespace) -> int:
    from wheelstep.rehearsal.partners import serve
    asyncio.run(serve(Path(given.file)))
    return OK
