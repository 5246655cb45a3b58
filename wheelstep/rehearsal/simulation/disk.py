"""A machine's simulated disk: the fleet's log and the journal of channels as two files of records, which distinguish
synced records from those only written. On demand it loses data, ignores syncs, or returns to an older copy.

Imports nothing of the project.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field


class CrashError(BaseException):
    """Ends the simulated process at this point."""


@dataclass(slots=True)
class RecordFile:
    """Records in order. The first `synced_count` of them survive a power loss; `end_offset` counts all records that
    were written, also those that a replacement has removed."""

    records: list[bytes] = field(default_factory=list)
    synced_count: int = 0
    end_offset: int = 0

    def write(self, records: Sequence[bytes]) -> int:
        """Append records; return the offset to sync to."""
        self.records += records
        self.end_offset += len(records)
        return self.end_offset

    def sync(self, offset: int) -> None:
        """Mark all records up to `offset` as synced."""
        self.synced_count = max(self.synced_count, len(self.records) - (self.end_offset - offset))

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically, as a rename of a synced file does."""
        self.records, self.synced_count = list(records), len(records)

    def copy_synced(self) -> RecordFile:
        """Return a copy of the synced records."""
        return RecordFile(self.records[:self.synced_count], self.synced_count,
                          self.end_offset - (len(self.records) - self.synced_count))

    def lose_unsynced(self, rng: random.Random) -> None:
        """Lose what a power loss takes: all unsynced records but a first part of random length."""
        kept = rng.randint(self.synced_count, len(self.records)) if len(self.records) > self.synced_count \
            else self.synced_count
        self.end_offset -= len(self.records) - kept
        del self.records[kept:]
        self.synced_count = kept


class SyncQueue:
    """The syncs of one process. One runs at a time; it serves all requests made before it began."""

    def __init__(self) -> None:
        self._waiting: list[tuple[RecordFile, int, Callable[[], None]]] = []
        self._running: list[tuple[RecordFile, int, Callable[[], None]]] = []

    def request(self, file: RecordFile, offset: int, callback: Callable[[], None]) -> bool:
        """Queue a request; return whether no sync runs, so that the caller must call `begin_next`."""
        self._waiting.append((file, offset, callback))
        return not self._running

    def begin_next(self) -> bool:
        """Begin a sync for all waiting requests; return False if there are none."""
        self._running, self._waiting = self._waiting, []
        return bool(self._running)

    def finish(self, disk: Disk) -> list[Callable[[], None]]:
        """End the running sync and return the callbacks of its requests."""
        running, self._running = self._running, []
        for file, offset, _ in running:
            disk.sync(file, offset)
        return [callback for _, _, callback in running]


def is_held(disks: Iterable[Disk], message: str) -> bool:
    """Return whether a synced record of any disk contains a message's name, in the journal or in the fleet's log."""
    name = message.encode()
    return any(name in record for disk in disks for file in (disk.journal, disk.log)
               for record in file.records[:file.synced_count])


class Disk:
    """The two files of a machine. While `drops_syncs` is set a sync reports success and does nothing; while `full` is
    set the fleet's log can't be written (the machine checks that)."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.log = RecordFile()
        self.journal = RecordFile()
        self.drops_syncs = False
        self.full = False
        self.min_sync_us = 1_000

    def draw_sync_us(self) -> int:
        """Return the duration of a sync that begins now, between one and two times `min_sync_us`."""
        return self.min_sync_us + int(self._rng.random() * self.min_sync_us)

    def sync(self, file: RecordFile, offset: int) -> None:
        """Mark a file as synced up to `offset`, unless syncs are dropped."""
        if not self.drops_syncs:
            file.sync(offset)

    def crash(self, power_loss: bool) -> None:
        """End the process; with `power_loss` unsynced records may be lost, else all survive."""
        for file in (self.log, self.journal):
            if power_loss:
                file.lose_unsynced(self._rng)
            else:
                file.synced_count = len(file.records)

    def copy_synced(self) -> tuple[RecordFile, RecordFile]:
        """Return the log and the journal as a backup would hold them: synced records only."""
        return self.log.copy_synced(), self.journal.copy_synced()

    def restore(self, files: tuple[RecordFile, RecordFile]) -> None:
        """Replace the files by an older copy or by empty files."""
        self.log, self.journal = files[0].copy_synced(), files[1].copy_synced()
