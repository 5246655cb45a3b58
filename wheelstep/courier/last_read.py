"""The last read of a connection that is to close: what is in the kernel's buffer by then is still answered."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wheelstep.courier.socket_state import Unread, unread


class Readable(Protocol):
    """The connection."""

    transport: asyncio.Transport | None

    @property
    def has_read_enough(self) -> bool:
        """Whether nothing more has to be read before the connection is closed."""

    def last_read_done(self) -> None:
        """Close, unless a request is still to be answered."""


class LastRead:
    """Reads until the kernel's buffer is empty or a complete request was read."""

    def __init__(self, connection: Readable) -> None:
        self._connection = connection
        self.running = False

    def start(self) -> None:
        """Read what has come by now. The caller makes the transport read."""
        self.running = True
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        # The loop polls between the two callbacks, and reads before the second.
        loop.call_soon(loop.call_soon, self._finish)

    def _finish(self) -> None:
        # A long turn of the loop leaves time for more to arrive, and one read does not take a large request whole.
        if not self._connection.has_read_enough and self._may_have_input():
            self._schedule()
            return
        self.running = False
        self._connection.last_read_done()

    def _may_have_input(self) -> bool:
        """Return whether input may have arrived since the loop last read."""
        transport = self._connection.transport
        if transport is None or not transport.is_reading():
            return False
        return unread(transport.get_extra_info("socket")) is not Unread.NOTHING
