"""The connections of the second address: each carries one call. Bounded in number, bytes and time."""

from __future__ import annotations

import asyncio
import logging

from wheelstep.console.commands import MOST_LINE, Desk, reply
from wheelstep.courier.client_listener import ClientListener
from wheelstep.courier.config import Address
from wheelstep.courier.listen import QUEUE, bind

MOST = 20  # connections at once; one more ends the one that has owed its call for longest
_WAIT_S = 5.0  # from connecting until all is over

log = logging.getLogger(__name__)


class _Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._line = b""
        self._end: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self.done = False  # its call has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._end = asyncio.get_running_loop().call_later(_WAIT_S, self.abort)
        self._front.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        self._line += data
        line, found, _ = self._line.partition(b"\n")
        if found or len(self._line) > MOST_LINE:
            self._answer(line)

    def eof_received(self) -> bool:
        if self._line and not self.done:
            self._answer(self._line)
        return False

    def _answer(self, line: bytes) -> None:
        self.done, self._line = True, b""
        assert self._transport is not None
        try:
            self._transport.write(reply(line[:MOST_LINE + 1], self._front.desk))
        except Exception:
            log.exception("a call could not be answered: %.80r", line)
            self._transport.write(b"-ERR failed; the log has more\n")
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._end is not None:
            self._end.cancel()
        self._front.closed(self)

    def abort(self) -> None:
        """At once."""
        if self._transport is not None:
            self._transport.abort()


class Front:
    """The listener."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self._callers: dict[_Caller, None] = {}
        self._listener: ClientListener | None = None

    async def start(self, listen: Address) -> int:
        """Listen, and return the port. Raises `OSError`."""
        listener = bind(listen)
        listener.listen(QUEUE)
        self._listener = ClientListener(listener, lambda: _Caller(self))
        self._listener.resume()
        return int(listener.getsockname()[1])

    def opened(self, caller: _Caller) -> None:
        """Guards the descriptors, and calls that are whole, against callers that never finish theirs."""
        self._callers[caller] = None
        if len(self._callers) > MOST:
            next(iter(sorted(self._callers, key=lambda one: one.done))).abort()

    def closed(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def stop(self) -> None:
        """Close everything."""
        if self._listener is not None:
            self._listener.close()
        for caller in list(self._callers):
            caller.abort()
