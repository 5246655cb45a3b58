"""The watch on discovery's list."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp

from wheelstep import interface as api
from wheelstep.courier.config import Address, Names
from wheelstep.courier.hedge import Hedge
from wheelstep.courier.listing import MOST_BYTES, Listing, entries

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account

_NO_LIMIT = aiohttp.ClientTimeout(total=None, sock_connect=None)  # `Hedge` ends what says nothing, at every step alike
_FRESH_S = 0.001  # an ended watch leaves no connection for the next: one that is silent would be silent there too

log = logging.getLogger(__name__)

Entries = Callable[[Mapping[str, Any], Names], list[Any]]
Listed = Callable[[api.ListKind, list[Any]], None]
"""What comes of a list: its rows as `Reading.entries` gives them, which are a courier's rows unless said otherwise."""


@dataclass(frozen=True, slots=True)
class Reading:
    """How lists are read: the most bytes of one, one's bytes to an object, and that to rows. Both raise
    `ValueError`."""

    most_bytes: int = MOST_BYTES
    loads: Callable[[bytearray], dict[str, Any]] = json.loads
    entries: Entries = entries


_READING = Reading()


class Watch:
    """Follows discovery for good: through silence, garbage and broken connections. The seed spreads the calls of
    `couriers` (see `spread.callers`) that lost it at the same moment; `most_s`: see `spread.longest_s`."""

    def __init__(self, discovery: Address, names: Names, seq: int, listed: Listed, couriers: int = 1, seed: int = 0,
                 most_s: float = math.inf, reading: Reading = _READING) -> None:
        self._discovery, self._names, self._listed, self._seq = discovery, names, listed, seq
        self._couriers, self._rng, self._most_s = couriers, random.Random(f"watch {seed}"), most_s
        self._reading = reading
        self._hedge: Hedge | None = None
        self._open: dict[int, asyncio.Task[None]] = {}
        self._answered, self._sooner = asyncio.Event(), asyncio.Event()
        self.account: Account | None = None

    @property
    def seq(self) -> int:
        """The version of the list that is known."""
        return self._seq

    def move(self, discovery: Address) -> None:
        """Follow discovery at another address, from its whole list on: it may count in its own way. Nothing that
        the one before still says is heard, however much of it has come."""
        self._seq, self._discovery = 0, discovery
        if self._hedge is not None:
            self._end(self._hedge.move(asyncio.get_running_loop().time()))
            self._sooner.set()

    async def told(self, within_s: float) -> None:
        """Wait for the first answer, for so long at most. At once where calls are spread."""
        if self._couriers <= 1:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._answered.wait(), within_s)

    async def run(self) -> None:
        """Watch, and begin again from the last version whenever a watch ends or says nothing."""
        loop = asyncio.get_running_loop()
        self._hedge = hedge = Hedge(self._couriers, self._rng, loop.time(), self._most_s)
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(keepalive_timeout=_FRESH_S),
                                         auto_decompress=False, trust_env=False) as http, asyncio.TaskGroup() as group:
            while True:
                while (left_s := hedge.due_s - loop.time()) > 0:  # a line that came meanwhile has moved it on
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._sooner.wait(), left_s)
                    self._sooner.clear()
                if self._open:
                    log.info("discovery: a watch says nothing, the next is opened beside it")
                number, ended = hedge.begin(loop.time())
                self._end(ended)
                if self.account is not None:
                    self.account.lists += 1
                self._open[number] = group.create_task(self._follow(http, number, hedge))

    def _end(self, numbers: list[int]) -> None:
        for number in numbers:
            if (task := self._open.pop(number, None)) is not None:
                task.cancel()

    async def _follow(self, http: aiohttp.ClientSession, number: int, hedge: Hedge) -> None:
        loop, url = asyncio.get_running_loop(), f"http://{self._discovery.host}:{self._discovery.port}/v1/servers"
        params = {"watch": "1", "after": str(self._seq)}
        try:
            async with http.get(url, params=params, timeout=_NO_LIMIT) as answer:
                if answer.status != 200:
                    raise ValueError(f"status {answer.status}")
                listing = Listing(self._reading.most_bytes, self._reading.loads)
                async for data in answer.content.iter_any():
                    for found in listing.feed(data):
                        self._end(hedge.spoke(number, loop.time()))
                        if found is not None:
                            self._take(found)
                        self._answered.set()
                        if number not in hedge:  # what it said has moved discovery
                            return
                raise ValueError("the connection ended")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            log.info("discovery: watch ended: %.200r", error)
        self._open.pop(number, None)
        hedge.ended(number, loop.time())
        self._sooner.set()

    def _take(self, data: Mapping[str, Any]) -> None:
        if not isinstance(data.get("seq"), int):
            raise ValueError(f"no list: {str(data)[:80]!r}")
        whole = bool(data.get("whole"))
        if not whole and data["seq"] <= self._seq:
            return  # known already
        rows = self._reading.entries(data, self._names)
        self._seq = data["seq"]
        self._listed(api.ListKind.WHOLE if whole else api.ListKind.CHANGES, rows)
