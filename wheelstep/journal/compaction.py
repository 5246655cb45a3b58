"""Copying forward: what the oldest segment still holds goes to the newest, so that the oldest may go.

In slices between turns of the loop, and in a hurry while a client waits for room. Beneath `journal.Journal`.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.promise import Sync
from wheelstep.journal.segments import BLOCK, Segment, name_of
from wheelstep.journal.state import State, Stored
from wheelstep.journal.writing import Writer

_COPY_SLACK = 4096  # a copy may be a little longer than the records that it stands for
_COPY_BYTES = 16 * 1024  # of copies go into one write
_AFTER_FAILURE_S = 1.0
_EMERGENCY_S = 0.004  # for making room while a client waits

log = logging.getLogger("wheelstep.journal")


class Compactor(Writer):
    """Which segment holds what, and the room that garbage takes."""

    _state: State  # whoever opens the folder sets both
    _fact_home: dict[str, int]

    def __init__(self, disk: Disk, limit_bytes: int, sync: Sync, wait_s: float, clock: Callable[[], float]) -> None:
        super().__init__(disk, limit_bytes, sync, wait_s, clock)
        self._rested = float("-inf")  # no compaction before this: the last one failed
        self._queue: list[str] = []  # of its messages, those that were not looked at yet
        self._copied: int | None = None  # the segment that is being copied forward

    def wants_compaction(self) -> bool:
        """Is there enough garbage to be worth the work?"""
        if len(self._log.segments) < 2 or self._drops or self._clock() < self._rested:
            return False
        if self._copied is not None:
            return True
        garbage = self._log.used - self._state.live
        tight = self._log.used > self._limit * 3 // 4
        return garbage > (2 * self._log.target if tight else max(self._state.live, 4 * self._log.target))

    def compact(self, budget_s: float) -> bool:
        """Copy forward what the oldest segment holds whole, for so long at most; the segment goes once nothing is left
        in it. True if something was done. What is appended meanwhile goes on as ever."""
        if len(self._log.segments) < 2 or self._drops or self._clock() < self._rested:
            return False
        oldest = self._log.segments[0]
        if self._copied != oldest.number:
            # Names in a list: popping from the front of a dict leaves holes that each look would pass over again.
            self._copied, self._queue = oldest.number, list(oldest.messages)
        end = self._clock() + budget_s
        try:
            if not oldest.messages and not oldest.facts:
                self._retire(oldest)
                self._copied = None
            while oldest.messages or oldest.facts:
                self._copy(oldest)
                if self._clock() >= end:
                    break
        except OSError as error:
            self._copied, self._rested = None, self._clock() + _AFTER_FAILURE_S
            log.warning("journal: could not copy %s forward: %s", name_of(oldest.number), error)
            return False
        return True

    def _copy(self, oldest: Segment) -> None:
        """One write's worth."""
        messages: list[Stored] = []
        facts: list[str] = []
        parts: list[bytes] = []
        size = 0
        while self._queue and size < _COPY_BYTES:
            name = self._queue.pop()
            if name in oldest.messages:
                message = self._state.messages[name]
                parts.append(codec.take(message))
                messages.append(message)
                size += len(parts[-1])
        if not self._queue:
            for name in oldest.facts:
                parts.append(codec.fact(name, self._state.marks[name]))
                facts.append(name)
        if not parts:
            return
        if self._log.used + sum(map(len, parts)) + 2 * BLOCK > self._limit:
            self._copied = None
            raise OSError(errno.ENOSPC, "no room for a copy")
        segment = self._append(b"".join(parts))
        for message in messages:
            self._move(message, segment)
        for name in facts:
            oldest.facts.pop(name, None)
            segment.facts[name] = None
            self._fact_home[name] = segment.number

    def _retire(self, oldest: Segment) -> None:
        """Nothing needs it. Under a sync policy it goes only once the copies are synced."""
        if self._sync is Sync.GROUP and self._synced < self._log.written:
            self._drops.append((self._log.written, oldest.number))
        else:
            self._drop()

    def compact_all(self) -> None:
        """Copy all that is live into new segments and drop every other one. Raises `OSError`."""
        self._log.roll()
        self._by_number[self._log.head.number] = self._log.head
        first = self._log.head.number
        while self._log.segments[0].number < first:
            if not self.compact(1.0):
                raise OSError(errno.EIO, self._trouble or "could not copy forward")
            if self._drops:
                self.sync_now()
        self.sync_now()

    async def compact_for_good(self, budget_s: float = 0.001, rest_s: float = 0.003) -> None:
        """Compact in slices between turns of the loop, whenever it is worth it."""
        while True:
            if self.wants_compaction():
                self.compact(budget_s)
                if self._drops:
                    await self.durable()
                await asyncio.sleep(rest_s)
            else:
                await asyncio.sleep(0.05)

    def _room(self, size: int, spare: int) -> bool:
        """Is there room for so many bytes? Copies forward in a hurry until `spare` is left besides, if it can."""
        end = self._clock() + _EMERGENCY_S
        need = size + 2 * BLOCK
        while (self._log.used + need + spare > self._limit and self._clock() < end
               and self._log.used - self._state.live >= self._log.target and self.compact(_EMERGENCY_S)):
            pass
        return self._log.used + need <= self._limit

    def _copy_room(self) -> int:
        """What copying the oldest segment forward may take."""
        return self._log.segments[0].size + min(_COPY_SLACK, self._log.target) if self._log.segments else 0

    def _leave(self, message: Stored) -> None:
        if (segment := self._by_number.get(message.home)) is not None:
            segment.messages.pop(message.id, None)

    def _move(self, message: Stored, segment: Segment) -> None:
        self._leave(message)
        message.home = segment.number
        segment.messages[message.id] = None
