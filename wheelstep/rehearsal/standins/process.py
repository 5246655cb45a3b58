"""A courier's process: its port and environment, its start and readiness, signals, its log, and its end."""

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

from wheelstep.rehearsal.history import History, Life, Turn
from wheelstep.rehearsal.planned import PROCESS_FAULTS, Fault
from wheelstep.rehearsal.standins.machine import CourierPort, NoStartError, children, free, waited_us
from wheelstep.rehearsal.standins.wire import Client

__all__ = ["Courier", "NoStartError"]

_LOG_BYTES = 64 * 1024  # of the end of a log
_TERM_S = 3.7  # from SIGTERM until SIGKILL
_BACK_S = 0.6  # from an end until the next start
_POLL_S = 0.02


class Courier:
    """One courier, over all its restarts. `command` keeps to the RELAY_* environment."""

    def __init__(self, name: str, command: str, folder: Path, history: History, now_us: Callable[[], int],
                 configure: Callable[[str], dict[str, Any]], ready_s: float) -> None:
        self.name, self._command, self._folder, self._history = name, command, folder, history
        self._now_us, self._configure, self._ready_s = now_us, configure, ready_s
        self.port = CourierPort()
        self.log: deque[bytes] = deque()
        self._log_bytes = 0
        self.log_total = 0
        self.process: asyncio.subprocess.Process | None = None
        self.ready = asyncio.Event()
        self.suspect: list[str] = []
        self._going = False  # an end that was asked for is under way
        self._tasks: set[asyncio.Task[None]] = set()
        (folder / "state").mkdir(parents=True, exist_ok=True)

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return "127.0.0.1", self.port.port

    def _turn(self, turn: Turn, code: int = 0) -> None:
        self._history.add(Life(self._now_us(), self.name, turn, code))

    async def start(self) -> bool:
        """Start it and wait until it is ready; False if it never is. Raises `NoStartError`."""
        for _ in range(3):
            process = await self._spawn()
            ready = await self._wait_ready(process)
            if ready or process.returncode is None or free(self.port.port):
                break
            self.port.renew()  # it died, and the port is somebody else's
        if ready:
            self._turn(Turn.READY)
            self.ready.set()
            self._keep(self._watch(process))
            return True
        if process.returncode is not None:
            self._turn(Turn.CRASHED, process.returncode)
        else:
            self._turn(Turn.NEVER_READY)
        return False

    async def _spawn(self) -> asyncio.subprocess.Process:
        listen = f"127.0.0.1:{self.port.port}"
        config = self._configure(listen)
        path = self._folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)
        scratch = self._folder / "tmp"
        scratch.mkdir(exist_ok=True)
        env = {**os.environ, "RELAY_NAME": self.name, "RELAY_LISTEN": listen, "RELAY_CONFIG": str(path),
               "RELAY_DISCOVERY": config["discovery"], "RELAY_STATE": str(self._folder / "state"),
               "TMPDIR": str(scratch)}
        try:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self._command), env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, start_new_session=True)
        except (OSError, ValueError) as error:
            raise NoStartError(f"{self._command!r} can't be started: {error}") from error
        self._keep(self._read_log(self.process))
        return self.process

    async def _wait_ready(self, process: asyncio.subprocess.Process) -> bool:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._ready_s
        while loop.time() < end and process.returncode is None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    link = await Client.dial(*self.address)
                    try:
                        answer = await link.ask(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    finally:
                        link.close()
                if answer is not None and answer[0] == 200:
                    return True
            await asyncio.sleep(_POLL_S)
        return False

    def _keep(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Keeps the end of the log only: a courier may write megabytes."""
        assert process.stdout is not None
        while data := await process.stdout.read(65536):
            self.log_total += len(data)
            self.log.append(data[-_LOG_BYTES:])
            self._log_bytes += len(self.log[-1])
            while self._log_bytes > _LOG_BYTES and len(self.log) > 1:
                self._log_bytes -= len(self.log.popleft())

    def log_text(self) -> str:
        """The end of its log."""
        return b"".join(self.log).decode("utf-8", "replace")

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process is self.process and not self._going:
            self.ready.clear()
            self._turn(Turn.CRASHED, code)

    # --- faults ---

    def _signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, number)

    async def kill(self, back_s: float = _BACK_S) -> None:
        """SIGKILL, and started again after a while."""
        await self._end(signal.SIGKILL, Turn.KILLED, back_s)

    async def terminate(self, back_s: float = _BACK_S) -> None:
        """A planned restart: SIGTERM, SIGKILL if it is still there in the end, and started again."""
        await self._end(signal.SIGTERM, Turn.TERMINATED, back_s)

    async def _end(self, number: int, turn: Turn, back_s: float) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        self._going = True
        self.ready.clear()
        self._turn(turn)
        if number == signal.SIGTERM:
            await self.dismiss()
        self._signal(signal.SIGKILL)
        code = await process.wait()
        self._turn(Turn.EXITED, code)
        await asyncio.sleep(back_s)
        self._going = False
        await self.start()

    async def dismiss(self) -> None:
        """SIGTERM to the program itself, not to what it may have started, and some time to leave."""
        self._going = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), _TERM_S)

    async def meet(self, fault: Fault) -> None:
        """Play a fault that only a courier of the soak can meet."""
        raise NotImplementedError(f"{fault.kind}: expected a fault of {', '.join(PROCESS_FAULTS)}")

    async def pause(self, for_s: float) -> None:
        """SIGSTOP for a while."""
        self._turn(Turn.PAUSED)
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self._signal(signal.SIGCONT)
        self._turn(Turn.RESUMED)

    def end_worker(self, worker: int, number: int) -> None:
        """A signal to one of the processes that it has started, by the order of their command lines."""
        self._turn(Turn.PART_DOWN)
        if self.process is not None and self.process.returncode is None:
            parts = children(self.process.pid)
            if parts:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(parts[worker % len(parts)], number)

    def whole_again(self) -> None:
        """By now another process must have taken its place, or others what it owed."""
        self._turn(Turn.PART_UP)

    async def stop(self) -> None:
        """Let it go for good; nothing of it stays behind."""
        self._going = True
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._tasks:
            done, pending = await asyncio.wait(self._tasks, timeout=1.0)
            for task in pending:  # a log held open by somebody else
                task.cancel()
        self.port.close()

    def waited_us(self) -> int | None:
        """How long its main thread has stood in line for a core so far; None where that is not told."""
        return waited_us(self.process.pid) if self.process is not None else None
