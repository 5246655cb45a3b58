"""One courier over restarts, new versions that take over from the one that serves, and faults inside its process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from typing import Any

from wheelstep.rehearsal.history import Turn
from wheelstep.rehearsal.planned import Fault
from wheelstep.rehearsal.soak.control import PAGE, FaultPage
from wheelstep.rehearsal.standins.machine import CourierPort
from wheelstep.rehearsal.standins.process import Courier

UPGRADE_READY_S = 6.0  # the new version serves within this
TERM_S = 3.7  # from SIGTERM until SIGKILL
RESTART_S = 0.6  # from an end until the next start
MOST_SUSPECT = 40  # lines of a courier's logs
_POLL_S = 0.02
SUSPECT = ("invariant violated", "Traceback", "unexpectedly", "a turn failed", "could not carry out", "never retrieved")
"""Words that a courier's log may not hold, whatever is done to it."""


class SoakCourier(Courier):
    """Ends and new versions follow one another: each begins once the one before is done, maybe at once."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.page = FaultPage(self._folder / "faults")
        self._before: set[asyncio.subprocess.Process] = set()  # that hand over or have done so, and still run
        self._serving: asyncio.subprocess.Process | None = None  # the newest that was ready
        self._console = CourierPort()
        self._turns = asyncio.Lock()

    # --- starting ---

    async def _spawn(self) -> asyncio.subprocess.Process:
        self._console.change()
        configure = self._configure
        console = f"127.0.0.1:{self._console.port}"
        self._configure = lambda listen: {**configure(listen), "console": console}
        os.environ[PAGE] = str(self._folder / "faults")  # the process inherits it; nothing else reads it
        try:
            return await super()._spawn()
        finally:
            self._configure = configure

    async def start(self) -> bool:
        ready = await super().start()
        self._serving = self.process if ready else None
        return ready

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.log_total += len(line)
            self.log.append(line)
            if len(self.log) > 5_000:
                self.log.popleft()
            text = line.decode("utf-8", "replace").rstrip()
            told = any(word in text for word in SUSPECT) or "  before it: " in text
            if told and len(self.suspect) < MOST_SUSPECT:
                self.suspect.append(f"{self.name}: {text}")

    async def _ready_console(self, process: asyncio.subprocess.Process) -> bool:
        end = asyncio.get_running_loop().time() + UPGRADE_READY_S
        while asyncio.get_running_loop().time() < end and process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._console.port)
                    writer.write(b"readyz\n")
                    answer = await reader.readline()
                    writer.close()
                if answer.startswith(b"+OK"):
                    return True
            await asyncio.sleep(_POLL_S)
        return False

    # --- faults ---

    async def apply_fault(self, fault: Fault) -> None:
        """Play one fault of this courier's, from its begin to its end."""
        for_s = (fault.until_us - fault.at_us) / 1e6
        match fault.kind:
            case "upgrade":
                await self._upgrade()
            case "reload":
                if self.ready.is_set() and self._serving is not None and self._serving.returncode is None:
                    self._serving.send_signal(signal.SIGHUP)
            case "clock":
                self.page.clock_s += fault.share
            case "sockets":
                self.page.sockets = fault.share
                await asyncio.sleep(for_s)
                self.page.sockets = 0.0
            case "short":
                self.page.most_bytes = fault.share
                await asyncio.sleep(for_s)
                self.page.most_bytes = 0
            case "disk":
                self.page.disk = fault.share
                await asyncio.sleep(for_s)
                self.page.disk = 0.0

    async def _upgrade(self) -> None:
        async with self._turns:
            before = self.process
            if before is None or before.returncode is not None or not self.ready.is_set():
                return
            self._before.add(before)  # from here on, so that `stop` ends it whatever comes
            process = await self._spawn()
            ready = await self._ready_console(process)
            if before.returncode is not None:
                self._record_turn(Turn.CRASHED, before.returncode)
            if not ready:
                self._record_turn(Turn.CRASHED if process.returncode is not None else Turn.NEVER_READY,
                                  process.returncode or 0)
                return
            self._create_task(self._watch(process))
            self._serving = process
            self._create_task(self._dismiss(before))

    async def _dismiss(self, process: asyncio.subprocess.Process) -> None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), TERM_S)
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self._record_turn(Turn.CRASHED, process.returncode or 0)
        self._before.discard(process)

    async def _stop_and_restart(self, number: int, turn: Turn, restart_delay_s: float) -> None:
        async with self._turns:
            if number == signal.SIGKILL:
                for process in self._before:
                    with contextlib.suppress(ProcessLookupError):
                        os.killpg(process.pid, signal.SIGKILL)
            await super()._stop_and_restart(number, turn, restart_delay_s)

    async def stop(self) -> None:
        for process in self._before:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        await super().stop()
        self._console.close()
        self.page.close()
