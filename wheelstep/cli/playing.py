"""Shared by the commands of the rehearsal kit: the choice of a courier, playing and judging, and files."""

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
from wheelstep.recording.format import read as load_record
from wheelstep.rehearsal import rig
from wheelstep.rehearsal.broken import BROKEN_COURIERS
from wheelstep.rehearsal.historyfile import dump
from wheelstep.rehearsal.judge import Ruling, judge
from wheelstep.rehearsal.plan import Plan
from wheelstep.rehearsal.report import EXIT_CODES, Result, Screen

_OPEN_FILES = 16_384  # wanted limit of open files, for the rig's sockets


def courier_command(args: argparse.Namespace) -> tuple[str, str]:
    """Return the courier's command and its name in reports. Raises `InputError` for an invalid choice."""
    if args.broken is not None:
        if args.broken not in BROKEN_COURIERS:
            raise InputError(f"--broken: no broken courier {args.broken!r}; expected one of "
                             f"{', '.join(BROKEN_COURIERS)}")
        return rig.module_command("wheelstep.rehearsal.broken", args.broken), f"broken: {args.broken}"
    if args.front == "standalone":
        return rig.module_command("wheelstep.rehearsal.fronts.standalone"), "ours, standalone"
    if args.courier is not None:
        try:
            if not shlex.split(args.courier):
                raise ValueError("it is empty")
        except ValueError as error:
            raise InputError(f"--courier: {args.courier!r} is no command: {error}") from error
        return args.courier, args.courier
    return rig.OURS, "ours"


def checked_speed(args: argparse.Namespace) -> float:
    """Return the requested speed. Raises `InputError` if it is out of range."""
    speed = float(args.speed)
    if not 0.05 <= speed <= 100:
        raise InputError(f"--speed: {args.speed} is out of range; expected 0.05 to 100")
    return speed


def play(plan: Plan, command: str, name: str, screen: Screen, orderly: bool = False) -> Result:
    """Play a plan against a courier and judge the history.

    `name` is the courier's in reports. With `orderly` the couriers get SIGTERM at the end and time to exit, else
    SIGKILL. SIGTERM ends the rehearsal as Ctrl-C does: all processes are stopped, and `KeyboardInterrupt` is raised.
    Increases the soft limit of open files where allowed. Raises `NoStartError` if the command can't be started.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = _OPEN_FILES if hard == resource.RLIM_INFINITY else min(hard, _OPEN_FILES)
    if soft < target:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))

    async def rehearse() -> rig.Played:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await rig.play(plan, command, on_progress=on_progress, orderly=orderly)

    with screen.progress(plan.scenario) as on_progress:
        try:
            played = asyncio.run(rehearse())
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None
    return Result(plan, played, judge(played.history), name)


def worst_exit_code(codes: Sequence[int]) -> int:
    """Return one exit code for several: that of a broken rule, else of an inconclusive run, else `OK`."""
    for code in (EXIT_CODES[Ruling.BROKEN], EXIT_CODES[Ruling.INCONCLUSIVE]):
        if code in codes:
            return code
    return OK


def save_history(path: str | None, result: Result) -> None:
    """Write the history to the file of `--save`, if one was given. Raises `InputError` if it can't be written."""
    if path is None:
        return
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in dump(result.played.history))
    except OSError as error:
        raise InputError(f"--save: {path}: {error}") from error


def read_record(path: str, up_to_damage: bool) -> Record:
    """Read a record. Raises `InputError` if it is missing, or damaged without `up_to_damage`."""
    try:
        with open(path, "rb") as file:
            return load_record(file, up_to_damage)
    except OSError as error:
        raise InputError(f"{path}: can't be read: {error}") from error
    except RecordError as error:
        hint = "" if up_to_damage else "; --up-to-damage plays what can be read"
        raise InputError(f"{path}: {error}{hint}") from error
