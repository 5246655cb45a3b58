"""The durable log of the fleet: the voter's records and the courier's boot number. Blocking I/O, through a `Disk`.

The file is a sequence of frames, one per `append`: a header (body size, frame number, number of frames synced before it
was written, boot number, checksum), the body, and a checksum chained to the previous frame. A frame with a synced count
of `k` proves that damage before frame `k` is no torn tail. A torn tail is truncated.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

import msgspec

from wheelstep.journal.disk import Disk

NAME, NEW_NAME, DAMAGED_NAME = "fleet.log", "fleet.new", "fleet.damaged"
HEADER = struct.Struct("<IIIQ")  # body size, frame number, frames synced before, boot number
CHECKSUM = struct.Struct("<I")
COMPACT_SLACK_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[bytes])


class LogDamagedError(Exception):
    """Synced data is unreadable; `boot` is the highest boot number that could be read."""

    def __init__(self, text: str, boot: int) -> None:
        super().__init__(text)
        self.boot = boot


class LogBrokenError(Exception):
    """An earlier write or sync failed: the state on disk is unknown until the log is reopened."""


@dataclass(slots=True)
class _Parsed:
    """The valid prefix of a file."""

    records: list[bytes]
    size: int = 0
    compacted_size: int = 0  # size of the first frame, written by the last `compact`
    number: int = 0
    boot: int = 0
    chain: int = 0


def _header_at(data: bytes, at: int) -> tuple[int, int, int, int] | None:
    """Return the header at this offset; None if it is invalid."""
    if len(data) < at + HEADER.size + CHECKSUM.size:
        return None
    if CHECKSUM.unpack_from(data, at + HEADER.size)[0] != crc32(data[at:at + HEADER.size]):
        return None
    size, number, synced, boot = HEADER.unpack_from(data, at)
    return (size, number, synced, boot) if size <= MAX_BODY_BYTES else None


def _parse(data: bytes) -> _Parsed:
    """Read the valid frames from the start. Raises `LogDamagedError` if a synced one is damaged."""
    parsed = _Parsed([])
    while (header := _header_at(data, parsed.size)) is not None:
        size, number, _, boot = header
        body = parsed.size + HEADER.size + CHECKSUM.size
        end = body + size + CHECKSUM.size
        if number != parsed.number or end > len(data):
            break
        chain = crc32(data[parsed.size:body + size], parsed.chain)
        if CHECKSUM.unpack_from(data, body + size)[0] != chain:
            break
        try:
            records = _DECODER.decode(data[body:body + size])
        except msgspec.DecodeError:
            break
        parsed.records += records
        parsed.compacted_size = parsed.compacted_size or end
        parsed.size, parsed.number, parsed.boot, parsed.chain = end, number + 1, boot, chain
    if parsed.size < len(data):
        headers = [header for at in range(parsed.size, len(data)) if (header := _header_at(data, at)) is not None]
        if parsed.number == 0 or any(synced > parsed.number for _, _, synced, _ in headers):
            boot = max([parsed.boot, *(header[3] for header in headers)])
            raise LogDamagedError(f"{NAME}: damaged at byte {parsed.size} of {len(data)}, frame {parsed.number}", boot)
    elif parsed.number == 0:
        raise LogDamagedError(f"{NAME}: empty", 0)
    return parsed


class Log:
    """An open log. Disk errors are raised; after a failed sync or truncation nothing is written until reopened."""

    def __init__(self, disk: Disk, boot: int) -> None:
        self.boot = boot
        self._disk = disk
        self._handle: int | None = None
        self._number = self._synced = self._size = self._compacted_size = self._chain = 0
        self._broken = False

    @classmethod
    def open(cls, disk: Disk, least_boot: int = 1) -> tuple[Log, list[bytes]]:
        """Open the log, truncate a torn tail, and return the log and its records. The boot number exceeds all earlier
        ones, is at least `least_boot`, and is on disk on return. Raises `OSError`, and `LogDamagedError`: then call
        `create_after_damage` and start as a blank voter."""
        names = disk.names()
        if NEW_NAME in names:
            disk.unlink(NEW_NAME)
        if NAME not in names:
            return cls._create(disk, least_boot), []
        parsed = _parse(disk.read(NAME))
        log = cls(disk, max(parsed.boot + 1, least_boot))
        log._handle = disk.append_to(NAME)
        try:
            disk.truncate(log._handle, parsed.size)
            disk.sync(log._handle)
            log._number, log._synced, log._chain = parsed.number, parsed.number, parsed.chain
            log._size, log._compacted_size = parsed.size, parsed.compacted_size
            log._append([])
            log.sync()
        except BaseException:
            log.close()
            raise
        return log, parsed.records

    @classmethod
    def create_after_damage(cls, disk: Disk, least_boot: int) -> Log:
        """Rename a damaged log to `DAMAGED_NAME` and create an empty one."""
        if NAME in disk.names():
            disk.rename(NAME, DAMAGED_NAME)
        if NEW_NAME in disk.names():
            disk.unlink(NEW_NAME)
        return cls._create(disk, least_boot)

    @classmethod
    def _create(cls, disk: Disk, boot: int) -> Log:
        log = cls(disk, boot)
        log.compact([])
        return log

    @property
    def needs_compaction(self) -> bool:
        """Whether the log should be compacted."""
        return self._size > 2 * self._compacted_size + COMPACT_SLACK_BYTES

    def append(self, records: Sequence[bytes]) -> None:
        """Append the records atomically. They are durable only after `sync`."""
        if records:
            self._append(records)

    def _append(self, records: Iterable[bytes]) -> None:
        frame, chain = self._frame(records, self._number, self._synced, self._chain)
        self._write(self._checked_handle(), frame)
        self._number += 1
        self._chain = chain
        self._size += len(frame)

    def sync(self) -> None:
        """Sync all appended records to disk."""
        handle = self._checked_handle()
        self._break_on_error(lambda: self._disk.sync(handle))
        self._synced = self._number

    def compact(self, records: Iterable[bytes]) -> None:
        """Atomically replace the file by a synced one with only these records."""
        if self._broken:
            raise LogBrokenError(NAME)
        frame, chain = self._frame(records, 0, 0, 0)
        if NEW_NAME in self._disk.names():
            self._disk.unlink(NEW_NAME)
        new_handle = self._disk.create(NEW_NAME)
        try:
            self._write_all(new_handle, frame)
            self._disk.sync(new_handle)
            self._disk.rename(NEW_NAME, NAME)
        except OSError:
            self._disk.close(new_handle)
            raise  # the old file is unchanged and stays in use
        old, self._handle = self._handle, new_handle
        self._number = self._synced = 1
        self._size = self._compacted_size = len(frame)
        self._chain = chain
        if old is not None:
            self._disk.close(old)
        self._break_on_error(self._disk.sync_folder)

    def close(self) -> None:
        """Close the file."""
        if self._handle is not None:
            handle, self._handle = self._handle, None
            self._disk.close(handle)

    def _frame(self, records: Iterable[bytes], number: int, synced: int, chain: int) -> tuple[bytes, int]:
        body = _ENCODER.encode(list(records))
        header = HEADER.pack(len(body), number, synced, self.boot)
        data = header + CHECKSUM.pack(crc32(header)) + body
        chain = crc32(data, chain)
        return data + CHECKSUM.pack(chain), chain

    def _checked_handle(self) -> int:
        if self._broken or self._handle is None:
            raise LogBrokenError(NAME)
        return self._handle

    def _write(self, handle: int, data: bytes) -> None:
        try:
            self._write_all(handle, data)
        except OSError:
            # Truncate a partial frame, so that the log stays usable after a full disk.
            self._break_on_error(lambda: self._disk.truncate(handle, self._size))
            raise

    def _write_all(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(handle, bytes(view)):]

    def _break_on_error(self, act: Callable[[], None]) -> None:
        try:
            act()
        except OSError:
            self._broken = True  # after a failed sync the state of the page cache is unknown
            raise
