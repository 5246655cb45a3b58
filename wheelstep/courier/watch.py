"""Watches discovery's list of endpoints."""

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

from wheelstep import interface as api
from wheelstep.courier.config import Address, Names
from wheelstep.courier.hedge import Hedge
from wheelstep.courier.http_stream import StreamError, request_stream
from wheelstep.courier.listing import MAX_BYTES, ListParser, entries

if TYPE_CHECKING:  # optional features are imported only when enabled
    from wheelstep.account.writer import AccountWriter

log = logging.getLogger(__name__)

EntryReader = Callable[[Mapping[str, Any], Names], list[Any]]
OnList = Callable[[api.ListKind, list[Any]], None]
"""Receives a list's rows as `ListFormat.entries` returns them: a courier's rows by default."""


@dataclass(frozen=True, slots=True)
class ListFormat:
    """How lists are parsed: the size limit of one, and functions from its bytes to an object and from that to rows.
    Both functions raise `ValueError`."""

    max_bytes: int = MAX_BYTES
    loads: Callable[[bytearray], dict[str, Any]] = json.loads
    entries: EntryReader = entries


_DEFAULT_READING = ListFormat()


class Watch:
    """Follows discovery indefinitely, through silence, invalid data and broken connections.

    The seed spreads the calls of `couriers` couriers (see `spread.calling_couriers`) that lost discovery at the same
    moment; `max_s`: see `spread.max_retry_s`.
    """

    def __init__(self, discovery: Address, names: Names, seq: int, on_list: OnList, couriers: int = 1, seed: int = 0,
                 max_s: float = math.inf, list_format: ListFormat = _DEFAULT_READING) -> None:
        self._discovery, self._names, self._on_list, self._seq = discovery, names, on_list, seq
        self._couriers, self._rng, self._most_s = couriers, random.Random(f"watch {seed}"), max_s
        self._reading = list_format
        self._hedge: Hedge | None = None
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._first_answer, self._rescheduled = asyncio.Event(), asyncio.Event()
        self.account: AccountWriter | None = None

    @property
    def seq(self) -> int:
        """The version of the known list."""
        return self._seq

    def move(self, discovery: Address) -> None:
        """Follow discovery at another address, starting with its whole list, as it may number versions differently.
        Anything still received from the old address is ignored."""
        self._seq, self._discovery = 0, discovery
        if self._hedge is not None:
            self._cancel(self._hedge.move(asyncio.get_running_loop().time()))
            self._rescheduled.set()

    async def wait_first_answer(self, within_s: float) -> None:
        """Wait for the first answer, for `within_s` at most; a time-out raises nothing. Returns at once where calls are
        spread, or any answer came before."""
        if self._couriers <= 1:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._first_answer.wait(), within_s)

    async def heard(self, call: Callable[[], None]) -> None:
        """Call once discovery has answered on any watch: a list, changes, or that there is nothing new."""
        await self._first_answer.wait()
        call()

    async def run(self) -> None:
        """Keep a watch open; open another from the last version whenever one ends or is silent."""
        loop = asyncio.get_running_loop()
        self._hedge = hedge = Hedge(self._couriers, self._rng, loop.time(), self._most_s)
        async with asyncio.TaskGroup() as group:
            while True:
                while (left_s := hedge.next_open_s - loop.time()) > 0:  # a line received meanwhile postpones it
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._rescheduled.wait(), left_s)
                    self._rescheduled.clear()
                if self._tasks:
                    log.info("discovery: a watch is silent, another is opened beside it")
                number, ended = hedge.open_next(loop.time())
                self._cancel(ended)
                if self.account is not None:
                    self.account.lists += 1
                self._tasks[number] = group.create_task(self._follow(number, hedge))

    def _cancel(self, numbers: list[int]) -> None:
        for number in numbers:
            if (task := self._tasks.pop(number, None)) is not None:
                task.cancel()

    async def _follow(self, number: int, hedge: Hedge) -> None:
        """Read one watch until it ends. There is no time limit: `Hedge` ends silent watches, at every step alike. None
        of their connections is used again, as a silent one would stay silent."""
        loop, path = asyncio.get_running_loop(), f"/v1/servers?watch=1&after={self._seq}"
        try:
            async with request_stream(self._discovery, "GET", path) as answer:
                if (status := await answer.read_head()) != 200:
                    raise ValueError(f"expected status 200, found {status}")
                listing = ListParser(self._reading.max_bytes, self._reading.loads)
                newest = None  # version of the newest list on this watch
                while data := await answer.read():
                    for found in listing.feed(data):
                        self._cancel(hedge.received(number, loop.time()))
                        if found is not None:
                            newest = self._apply_list(found, newest)
                        self._first_answer.set()
                        if number not in hedge:  # the list itself has moved discovery
                            return
                raise ValueError("discovery closed the connection")
        except (StreamError, OSError, TimeoutError, ValueError, RecursionError) as error:
            log.info("discovery: watch ended: %.200r", error)
        self._tasks.pop(number, None)
        hedge.ended(number, loop.time())
        self._rescheduled.set()

    def _apply_list(self, data: Mapping[str, Any], newest: int | None = None) -> int:
        """Apply a list unless it is known already. Return the version of the newest list on its watch, which was
        `newest` before. On one watch versions only rise: an older list is a second copy, and would undo what followed
        it. A whole list on another watch may be older, as discovery may have lost its state."""
        seq = data.get("seq")
        if not isinstance(seq, int):
            raise ValueError(f"a list without an integer seq: {str(data)[:80]!r}")
        whole = bool(data.get("whole"))
        if newest is not None and seq <= newest:
            log.info("discovery: passed over list %d after %d on the same watch", seq, newest)
            return newest
        if whole or seq > self._seq:
            rows = self._reading.entries(data, self._names)
            self._seq = seq
            self._on_list(api.ListKind.WHOLE if whole else api.ListKind.CHANGES, rows)
        return seq
