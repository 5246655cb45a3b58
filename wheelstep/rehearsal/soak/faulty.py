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
from typing import Any, cast

from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage
from wheelstep.rehearsal.soak.faulty_calls import (
    Failures,
    patch_files,
    patch_polling,
    patch_socket_options,
    patch_transfers,
)

CONNECT_ERRORS = (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS)


def patch_clock(page: FaultPage) -> None:
    """Shift the wall clock by the page's offset; the monotonic clock is left alone."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + page.clock_offset_s
    time.time_ns = lambda: real_ns() + int(page.clock_offset_s * 1e9)


def patch_sockets(failures: Failures) -> None:
    """Make connects and accepts of IPv4 sockets fail at random, and their reads and writes short, as the page says."""
    socket_class, page = cast(Any, socket.socket), failures.page
    connect, accept, send, recv = socket_class.connect, socket_class.accept, socket_class.send, socket_class.recv

    def failing_connect(self: socket.socket, address: Any) -> None:
        if self.family == socket.AF_INET:
            failures.raise_at(page.socket_failure_share, CONNECT_ERRORS)
        connect(self, address)

    def failing_accept(self: socket.socket) -> Any:
        if self.family == socket.AF_INET:
            failures.raise_at(page.socket_failure_share, ACCEPT_ERRORS)
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


def main() -> int:
    """Patch the standard library, then run the courier; return its exit code."""
    page, rng = FaultPage(Path(os.environ[FAULT_PAGE_VARIABLE])), random.Random(os.environ.get("RELAY_NAME", ""))
    failures = Failures(page, rng)
    patch_clock(page)
    patch_sockets(failures)
    patch_socket_options(failures)
    patch_transfers(failures)
    patch_polling(failures)
    patch_files(failures)
    from wheelstep.courier.__main__ import main as courier_main
    return courier_main()


if __name__ == "__main__":
    sys.exit(main())
