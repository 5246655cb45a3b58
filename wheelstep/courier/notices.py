"""The notices of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

import aiohttp

from wheelstep.courier.config import Address
from wheelstep.courier.place import Place

_AGAIN_S = 0.25  # before a notice that was not taken is sent again: the agent beside us takes it, at no cost
_MOST_LINES = 200  # notices in one request

log = logging.getLogger(__name__)


class Notices:
    """Tells the platform of every message that ended undelivered, again and again until it is answered."""

    def __init__(self, http: aiohttp.ClientSession, discovery: Address,
                 answered: Callable[[list[str]], None]) -> None:
        self._http, self._answered = http, answered
        self._place = Place(discovery, "/v1/outcomes")
        self._owed: dict[str, bytes] = {}
        self._any = asyncio.Event()

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
        most = _MOST_LINES
        while True:
            await self._any.wait()
            batch = list(self._owed)[:most]
            if await self._post(b"".join(self._owed[message] for message in batch)):
                for message in batch:
                    del self._owed[message]
                self._answered(batch)
                most = _MOST_LINES
            else:
                # Guards against one notice that is not taken holding up all others: alone, and last.
                most = 1
                self._owed[batch[0]] = self._owed.pop(batch[0])
                await asyncio.sleep(_AGAIN_S)
            if not self._owed:
                self._any.clear()

    async def _post(self, body: bytes) -> bool:
        try:
            limit = aiohttp.ClientTimeout(total=2.0)
            async with self._place.exchange() as url, self._http.post(
                    url, data=body, timeout=limit) as answer:
                if answer.status != 204:
                    log.warning("notices: status %d", answer.status)
                return answer.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.warning("notices: %r", error)
            return False
