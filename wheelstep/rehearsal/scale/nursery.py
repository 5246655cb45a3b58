"""Child processes of a run, none of which outlives it: each has a pipe on its stdin, ends when that is closed, and is
killed by the kernel when its parent ends (Linux)."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import IO, Any

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None) if sys.platform == "linux" else None
_MAX_LINE_BYTES = 64 << 20


def kill_with_parent() -> None:
    """Have the kernel send SIGKILL to this process once its parent's thread has ended. Does nothing on systems other
    than Linux."""
    if _LIBC is not None:
        _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


async def read_stdin_lines() -> AsyncIterator[str]:
    """Yield the lines of stdin, stripped, until it ends."""
    reader = asyncio.StreamReader(limit=_MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line.decode().strip()


class ChildProcess:
    """A child process that answers each line on its stdin with one line of JSON."""

    def __init__(self, process: asyncio.subprocess.Process, log: IO[bytes]) -> None:
        self.process, self._log = process, log
        self._request_lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def up(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def read_answer(self) -> Any:
        """Return the next line, parsed as JSON. Raises `EOFError` if the process has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise EOFError(f"process {self.pid} has ended; its output is in {self._log.name}")
        return json.loads(line)

    async def ask(self, command: str) -> Any:
        """Send a command and return the answer; concurrent commands take turns. Raises `EOFError` if the process has
        ended."""
        assert self.process.stdin is not None
        async with self._request_lock:
            self.process.stdin.write(command.encode() + b"\n")
            with contextlib.suppress(ConnectionError):
                await self.process.stdin.drain()
            return await self.read_answer()

    async def stop(self, within_s: float = 3.0) -> None:
        """Close the stdin, and kill the process if it has not ended within `within_s`."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        if self.up:
            try:
                await asyncio.wait_for(self.process.wait(), within_s)
            except TimeoutError:
                self.kill()
                await self.process.wait()
        self._log.close()

    def kill(self) -> None:
        """Send SIGKILL."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


async def start_child(module: str, *args: str, log: Path, env: Mapping[str, str] | None = None,
                      cwd: Path | None = None) -> ChildProcess:
    """Start `python -m MODULE ARGS...` as a child process. Its stderr is appended to `log`."""
    stderr = open(log, "ab")  # noqa: SIM115 - closed with the child
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=stderr, cwd=cwd,
        env={**os.environ, **(env or {})}, limit=_MAX_LINE_BYTES, preexec_fn=kill_with_parent, start_new_session=True)
    return ChildProcess(process, stderr)


def memory_bytes(pid: int) -> int:
    """Return the resident memory in private pages of a process, in bytes; 0 if it has ended."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
        return sum(int(line.split()[1]) for line in lines if line.startswith(("Private_", "Pss:"))
                   and not line.startswith("Pss:")) * 1024
    return 0


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process so far, in seconds; 0 if it has ended."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


def is_alive(pid: int) -> bool:
    """Return whether the process exists and is not a zombie."""
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    return False
