"""What the system tells of processes and ports."""

from __future__ import annotations

import contextlib
import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

_PORTS = range(10_240, 32_000)  # below those that the system gives to connections


def children(pid: int) -> list[int]:
    """The processes whose parent it is."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            parent = int((path / "stat").read_text().rpartition(")")[2].split()[1])
            if parent == pid:
                found.append(((path / "cmdline").read_bytes(), int(path.name)))
        except (OSError, ValueError, IndexError):
            continue  # it has ended meanwhile
    return [child for _, child in sorted(found)]


def waited_us(pid: int) -> int | None:
    """How long a process's main thread has stood in line for a core so far; None where that is not told."""
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
        return int(text.split()[1]) // 1000
    except (OSError, ValueError, IndexError):
        return None


def free(port: int) -> bool:
    """Can it be bound on 127.0.0.1?"""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as trial:
        trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class NoStartError(Exception):
    """The command could not be started at all."""


class CourierPort:
    """A port that two rehearsals on one machine never both use. It is free until the courier takes it."""

    def __init__(self) -> None:
        self._lock: IO[str] | None = None
        self.port = 0
        self.renew()

    def renew(self) -> None:
        """Another one: somebody else has taken it."""
        self.close()
        for port in random.SystemRandom().sample(_PORTS, 200):
            lock = open(Path(tempfile.gettempdir()) / f"umberchute-port-{port}.lock", "a")  # noqa: SIM115
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                if free(port):
                    self._lock, self.port = lock, port
                    return
            except OSError:
                pass
            lock.close()
        raise NoStartError("no free port found on 127.0.0.1")

    def close(self) -> None:
        """Give it back."""
        if self._lock is not None:
            with contextlib.suppress(OSError):
                os.unlink(self._lock.name)
            self._lock.close()
            self._lock = None
