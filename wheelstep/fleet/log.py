"""The fleet's durable log: a voter's records and this courier's boot number. All I/O goes through a `Disk`, and
blocks.

One file of frames, each an `append`: a head (bytes of the body, the frame's number, how many frames were synced
before it was written, the boot number, and a checksum), the body, and a checksum chained to the frame before. A frame
that says that `k` were synced proves that damage before the k-th is no torn tail. A torn tail is cut.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

import msgspec

from wheelstep.journal.disk import Disk

NAME, FRESH, ASIDE = "fleet.log", "fleet.new", "fleet.damaged"
HEAD = struct.Struct("<IIIQ")  # bytes of the body, number, synced before, boot
SUM = struct.Struct("<I")
SLACK = 64 * 1024
LARGEST = 64 * 1024 * 1024  # of a body

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[bytes])


class LogDamagedError(Exception):
    """What was synced can't be read; `boot` is the highest boot number that can."""

    def __init__(self, text: str, boot: int) -> None:
        super().__init__(text)
        self.boot = boot


class LogBrokenError(Exception):
    """A write or a sync has failed before: what is on disk is unknown until the log is opened anew."""


@dataclass(slots=True)
class _Read:
    """What is sound of a file."""

    records: list[bytes]
    size: int = 0
    live: int = 0  # of them the first frame's: what the last `compact` left
    number: int = 0
    boot: int = 0
    chain: int = 0


def _head(data: bytes, at: int) -> tuple[int, int, int, int] | None:
    """A sound head, or None."""
    if len(data) < at + HEAD.size + SUM.size:
        return None
    if SUM.unpack_from(data, at + HEAD.size)[0] != crc32(data[at:at + HEAD.size]):
        return None
    size, number, synced, boot = HEAD.unpack_from(data, at)
    return (size, number, synced, boot) if size <= LARGEST else None


def _parse(data: bytes) -> _Read:
    """All sound frames from the start. `LogDamagedError` if one that was synced is not."""
    read = _Read([])
    while (head := _head(data, read.size)) is not None:
        size, number, _, boot = head
        body = read.size + HEAD.size + SUM.size
        end = body + size + SUM.size
        if number != read.number or end > len(data):
            break
        chain = crc32(data[read.size:body + size], read.chain)
        if SUM.unpack_from(data, body + size)[0] != chain:
            break
        try:
            records = _DECODER.decode(data[body:body + size])
        except msgspec.DecodeError:
            break
        read.records += records
        read.live = read.live or end
        read.size, read.number, read.boot, read.chain = end, number + 1, boot, chain
    if read.size < len(data):
        heads = [head for at in range(read.size, len(data)) if (head := _head(data, at)) is not None]
        if read.number == 0 or any(synced > read.number for _, _, synced, _ in heads):
            boot = max([read.boot, *(head[3] for head in heads)])
            raise LogDamagedError(f"{NAME}: damaged at byte {read.size} of {len(data)}, frame {read.number}", boot)
    elif read.number == 0:
        raise LogDamagedError(f"{NAME}: empty", 0)
    return read


class Log:
    """An open log. Errors of the disk are raised; after one, nothing more is written until it is opened anew."""

    def __init__(self, disk: Disk, boot: int) -> None:
        self.boot = boot
        self._disk = disk
        self._handle: int | None = None
        self._number = self._synced = self._size = self._live = self._chain = 0
        self._broken = False

    @classmethod
    def open(cls, disk: Disk, least_boot: int = 1) -> tuple[Log, list[bytes]]:
        """Read and cut the tail if it is torn. The boot number is above all earlier ones and `least_boot` or more, and
        on disk when this returns. `LogDamagedError`: call `anew` and be blank. `OSError` from the disk."""
        names = disk.names()
        if FRESH in names:
            disk.unlink(FRESH)
        if NAME not in names:
            return cls._create(disk, least_boot), []
        read = _parse(disk.read(NAME))
        log = cls(disk, max(read.boot + 1, least_boot))
        log._handle = disk.append_to(NAME)
        try:
            disk.truncate(log._handle, read.size)
            disk.sync(log._handle)
            log._number, log._synced, log._chain = read.number, read.number, read.chain
            log._size, log._live = read.size, read.live
            log._append([])
            log.sync()
        except BaseException:
            log.close()
            raise
        return log, read.records

    @classmethod
    def anew(cls, disk: Disk, least_boot: int) -> Log:
        """Put a damaged log aside and begin an empty one."""
        if NAME in disk.names():
            disk.rename(NAME, ASIDE)
        if FRESH in disk.names():
            disk.unlink(FRESH)
        return cls._create(disk, least_boot)

    @classmethod
    def _create(cls, disk: Disk, boot: int) -> Log:
        log = cls(disk, boot)
        log.compact([])
        return log

    @property
    def bloated(self) -> bool:
        """Is it time to `compact`?"""
        return self._size > 2 * self._live + SLACK

    def append(self, records: Sequence[bytes]) -> None:
        """All of them or none will be read again; for sure only after `sync`."""
        if records:
            self._append(records)

    def _append(self, records: Iterable[bytes]) -> None:
        frame, chain = self._frame(records, self._number, self._synced, self._chain)
        self._write(self._usable(), frame)
        self._number += 1
        self._chain = chain
        self._size += len(frame)

    def sync(self) -> None:
        """What was appended is on disk once this returns."""
        handle = self._usable()
        self._guard(lambda: self._disk.sync(handle))
        self._synced = self._number

    def compact(self, records: Iterable[bytes]) -> None:
        """Begin a new file that holds these alone, synced, in place of the old one."""
        if self._broken:
            raise LogBrokenError(NAME)
        frame, chain = self._frame(records, 0, 0, 0)
        if FRESH in self._disk.names():
            self._disk.unlink(FRESH)
        fresh = self._disk.create(FRESH)
        try:
            self._write_all(fresh, frame)
            self._disk.sync(fresh)
            self._disk.rename(FRESH, NAME)
        except OSError:
            self._disk.close(fresh)
            raise  # the old file is as it was, and goes on
        old, self._handle = self._handle, fresh
        self._number = self._synced = 1
        self._size = self._live = len(frame)
        self._chain = chain
        if old is not None:
            self._disk.close(old)
        self._guard(self._disk.sync_folder)

    def close(self) -> None:
        """Give the file back."""
        if self._handle is not None:
            handle, self._handle = self._handle, None
            self._disk.close(handle)

    def _frame(self, records: Iterable[bytes], number: int, synced: int, chain: int) -> tuple[bytes, int]:
        body = _ENCODER.encode(list(records))
        head = HEAD.pack(len(body), number, synced, self.boot)
        data = head + SUM.pack(crc32(head)) + body
        chain = crc32(data, chain)
        return data + SUM.pack(chain), chain

    def _usable(self) -> int:
        if self._broken or self._handle is None:
            raise LogBrokenError(NAME)
        return self._handle

    def _write(self, handle: int, data: bytes) -> None:
        try:
            self._write_all(handle, data)
        except OSError:
            # A part of it may be there: cut it, so that a disk that was full for a moment does no lasting harm.
            self._guard(lambda: self._disk.truncate(handle, self._size))
            raise

    def _write_all(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(handle, bytes(view)):]

    def _guard(self, act: Callable[[], None]) -> None:
        try:
            act()
        except OSError:
            self._broken = True  # after a failed sync the pages' state is unknown
            raise
