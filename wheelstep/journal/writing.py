"""Writing to the log: appends, what the disk's trouble means, and syncing by the journal's promise.

Beneath `compaction.Compactor`. Its `_drop` removes the oldest segment, which only a sync may have to wait for.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.promise import NoRoomError, Sync
from wheelstep.journal.segments import Log, Segment

log = logging.getLogger("wheelstep.journal")


class Writer:
    """The log's end, and what of it is synced."""

    _log: Log  # whoever opens the folder sets it

    def __init__(self, disk: Disk, limit_bytes: int, sync: Sync, wait_s: float, clock: Callable[[], float]) -> None:
        self._disk = disk
        self._limit, self._sync, self._wait_s, self._clock = limit_bytes, sync, wait_s, clock
        self._by_number: dict[int, Segment] = {}
        self._behind: dict[str, None] = {}  # messages and facts that memory knows better than the disk
        self._trouble = ""  # what the disk said when it began
        self._distrusted = False  # a sync has failed: nothing new is taken on until the next start
        self._synced = 0  # bytes that a sync has covered
        self._drops: list[tuple[int, int]] = []  # once so many bytes are synced, this segment goes
        self._syncing: asyncio.Task[None] | None = None
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []  # up to which byte each waits

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

    def _drop(self) -> None:
        """Say that it counts no more, and remove it. Guards against a power loss that keeps this record and loses the
        copies before it: they are synced by now. Its removal is synced with what is written next, before another."""
        number = self._log.segments[0].number
        self._append(codec.low(number + 1))
        self._log.drop_oldest()
        del self._by_number[number]

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
