"""Tells a client that has closed its connection from one that has only ended its sending.

Both look alike until something is written: the system of a client that has left answers with a reset, on the same host
before the write returns. A client that still reads could send a reset, too, once it has its answer; so only a reset
that comes at once counts.
"""

from __future__ import annotations

import asyncio
import time
from asyncio.trsock import TransportSocket

from wheelstep.courier.socket_state import Unread, is_reset, unread

_AT_ONCE_S = 0.005


class Departure:
    """A client that has ended its sending, and may have left, before an answer is written to it."""

    def __init__(self, connected: TransportSocket) -> None:
        self._connected, self._began_s = connected, time.monotonic()

    @classmethod
    def of(cls, transport: asyncio.Transport | None) -> Departure | None:
        """Return the possible departure of a connection's client; None if it still sends. The event loop may not have
        been told yet."""
        if transport is None:
            return None
        connected = transport.get_extra_info("socket")
        return cls(connected) if unread(connected) is Unread.END else None

    def is_shown(self) -> bool:
        """Return whether the client has left without the answer that was just written."""
        return is_reset(self._connected) and time.monotonic() - self._began_s < _AT_ONCE_S
