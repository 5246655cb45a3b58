"""The commands that need the rehearsal kit."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import shlex
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from wheelstep.cli.exits import BAD_INPUT, OK, InputError
from wheelstep.operator import OperatorError
from wheelstep.operator import load as load_operator
from wheelstep.recording.format import Record, RecordError
from wheelstep.recording.format import read as read_record
from wheelstep.rehearsal import rig, scenario
from wheelstep.rehearsal.broken import BUILDS
from wheelstep.rehearsal.historyfile import HistoryError, dump, load
from wheelstep.rehearsal.judge import Ruling, judge
from wheelstep.rehearsal.plan import Plan, draw
from wheelstep.rehearsal.replay import replay
from wheelstep.rehearsal.report import EXITS, Result, Screen
from wheelstep.rehearsal.scenario import ScenarioError
from wheelstep.rehearsal.standins.process import NoStartError
from wheelstep.standalone.model import FileError
from wheelstep.standalone.model import load as load_standalone

_DESCRIPTORS = 16_384  # the rig's sockets, as far as the system allows


def run(given: argparse.Namespace) -> int:
    """Carry out a parsed command."""
    try:
        if given.command == "demo":
            return _demo(given)
        if given.command == "config":
            return _check(given)
        if given.verb == "partners":
            return _partners(given)
        return {"list": _list, "run": _run, "replay": _replay, "record": _record, "verify": _verify,
                "matrix": _matrix}[given.verb](given)
    except (ScenarioError, RecordError, HistoryError, OperatorError, FileError, NoStartError) as error:
        raise InputError(str(error)) from error


def _command(given: argparse.Namespace) -> tuple[str, str]:
    """The courier's command, and its name in reports."""
    if given.broken is not None:
        if given.broken not in BUILDS:
            raise InputError(f"--broken: no broken courier {given.broken!r}; expected one of {', '.join(BUILDS)}")
        return rig.module_command("wheelstep.rehearsal.broken", given.broken), f"broken: {given.broken}"
    if given.front == "standalone":
        return rig.module_command("wheelstep.rehearsal.fronts.standalone"), "ours, standalone"
    if given.courier is not None:
        try:
            if not shlex.split(given.courier):
                raise ValueError("it is empty")
        except ValueError as error:
            raise InputError(f"--courier: {given.courier!r} is no command: {error}") from error
        return given.courier, given.courier
    return rig.OURS, "ours"


def _speed(given: argparse.Namespace) -> float:
    speed = float(given.speed)
    if not 0.05 <= speed <= 100:
        raise InputError(f"--speed: {given.speed} makes no sense; expected 0.05 to 100")
    return speed


