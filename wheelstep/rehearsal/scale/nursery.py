"""Processes of a run, and that none outlives it: each has a line to its parent, ends with it, and is killed by the
kernel where the parent is (Linux).
"""

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
_MOST_LINE = 64 << 20


def die_with_parent() -> None:
    """SIGKILL for this process once its parent's thread has ended."""
    if _LIBC is not None:
        _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


async def end_with_stdin() -> AsyncIterator[str]:
    """Lines of stdin until it ends."""
    reader = asyncio.StreamReader(limit=_MOST_LINE)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line.decode().strip()


class Child:
    """A process that answers each line with one line of JSON. Raises `EOFError` where it has ended."""

    def __init__(self, process: asyncio.subprocess.Process, log: IO[bytes]) -> None:
        self.process, self._log = process, log
        self._turn = asyncio.Lock()

    @property
    def pid(self) -> int:
        """Its number."""
        return self.process.pid

    @property
    def up(self) -> bool:
        """Has it not ended?"""
        return self.process.returncode is None

    async def read(self) -> Any:
        """Its next line."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise EOFError(f"process {self.pid} has ended; its output is in {self._log.name}")
        return json.loads(line)

    async def ask(self, text: str) -> Any:
        """Say a line, and hear the answer."""
        assert self.process.stdin is not None
        async with self._turn:
            self.process.stdin.write(text.encode() + b"\n")
            with contextlib.suppress(ConnectionError):
                await self.process.stdin.drain()
            return await self.read()

    async def end(self, within_s: float = 3.0) -> None:
        """Its line ends, then it does."""
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
        """SIGKILL."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


async def start(module: str, *given: str, log: Path, env: Mapping[str, str] | None = None,
                cwd: Path | None = None) -> Child:
    """`python -m MODULE GIVEN...` with a line to it. What it writes to stderr goes to the end of `log`."""
    out = open(log, "ab")  # noqa: SIM115 - closed with the child
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *given, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=out, cwd=cwd,
        env={**os.environ, **(env or {})}, limit=_MOST_LINE, preexec_fn=die_with_parent, start_new_session=True)
    return Child(process, out)


def memory_bytes(pid: int) -> int:
    """Resident memory that is its own (private pages) of a process; 0 where it has gone."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        rows = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
        return sum(int(row.split()[1]) for row in rows if row.startswith(("Private_", "Pss:"))
                   and not row.startswith("Pss:")) * 1024
    return 0


def cpu_s(pid: int) -> float:
    """Processor time of a process so far; 0 where it has gone."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


def alive(pid: int) -> bool:
    """Is there such a process, not only its remains?"""
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    return False
