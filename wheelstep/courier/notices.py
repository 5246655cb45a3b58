"""The notices of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import islice
from typing import Any

import aiohttp

from wheelstep.courier.config import Address

_ANSWERED_S = 0.3  # after a message's time is up its notice must have been answered (PROTOCOL, 'The rules on sockets')
_FIRST_TRY_S = _ANSWERED_S / 3  # it is answered at once; so the second try, twice as long, ends in time too
_MOST_TRY_S = 2.0  # doubled from try to try up to this, for an agent that is only slow
_AGAIN_S = 0.25  # between tries from the second on: the agent beside us takes them, at no cost
_MOST_LINES = 200  # notices in one request

log = logging.getLogger(__name__)


class _Place:
    """Where something of the platform is found, and the exchange that is under way with it."""

    def __init__(self, discovery: Address, path: str) -> None:
        self._path = path
        self._exchange: asyncio.Timeout | None = None
        self.move(discovery)

    def move(self, discovery: Address) -> None:
        """From now on it is there. Guards against waiting for one that has gone: what is under way ends with
        `TimeoutError`."""
        self._url = f"http://{discovery.host}:{discovery.port}{self._path}"
        if self._exchange is not None:
            self._exchange.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def exchange(self) -> AsyncIterator[str]:
        """Its address, for one exchange."""
        async with asyncio.timeout(None) as self._exchange:
            try:
                yield self._url
            finally:
                self._exchange = None


class Notices:
    """Tells the platform of every message that ended undelivered, again and again until it is answered."""

    def __init__(self, http: aiohttp.ClientSession, discovery: Address,
                 answered: Callable[[list[str]], None]) -> None:
        self._http, self._answered = http, answered
        self._place = _Place(discovery, "/v1/outcomes")
        self._owed: dict[str, bytes] = {}
        self._any = asyncio.Event()
        self._failures = 0  # in a row

    def move(self, discovery: Address) -> None:
        """What is unanswered goes to another address."""
        self._place.move(discovery)

    def owe(self, message: str, outcome: str, retry_ms: int) -> None:
        """Tell of this one as soon as can be."""
        notice: dict[str, Any] = {"message": message, "outcome": outcome}
        if retry_ms:
            notice["retry_in_ms"] = retry_ms
        self._owed[message] = json.dumps(notice).encode() + b"\n"
        self._any.set()

    async def run(self) -> None:
        """Send what is owed, for good."""
        while True:
            await self._any.wait()
            # Guards against one notice that is not taken holding up all others: alone, and last.
            batch = list(islice(self._owed, _MOST_LINES if self._failures < 2 else 1))
            if await self._post(b"".join(self._owed[message] for message in batch)):
                self._failures = 0
                for message in batch:
                    del self._owed[message]
                self._answered(batch)
            else:
                self._failures += 1
                if self._failures == 1:
                    continue  # a kept connection may have been gone: once more at once, on a fresh one
                self._owed[batch[0]] = self._owed.pop(batch[0])
                await asyncio.sleep(_AGAIN_S)
            if not self._owed:
                self._any.clear()

    async def _post(self, body: bytes) -> bool:
        try:
            limit = aiohttp.ClientTimeout(total=min(_FIRST_TRY_S * 2 ** min(self._failures, 8), _MOST_TRY_S))
            async with self._place.exchange() as url, self._http.post(
                    url, data=body, timeout=limit) as answer:
                if answer.status != 204:
                    log.warning("notices: status %d", answer.status)
                return answer.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.warning("notices: %r", error)
            return False
