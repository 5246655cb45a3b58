"""A courier's process: port, environment, start and readiness, signals, log and exit."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.history import Effect, History, Life, Turn
from wheelstep.rehearsal.planned import PROCESS_FAULTS, Fault
from wheelstep.rehearsal.standins import machine
from wheelstep.rehearsal.standins.machine import CourierPort, NoStartError
from wheelstep.rehearsal.standins.wire import Client

__all__ = ["Courier", "NoStartError"]

_LOG_BYTES = 64 * 1024  # kept from the end of the log
TERM_TIMEOUT_S = 3.7  # from SIGTERM until SIGKILL, which the platform sends no sooner
_RESTART_DELAY_S = 0.6  # from the exit until the next start
_NEW_CONNECTIONS_S = 0.3  # from SIGTERM until the platform makes no new connections to the courier
_POLL_S = 0.02


class Courier:
    """One courier through all its restarts. `command` is a program that implements the RELAY_* environment.

    `configure` returns the configuration for a listening address. `ready_s` limits the time until the process is
    ready. `suspect` lists lines of the log that point to a fault of the program; only `SoakCourier` fills it.
    """

    def __init__(self, name: str, command: str, folder: Path, history: History, now_us: Callable[[], int],
                 configure: Callable[[str], dict[str, Any]], ready_s: float) -> None:
        self.name, self._command, self._folder, self._history = name, command, folder, history
        self._now_us, self._configure, self._ready_s = now_us, configure, ready_s
        self._config_path = folder / "config.json"
        self.port = CourierPort()
        self.log: deque[bytes] = deque()
        self._log_bytes = 0
        self.log_total = 0
        self.process: asyncio.subprocess.Process | None = None
        self.ready = asyncio.Event()
        self.suspect: list[str] = []
        self._connects_until_s: float | None = None  # time of the event loop; None: no end of new connections
        self._stopping = False  # the process was told to exit, so an exit is no crash
        self._tasks: set[asyncio.Task[None]] = set()
        (folder / "state").mkdir(parents=True, exist_ok=True)

    @property
    def address(self) -> tuple[str, int]:
        """The address for clients."""
        return "127.0.0.1", self.port.port

    @property
    def _listen(self) -> str:
        return f"127.0.0.1:{self.port.port}"

    def takes_new_connections(self) -> bool:
        """Return whether the platform makes new connections to the courier: for a while after SIGTERM, and again once
        it is ready."""
        return self._connects_until_s is None or asyncio.get_running_loop().time() < self._connects_until_s

    def effect_of(self, message_class: str) -> Effect | None:
        """Return what clients mean by a class where its settings change; None: what the plan says."""
        return None

    def _record_turn(self, turn: Turn, code: int = 0) -> None:
        self._history.add(Life(self._now_us(), self.name, turn, code))

    async def start(self) -> bool:
        """Start the process and wait until it is ready; return False if it exits or times out first.

        Tries up to three times if another process has taken the port. Raises `NoStartError` if the command can't be
        started.
        """
        for _ in range(3):
            process = await self._spawn()
            ready = await self._wait_ready(process)
            if ready or process.returncode is None or machine.is_free(self.port.port):
                break
            self.port.change()  # it exited because another process has the port
        if ready:
            self._record_turn(Turn.READY)
            self._connects_until_s = None
            self.ready.set()
            self._create_task(self._watch(process))
            return True
        if process.returncode is not None:
            self._record_turn(Turn.CRASHED, process.returncode)
        else:
            self._record_turn(Turn.NEVER_READY)
        return False

    def _write_config(self) -> dict[str, Any]:
        """Write the configuration's file as it is now, and return its content."""
        config = self._configure(self._listen)
        path = self._config_path
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)
        return config

    async def _spawn(self) -> asyncio.subprocess.Process:
        config = self._write_config()
        scratch = self._folder / "tmp"
        scratch.mkdir(exist_ok=True)
        env = {**os.environ, "RELAY_NAME": self.name, "RELAY_LISTEN": self._listen, "TMPDIR": str(scratch),
               "RELAY_CONFIG": str(self._config_path), "RELAY_DISCOVERY": config["discovery"],
               "RELAY_STATE": str(self._folder / "state")}
        try:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._command), env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, start_new_session=True)
        except (OSError, ValueError) as error:
            raise NoStartError(f"{self._command!r} can't be started: {error}") from error
        self._create_task(self._read_log(self.process))
        return self.process

    async def _wait_ready(self, process: asyncio.subprocess.Process) -> bool:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._ready_s
        while loop.time() < end and process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    link = await Client.dial(*self.address)
                    try:
                        answer = await link.exchange(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    finally:
                        link.close()
                if answer is not None and answer[0] == 200:
                    return True
            await asyncio.sleep(_POLL_S)
        return False

    def _create_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Read the log and keep its end only: a courier may write megabytes."""
        assert process.stdout is not None
        while data := await process.stdout.read(65536):
            self.log_total += len(data)
            self.log.append(data[-_LOG_BYTES:])
            self._log_bytes += len(self.log[-1])
            while self._log_bytes > _LOG_BYTES and len(self.log) > 1:
                self._log_bytes -= len(self.log.popleft())

    def log_text(self) -> str:
        """Return the end of the log."""
        return b"".join(self.log).decode("utf-8", "replace")

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process is self.process and not self._stopping:
            self.ready.clear()
            self._record_turn(Turn.CRASHED, code)

    # --- faults ---

    def _signal(self, number: int, process: asyncio.subprocess.Process | None = None) -> None:
        """Send a signal to the group of a process, the newest one by default."""
        process = process or self.process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, number)

    async def kill(self, restart_delay_s: float = _RESTART_DELAY_S) -> None:
        """Send SIGKILL and start the courier again after `restart_delay_s`."""
        await self._stop_and_restart(signal.SIGKILL, Turn.KILLED, restart_delay_s)

    async def terminate(self, restart_delay_s: float = _RESTART_DELAY_S) -> None:
        """Restart as planned: SIGTERM, SIGKILL to what is still running after a while, and a new start."""
        await self._stop_and_restart(signal.SIGTERM, Turn.TERMINATED, restart_delay_s)

    async def _stop_and_restart(self, number: int, turn: Turn, restart_delay_s: float) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        self._stopping = True
        self.ready.clear()
        self._record_turn(turn)
        if number == signal.SIGTERM:
            self._connects_until_s = asyncio.get_running_loop().time() + _NEW_CONNECTIONS_S
            await self.request_exit()
        self._signal(signal.SIGKILL)
        code = await process.wait()
        self._record_turn(Turn.EXITED, code)
        await asyncio.sleep(restart_delay_s)
        self._stopping = False
        await self.start()

    async def request_exit(self) -> None:
        """Send SIGTERM to the program, not to its children, and wait up to `TERM_TIMEOUT_S` for its exit."""
        self._stopping = True
        if self.process is not None and self.process.returncode is None:
            machine.send_signal(self.process, signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), TERM_TIMEOUT_S)

    async def apply_fault(self, fault: Fault) -> None:
        """Play a fault that only the soak's couriers support. Raises `NotImplementedError` for any other courier."""
        raise NotImplementedError(f"{fault.kind}: expected a fault of {', '.join(PROCESS_FAULTS)}")

    async def pause(self, for_s: float) -> None:
        """Stop the process group with SIGSTOP for `for_s` seconds. The same process goes on after that, also if another
        one was started beside it meanwhile."""
        paused = self.process
        self._record_turn(Turn.PAUSED)
        self._signal(signal.SIGSTOP, paused)
        await asyncio.sleep(for_s)
        self._signal(signal.SIGCONT, paused)
        self._record_turn(Turn.RESUMED)

    def signal_worker(self, worker: int, number: int) -> None:
        """Send signal `number` to one of the process's children; `worker` is its index in the order of their command
        lines, modulo their count. The fault is recorded even if there is no child."""
        self._record_turn(Turn.WORKER_DOWN)
        if self.process is not None and self.process.returncode is None:
            parts = machine.children(self.process.pid)
            if parts:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(parts[worker % len(parts)], number)

    def record_worker_replaced(self) -> None:
        """Record that by now a worker must have been replaced, or others have taken over its messages."""
        self._record_turn(Turn.WORKER_REPLACED)

    async def stop(self) -> None:
        """Kill the process group for good and release the port."""
        self._stopping = True
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._tasks:
            done, pending = await asyncio.wait(self._tasks, timeout=1.0)
            for task in pending:  # another process holds the log open
                task.cancel()
        self.port.close()

    def run_queue_wait_us(self) -> int | None:
        """Return how long the main thread has waited for a core so far, in microseconds; None if unknown."""
        return machine.run_queue_wait_us(self.process.pid) if self.process is not None else None
