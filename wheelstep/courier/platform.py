"""The platform's side: the watch on discovery's list, and the notices of messages that ended undelivered."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import aiohttp

from wheelstep import interface as api
from wheelstep.courier.config import UNREADABLE, Address, Names
from wheelstep.courier.spread import wait_s

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account

_SILENT_S = 4.5  # a watch says something every 2 s, and changes count as told after 6 s
_AGAIN_S = 0.25  # before a notice that was not taken is sent again: the agent beside us takes it, at no cost
_MOST_LINES = 200  # notices in one request
_MOST_LINE = 1 << 20  # bytes of a line of the list

log = logging.getLogger(__name__)

Listed = Callable[[api.ListKind, list[tuple[api.EndpointInfo, Address]]], None]


def entries(data: Mapping[str, Any], names: Names) -> list[tuple[api.EndpointInfo, Address]]:
    """The entries of a list that can be read."""
    found = []
    rows = data.get("hosts") or ()
    if not isinstance(rows, list | tuple):
        raise ValueError("hosts is no list")
    for row in rows:
        try:
            found.append(names.entry(row))
        except UNREADABLE as error:
            log.warning("discovery: passed over %.200r: %r", row, error)
    return found


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


class Watch:
    """Follows discovery for good: through silence, garbage and broken connections. The seed spreads the calls of
    `couriers` (see `spread.callers`) that lost it at the same moment."""

    def __init__(self, http: aiohttp.ClientSession, discovery: Address, names: Names, seq: int,
                 listed: Listed, couriers: int = 1, seed: int = 0) -> None:
        self._http, self._names, self._listed, self._seq = http, names, listed, seq
        self._couriers, self._rng, self._failures = couriers, random.Random(f"watch {seed}"), 0
        self._place, self._moved = _Place(discovery, "/v1/servers"), False
        self._answered = asyncio.Event()
        self.account: Account | None = None

    @property
    def seq(self) -> int:
        """The version of the list that is known."""
        return self._seq

    def move(self, discovery: Address) -> None:
        """Follow discovery at another address, from its whole list on: it may count in its own way."""
        self._seq, self._moved = 0, True
        self._place.move(discovery)

    async def told(self, within_s: float) -> None:
        """Wait for the first answer, for so long at most. At once where calls are spread."""
        if self._couriers <= 1:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._answered.wait(), within_s)

    async def run(self) -> None:
        """Watch, and begin again from the last version whenever a watch ends."""
        loop, lasted_s = asyncio.get_running_loop(), 0.0
        while True:
            await asyncio.sleep(wait_s(self._couriers, self._failures, self._rng, lasted_s))
            began_s, self._moved = loop.time(), False
            try:
                await self._follow()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
                log.info("discovery: watch ended: %.200r", error)
            self._failures = 0 if self._moved else self._failures + 1  # in a row, with this one
            lasted_s = loop.time() - began_s

    async def _follow(self) -> None:
        limits = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=_SILENT_S)
        params = {"watch": "1", "after": str(self._seq)}
        if self.account is not None:
            self.account.lists += 1
        async with self._place.exchange() as url, self._http.get(
                url, params=params, timeout=limits, read_bufsize=_MOST_LINE) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            while line := await answer.content.readline():
                self._failures = 0
                if line.strip():
                    self._take(line)
                self._answered.set()

    def _take(self, line: bytes) -> None:
        data = json.loads(line)
        if not isinstance(data, dict) or not isinstance(data.get("seq"), int):
            raise ValueError(f"no list: {line[:80]!r}")
        whole = bool(data.get("whole"))
        if not whole and data["seq"] <= self._seq:
            return  # known already
        rows = entries(data, self._names)
        self._seq = data["seq"]
        self._listed(api.ListKind.WHOLE if whole else api.ListKind.CHANGES, rows)


class Notices:
    """Tells the platform of every message that ended undelivered, again and again until it is answered."""

    def __init__(self, http: aiohttp.ClientSession, discovery: Address,
                 answered: Callable[[list[str]], None]) -> None:
        self._http, self._answered = http, answered
        self._place = _Place(discovery, "/v1/outcomes")
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
