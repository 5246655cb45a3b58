"""Runs the courier with system calls that fail, with errors that Linux documents, as the fault page says (`control`).

`python -m wheelstep.rehearsal.soak.faulty`, with the environment of `wheelstep.courier` and the path of the fault page.
Functions of the standard library are patched before the courier is imported; no code of the courier is replaced.
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

from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage

CONNECT_ERRORS = (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


def _random_error(errors: tuple[int, ...], rng: random.Random) -> OSError:
    code = rng.choice(errors)
    return OSError(code, os.strerror(code))


def patch_clock(page: FaultPage) -> None:
    """Shift the wall clock by the page's offset; the monotonic clock is left alone."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + page.clock_offset_s
    time.time_ns = lambda: real_ns() + int(page.clock_offset_s * 1e9)


def patch_sockets(page: FaultPage, rng: random.Random) -> None:
    """Make connects and accepts of IPv4 sockets fail at random, and their reads and writes short, as the page says."""
    socket_class: Any = socket.socket
    connect, accept, send, recv = socket_class.connect, socket_class.accept, socket_class.send, socket_class.recv

    def failing_connect(self: socket.socket, address: Any) -> None:
        if self.family == socket.AF_INET and rng.random() < page.socket_failure_share:
            raise _random_error(CONNECT_ERRORS, rng)
        connect(self, address)

    def failing_accept(self: socket.socket) -> Any:
        if self.family == socket.AF_INET and rng.random() < page.socket_failure_share:
            raise _random_error(ACCEPT_ERRORS, rng)
        return accept(self)

    def short_send(self: socket.socket, data: Any, *flags: int) -> int:
        limit = int(page.max_socket_bytes)
        unlimited = not limit or self.family != socket.AF_INET
        return int(send(self, data if unlimited else memoryview(data)[:limit], *flags))

    def short_recv(self: socket.socket, size: int, *flags: int) -> bytes:
        limit = int(page.max_socket_bytes)
        unlimited = not limit or self.family != socket.AF_INET
        return bytes(recv(self, size if unlimited else min(size, limit), *flags))

    socket_class.connect, socket_class.accept, socket_class.send, socket_class.recv = (
        failing_connect, failing_accept, short_send, short_recv)


def patch_disk(page: FaultPage, rng: random.Random) -> None:
    """Make writes, syncs, truncations and the creation of files fail at random, as the page says; about half of the
    failing writes write a first part and return its length. Standard streams are spared."""
    write, fsync, ftruncate, open_file = os.write, os.fsync, os.ftruncate, os.open

    def failing_write(descriptor: int, data: Any) -> int:
        if descriptor > 2 and rng.random() < page.disk_failure_share:
            if rng.random() < 0.5 and len(data) > 1:
                return write(descriptor, memoryview(data)[:len(data) // 2])
            raise _random_error(DISK_ERRORS, rng)
        return write(descriptor, data)

    def failing_fsync(descriptor: int) -> None:
        if rng.random() < page.disk_failure_share:
            raise _random_error(DISK_ERRORS, rng)
        fsync(descriptor)

    def failing_ftruncate(descriptor: int, size: int) -> None:
        if rng.random() < page.disk_failure_share:
            raise _random_error(DISK_ERRORS, rng)
        ftruncate(descriptor, size)

    def failing_open(path: Any, flags: int, *args: Any, **kwargs: Any) -> int:
        if flags & os.O_CREAT and rng.random() < page.disk_failure_share:
            raise _random_error(DISK_ERRORS, rng)
        return open_file(path, flags, *args, **kwargs)

    os.write, os.fsync, os.ftruncate = failing_write, failing_fsync, failing_ftruncate  # type: ignore[assignment]
    os.open = failing_open


def main() -> int:
    """Patch the standard library, then run the courier; return its exit code."""
    page, rng = FaultPage(Path(os.environ[FAULT_PAGE_VARIABLE])), random.Random(os.environ.get("RELAY_NAME", ""))
    patch_clock(page)
    patch_sockets(page, rng)
    patch_disk(page, rng)
    from wheelstep.courier.__main__ import main as courier_main
    return courier_main()


if __name__ == "__main__":
    sys.exit(main())
