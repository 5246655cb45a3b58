"""One courier of a fleet: its operator's file, its process, and the ways that it ends and comes back."""

from __future__ import annotations

import asyncio
import contextlib
import shlex
import shutil
import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.history import History, Turn
from wheelstep.rehearsal.rig import module_command
from wheelstep.rehearsal.standins.machine import CourierPort
from wheelstep.rehearsal.standins.process import Courier

OURS = module_command("wheelstep.rehearsal.fleet.runner", "serve")


def operator_file(fleet: Mapping[str, Any], peers: Mapping[str, str], contracts: tuple[Mapping[str, Any], ...]) -> str:
    """The text of an operator's file with these tables."""
    lines = ["[fleet]", *(f"{key} = {_toml(value)}" for key, value in fleet.items())]
    lines += ["peers = { " + ", ".join(f'{name} = "{address}"' for name, address in peers.items()) + " }"]
    for contract in contracts:
        lines += ["", "[[contract]]", *(f"{key} = {_toml(value)}" for key, value in contract.items())]
    return "\n".join(lines) + "\n"


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


class FleetCourier(Courier):
    """A courier over all its lives. `trouble` is the environment that its next process gets (`RIG_CLOCK` and so on);
    `operator` gives the text of its operator's file."""

    def __init__(self, name: str, folder: Path, history: History, now_us: Callable[[], int],
                 configure: Callable[[str], dict[str, Any]], ready_s: float, operator: Callable[[], str],
                 program: str = OURS) -> None:
        super().__init__(name, "", folder, history, now_us, configure, ready_s)
        self.peers = CourierPort()
        self.trouble: dict[str, str] = {}
        self.fell = asyncio.Event()  # it has ended from within, at a point that the rig had named
        self._operator, self._program = operator, program

    @property
    def up(self) -> bool:
        """Is there a process that has not ended?"""
        return self.process is not None and self.process.returncode is None

    @property
    def stands_still(self) -> bool:
        """Has its process been stopped by a signal?"""
        with contextlib.suppress(OSError, AttributeError):
            stat = Path(f"/proc/{self.process.pid}/stat").read_text()  # type: ignore[union-attr]
            return stat.rpartition(")")[2].split()[0] == "T"
        return False

    async def _spawn(self) -> asyncio.subprocess.Process:
        path = self._folder / "operator.toml"
        path.write_text(self._operator())
        command = f"{self._program} --operator {shlex.quote(str(path))}"
        given = " ".join(shlex.quote(f"{key}={value}") for key, value in self.trouble.items())
        self._command = f"/usr/bin/env {given} {command}" if given else command
        return await super()._spawn()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """One that may be ended from within by SIGKILL has fallen then, and not crashed."""
        if "RIG_POINT" not in self.trouble:
            return await super()._watch(process)
        code = await process.wait()
        if process is self.process and not self._stopping:
            self.ready.clear()
            if code == -signal.SIGKILL:
                self._stopping = True
                self._record_turn(Turn.KILLED)
                self._record_turn(Turn.EXITED, code)
                self.fell.set()
            else:
                self._record_turn(Turn.CRASHED, code)

    async def crash(self) -> None:
        """SIGKILL, and no next process yet."""
        await self._leave_by(Turn.KILLED, 0.0)

    async def leave(self, within_s: float) -> str:
        """SIGTERM, and SIGKILL where it is still there after this time: it `left`, `fell` on the way, or `stayed`."""
        return await self._leave_by(Turn.TERMINATED, within_s)

    async def _leave_by(self, turn: Turn, within_s: float) -> str:
        process = self.process
        if process is None or process.returncode is not None:
            return "fell"
        self._stopping = True
        self.ready.clear()
        self._record_turn(turn)
        if turn is Turn.TERMINATED:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), within_s)
        stayed = process.returncode is None
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        code = await process.wait()
        self._record_turn(Turn.EXITED, code)
        return "stayed" if stayed else "fell" if code == -signal.SIGKILL else "left"

    async def back(self, keep: bool = True) -> bool:
        """The next process, with what the last one left on its disk or with nothing; True once it is ready."""
        if not keep:
            shutil.rmtree(self._folder / "state", ignore_errors=True)
            (self._folder / "state").mkdir(parents=True)
        self._stopping = False
        return await self.start()

    async def stop(self) -> None:
        """For good, with its peers' port."""
        await super().stop()
        self.peers.close()
