"""One courier of a fleet: its operator's file and its process, which can be killed, terminated and restarted."""

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

COURIER_COMMAND = module_command("wheelstep.rehearsal.fleet.runner", "serve")


def operator_file(fleet_settings: Mapping[str, Any], peers: Mapping[str, str],
                  contracts: tuple[Mapping[str, Any], ...]) -> str:
    """Return the text of an operator's file with these tables."""
    lines = ["[fleet]", *(f"{key} = {_toml_value(value)}" for key, value in fleet_settings.items())]
    lines += ["peers = { " + ", ".join(f'{name} = "{address}"' for name, address in peers.items()) + " }"]
    for contract in contracts:
        lines += ["", "[[contract]]", *(f"{key} = {_toml_value(value)}" for key, value in contract.items())]
    return "\n".join(lines) + "\n"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


class FleetCourier(Courier):
    """A courier across all its restarts.

    `fault_env` holds the variables of the environment that its next process gets (`RIG_CLOCK` and so on), and
    `operator_text` returns the text of its operator's file.
    """

    def __init__(self, name: str, folder: Path, history: History, now_us: Callable[[], int],
                 configure: Callable[[str], dict[str, Any]], ready_s: float, operator_text: Callable[[], str],
                 program: str = COURIER_COMMAND) -> None:
        super().__init__(name, "", folder, history, now_us, configure, ready_s)
        self.peer_port = CourierPort()
        self.fault_env: dict[str, str] = {}
        self.killed_at_point = asyncio.Event()  # set when it killed itself at a point of `RIG_POINT`
        self._operator_text, self._program = operator_text, program

    @property
    def up(self) -> bool:
        """Whether it has a process that has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def is_stopped(self) -> bool:
        """Whether its process is stopped by a signal."""
        with contextlib.suppress(OSError, AttributeError):
            stat = Path(f"/proc/{self.process.pid}/stat").read_text()  # type: ignore[union-attr]
            return stat.rpartition(")")[2].split()[0] == "T"
        return False

    async def _spawn(self) -> asyncio.subprocess.Process:
        path = self._folder / "operator.toml"
        path.write_text(self._operator_text())
        command = f"{self._program} --operator {shlex.quote(str(path))}"
        assignments = " ".join(shlex.quote(f"{key}={value}") for key, value in self.fault_env.items())
        self._command = f"/usr/bin/env {assignments} {command}" if assignments else command
        return await super()._spawn()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Record an unexpected end: killed, if it was a SIGKILL and `RIG_POINT` is set, otherwise crashed."""
        if "RIG_POINT" not in self.fault_env:
            return await super()._watch(process)
        code = await process.wait()
        if process is self.process and not self._stopping:
            self.ready.clear()
            if code == -signal.SIGKILL:
                self._stopping = True
                self._record_turn(Turn.KILLED)
                self._record_turn(Turn.EXITED, code)
                self.killed_at_point.set()
            else:
                self._record_turn(Turn.CRASHED, code)

    async def kill_without_restart(self) -> None:
        """Send SIGKILL and wait for the end of the process. `restart` starts the next one."""
        await self._end_process(Turn.KILLED, 0.0)

    async def leave(self, within_s: float) -> str:
        """Send SIGTERM, and SIGKILL after `within_s`.

        Returns `left` if it ended by itself, `fell` if it was killed meanwhile or had no process, and `stayed` if it
        had to be killed for the timeout.
        """
        return await self._end_process(Turn.TERMINATED, within_s)

    async def _end_process(self, turn: Turn, within_s: float) -> str:
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
        timed_out = process.returncode is None
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        code = await process.wait()
        self._record_turn(Turn.EXITED, code)
        return "stayed" if timed_out else "fell" if code == -signal.SIGKILL else "left"

    async def restart(self, keep: bool = True) -> bool:
        """Start the next process, with the last one's state folder or, without `keep`, an empty one.

        Returns whether it became ready. Raises `NoStartError`.
        """
        if not keep:
            shutil.rmtree(self._folder / "state", ignore_errors=True)
            (self._folder / "state").mkdir(parents=True)
        self._stopping = False
        return await self.start()

    async def stop(self) -> None:
        """End the process for good and release both ports."""
        await super().stop()
        self.peer_port.close()
