"""Runs the courier with system calls that fail as Linux documents, as the page tells (`control`).

`python -m wheelstep.rehearsal.soak.faulty`, with the environment of `wheelstep.courier`. Python's own modules are given
other functions before the courier is imported; nothing of the courier is replaced.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.soak.control import PAGE, FaultPage

CONNECT_ERRORS = (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


def _failure(errors: tuple[int, ...], rng: random.Random) -> OSError:
    number = rng.choice(errors)
    return OSError(number, os.strerror(number))


def patch_clock(page: FaultPage) -> None:
    """The wall clock is off by what the page says; the monotonic one runs on."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + page.clock_s
    time.time_ns = lambda: real_ns() + int(page.clock_s * 1e9)


def patch_sockets(page: FaultPage, rng: random.Random) -> None:
    """Connects and accepts fail now and then, reads and writes are short."""
    kind: Any = socket.socket
    connect, accept, send, recv = kind.connect, kind.accept, kind.send, kind.recv

    def failing_connect(self: socket.socket, address: Any) -> None:
        if self.family == socket.AF_INET and rng.random() < page.sockets:
            raise _failure(CONNECT_ERRORS, rng)
        connect(self, address)

    def failing_accept(self: socket.socket) -> Any:
        if self.family == socket.AF_INET and rng.random() < page.sockets:
            raise _failure(ACCEPT_ERRORS, rng)
        return accept(self)

    def short_send(self: socket.socket, data: Any, *flags: int) -> int:
        most = int(page.most_bytes)
        whole = not most or self.family != socket.AF_INET
        return int(send(self, data if whole else memoryview(data)[:most], *flags))

    def short_recv(self: socket.socket, size: int, *flags: int) -> bytes:
        most = int(page.most_bytes)
        whole = not most or self.family != socket.AF_INET
        return bytes(recv(self, size if whole else min(size, most), *flags))

    kind.connect, kind.accept, kind.send, kind.recv = failing_connect, failing_accept, short_send, short_recv


def patch_disk(page: FaultPage, rng: random.Random) -> None:
    """Writes, syncs, cuts and new files fail now and then; half of the writes that fail have written a part before."""
    write, fsync, ftruncate, create = os.write, os.fsync, os.ftruncate, os.open

    def failing_write(handle: int, data: Any) -> int:
        if handle > 2 and rng.random() < page.disk:
            if rng.random() < 0.5 and len(data) > 1:
                return write(handle, memoryview(data)[:len(data) // 2])
            raise _failure(DISK_ERRORS, rng)
        return write(handle, data)

    def failing_fsync(handle: int) -> None:
        if rng.random() < page.disk:
            raise _failure(DISK_ERRORS, rng)
        fsync(handle)

    def failing_ftruncate(handle: int, size: int) -> None:
        if rng.random() < page.disk:
            raise _failure(DISK_ERRORS, rng)
        ftruncate(handle, size)

    def failing_open(path: Any, flags: int, *given: Any, **named: Any) -> int:
        if flags & os.O_CREAT and rng.random() < page.disk:
            raise _failure(DISK_ERRORS, rng)
        return create(path, flags, *given, **named)

    os.write, os.fsync, os.ftruncate = failing_write, failing_fsync, failing_ftruncate  # type: ignore[assignment]
    os.open = failing_open


def main() -> int:
    """Patch, then run the courier."""
    page, rng = FaultPage(Path(os.environ[PAGE])), random.Random(os.environ.get("RELAY_NAME", ""))
    patch_clock(page)
    patch_sockets(page, rng)
    patch_disk(page, rng)
    from wheelstep.courier.__main__ import main as courier
    return courier()


if __name__ == "__main__":
    sys.exit(main())
