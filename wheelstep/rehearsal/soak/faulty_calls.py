"""System calls that fail at random with errors that Linux documents: transfers on sockets, polling, and files.

The functions of the standard library are patched; `faulty` says which of them, and `control` how often they fail.
"""

from __future__ import annotations

import builtins
import errno
import io
import os
import random
import select
import selectors
import socket
from collections.abc import Callable
from typing import Any

from wheelstep.rehearsal.soak.control import FaultPage

SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # socket(2)
OPTION_ERRORS = (errno.ENOBUFS, errno.ENOMEM)  # setsockopt(2), getsockopt(2), shutdown(2)
TRANSFER_ERRORS = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)  # send(2), recv(2)
CONTROL_ERRORS = (errno.ENOMEM, errno.ENOSPC)  # epoll_ctl(2)
POLL_ERRORS = (errno.EINTR, errno.ENOMEM)  # poll(2)
EPOLL_CREATE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)  # epoll_create1(2)
OPEN_ERRORS = (errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM)  # open(2)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)  # write(2), fsync(2), ftruncate(2), unlink(2)
CLOSE_ERRORS = (errno.EINTR, errno.EIO)  # close(2): the descriptor is released all the same


class Failures:
    """Decides whether a call fails, by the shares of a page."""

    def __init__(self, page: FaultPage, rng: random.Random) -> None:
        self.page, self._rng = page, rng

    def drawn(self, share: float) -> bool:
        """Return whether a call fails that fails in this share of the cases."""
        return share > 0 and self._rng.random() < share

    def error(self, errors: tuple[int, ...]) -> OSError:
        """Return one of these errors."""
        code = self._rng.choice(errors)
        return OSError(code, os.strerror(code))

    def raise_at(self, share: float, errors: tuple[int, ...]) -> None:
        """Raise one of these errors in this share of the calls."""
        if self.drawn(share):
            raise self.error(errors)


def patch_transfers(failures: Failures) -> None:
    """Make `send` and `recv` of IPv4 sockets fail."""
    socket_class: Any = socket.socket
    page = failures.page
    _fail_before(socket_class, "send", failures, lambda: page.transfer_failure_share, TRANSFER_ERRORS)
    _fail_before(socket_class, "recv", failures, lambda: max(page.transfer_failure_share, page.read_failure_share),
                 TRANSFER_ERRORS)


def patch_socket_options(failures: Failures) -> None:
    """Make options, half-closes and the creation of IPv4 sockets fail."""
    socket_class: Any = socket.socket
    for name in ("setsockopt", "getsockopt", "shutdown"):
        _fail_before(socket_class, name, failures, lambda: failures.page.socket_failure_share, OPTION_ERRORS)
    create = socket_class.__init__

    def failing_init(self: socket.socket, family: int = -1, type: int = -1, proto: int = -1,
                     fileno: int | None = None) -> None:
        if fileno is None and family in (-1, socket.AF_INET):
            failures.raise_at(failures.page.socket_failure_share, SOCKET_ERRORS)
        create(self, family, type, proto, fileno)

    socket_class.__init__ = failing_init


def _fail_before(socket_class: Any, name: str, failures: Failures, share: Callable[[], float],
                 errors: tuple[int, ...]) -> None:
    real = getattr(socket_class, name)

    def failing(self: socket.socket, *args: Any) -> Any:
        if self.family == socket.AF_INET:
            failures.raise_at(share(), errors)
        return real(self, *args)

    setattr(socket_class, name, failing)


def patch_polling(failures: Failures) -> None:
    """Make `poll`, and creating, changing and waiting for an epoll instance fail."""
    real_epoll, real_poll = select.epoll, select.poll

    class FailingEpoll:
        def __init__(self) -> None:
            failures.raise_at(failures.page.poll_failure_share, EPOLL_CREATE_ERRORS)
            self._epoll = real_epoll()

        def register(self, descriptor: int, events: int) -> None:
            failures.raise_at(failures.page.poll_failure_share, CONTROL_ERRORS)
            self._epoll.register(descriptor, events)

        def modify(self, descriptor: int, events: int) -> None:
            failures.raise_at(failures.page.poll_failure_share, CONTROL_ERRORS)
            self._epoll.modify(descriptor, events)

        def unregister(self, descriptor: int) -> None:
            failures.raise_at(failures.page.poll_failure_share, CONTROL_ERRORS)
            self._epoll.unregister(descriptor)

        def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
            failures.raise_at(failures.page.poll_failure_share, (errno.EINTR,))
            return self._epoll.poll(timeout, max_events)

        def fileno(self) -> int:
            return self._epoll.fileno()

        def close(self) -> None:
            self._epoll.close()

    class FailingPoll:
        def __init__(self) -> None:
            self._poll = real_poll()

        def register(self, descriptor: int, events: int) -> None:
            self._poll.register(descriptor, events)

        def poll(self, timeout_ms: float | None = None) -> list[tuple[int, int]]:
            failures.raise_at(failures.page.poll_failure_share, POLL_ERRORS)
            return self._poll.poll(timeout_ms)

    selectors.EpollSelector._selector_cls = FailingEpoll  # type: ignore[attr-defined]
    select.poll = FailingPoll  # type: ignore[assignment, misc]


def patch_files(failures: Failures) -> None:
    """Make writes, syncs, truncations, opening, closing, listing and removing files fail. About half of the failing
    writes write a first part and return its length. Standard streams are spared."""
    write, close, open_file, open_stream = os.write, os.close, os.open, io.open

    def failing_write(descriptor: int, data: Any) -> int:
        if descriptor > 2 and failures.drawn(failures.page.disk_failure_share):
            if failures.drawn(0.5) and len(data) > 1:
                return write(descriptor, memoryview(data)[:len(data) // 2])
            raise failures.error(DISK_ERRORS)
        return write(descriptor, data)

    def failing_close(descriptor: int) -> None:
        close(descriptor)
        failures.raise_at(failures.page.disk_failure_share, CLOSE_ERRORS)

    def failing_open(path: Any, flags: int, *args: Any, **kwargs: Any) -> int:
        if flags & os.O_CREAT:
            failures.raise_at(failures.page.disk_failure_share, DISK_ERRORS)
        failures.raise_at(failures.page.open_failure_share, OPEN_ERRORS)
        return open_file(path, flags, *args, **kwargs)

    def failing_open_stream(*args: Any, **kwargs: Any) -> Any:
        failures.raise_at(failures.page.open_failure_share, OPEN_ERRORS)
        return open_stream(*args, **kwargs)

    os.write, os.close, os.open = failing_write, failing_close, failing_open  # type: ignore[assignment]
    io.open = builtins.open = failing_open_stream
    for name in ("fsync", "ftruncate", "unlink"):
        _fail_before_os(name, failures, lambda: failures.page.disk_failure_share, DISK_ERRORS)
    _fail_before_os("scandir", failures, lambda: failures.page.open_failure_share, OPEN_ERRORS)


def _fail_before_os(name: str, failures: Failures, share: Callable[[], float], errors: tuple[int, ...]) -> None:
    real = getattr(os, name)

    def failing(*args: Any, **kwargs: Any) -> Any:
        failures.raise_at(share(), errors)
        return real(*args, **kwargs)

    setattr(os, name, failing)
