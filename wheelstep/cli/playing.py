"""What the commands of the rehearsal kit share: which courier, how a plan is played and judged, what is kept."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import resource
import shlex
import signal
from collections.abc import Sequence

from wheelstep.cli.exits import OK, InputError
from wheelstep.recording.format import Record, RecordError
from wheelstep.recording.format import read as read_record
from wheelstep.rehearsal import rig
from wheelstep.rehearsal.broken import BUILDS
from wheelstep.rehearsal.historyfile import dump
from wheelstep.rehearsal.judge import Ruling, judge
from wheelstep.rehearsal.plan import Plan
from wheelstep.rehearsal.report import EXITS, Result, Screen

_DESCRIPTORS = 16_384  # the rig's sockets, as far as the system allows


def command(given: argparse.Namespace) -> tuple[str, str]:
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


def speed(given: argparse.Namespace) -> float:
    """The speed that was asked for."""
    found = float(given.speed)
    if not 0.05 <= found <= 100:
        raise InputError(f"--speed: {given.speed} makes no sense; expected 0.05 to 100")
    return found


def play(plan: Plan, command: str, name: str, screen: Screen, orderly: bool = False) -> Result:
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


def worst(codes: Sequence[int]) -> int:
    """One exit code for several: broken counts most, then inconclusive."""
    for code in (EXITS[Ruling.BROKEN], EXITS[Ruling.INCONCLUSIVE]):
        if code in codes:
            return code
    return OK


def save(path: str | None, result: Result) -> None:
    """Keep what was seen, where that was asked for."""
    if path is None:
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in dump(result.played.history))
    except OSError as error:
        raise InputError(f"--save: {path}: {error}") from error


def read(path: str, up_to_damage: bool) -> Record:
    """A record, or `InputError` that says what is wrong with it."""
    try:
        with open(path, "rb") as file:
            return read_record(file, up_to_damage)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    except RecordError as error:
        hint = "" if up_to_damage else "; --up-to-damage plays what can be read"
        raise InputError(f"{path}: {error}{hint}") from error
