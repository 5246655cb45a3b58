"""The journal as the daemon uses it: the state in memory and the log on disk, kept consistent.

A message is written before its client is answered, and an attempt before its first byte. Events that have already
happened (outcomes, ends) are applied in memory first and written as soon as the disk accepts them. The size limit is
never exceeded: new messages leave a reserve for the outcomes of accepted ones, and room to copy the oldest segment
forward.
"""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wheelstep.journal import codec, recovery
from wheelstep.journal.compaction import Compactor
from wheelstep.journal.deferral import DeferredEvents
from wheelstep.journal.disk import Disk, Folder
from wheelstep.journal.durability import FolderInUseError, NoRoomError, SyncPolicy
from wheelstep.journal.migration import migrate_old_format
from wheelstep.journal.segments import Log, Segment
from wheelstep.journal.state import StoredMessage

_MIN_SEGMENT_BYTES, _MAX_SEGMENT_BYTES = 64 * 1024, 4 * 1024 * 1024
_MAX_RESERVE_BYTES = 192 * 1024

log = logging.getLogger("wheelstep.journal")


class Journal(Compactor):
    """The journal in one folder.

    Opening it raises `FolderInUseError`, `codec.FormatError` or `OSError`.
    """

    def __init__(self, folder: Path | Disk, limit_bytes: int, sync: SyncPolicy = SyncPolicy.NONE,
                 wait_s: float = 1.0, segment_bytes: int = 0,
                 clock: Callable[[], float] = time.perf_counter) -> None:
        """Open the folder, or a `Disk`, and recover its content. `limit_bytes` bounds its size on disk. `wait_s` is the
        longest wait of `durable`. `segment_bytes` is the segment size, 0 for one derived from the limit."""
        super().__init__(Folder(folder) if isinstance(folder, Path) else folder, limit_bytes, sync, wait_s, clock)
        self._reserve_bytes = min(_MAX_RESERVE_BYTES, limit_bytes // 24)
        self._target_bytes = segment_bytes or min(max(_MIN_SEGMENT_BYTES, min(_MAX_SEGMENT_BYTES, limit_bytes // 48)),
                                            limit_bytes // 8)
        # With less free space than this, appends check it exactly: the longest record, and a copied segment.
        self._exact_check_margin = 2 * (self._target_bytes + codec.OVERHEAD) + 3 * 64 * 1024
        self._closed = False
        if not self._disk.lock():
            raise FolderInUseError("another process has the journal's folder")
        try:
            self._open()
        except BaseException:
            self._disk.unlock()
            raise

    def _open(self) -> None:
        """Recover the folder's content, log damage, and continue the log."""
        result = recovery.read(self._disk)
        if result.torn is not None:
            log.warning("journal: dropped %d bytes of a torn record at the end of %s, from byte %d",
                        result.torn.stop - result.torn.start, result.torn.file, result.torn.start)
        for damage in result.damage:
            log.error("journal: %s is damaged from byte %d to %d", damage.file, damage.start, damage.stop)
        if result.damage:
            log.error("journal: %d messages are treated as possibly run, %d lost their bodies and are ended as failed",
                      len(result.doubted & set(result.state.messages)), len(result.bodies_lost))
        cleaned = self._clean_up(result)
        self._state = result.state
        self._deferred = DeferredEvents(self._state, self, self._log_deferral)
        self._log = Log(self._disk, self._target_bytes, self._sync is not SyncPolicy.NONE)
        self._segments_by_number = {segment.number: segment for segment in result.segments}
        self._fact_segments = result.fact_segments
        self._log.adopt(result.segments, partial_tail=not cleaned)
        if result.old is not None:
            segment = migrate_old_format(self._disk, self._log, self._state, self._fact_segments,
                                         result.old_fingerprint)
            self._segments_by_number[segment.number] = segment
        if result.bodies_lost:
            self._write_recovered(result.bodies_lost)

    def _clean_up(self, result: recovery.RecoveryResult) -> bool:
        """Clean up after recovery. Return False where the disk refuses that: then a new segment has to be begun, and
        files that are not in use stay until the next start."""
        try:
            recovery.clean_up(self._disk, result)
        except OSError as error:
            log.warning("journal: could not clean up, a new segment is begun: %s", error)
            return False
        return True

    def _write_recovered(self, names: set[str]) -> None:
        """Write messages that recovery rebuilt from later records, which no segment holds whole."""
        for name in names:
            if name in self._state.messages:
                self._deferred.defer_message(name)
        self._deferred.write()

    @staticmethod
    def _log_deferral(name: str, error: OSError) -> None:
        log.warning("journal: deferred the state of %s: %s", name, error)

    # --- content ---

    @property
    def messages(self) -> dict[str, StoredMessage]:
        """All unfinished messages by id, in the order of acceptance."""
        return self._state.messages

    @property
    def marks(self) -> dict[str, Any]:
        """Facts: small values by name."""
        return self._state.marks

    @property
    def used(self) -> int:
        """Bytes on disk, each file in whole blocks."""
        return self._log.used

    @property
    def live(self) -> int:
        """Estimated bytes left after a full compaction."""
        return self._state.live

    @property
    def segments(self) -> int:
        """The number of segment files."""
        return len(self._log.segments)

    @property
    def waits(self) -> bool:
        """Whether `durable` ever waits."""
        return self._sync is SyncPolicy.GROUP

    def flush(self) -> bool:
        """Write what the disk has not taken yet. True once nothing is left."""
        return self._deferred.write()

    def close(self) -> None:
        """Close all files and unlock the folder. Under a sync policy, written records are synced first. Later events
        change the state in memory alone."""
        try:
            self._deferred.write()
            if self._sync is not SyncPolicy.NONE and not self._sync_failed:
                self.sync_now()
        except OSError as error:
            self._report_sync_failure(error)
        self._closed = True
        self._log.close()
        self._disk.unlock()

    # --- events ---

    def take(self, message: StoredMessage) -> None:
        """Accept a message. Raises `NoRoomError` with nothing changed."""
        if self._closed:
            raise NoRoomError("the journal is closed")
        if self._sync_failed:
            raise NoRoomError("a sync has failed: new messages are refused until the next start")
        known = self._state.messages.get(message.id)
        message.seq = self._state.next_seq if known is None else known.seq
        record = codec.take(message)
        if self._state.live + len(record) + self._reserve_bytes + self._log.target_bytes > self._limit_bytes:
            raise NoRoomError(f"{self._state.live} live bytes with a limit of {self._limit_bytes}")
        if (self._log.used + len(record) + self._reserve_bytes + self._exact_check_margin > self._limit_bytes
                and not self._make_room(len(record) + self._reserve_bytes + self._copy_reserve(), 0)):
            raise NoRoomError(f"{self._log.used} bytes used with a limit of {self._limit_bytes}")
        if self._deferred and not self._deferred.write():
            raise NoRoomError(self._write_error)
        try:
            segment = self._append(record)
        except OSError as error:
            raise NoRoomError(str(error)) from error
        if self._sync_failed and known is None:  # its own sync has failed: the record is written, and must be cancelled
            self._deferred.write_event(message.id, codec.over(message.id))
            raise NoRoomError("a sync has failed: new messages are refused until the next start")
        if known is not None:
            self._remove_from_segment(known)
        message.segment_number = segment.number
        segment.messages[message.id] = None
        self._state.take(message)

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """Record that an attempt is about to be sent. Raises `OSError` if it cannot be written, and then it must not be
        sent."""
        if self._deferred and not self._deferred.write():  # after a kill, later attempts must not be all that is known
            raise OSError(errno.EIO, self._write_error)
        self.append_reserved(codec.attempt(message, number, at_ms, endpoint))
        self._state.attempt(message, number, at_ms, endpoint)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """Record that an attempt has ended while the message stays open."""
        if self._state.outcome(message, number, may_have_run):
            self._deferred.write_event(message, codec.outcome(message, number, may_have_run))

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """Record a message's final outcome, of which the platform is still to be notified."""
        if self._state.end(message, outcome, retry_ms):
            self._deferred.write_event(message, codec.end(message, outcome, retry_ms))

    def over(self, message: str) -> None:
        """Record that a message is finished: delivered, withdrawn, or its notice acknowledged."""
        removed = self._state.over(message)
        if removed is not None:
            self._remove_from_segment(removed)
            self._deferred.write_event(message, codec.over(message))

    def mark(self, name: str, value: Any) -> None:
        """Set a fact; None deletes it."""
        if value is None and name not in self._state.marks:
            return
        self._state.mark(name, value)
        self.remove_fact(name)
        self._deferred.write_fact(name)

    # --- writing ---

    def append_reserved(self, record: bytes) -> Segment:
        """Append a record that may use the reserve.

        The space for copying forward is used last, because copying is what frees space.
        """
        if (self._log.used + self._exact_check_margin > self._limit_bytes
                and not self._make_room(len(record), self._copy_reserve())):
            error = OSError(errno.ENOSPC, f"{self._log.used} bytes used with a limit of {self._limit_bytes}")
            self._report_write_error(error)
            raise error
        return self._append(record)
