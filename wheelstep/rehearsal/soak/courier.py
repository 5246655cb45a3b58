"""A courier's process under restarts, upgrades (a new process takes over from the serving one) and faults inside it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
from typing import Any

from wheelstep.rehearsal.history import Effect, Turn
from wheelstep.rehearsal.planned import Fault
from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage
from wheelstep.rehearsal.soak.operators import Operators, console_reply
from wheelstep.rehearsal.soak.settings import SettingsTimeline
from wheelstep.rehearsal.standins.crowd import crowd
from wheelstep.rehearsal.standins.machine import CourierPort, resident_bytes, send_signal
from wheelstep.rehearsal.standins.process import TERM_TIMEOUT_S, Courier

UPGRADE_READY_TIMEOUT_S = 6.0  # until an upgraded process must report ready on its console
MAX_SUSPECT_LINES = 40  # that are kept of a courier's logs
_POLL_INTERVAL_S = 0.02
_MEMORY_INTERVAL_S = 0.05
_MEGABYTE = 1_000_000
_IDLE_BYTES = 28 * _MEGABYTE  # of a process beyond the two
_PAGE_FIELDS = {"sockets": "socket_failure_share", "short": "max_socket_bytes", "disk": "disk_failure_share",
                "transfers": "transfer_failure_share", "polls": "poll_failure_share", "opens": "open_failure_share"}
SUSPECT_PHRASES = ("invariant violated", "Traceback", "unexpectedly", "a turn failed", "could not carry out",
                   "never retrieved")
"""Texts that must not appear in a courier's log under any fault."""


