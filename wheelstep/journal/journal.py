"""What the daemon uses: the state in memory and the log on disk, kept alike.

Order: a message is written before it is answered, an attempt before its first byte; what has happened already
(outcomes, ends) is applied first and written as soon as the disk takes it. The disk's limit is never passed: new
messages leave a reserve to the outcomes of those that were taken on, and room to copy the oldest segment forward.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import time
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

from wheelstep.journal import codec, recovery
from wheelstep.journal.disk import Disk, Folder
from wheelstep.journal.segments import BLOCK, Log, Segment, name_of
from wheelstep.journal.state import Stored

_LEAST_SEGMENT, _MOST_SEGMENT = 64 * 1024, 4 * 1024 * 1024
_MOST_RESERVE = 192 * 1024
_COPY_SLACK = 4096  # a copy may be a little longer than the records that it stands for
_COPY_BYTES = 16 * 1024  # of copies go into one write
_AFTER_FAILURE_S = 1.0
_EMERGENCY_S = 0.004  # for making room while a client waits

log = logging.getLogger("wheelstep.journal")


class NoRoomError(Exception):
    """The folder can't take this message: it is full, or in trouble."""


class FolderInUseError(Exception):
    """Another process has the folder."""


class Sync(StrEnum):
    """When what is written is also synced."""

    NONE = "none"  # written is kept over the process's end
    GROUP = "group"  # one sync for all that wait
    EACH = "each"  # after every record