def _play(plan: Plan, command: str, name: str, screen: Screen, orderly: bool = False) -> Result:
    """Play and judge. SIGTERM ends it as Ctrl-C does: nothing stays behind."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = _DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, _DESCRIPTORS)
    if soft < most:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))

    async def work() -> rig.Played:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await rig.play(plan, command, tell=tell, orderly=orderly)

    with screen.progress(plan.scenario) as tell:
        try:
            played = asyncio.run(work())
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None
    return Result(plan, played, judge(played.history), name)


def _worst(codes: Sequence[int]) -> int:
    """One exit code for several: broken counts most, then inconclusive."""
    for code in (EXITS[Ruling.BROKEN], EXITS[Ruling.INCONCLUSIVE]):
        if code in codes:
            return code
    return OK


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
    result = _play(draw(name, found, given.seed), rig.OURS, "ours", screen)
    screen.result(result)
    return EXITS[result.verdict.ruling]


def _check(given: argparse.Namespace) -> int:
    path = Path(given.file)
    if path.suffix == ".json":
        what = "configuration"
        _check_configuration(path)
    elif path.suffix == ".toml":
        try:
            head = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise InputError(f"{path}: can't be read: {error}") from error
        if "[[route]]" in head or "[tenant." in head:
            what = "standalone courier"
            load_standalone(path)
        elif "[[partner]]" in head or "[[class]]" in head:
            what = "scenario"
            scenario.parse(head, str(path))
        else:
            what = "operator's file"
            load_operator(str(path))
    else:
        raise InputError(f"{path}: what it is can't be told; expected .toml (operator's file or scenario) or .json")
    if given.json:
        Screen(True).json({"file": str(path), "what": what, "fine": True})
    else:
        print(f"{path}: fine ({what})")
    return OK


def _check_configuration(path: Path) -> None:
    from wheelstep.courier.config import ConfigError
    from wheelstep.courier.config import load as load_config
    with tempfile.TemporaryDirectory() as state:
        try:
            load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": state})
        except ConfigError as error:
            raise InputError(str(error)) from error


def _list(given: argparse.Namespace) -> int:
    rows: list[tuple[str, str, str, str]] = []
    for name, text in scenario.shipped().items():
        found = scenario.parse(text, f"{name}.toml")
        rows.append(("scenario", name, found.rule, f"{found.title} ({found.length / 1e6:.0f} s)"))
    rows += [("broken courier", name, build.rule.name.lower(), build.what) for name, build in BUILDS.items()]
    Screen(given.json).rows(("what", "name", "rule", "about"), rows)
    return OK


def _run(given: argparse.Namespace) -> int:
    command, name = _command(given)
    speed = _speed(given)
    found = [scenario.find(one) for one in given.scenarios]
    if given.repeat < 1:
        raise InputError(f"--repeat: {given.repeat} makes no sense; expected 1 or more")
    if given.save and (len(found) > 1 or given.repeat > 1):
        raise InputError("--save: keeps one rehearsal; expected one scenario and no --repeat")
    screen = Screen(given.json)
    codes = []
    for label, one in found:
        for _ in range(given.repeat):
            result = _play(draw(label, one, given.seed, speed), command, name, screen)
            screen.result(result)
            codes.append(EXITS[result.verdict.ruling])
            _save(given.save, result)
    return _worst(codes)


def _save(path: str | None, result: Result) -> None:
    if path is None:
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in dump(result.played.history))
    except OSError as error:
        raise InputError(f"--save: {path}: {error}") from error


def _read(path: str, up_to_damage: bool) -> Record:
    try:
        with open(path, "rb") as file:
            return read_record(file, up_to_damage)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    except RecordError as error:
        hint = "" if up_to_damage else "; --up-to-damage plays what can be read"
        raise InputError(f"{path}: {error}{hint}") from error


def _replay(given: argparse.Namespace) -> int:
    command, name = _command(given)
    record = _read(given.record, given.up_to_damage)
    if record.damage:
        print(f"umberchute: {given.record}: {record.damage}; {len(record.rows)} messages are played",
              file=sys.stderr)
    stage = scenario.alone(scenario.find(given.scenario)[1]) if given.scenario else None
    screen = Screen(given.json)
    plan = replay(record, given.seed, _speed(given), Path(given.record).name, stage)
    result = _play(plan, command, name, screen)
    screen.result(result)
    _save(given.save, result)
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
        result = _play(draw(label, found, given.seed), command, "ours, recording", screen, orderly=True)
    screen.result(result)
    return EXITS[result.verdict.ruling]


def _verify(given: argparse.Namespace) -> int:
    path = Path(given.file)
    try:
        with open(path, "rb") as file:
            first = file.read(64)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    screen = Screen(given.json)
    if first.startswith(b'{"format": "umberchute-history"'):
        with open(path, encoding="utf-8") as lines:
            history = load(lines)
        verdict = judge(history)
        if given.json:
            screen.json(json.loads(verdict.canonical()))
        else:
            for rule, ruling in verdict.rulings.items():
                print(f"{ruling.value:12} {rule.value}")
            for finding in verdict.findings:
                print(f"{finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text}")
        return EXITS[verdict.ruling]
    record = _read(str(path), up_to_damage=True)
    about = {"file": str(path), "messages": len(record.rows), "ended": record.ended or "cut off",
             "damage": record.damage}
    if given.json:
        screen.json(about)
    else:
        print(f"{path}: {len(record.rows)} messages, " + (record.damage or f"whole ({record.ended})"))
    return BAD_INPUT if record.damage else OK


def _partners(given: argparse.Namespace) -> int:
    from wheelstep.rehearsal.partners import serve
    asyncio.run(serve(Path(given.file)))
    return OK


def _matrix(given: argparse.Namespace) -> int:
    """Every scenario against ours and the broken ones, several at once, each in a process of its own."""
    names = given.scenarios or [name for name in scenario.shipped() if name not in ("demo", "monday")]
    pairs: list[tuple[str, str]] = []
    for name in names:
        rule = scenario.find(name)[1].rule
        pairs.append((name, ""))
        pairs += [(name, build) for build, about in BUILDS.items()
                  if not given.own or about.rule.name.lower() == rule]
    found = asyncio.run(_matrix_all(pairs, given.repeat, given.jobs, given.seed))
    screen = Screen(given.json)
    screen.rows(("scenario", "courier", "kept", "broken", "inconclusive", "rules broken"),
                [(name, build or "ours", *(str(counts.get(code, 0)) for code in (0, 1, 3)), ", ".join(rules))
                 for (name, build), (counts, rules) in found.items()])
    wrong = [pair for pair, (counts, _) in found.items() if not pair[1] and counts.get(1)]
    return EXITS[Ruling.BROKEN] if wrong else OK


async def _matrix_all(pairs: Sequence[tuple[str, str]], repeat: int, jobs: int,
                      seed: int) -> dict[tuple[str, str], tuple[dict[int, int], list[str]]]:
    gate = asyncio.Semaphore(max(1, jobs))
    found: dict[tuple[str, str], tuple[dict[int, int], list[str]]] = {pair: ({}, []) for pair in pairs}

    async def one(pair: tuple[str, str]) -> None:
        words = ["rehearse", "run", pair[0], "--json", "--seed", str(seed)]
        words += ["--broken", pair[1]] if pair[1] else []
        async with gate:
            process = await asyncio.create_subprocess_exec(
                *shlex.split(rig.module_command("wheelstep.cli", *words)), stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE, env=os.environ)
            try:
                out, err = await process.communicate()
            finally:
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
        code = process.returncode or 0
        if code not in EXITS.values():
            raise InputError(f"{pair[0]} against {pair[1] or 'ours'}: {err.decode()[-300:]}")
        counts, rules = found[pair]
        counts[code] = counts.get(code, 0) + 1
        if code == EXITS[Ruling.BROKEN]:
            for rule, ruling in json.loads(out)["verdict"]["rules"].items():
                if ruling == Ruling.BROKEN.value and rule not in rules:
                    rules.append(rule)

    async with asyncio.TaskGroup() as group:
        for _ in range(repeat):
            for pair in pairs:
                group.create_task(one(pair))
    return found
