"""What lasts of a courier's process: its journal, as a table of the messages that it owes, and its boot number.

The end of a process loses nothing that it wrote. A machine that loses power may lose what was not synced.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from wheelstep.journal import StoredMessage


@dataclass(frozen=True, slots=True)
class DiskRow:
    """A message on disk. `seq` is the order of admission; `ran` says that an attempt of it may have run."""

    message: StoredMessage
    seq: int
    ran: bool = False


@dataclass(slots=True)
class Disk:
    """The disk of one courier."""

    boot: int = 1_700_000_000
    seq: int = 0
    rows: dict[str, DiskRow] = field(default_factory=dict)
    _unsynced: list[tuple[str, DiskRow | None]] = field(default_factory=list)  # unsynced writes: name and previous row

    def write(self, name: str, row: DiskRow) -> None:
        """Write or replace a row."""
        self._unsynced.append((name, self.rows.get(name)))
        self.rows[name] = row

    def add(self, message: StoredMessage) -> DiskRow:
        """Write a new message behind all others and return its row."""
        self.seq += 1
        row = DiskRow(message, self.seq)
        self.write(message.id, row)
        return row

    def set_ran(self, name: str, ran: bool) -> bool:
        """Set whether an attempt of a message may have run, and return the previous value."""
        row = self.rows[name]
        self.write(name, replace(row, ran=ran))
        return row.ran

    def remove(self, name: str) -> None:
        """Remove a message that is no longer owed."""
        self._unsynced.append((name, self.rows.pop(name)))

    def sync(self) -> None:
        """Make all writes so far durable."""
        self._unsynced.clear()

    def lose_power(self, rng: random.Random) -> None:
        """Undo a random number of the last unsynced writes."""
        for name, previous in self._unsynced[rng.randint(0, len(self._unsynced)):][::-1]:
            if previous is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = previous
        self._unsynced.clear()

    def rows_in_order(self) -> Iterator[DiskRow]:
        """Return all rows in the order of admission."""
        return iter(sorted(self.rows.values(), key=lambda row: row.seq))
