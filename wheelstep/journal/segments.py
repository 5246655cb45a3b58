"""The log: numbered segment files, appended to at the newest and removed at the oldest.

A segment is a file `NNNNNNNN.journal`. Its header serves as the manifest: the segments from `low` on are in use. Files
are only appended to, except that an incomplete last record is cut off.
"""

from __future__ import annotations

import contextlib
import re
from dataclasses import dataclass, field

from wheelstep.journal import codec
from wheelstep.journal.disk import Disk
from wheelstep.journal.durability import JournalClosedError

BLOCK = 512  # allocation unit: a file's size counts rounded up to it
_NAME = re.compile(r"(\d{8})\.journal")


def segment_file_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:08}.journal"


def segment_number_of(name: str) -> int | None:
    """Return the segment number of a file name, or None if it is not a segment's."""
    found = _NAME.fullmatch(name)
    return int(found[1]) if found else None


def rounded_to_blocks(size: int) -> int:
    """Return the size that a file of this many bytes takes in whole blocks."""
    return -(-size // BLOCK) * BLOCK


@dataclass(slots=True)
class Segment:
    """One log file, and the messages and facts whose current full record is in it."""

    number: int
    size: int
    handle: int | None = None
    messages: dict[str, None] = field(default_factory=dict)
    facts: dict[str, None] = field(default_factory=dict)


class Log:
    """The segments in use.

    Methods raise `OSError` from the disk; then nothing has changed, except that half a record may be left at the end of
    the newest segment (`_partial_tail`). Once the log is closed, whatever would change a file raises
    `JournalClosedError`: the folder may belong to another process by then.
    """

    def __init__(self, disk: Disk, target_bytes: int, syncs: bool) -> None:
        self.disk, self.target_bytes, self.syncs = disk, target_bytes, syncs
        self.segments: list[Segment] = []  # oldest first
        self.used = 0  # bytes on disk, each file in whole blocks
        self.dirty: list[int] = []  # handles with unsynced bytes, oldest first
        self.folder_dirty = False
        self.written = 0  # bytes appended so far: the offset that a waiter for a sync needs
        self._syncing: list[int] = []  # handles of the sync in progress, which may run in another thread
        self._retired: list[int] = []  # handles of full segments, closed once they are synced
        self._partial_tail = False  # the newest segment ends in half a record that could not be cut off
        self._closed = False

    @property
    def head(self) -> Segment:
        """The newest segment, which appends go to."""
        return self.segments[-1]

    def adopt(self, segments: list[Segment], partial_tail: bool = False) -> None:
        """Continue with the segments that recovery found; `partial_tail`: the newest may end in half a record. One that
        can't be opened is not appended to."""
        self.segments, self._partial_tail = segments, partial_tail
        self.used = sum(rounded_to_blocks(segment.size) for segment in segments)
        if segments and segments[-1].size < self.target_bytes and not partial_tail:
            with contextlib.suppress(OSError):
                segments[-1].handle = self.disk.append_to(segment_file_name(segments[-1].number))

    def append(self, data: bytes) -> Segment:
        """Append one or several records to one segment, and return the segment."""
        self._check_open()
        segments = self.segments
        if not segments or segments[-1].handle is None or self._partial_tail or segments[-1].size >= self.target_bytes:
            self.roll()
        head = segments[-1]
        handle, size = head.handle, head.size
        assert handle is not None
        done = 0
        try:
            done = self.disk.write(handle, data)
            while done < len(data):
                done += self.disk.write(handle, data[done:])
        except OSError:
            if done:
                try:
                    self.disk.truncate(handle, size)
                except OSError:  # half a record stays: the next append starts a new segment
                    self._partial_tail = True
            raise
        head.size = size + done
        if (size - 1) // BLOCK != (size + done - 1) // BLOCK:
            self.used += rounded_to_blocks(size + done) - rounded_to_blocks(size)
        if self.syncs:
            self.written += done
            if not self.dirty or self.dirty[-1] != handle:
                self.dirty.append(handle)
        return head

    def roll(self, taken_over: str = "") -> None:
        """Start a new segment."""
        self._check_open()
        number = self.segments[-1].number + 1 if self.segments else 1
        low = self.segments[0].number if self.segments else number
        before = self.segments[-1].size if self.segments else 0
        data = codec.header(codec.Header(number, low, before, taken_over))
        name = segment_file_name(number)
        handle = self._create(name)
        done = 0
        try:
            while done < len(data):
                done += self.disk.write(handle, data[done:])
        except OSError:
            self._close(handle)
            with contextlib.suppress(OSError):
                self.disk.unlink(name)
            raise
        if self.segments and (old := self.head.handle) is not None:
            self.head.handle = None
            if self.syncs and (old in self.dirty or old in self._syncing):
                self._retired.append(old)
            else:
                self._close(old)
        self.segments.append(Segment(number, done, handle))
        self.used += rounded_to_blocks(done)
        if self.syncs:
            self.dirty.append(handle)
        self.folder_dirty, self._partial_tail = self.syncs, False

    def _check_open(self) -> None:
        if self._closed:
            raise JournalClosedError

    def _create(self, name: str) -> int:
        """Create a segment's file. One that is there already is left over from a segment that could not be begun, and
        holds no record."""
        try:
            return self.disk.create(name)
        except FileExistsError:
            self.disk.unlink(name)
            return self.disk.create(name)

    def _close(self, handle: int) -> None:
        """Close a handle. It is released also where the call fails (close(2)), and what was written is as durable as
        its last sync."""
        with contextlib.suppress(OSError):
            self.disk.close(handle)

    def drop_oldest(self) -> None:
        """Remove the oldest segment. The caller must have the records that are still needed in newer segments."""
        self._check_open()
        oldest = self.segments[0]
        self.disk.unlink(segment_file_name(oldest.number))
        self.segments.pop(0)
        self.used -= rounded_to_blocks(oldest.size)
        self.folder_dirty = self.syncs

    def begin_sync(self) -> tuple[list[int], bool, int]:
        """Return what a sync must cover: handles, whether the folder too, and the offset that is then synced."""
        pending = (list(self.dirty), self.folder_dirty, self.written)
        self._syncing = pending[0]
        self.dirty.clear()
        self.folder_dirty = False
        return pending

    def end_sync(self) -> None:
        """Finish the sync that was begun: close handles of full segments that are synced now."""
        handles, self._syncing = self._syncing, []
        for handle in [handle for handle in self._retired if handle in handles and handle not in self.dirty]:
            self._retired.remove(handle)
            self._close(handle)

    def close(self) -> None:
        """Close all handles. Nothing is written from then on."""
        self._closed = True
        handles = [*self._retired, *(one.handle for one in self.segments if one.handle is not None)]
        self._retired.clear()
        for segment in self.segments:
            segment.handle = None
        for handle in handles:
            self._close(handle)