class SoakCourier(Courier):
    """Serialises a courier's restarts and upgrades: each begins once the previous one has finished."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.page = FaultPage(self._folder / "faults")
        self._retiring: set[asyncio.subprocess.Process] = set()  # replaced by an upgrade, or about to be; still running
        self._serving_process: asyncio.subprocess.Process | None = None  # the newest process that became ready
        self._console_port = CourierPort()
        self._consoles: dict[asyncio.subprocess.Process, CourierPort] = {}  # of processes that answer commands
        self._transition_lock = asyncio.Lock()
        self._settings = SettingsTimeline()
        self._base_configure, self._configure = self._configure, self._changed_config
        self._operators = Operators(self.name, self._history, self._now_us, self._console_ports, self._listed)

    def _changed_config(self, listen: str) -> dict[str, Any]:
        """Return the configuration with the present settings and the newest process's console."""
        config = self._settings.present.applied(self._base_configure(listen))
        return {**config, "console": f"127.0.0.1:{self._console_port.port}"}

    def effect_of(self, message_class: str) -> Effect | None:
        """Return what clients mean by a class now; None: what the plan says."""
        return self._settings.effect_of(message_class, self._now_us())

    # --- starting ---

    async def _spawn(self) -> asyncio.subprocess.Process:
        self._console_port = CourierPort()
        os.environ[FAULT_PAGE_VARIABLE] = str(self._folder / "faults")  # the process inherits it; nothing else reads it
        process = await super()._spawn()
        self._create_task(self._note_console(process, self._console_port))
        self._create_task(self._watch_memory(process))
        return process

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        """Note as suspect if the running processes of this courier pass its memory limit together. The limit is that of
        two processes (DAYS, 'A new version under load'): the rig may have more, of upgrades in a row."""
        two_bytes = self._changed_config(self._listen)["limits"]["memory_mb"] * _MEGABYTE
        while process.returncode is None:
            running = [process, *(one for one in self._retiring if one is not process and one.returncode is None)]
            limit_bytes = two_bytes + max(0, len(running) - 2) * _IDLE_BYTES
            taken_bytes = sum(resident_bytes(one.pid) for one in running)
            if taken_bytes > limit_bytes and len(self.suspect) < MAX_SUSPECT_LINES:
                self.suspect.append(f"{self.name}: memory limit passed: {len(running)} processes take "
                                    f"{taken_bytes / 1e6:.1f} of {limit_bytes / 1e6:.0f} MB")
                return
            await asyncio.sleep(_MEMORY_INTERVAL_S)

    async def _note_console(self, process: asyncio.subprocess.Process, port: CourierPort) -> None:
        """Note the console of a process while it answers there."""
        while process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError):
                await console_reply(port.port, "readyz")
                self._consoles[process] = port
                await process.wait()
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._consoles.pop(process, None)
        port.close()

    def _console_ports(self) -> list[int]:
        return [port.port for port in self._consoles.values()]

    def _listed(self) -> set[str]:
        return {row["host"] for row in self._base_configure(self._listen)["known"]["hosts"]}

    async def start(self) -> bool:
        """Start the process and wait until it is ready; return False if it never is. Raises `NoStartError`."""
        ready = await super().start()
        self._serving_process = self.process if ready else None
        return ready

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.log_total += len(line)
            self.log.append(line)
            if len(self.log) > 5_000:
                self.log.popleft()
            text = line.decode("utf-8", "replace").rstrip()
            suspect = any(word in text for word in SUSPECT_PHRASES) or "  before it: " in text
            if suspect and len(self.suspect) < MAX_SUSPECT_LINES:
                self.suspect.append(f"{self.name}: {text}")

    async def _wait_console_ready(self, process: asyncio.subprocess.Process) -> bool:
        port, end = self._console_port.port, asyncio.get_running_loop().time() + UPGRADE_READY_TIMEOUT_S
        while asyncio.get_running_loop().time() < end and process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError):
                if (await console_reply(port, "readyz")).startswith("+OK"):
                    return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    # --- faults ---

    async def apply_fault(self, fault: Fault) -> None:
        """Apply one fault to this courier and return when it is over. A clock offset stays; an upgrade is over once the
        new process is ready or has failed to be. Unknown kinds are ignored."""
        duration_s = (fault.until_us - fault.at_us) / 1e6
        rng = random.Random(f"{self.name} {fault.at_us}")
        match fault.kind:
            case "upgrade":
                await self._upgrade(fault.wait_us / 1e6)
            case "settings":
                self._change_settings(rng)
            case "exclude":
                await self._operators.exclude_for(fault.endpoints[0], duration_s, rng)
            case "signals":
                await self._send_signal_series(rng)
            case "reload":
                if self.ready.is_set() and self._serving_process is not None:
                    send_signal(self._serving_process, signal.SIGHUP)
            case "crowd":
                async with crowd(fault.when, self._listen, fault.worker):
                    await asyncio.sleep(duration_s)
            case "clock":
                self.page.clock_offset_s += fault.share
            case kind if (field := _PAGE_FIELDS.get(kind)) is not None:
                setattr(self.page, field, fault.share)
                await asyncio.sleep(duration_s)
                setattr(self.page, field, 0.0)

    def _change_settings(self, rng: random.Random) -> None:
        """Write other settings to the configuration's file, and send SIGHUP to any process that answers commands."""
        running = [process for process in self._consoles if process.returncode is None]
        if not running or self._stopping:
            return
        self._settings.change(self._now_us(), rng)
        self._write_config()
        send_signal(rng.choice(running), signal.SIGHUP)

    async def _send_signal_series(self, rng: random.Random) -> None:
        """Send SIGHUPs, then SIGTERM, then more of both until the process has ended; it is started again after that."""
        process = self._serving_process
        if process is None or process is not self.process or not self.ready.is_set():
            return
        for _ in range(rng.randint(0, 3)):
            send_signal(process, signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.0, 0.2))
        restart = asyncio.create_task(self.terminate())
        while process.returncode is None and not restart.done():
            await asyncio.sleep(rng.uniform(0.0, 0.6))
            if self._stopping and process is self.process:  # an upgrade that is under way comes first
                send_signal(process, rng.choice((signal.SIGHUP, signal.SIGTERM)))
        await restart

    async def _upgrade(self, overlap_s: float) -> None:
        """Start a new version beside the serving process, and end that one `overlap_s` after the new one is ready."""
        async with self._transition_lock:
            predecessor = self.process
            if predecessor is None or predecessor.returncode is not None or not self.ready.is_set():
                return
            self._retiring.add(predecessor)  # before the first await, so that `stop` always ends it
            process = await self._spawn()
            ready = await self._wait_console_ready(process)
            if predecessor.returncode is not None:
                self._record_turn(Turn.CRASHED, predecessor.returncode)
            if not ready:
                self._record_turn(Turn.CRASHED if process.returncode is not None else Turn.NEVER_READY,
                                  process.returncode or 0)
                return
            self._create_task(self._watch(process))
            self._serving_process = process
            self._create_task(self._retire(predecessor, overlap_s))

    async def _retire(self, process: asyncio.subprocess.Process, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._consoles.pop(process, None)  # operators and SIGHUP go to those that stay
        send_signal(process, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), TERM_TIMEOUT_S)
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
        if process.returncode not in (0, -signal.SIGKILL):
            self._record_turn(Turn.CRASHED, process.returncode or 0)
        self._retiring.discard(process)

    async def _stop_and_restart(self, number: int, turn: Turn, restart_delay_s: float) -> None:
        async with self._transition_lock:
            if number == signal.SIGKILL:
                for process in self._retiring:
                    with contextlib.suppress(ProcessLookupError):
                        os.killpg(process.pid, signal.SIGKILL)
            await super()._stop_and_restart(number, turn, restart_delay_s)

    async def stop(self) -> None:
        """Kill all processes of this courier and release its ports and its fault page."""
        for process in self._retiring:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        await super().stop()
        self.page.close()
