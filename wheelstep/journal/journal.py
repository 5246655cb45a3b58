"""What the daemon uses: the state in memory and the log on disk, kept alike.

Order: a message is written before it is answered, an attempt before its first byte; what has happened already
(outcomes, ends) is applied first and written as soon as the disk takes it. The disk's limit is never passed: new
messages leave a reserve to the outcomes of those that were taken on, and room to copy the oldest segment forward.
Above `writing` (appends and syncs) and `compaction` (copies forward).
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
from wheelstep.journal.disk import Disk, Folder
from wheelstep.journal.promise import FolderInUseError, NoRoomError, Sync
from wheelstep.journal.segments import Log, Segment
from wheelstep.journal.state import Stored
from wheelstep.journal.takeover import take_over

_LEAST_SEGMENT, _MOST_SEGMENT = 64 * 1024, 4 * 1024 * 1024
_MOST_RESERVE = 192 * 1024

log = logging.getLogger("wheelstep.journal")


class Journal(Compactor):
    """The journal in one folder. Raises `FolderInUseError`, `recovery.FormatError` or `OSError` when it is opened."""

    def __init__(self, folder: Path | Disk, limit_bytes: int, sync: Sync = Sync.NONE,
                 wait_s: float = 1.0, segment_bytes: int = 0,
                 clock: Callable[[], float] = time.perf_counter) -> None:
        super().__init__(Folder(folder) if isinstance(folder, Path) else folder, limit_bytes, sync, wait_s, clock)
        self._reserve = min(_MOST_RESERVE, limit_bytes // 24)
        self._target = segment_bytes or min(max(_LEAST_SEGMENT, min(_MOST_SEGMENT, limit_bytes // 48)),
                                            limit_bytes // 8)
        # Below this much room, appends look closer: what the longest record and copying any segment may take.
        self._careful = 2 * (self._target + codec.OVERHEAD) + 3 * 64 * 1024
        self._closed = False
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
            segment = take_over(self._disk, self._log, self._state, self._fact_home, found.old_print)
            self._by_number[segment.number] = segment
        if found.bereft:
            self._rewrite(found.bereft)

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

    # --- writing ---

    def _append_reserved(self, record: bytes) -> Segment:
        """Append what may use the reserve; the room for copies forward is touched last, since they make room."""
        if self._log.used + self._careful > self._limit and not self._room(len(record), self._copy_room()):
            error = OSError(errno.ENOSPC, f"{self._log.used} bytes used of {self._limit}")
            self._in_trouble(error)
            raise error
        return self._append(record)