class Journal:
    """The journal in one folder. Raises `FolderInUseError`, `recovery.FormatError` or `OSError` when it is opened."""

    def __init__(self, folder: Path | Disk, limit_bytes: int, sync: Sync = Sync.NONE,
                 wait_s: float = 1.0, segment_bytes: int = 0,
                 clock: Callable[[], float] = time.perf_counter) -> None:
        self._disk: Disk = Folder(folder) if isinstance(folder, Path) else folder
        self._limit, self._sync, self._wait_s, self._clock = limit_bytes, sync, wait_s, clock
        self._reserve = min(_MOST_RESERVE, limit_bytes // 24)
        self._target = segment_bytes or min(max(_LEAST_SEGMENT, min(_MOST_SEGMENT, limit_bytes // 48)),
                                            limit_bytes // 8)
        # Below this much room, appends look closer: what the longest record and copying any segment may take.
        self._careful = 2 * (self._target + codec.OVERHEAD) + 3 * 64 * 1024
        self._behind: dict[str, None] = {}  # messages and facts that memory knows better than the disk
        self._trouble = ""  # what the disk said when it began
        self._closed = False
        self._distrusted = False  # a sync has failed: nothing new is taken on until the next start
        self._synced = 0  # bytes that a sync has covered
        self._drops: list[tuple[int, int]] = []  # once so many bytes are synced, this segment goes
        self._syncing: asyncio.Task[None] | None = None
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []  # up to which byte each waits
        self._rested = float("-inf")  # no compaction before this: the last one failed
        self._queue: list[str] = []  # of its messages, those that were not looked at yet
        self._copied: int | None = None  # the segment that is being copied forward
        if not self._disk.lock():
            raise FolderInUseError("another process has the journal's folder")
        try:
            self._open()
        except BaseException:
            self._disk.unlock()
            raise

    def _open(self) -> None:
        found = recovery.read(self._disk)
        if found.torn is not None:
            log.warning("journal: dropped %d bytes of a torn record at the end of %s, from byte %d",
                        found.torn.stop - found.torn.start, found.torn.file, found.torn.start)
        for damage in found.damage:
            log.error("journal: %s is damaged from byte %d to %d", damage.file, damage.start, damage.stop)
        if found.damage:
            log.error("journal: %d messages count as ones that may have run, %d lost their text and fail",
                      len(found.doubted & set(found.state.messages)), len(found.bereft))
        recovery.mend(self._disk, found)
        self._state = found.state
        self._log = Log(self._disk, self._target, self._sync is not Sync.NONE)
        self._by_number = {segment.number: segment for segment in found.segments}
        self._fact_home = found.fact_home
        self._log.adopt(found.segments)
        if found.old is not None:
            self._take_over(found.old_print)
        if found.bereft:
            self._rewrite(found.bereft)

    def _take_over(self, old_print: str) -> None:
        """Put what a journal of the old format holds into a segment, under another name until it is whole."""
        number = self._log.head.number + 1 if self._log.segments else 1
        low = self._log.segments[0].number if self._log.segments else number
        before = self._log.head.size if self._log.segments else 0
        data = codec.header(codec.Header(number, low, before, old_print))
        parts = [data]
        for message in self._state.messages.values():
            if not message.home:
                parts.append(codec.take(message))
        for name, value in self._state.marks.items():
            if name not in self._fact_home:
                parts.append(codec.fact(name, value))
        data = b"".join(parts)
        handle = self._disk.create(recovery.TAKEOVER)
        try:
            done = 0
            while done < len(data):
                done += self._disk.write(handle, data[done:])
            self._disk.sync(handle)
        finally:
            self._disk.close(handle)
        self._disk.rename(recovery.TAKEOVER, name_of(number))
        self._disk.sync_folder()
        self._disk.unlink(recovery.OLD_LOG)
        self._disk.sync_folder()
        segment = Segment(number, len(data))
        for message in self._state.messages.values():
            if not message.home:
                message.home = number
                segment.messages[message.id] = None
        for name in self._state.marks:
            if name not in self._fact_home:
                self._fact_home[name] = number
                segment.facts[name] = None
        self._by_number[number] = segment
        self._log.adopt([*self._log.segments, segment])
        log.info("journal: took over %d messages of the old format", len(segment.messages))

    def _rewrite(self, names: set[str]) -> None:
        """Messages that recovery made of remains stand in no segment yet."""
        for name in names:
            if name in self._state.messages:
                self._behind[name] = None
        self._catch_up()

    # --- what is held ---

    @property
    def messages(self) -> dict[str, Stored]:
        """All messages that are owed something, in the order in which they were taken on."""
        return self._state.messages

    @property
    def marks(self) -> dict[str, Any]:
        """Small facts by name."""
        return self._state.marks

    @property
    def used(self) -> int:
        """Bytes on disk, each file in whole blocks."""
        return self._log.used

    @property
    def live(self) -> int:
        """About the bytes that would be left if nothing were garbage."""
        return self._state.live

    @property
    def segments(self) -> int:
        """How many files there are."""
        return len(self._log.segments)

    @property
    def waits(self) -> bool:
        """Does `durable` ever wait?"""
        return self._sync is Sync.GROUP

    def close(self) -> None:
        """Give all handles and the folder back. With a sync policy, what is written is synced first."""
        try:
            if self._sync is not Sync.NONE and not self._distrusted:
                self.sync_now()
        except OSError as error:
            self._distrust(error)
        self._closed = True
        self._log.close()
        self._disk.unlock()

    # --- what happens ---

    def take(self, message: Stored) -> None:
        """Take a message on, or raise `NoRoomError` with nothing changed."""
        if self._closed:
            raise NoRoomError("the journal is closed")
        if self._distrusted:
            raise NoRoomError("a sync has failed: nothing new is taken on until the next start")
        known = self._state.messages.get(message.id)
        message.seq = self._state.next_seq if known is None else known.seq
        record = codec.take(message)
        if self._state.live + len(record) + self._reserve + self._log.target > self._limit:
            raise NoRoomError(f"{self._state.live} bytes live of {self._limit}")
        if (self._log.used + len(record) + self._reserve + self._careful > self._limit
                and not self._room(len(record) + self._reserve + self._copy_room(), 0)):
            raise NoRoomError(f"{self._log.used} bytes used of {self._limit}")
        if self._behind and not self._catch_up():
            raise NoRoomError(self._trouble)
        try:
            segment = self._append(record)
        except OSError as error:
            raise NoRoomError(str(error)) from error
        if self._distrusted and known is None:  # its own sync has failed: it is written, and must be over
            self._note(message.id, codec.over(message.id))
            raise NoRoomError("a sync has failed: nothing new is taken on until the next start")
        if known is not None:
            self._leave(known)
        message.home = segment.number
        segment.messages[message.id] = None
        self._state.take(message)

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """An attempt is about to be written to its endpoint; `OSError` if this can't be written first."""
        if message in self._behind and not self._catch_up():
            raise OSError(errno.EIO, self._trouble)
        self._append_reserved(codec.attempt(message, number, at_ms, endpoint))
        self._state.attempt(message, number, at_ms, endpoint)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """An attempt has ended, and the message goes on."""
        if self._state.outcome(message, number, may_have_run):
            self._note(message, codec.outcome(message, number, may_have_run))

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """The final answer is decided; the platform is still to hear it."""
        if self._state.end(message, outcome, retry_ms):
            self._note(message, codec.end(message, outcome, retry_ms))

    def over(self, message: str) -> None:
        """Delivered, withdrawn, or its notice was answered: nothing more is owed."""
        gone = self._state.over(message)
        if gone is not None:
            self._leave(gone)
            self._note(message, codec.over(message))

    def mark(self, name: str, value: Any) -> None:
        """Remember a small fact; None forgets it."""
        if value is None and name not in self._state.marks:
            return
        self._state.mark(name, value)
        if (home := self._fact_home.pop(name, None)) is not None:
            self._by_number[home].facts.pop(name, None)
        try:
            segment = self._append_reserved(codec.fact(name, value))
        except OSError:
            return  # a fact is no debt: the next one of its name replaces it
        if value is not None:
            segment.facts[name] = None
            self._fact_home[name] = segment.number

    def _note(self, name: str, record: bytes) -> None:
        """Write what has happened already. Guards against a full or broken disk: the process goes on with what it
        knows, and a replay would know less and take an attempt for one that may have run."""
        if self._behind:
            self._behind[name] = None
            self._catch_up()
            return
        try:
            self._append_reserved(record)
        except OSError:
            self._behind[name] = None

    def _catch_up(self) -> bool:
        """Write what the disk did not take; True once all is written."""
        try:
            for name in list(self._behind):
                message = self._state.messages.get(name)
                if message is None:
                    self._append_reserved(codec.over(name))
                else:
                    segment = self._append_reserved(codec.take(message))
                    self._move(message, segment)
                del self._behind[name]
        except OSError:
            return False
        return True

    def _leave(self, message: Stored) -> None:
        if (segment := self._by_number.get(message.home)) is not None:
            segment.messages.pop(message.id, None)

    def _move(self, message: Stored, segment: Segment) -> None:
        self._leave(message)
        message.home = segment.number
        segment.messages[message.id] = None

    # --- writing ---

    def _append_reserved(self, record: bytes) -> Segment:
        """Append what may use the reserve; the room for copies forward is touched last, since they make room."""
        if self._log.used + self._careful > self._limit and not self._room(len(record), self._copy_room()):
            error = OSError(errno.ENOSPC, f"{self._log.used} bytes used of {self._limit}")
            self._in_trouble(error)
            raise error
        return self._append(record)

    def _append(self, record: bytes) -> Segment:
        log_ = self._log
        try:
            segment = log_.append(record)
        except OSError as error:
            self._in_trouble(error)
            raise
        finally:  # also a segment that was begun though nothing more could be written to it
            if log_.segments and log_.segments[-1].number not in self._by_number:
                self._by_number[log_.segments[-1].number] = log_.segments[-1]
        if self._sync is Sync.EACH and not self._distrusted:
            with contextlib.suppress(OSError):  # it is written: what is owed goes on, nothing new is taken on
                self.sync_now()
        if self._trouble and not self._behind:
            log.warning("journal: writes again, after: %s", self._trouble)
            self._trouble = ""
        return segment

    def _in_trouble(self, error: OSError) -> None:
        """Said once, when it begins."""
        if not self._trouble:
            log.error("journal: can't write: %s; new messages are turned away", error)
            self._trouble = str(error)

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

    # --- compaction ---

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

    def _drop(self) -> None:
        """Say that it counts no more, and remove it. Guards against a power loss that keeps this record and loses the
        copies before it: they are synced by now. Its removal is synced with what is written next, before another."""
        number = self._log.segments[0].number
        self._append(codec.low(number + 1))
        self._log.drop_oldest()
        del self._by_number[number]

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

    # --- syncing ---

    def sync_now(self) -> None:
        """Sync all that is written, here and now. Raises `OSError`; then nothing new is taken on any more."""
        handles, folder, upto = self._log.begin_sync()
        try:
            for handle in handles:
                self._disk.sync(handle)
            if folder:
                self._disk.sync_folder()
        except OSError as error:
            self._log.end_sync()
            self._distrust(error)
            raise
        self._log.end_sync()
        self._have_synced(upto)

    def _have_synced(self, upto: int) -> None:
        self._synced = max(self._synced, upto)
        while self._drops and self._drops[0][0] <= self._synced:
            self._drops.pop(0)
            try:
                self._drop()
            except OSError as error:
                log.warning("journal: could not remove a segment: %s", error)

    def _distrust(self, error: OSError) -> None:
        """A failed sync may have lost any byte since the one before, and a second one may claim that all is well."""
        if not self._distrusted:
            self._distrusted = True
            log.error("journal: a sync has failed: %s; nothing new is taken on until the next start", error)

    async def durable(self) -> None:
        """Wait until what was written so far outlasts what the policy promises. Raises `NoRoomError` if that takes
        longer than the policy's bound, or can't be had."""
        if self._sync is not Sync.GROUP or self._synced >= self._log.written:
            return
        if self._distrusted:
            raise NoRoomError("a sync has failed")
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((self._log.written, waiter))
        if self._syncing is None or self._syncing.done():
            self._syncing = asyncio.create_task(self._sync_together())
        await waiter

    async def _sync_together(self) -> None:
        """One sync after another, off the loop, each for all that wait by then; until nobody waits."""
        loop = asyncio.get_running_loop()
        while self._waiters:
            await asyncio.sleep(0)  # whoever is ready in this turn still comes along
            handles, folder, upto = self._log.begin_sync()

            def work(handles: list[int] = handles, folder: bool = folder) -> None:
                for handle in handles:
                    self._disk.sync(handle)
                if folder:
                    self._disk.sync_folder()

            late = loop.call_later(self._wait_s, self._tell, 1 << 62, f"no sync within {self._wait_s} s")
            try:
                await loop.run_in_executor(None, work)
            except OSError as error:
                self._distrust(error)
                self._tell(1 << 62, "a sync has failed")
                return
            finally:
                late.cancel()
                self._log.end_sync()
            self._have_synced(upto)
            self._tell(upto, "")

    def _tell(self, upto: int, trouble: str) -> None:
        """Those who wait for no more than so many bytes hear that they are synced, or why not."""
        waiting, self._waiters = self._waiters, []
        for goal, waiter in waiting:
            if goal > upto:
                self._waiters.append((goal, waiter))
            elif not waiter.done():
                if trouble:
                    waiter.set_exception(NoRoomError(trouble))
                else:
                    waiter.set_result(None)
