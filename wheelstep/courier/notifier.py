"""Notices to the platform of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum
from itertools import islice
from typing import Any

from wheelstep.courier.config import Address
from wheelstep.courier.http_stream import StreamError, request_stream
from wheelstep.courier.local_errors import LOCAL_ERRORS

# After a message's deadline its notice must have been answered within this time (PROTOCOL, 'The rules on sockets').
_ANSWERED_WITHIN_S = 0.3
# The platform's agent answers at once; a second try, twice as long, is in time too.
_FIRST_TIMEOUT_S = _ANSWERED_WITHIN_S / 3
_MAX_TIMEOUT_S = 2.0  # the timeout doubles from try to try up to this, for a platform's agent that is only slow
_RETRY_S = 0.25  # between tries from the second on: the agent is on the same host, so a try is cheap
_LOCAL_RETRY_S = 0.005  # between tries while this machine refuses the connection: a notice has to come through in time
_MAX_BATCH = 200  # notices in one request
_PATH = "/v1/outcomes"

log = logging.getLogger("wheelstep.courier.notices")


class _Target:
    """The address of the platform's agent, and the exchange in progress with it."""

    def __init__(self, discovery: Address) -> None:
        self._exchange: asyncio.Timeout | None = None
        self.move(discovery)

    def move(self, discovery: Address) -> None:
        """Use another address from now on. An exchange in progress ends with `TimeoutError`, so that nothing waits for
        an address that is gone."""
        self._address = discovery
        if self._exchange is not None:
            self._exchange.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def exchange(self) -> AsyncIterator[Address]:
        """Context of one request: gives the address; `move` ends it with `TimeoutError`."""
        async with asyncio.timeout(None) as self._exchange:
            try:
                yield self._address
            finally:
                self._exchange = None


class PostResult(Enum):
    """How a request with notices ended."""

    ACCEPTED = "accepted"
    FAILED = "failed"  # or it may have been accepted
    NOT_SENT = "not sent"  # this machine refused the connection


class Notifier:
    """Notifies the platform of every message that ended undelivered, and repeats each notice until it is accepted
    with status 204."""

    def __init__(self, discovery: Address, on_accepted: Callable[[list[str]], None]) -> None:
        self._on_accepted, self._target = on_accepted, _Target(discovery)
        self._pending: dict[str, bytes] = {}
        self._has_pending = asyncio.Event()
        self._failures = 0  # in a row

    def move(self, discovery: Address) -> None:
        """Send what is not answered yet to another address."""
        self._target.move(discovery)

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """Queue a notice; it replaces one that is queued for the message. With `retry_ms` 0 it states no retry time."""
        notice: dict[str, Any] = {"message": message, "outcome": outcome}
        if retry_ms:
            notice["retry_in_ms"] = retry_ms
        self._pending[message] = json.dumps(notice).encode() + b"\n"
        self._has_pending.set()

    async def run(self) -> None:
        """Send queued notices, until cancelled."""
        while True:
            await self._has_pending.wait()
            # After a second failure notices go one by one, so that one that is never accepted can't block all.
            batch = list(islice(self._pending, _MAX_BATCH if self._failures < 2 else 1))
            result = await self._post(b"".join(self._pending[message] for message in batch))
            if result is PostResult.ACCEPTED:
                self._failures = 0
                for message in batch:
                    del self._pending[message]
                self._on_accepted(batch)
            elif result is PostResult.NOT_SENT:
                await asyncio.sleep(_LOCAL_RETRY_S)
            else:
                self._failures += 1
                if self._failures == 1:
                    continue  # a connection that broke or fell silent: try again at once, on a new one
                self._pending[batch[0]] = self._pending.pop(batch[0])  # to the end of the queue
                await asyncio.sleep(_RETRY_S)
            if not self._pending:
                self._has_pending.clear()

    async def _post(self, body: bytes) -> PostResult:
        """Send one request on a connection of its own: on a kept one, a second copy of a 204 would be read as the
        answer to the next notices. The platform's agent is on the same host: a new connection costs little."""
        timeout_s = min(_FIRST_TIMEOUT_S * 2 ** min(self._failures, 8), _MAX_TIMEOUT_S)
        try:
            async with (self._target.exchange() as address, asyncio.timeout(timeout_s),
                        request_stream(address, "POST", _PATH, body) as answer):
                status = await answer.read_head()
        except (StreamError, OSError) as error:  # also `TimeoutError`
            if isinstance(error, OSError) and error.errno in LOCAL_ERRORS:
                log.info("notices are not sent for lack of a local resource: %s", error)
                return PostResult.NOT_SENT
            log.warning("notices: %r", error)
            return PostResult.FAILED
        if status != 204:
            log.warning("notices: status %d", status)
        return PostResult.ACCEPTED if status == 204 else PostResult.FAILED
