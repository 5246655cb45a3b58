"""Queries to the operating system about processes and ports."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_PORTS = range(10_240, 32_000)  # below the system's ephemeral ports


def children(pid: int) -> list[int]:
    """Return the ids of a process's children, ordered by command line."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            parent = int((path / "stat").read_text().rpartition(")")[2].split()[1])
            if parent == pid:
                found.append(((path / "cmdline").read_bytes(), int(path.name)))
        except (OSError, ValueError, IndexError):
            continue  # the process has ended
    return [child for _, child in sorted(found)]


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal to a process that runs. `Process.send_signal` polls it first, which takes the exit code of one that
    has just ended from asyncio's watcher: it would report 255."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


def run_queue_wait_us(pid: int) -> int | None:
    """Return how long a process's main thread has waited for a core so far, in microseconds.

    None if the process is gone or the system doesn't tell.
    """
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
        return int(text.split()[1]) // 1000
    except (OSError, ValueError, IndexError):
        return None


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process; 0 if the process is gone or the system doesn't tell."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def is_free(port: int) -> bool:
    """Return whether the port can be bound on 127.0.0.1."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as trial:
        trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class NoStartError(Exception):
    """The courier's command could not be started."""


class CourierPort:
    """A free port for a courier, locked against other rehearsals on this machine by a file.

    Nothing is bound to it until the courier listens. Raises `NoStartError` if no free port is found.
    """

    def __init__(self) -> None:
        self._lock: IO[str] | None = None
        self.port = 0
        self.change()

    def change(self) -> None:
        """Choose another port and release the present one. Raises `NoStartError` if none is free."""
        self.close()
        for port in random.SystemRandom().sample(_PORTS, 200):
            lock = open(Path(tempfile.gettempdir()) / f"umberchute-port-{port}.lock", "a")  # noqa: SIM115
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                if is_free(port):
                    self._lock, self.port = lock, port
                    return
            except OSError:
                pass
            lock.close()
        raise NoStartError("no free port found on 127.0.0.1")

    def close(self) -> None:
        """Release the port's lock."""
        if self._lock is not None:
            with contextlib.suppress(OSError):
                os.unlink(self._lock.name)
            self._lock.close()
            self._lock = None
