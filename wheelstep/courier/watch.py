"""The watch on discovery's list."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp

from wheelstep import interface as api
from wheelstep.courier.config import Address, Names
from wheelstep.courier.listing import entries
from wheelstep.courier.place import Place
from wheelstep.courier.spread import wait_s

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.account.writer import Account

_SILENT_S = 4.5  # a watch says something every 2 s, and changes count as told after 6 s
_MOST_LINE = 1 << 20  # bytes of a line of the list

log = logging.getLogger(__name__)

Listed = Callable[[api.ListKind, list[tuple[api.EndpointInfo, Address]]], None]


class Watch:
    """Follows discovery for good: through silence, garbage and broken connections. The seed spreads the calls of
    `couriers` (see `spread.callers`) that lost it at the same moment."""

    def __init__(self, http: aiohttp.ClientSession, discovery: Address, names: Names, seq: int,
                 listed: Listed, couriers: int = 1, seed: int = 0) -> None:
        self._http, self._names, self._listed, self._seq = http, names, listed, seq
        self._couriers, self._rng, self._failures = couriers, random.Random(f"watch {seed}"), 0
        self._place, self._moved = Place(discovery, "/v1/servers"), False
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
