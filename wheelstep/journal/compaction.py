"""Compaction: copies what the oldest segment still holds into the newest, so that the oldest can be removed.

Runs in slices between turns of the event loop, and at once when a client's message needs space. Base of
`journal.Journal`.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.durability import SyncPolicy
from wheelstep.journal.segments import BLOCK, Segment, segment_file_name
from wheelstep.journal.state import State, StoredMessage
from wheelstep.journal.writing import Writer

_COPY_SLACK = 4096  # a copy may be slightly longer than the records it replaces
_COPY_BYTES = 16 * 1024  # bytes of copies in one write
_RETRY_AFTER_S = 1.0
_URGENT_BUDGET_S = 0.004  # time limit for freeing space while a client waits

log = logging.getLogger("wheelstep.journal")


class Compactor(Writer):
    """Tracks which segment holds which message and fact, and reclaims the space of obsolete records."""

    _state: State  # set when the folder is opened
    _fact_segments: dict[str, int]

    def __init__(self, disk: Disk, limit_bytes: int, sync: SyncPolicy, wait_s: float,
                 clock: Callable[[], float]) -> None:
        super().__init__(disk, limit_bytes, sync, wait_s, clock)
        self._retry_at = float("-inf")  # after a failure, no compaction before this time
        self._uncopied: list[str] = []  # messages of the segment being copied that were not examined yet
        self._source_number: int | None = None  # number of the segment being copied forward

    def wants_compaction(self) -> bool:
        """Return whether there is enough garbage for compaction to be worthwhile."""
        if len(self._log.segments) < 2 or self._pending_removals or self._clock() < self._retry_at:
            return False
        if self._source_number is not None:
            return True
        garbage = self._log.used - self._state.live
        nearly_full = self._log.used > self._limit_bytes * 3 // 4
        return garbage > (2 * self._log.target_bytes if nearly_full
                          else max(self._state.live, 4 * self._log.target_bytes))

    def compact(self, budget_s: float) -> bool:
        """Copy records of the oldest segment forward for about `budget_s` seconds, and remove it once it holds nothing.

        Returns whether anything was done. Appends in between stay possible.
        """
        if len(self._log.segments) < 2 or self._pending_removals or self._clock() < self._retry_at:
            return False
        oldest = self._log.segments[0]
        if self._source_number != oldest.number:
            # A list of names: removing from the front of a dict leaves holes that every later lookup would skip again.
            self._source_number, self._uncopied = oldest.number, list(oldest.messages)
        end = self._clock() + budget_s
        try:
            if not oldest.messages and not oldest.facts:
                self._release_segment(oldest)
                self._source_number = None
            while oldest.messages or oldest.facts:
                self._copy_batch(oldest)
                if self._clock() >= end:
                    break
        except OSError as error:
            self._source_number, self._retry_at = None, self._clock() + _RETRY_AFTER_S
            log.warning("journal: could not copy records of %s forward: %s", segment_file_name(oldest.number), error)
            return False
        return True

    def _copy_batch(self, oldest: Segment) -> None:
        """Copy one write's worth of records. Raises `OSError`."""
        messages: list[StoredMessage] = []
        facts: list[str] = []
        parts: list[bytes] = []
        size = 0
        while self._uncopied and size < _COPY_BYTES:
            name = self._uncopied.pop()
            if name in oldest.messages:
                message = self._state.messages[name]
                parts.append(codec.take(message))
                messages.append(message)
                size += len(parts[-1])
        if not self._uncopied:
            for name in oldest.facts:
                parts.append(codec.fact(name, self._state.marks[name]))
                facts.append(name)
        if not parts:
            return
        if self._log.used + sum(map(len, parts)) + 2 * BLOCK > self._limit_bytes:
            self._source_number = None
            raise OSError(errno.ENOSPC, "no space to copy records forward")
        segment = self._append(b"".join(parts))
        for message in messages:
            self.assign_segment(message, segment)
        for name in facts:
            self.assign_fact(name, segment)

    def _release_segment(self, oldest: Segment) -> None:
        """Remove a segment that is no longer needed; under `SyncPolicy.GROUP` only once the copies are synced."""
        if self._sync is SyncPolicy.GROUP and self._synced < self._log.written:
            self._pending_removals.append((self._log.written, oldest.number))
        else:
            self._remove_oldest()

    def compact_all(self) -> None:
        """Copy all live records into new segments and remove all others. Raises `OSError`."""
        self._log.roll()
        self._segments_by_number[self._log.head.number] = self._log.head
        first = self._log.head.number
        while self._log.segments[0].number < first:
            if not self.compact(1.0):
                raise OSError(errno.EIO, self._write_error or "could not copy records forward")
            if self._pending_removals:
                self.sync_now()
        self.sync_now()

    async def run_compaction(self, budget_s: float = 0.001, rest_s: float = 0.003) -> None:
        """Run compaction in slices between turns of the event loop, whenever it is worthwhile, and write what was
        deferred once the disk takes it. Never returns."""
        while True:
            if self._deferred:
                self._deferred.write()
            if self.wants_compaction():
                self.compact(budget_s)
                if self._pending_removals:
                    await self.durable()
                await asyncio.sleep(rest_s)
            else:
                await asyncio.sleep(0.05)

    def _make_room(self, size: int, spare: int) -> bool:
        """Return whether `size` more bytes fit, after compacting for a short time until `spare` bytes more are free."""
        end = self._clock() + _URGENT_BUDGET_S
        needed = size + 2 * BLOCK
        while (self._log.used + needed + spare > self._limit_bytes and self._clock() < end
               and self._log.used - self._state.live >= self._log.target_bytes and self.compact(_URGENT_BUDGET_S)):
            pass
        return self._log.used + needed <= self._limit_bytes

    def _copy_reserve(self) -> int:
        """Return the bytes that copying the oldest segment forward may take."""
        return self._log.segments[0].size + min(_COPY_SLACK, self._log.target_bytes) if self._log.segments else 0

    def _remove_from_segment(self, message: StoredMessage) -> None:
        """Remove a message from the index of its segment."""
        if (segment := self._segments_by_number.get(message.segment_number)) is not None:
            segment.messages.pop(message.id, None)

    def assign_segment(self, message: StoredMessage, segment: Segment) -> None:
        """Record that a message's current full record is in this segment."""
        self._remove_from_segment(message)
        message.segment_number = segment.number
        segment.messages[message.id] = None

    def assign_fact(self, name: str, segment: Segment) -> None:
        """Record that a fact's current record is in this segment."""
        self.remove_fact(name)
        segment.facts[name] = None
        self._fact_segments[name] = segment.number

    def remove_fact(self, name: str) -> None:
        """Remove a fact from the index of its segment."""
        if (number := self._fact_segments.pop(name, None)) is not None:
            self._segments_by_number[number].facts.pop(name, None)
