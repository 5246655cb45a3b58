"""Queries and options of a connected TCP socket that asyncio does not offer."""

from __future__ import annotations

import contextlib
import fcntl
import select
import socket
import struct
import termios
from asyncio.trsock import TransportSocket
from enum import Enum

_TCP_CLOSE = 7  # state of a connection, see tcp(7)


class Unread(Enum):
    """What the kernel has received on a socket and nobody has read yet."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "the end of the connection"  # perhaps behind further bytes
    UNKNOWN = "unknown"  # the system could not tell


def unread(connected: TransportSocket) -> Unread:
    """Return what waits to be read; the event loop may not have been told yet."""
    poll = select.poll()
    poll.register(connected.fileno(), select.POLLIN | select.POLLRDHUP)
    try:
        found = poll.poll(0)
    except OSError:  # ENOMEM, see poll(2)
        return Unread.UNKNOWN
    if not found:
        return Unread.NOTHING
    ended = found[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    return Unread.END if ended else Unread.BYTES


def discard_unsent_at_close(connected: TransportSocket) -> None:
    """Make a close discard the bytes that the kernel has not sent. Without this, a network that recovers would deliver
    them long after. Does nothing on a socket that is closed already."""
    with contextlib.suppress(OSError):
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def is_reset(connected: TransportSocket) -> bool:
    """Return whether the connection is over: reset by the peer, or closed in both directions."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:  # a socket that is closed already, or the system lacks memory
        return connected.fileno() < 0
    return info[0] == _TCP_CLOSE


def has_unsent_bytes(connected: TransportSocket) -> bool:
    """Return whether written bytes are not acknowledged by the peer's kernel; False on a socket that is closed."""
    with contextlib.suppress(OSError):
        return any(fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(4)))
    return False
