"""TCP sockets whose calls may fail for a while for want of memory or buffers, without the end of the connection.

asyncio closes a connection at any error of `send` and `recv`. Some of them tell only that this machine lacks memory or
buffers at the moment (send(2), recv(2)): nothing was transferred, and the connection is as it was. Such a call counts
as one that would block; the event loop repeats it.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheelstep.courier.arrival import arrivals
from wheelstep.courier.local_errors import TRANSFER_ERRORS

_LOG_INTERVAL_S = 1.0
MAX_READ_BYTES = 16 * 1024
"""Bytes that one call reads at most: bounds the memory for them, and the time until other sockets are read."""
_READ_RETRIED_WITHIN_S = 0.05  # the event loop repeats a failed read in its next turn

log = logging.getLogger(__name__)


class _FailureLog:
    """Logs failing calls, at most once in an interval, with their number since the last line."""

    def __init__(self) -> None:
        self._count, self._logged_s = 0, -_LOG_INTERVAL_S

    def note(self, call: str, error: OSError) -> None:
        self._count += 1
        if (now_s := time.monotonic()) - self._logged_s >= _LOG_INTERVAL_S:
            log.warning("%s fails and is repeated: %s; %d failed calls since the last line", call, error, self._count)
            self._count, self._logged_s = 0, now_s


_failures = _FailureLog()


@dataclass(slots=True)
class _FailedReads:
    """Reads of one socket that failed in a row; monotonic seconds."""

    first_s: float
    last_s: float


_failed_reads: dict[int, _FailedReads] = {}  # of the sockets whose last read failed


def reads_fail(now_s: float) -> bool:
    """Return whether bytes may wait on a socket that the system could not deliver: an answer that asks to wait, or news
    that an endpoint drains."""
    if _failed_reads:
        for descriptor in [number for number, failed in _failed_reads.items()
                           if now_s - failed.last_s > _READ_RETRIED_WITHIN_S]:
            del _failed_reads[descriptor]  # closed, or not read at the moment
    return bool(_failed_reads)


class ReliableSocket(socket.socket):
    """A socket for asyncio's transports."""

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive up to `MAX_READ_BYTES`. Raises `BlockingIOError` also where the system lacks memory."""
        try:
            received = super().recv(min(size, MAX_READ_BYTES), flags)
        except OSError as error:
            if error.errno in TRANSFER_ERRORS:
                now_s = time.monotonic()
                _failed_reads.setdefault(self.fileno(), _FailedReads(arrivals.earliest_s(now_s), now_s)).last_s = now_s
            raise _as_blocking("recv", error) from None
        if _failed_reads and (failed := _failed_reads.pop(self.fileno(), None)) is not None:
            arrivals.read_after_failures(failed.first_s)
        return received

    def send(self, data: Any, flags: int = 0, /) -> int:
        """Send bytes. Raises `BlockingIOError` also where the system lacks memory or buffers."""
        try:
            return super().send(data, flags)
        except OSError as error:
            raise _as_blocking("send", error) from None

    def connect(self, address: Any, /) -> None:
        """Begin a connection. Without a free port or route the kernel says EAGAIN, and none is begun (connect(2))."""
        try:
            super().connect(address)
        except BlockingIOError as error:
            if error.errno == errno.EAGAIN:
                raise OSError(errno.EADDRNOTAVAIL, os.strerror(errno.EADDRNOTAVAIL)) from error
            raise

    def setsockopt(self, *args: Any) -> None:
        """Set an option, or leave it as it is where the system lacks memory: a connection without it is still one."""
        self._or_skip("setsockopt", lambda: super(ReliableSocket, self).setsockopt(*args))

    def shutdown(self, how: int, /) -> None:
        """Close one direction, or leave that to the close of the socket where the system lacks buffers. Does nothing on
        a connection that its peer has reset: asyncio calls this where nothing catches the error."""
        try:
            self._or_skip("shutdown", lambda: super(ReliableSocket, self).shutdown(how))
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                raise

    def close(self) -> None:
        """Close the socket. Its descriptor is released also where the call fails (close(2))."""
        _failed_reads.pop(self.fileno(), None)  # another socket may get its descriptor
        try:
            super().close()
        except OSError as error:
            _failures.note("close", error)

    @staticmethod
    def _or_skip(name: str, call: Callable[[], None]) -> None:
        try:
            call()
        except OSError as error:
            if error.errno not in TRANSFER_ERRORS:
                raise
            _failures.note(name, error)


def _as_blocking(call: str, error: OSError) -> OSError:
    """Return the error to raise in place of this one."""
    if error.errno not in TRANSFER_ERRORS:
        return error
    _failures.note(call, error)
    return BlockingIOError(errno.EAGAIN, str(error))


def create_socket(family: int, kind: int = socket.SOCK_STREAM, protocol: int = 0) -> ReliableSocket:
    """Return a new socket that does not block. Raises `OSError`."""
    created = ReliableSocket(family, kind, protocol)
    created.setblocking(False)
    return created


def accept(listener: socket.socket) -> ReliableSocket:
    """Accept a connection; the socket does not block. Raises `OSError`, see accept(2)."""
    accepted, _ = listener.accept()
    made = ReliableSocket(accepted.family, accepted.type, accepted.proto, fileno=accepted.detach())
    made.setblocking(False)
    return made
