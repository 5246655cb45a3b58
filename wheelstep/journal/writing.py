"""Writing to the log: appends, disk errors, and syncing by the journal's policy.

Base of `compaction.Compactor`. `_remove_oldest` removes the oldest segment, which may have to wait for a sync.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from wheelstep.journal import codec
from wheelstep.journal.deferral import DeferredEvents
from wheelstep.journal.disk import Disk
from wheelstep.journal.durability import NoRoomError, SyncPolicy
from wheelstep.journal.segments import Log, Segment

log = logging.getLogger("wheelstep.journal")


class Writer:
    """Appends records and tracks how far the log is synced."""

    _log: Log  # set when the folder is opened
    _deferred: DeferredEvents

    def __init__(self, disk: Disk, limit_bytes: int, sync: SyncPolicy, wait_s: float,
                 clock: Callable[[], float]) -> None:
        self._disk = disk
        self._limit_bytes, self._sync, self._wait_s, self._clock = limit_bytes, sync, wait_s, clock
        self._segments_by_number: dict[int, Segment] = {}
        self._write_error = ""  # the first error since writing last worked; empty while it works
        self._failing_since_s = 0.0  # of the journal's clock, when that error came
        self.failed_writes = 0  # since the start
        self._sync_failed = False  # a sync has failed: no new message is accepted until the next start
        self._synced = 0  # offset up to which the log is synced
        # (offset, segment): the segment is removed once the log is synced up to the offset
        self._pending_removals: list[tuple[int, int]] = []
        self._syncing: asyncio.Task[None] | None = None
        # (offset, future): resolved once the log is synced up to the offset
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def _append(self, record: bytes) -> Segment:
        """Append records to the log, and sync them under `SyncPolicy.EACH`. Raises `OSError`."""
        segment_log = self._log
        try:
            segment = segment_log.append(record)
        except OSError as error:
            self._report_write_error(error)
            raise
        finally:  # also a segment that was started before the write failed
            if segment_log.segments and segment_log.segments[-1].number not in self._segments_by_number:
                self._segments_by_number[segment_log.segments[-1].number] = segment_log.segments[-1]
        if self._sync is SyncPolicy.EACH and not self._sync_failed:
            with contextlib.suppress(OSError):  # it is written: only new messages are refused
                self.sync_now()
        if self._write_error and not self._deferred:
            log.warning("journal: writes again after %.3f s, %d failed writes and %d deferred events since the start; "
                        "the error was: %s", self._clock() - self._failing_since_s, self.failed_writes,
                        self._deferred.total, self._write_error)
            self._write_error = ""
        return segment

    def _report_write_error(self, error: OSError) -> None:
        """Log a write error once, when it first occurs."""
        self.failed_writes += 1
        if not self._write_error:
            log.error("journal: can't write: %s; new messages are refused", error)
            self._write_error = str(error)
            self._failing_since_s = self._clock()

    def _remove_oldest(self) -> None:
        """Record that the oldest segment is no longer in use, and remove it.

        Under a sync policy, call this only once the copies of its records are synced: otherwise a power loss could keep
        this record and lose the copies. The removal itself is synced with the next records, before
        another segment is removed.
        """
        number = self._log.segments[0].number
        self._append(codec.low(number + 1))
        self._log.drop_oldest()
        del self._segments_by_number[number]

    # --- syncing ---

    def sync_now(self) -> None:
        """Sync all written records. On failure raises `OSError`, and no new message is accepted any more."""
        handles, folder, end_offset = self._log.begin_sync()
        try:
            for handle in handles:
                self._disk.sync(handle)
            if folder:
                self._disk.sync_folder()
        except OSError as error:
            self._log.end_sync()
            self._report_sync_failure(error)
            raise
        self._log.end_sync()
        self._note_synced(end_offset)

    def _note_synced(self, end_offset: int) -> None:
        """Note the synced offset, and remove the segments that waited for it."""
        self._synced = max(self._synced, end_offset)
        while self._pending_removals and self._pending_removals[0][0] <= self._synced:
            self._pending_removals.pop(0)
            try:
                self._remove_oldest()
            except OSError as error:
                log.warning("journal: could not remove the oldest segment: %s", error)

    def _report_sync_failure(self, error: OSError) -> None:
        """Refuse new messages from now on.

        A failed sync may have lost any byte written since the last good one, and a later sync may report success
        without them.
        """
        if not self._sync_failed:
            self._sync_failed = True
            log.error("journal: a sync has failed: %s; new messages are refused until the next start", error)

    async def durable(self) -> None:
        """Wait until the records written so far are as durable as the policy demands.

        Raises `NoRoomError` if the sync takes longer than `wait_s`, or has failed.
        """
        if self._sync is not SyncPolicy.GROUP or self._synced >= self._log.written:
            return
        if self._sync_failed:
            raise NoRoomError("a sync has failed")
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((self._log.written, waiter))
        if self._syncing is None or self._syncing.done():
            self._syncing = asyncio.create_task(self._run_group_syncs())
        await waiter

    async def _run_group_syncs(self) -> None:
        """Run syncs in a thread, each for all waiters at its start, until nobody waits."""
        loop = asyncio.get_running_loop()
        while self._waiters:
            await asyncio.sleep(0)  # include callers that are ready in this turn of the loop
            handles, folder, end_offset = self._log.begin_sync()

            def sync_all(handles: list[int] = handles, folder: bool = folder) -> None:
                for handle in handles:
                    self._disk.sync(handle)
                if folder:
                    self._disk.sync_folder()

            timeout = loop.call_later(self._wait_s, self._resolve_waiters, 1 << 62, f"no sync within {self._wait_s} s")
            try:
                await loop.run_in_executor(None, sync_all)
            except OSError as error:
                self._report_sync_failure(error)
                self._resolve_waiters(1 << 62, "a sync has failed")
                return
            finally:
                timeout.cancel()
                self._log.end_sync()
            self._note_synced(end_offset)
            self._resolve_waiters(end_offset, "")

    def _resolve_waiters(self, end_offset: int, error: str) -> None:
        """Resolve the waiters up to an offset: with success, or with `NoRoomError` if `error` is not empty."""
        waiting, self._waiters = self._waiters, []
        for offset, waiter in waiting:
            if offset > end_offset:
                self._waiters.append((offset, waiter))
            elif not waiter.done():
                if error:
                    waiter.set_exception(NoRoomError(error))
                else:
                    waiter.set_result(None)
