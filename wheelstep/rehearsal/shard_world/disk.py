"""A courier's disk: its journal, as a table of the messages that it owes, and its boot number.

The end of a process loses nothing that it wrote; the loss of a machine loses what was not synced."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from wheelstep.journal import StoredMessage


@dataclass(frozen=True, slots=True)
class DiskRecord:
    """A message on disk. `seq` gives the order of acceptance; `may_have_run` says that an attempt may have run."""

    message: StoredMessage
    seq: int
    may_have_run: bool = False


@dataclass(slots=True)
class Disk:
    """The disk of one courier."""

    boot: int = 1_700_000_000
    seq: int = 0
    records: dict[str, DiskRecord] = field(default_factory=dict)
    _undo: list[tuple[str, DiskRecord | None]] = field(default_factory=list)  # unsynced writes and the records before

    def write(self, name: str, record: DiskRecord) -> None:
        """Write a record, or overwrite it."""
        self._undo.append((name, self.records.get(name)))
        self.records[name] = record

    def append(self, message: StoredMessage) -> DiskRecord:
        """Write a new message behind all others."""
        self.seq += 1
        record = DiskRecord(message, self.seq)
        self.write(message.id, record)
        return record

    def set_may_have_run(self, name: str, may_have_run: bool) -> bool:
        """Set whether an attempt of a message may have run; return the previous value."""
        record = self.records[name]
        self.write(name, replace(record, may_have_run=may_have_run))
        return record.may_have_run

    def remove(self, name: str) -> None:
        """Remove a message that is no longer owed."""
        self._undo.append((name, self.records.pop(name)))

    def sync(self) -> None:
        """Make all writes so far permanent."""
        self._undo.clear()

    def lose_unsynced(self, rng: random.Random) -> None:
        """Undo the last of the unsynced writes, a random number of them, as a power loss does."""
        for name, previous in self._undo[rng.randint(0, len(self._undo)):][::-1]:
            if previous is None:
                self.records.pop(name, None)
            else:
                self.records[name] = previous
        self._undo.clear()

    def owed_records(self) -> Iterator[DiskRecord]:
        """Return all records in the order of acceptance."""
        return iter(sorted(self.records.values(), key=lambda record: record.seq))
