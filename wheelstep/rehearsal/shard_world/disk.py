"""What a courier's process leaves behind: its journal, as a table of what it owes, and its boot number.

A process that ends loses nothing that it wrote; a machine that goes takes with it what was not synced."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from wheelstep.journal import StoredMessage


@dataclass(frozen=True, slots=True)
class Kept:
    """A message on disk. `ran`: an attempt of it may have run; `seq` tells the order in which they were taken."""

    message: StoredMessage
    seq: int
    ran: bool = False


@dataclass(slots=True)
class Disk:
    """One courier's."""

    boot: int = 1_700_000_000
    seq: int = 0
    rows: dict[str, Kept] = field(default_factory=dict)
    _undo: list[tuple[str, Kept | None]] = field(default_factory=list)  # what was there before what is not synced

    def put(self, name: str, kept: Kept) -> None:
        """Write it, or write it anew."""
        self._undo.append((name, self.rows.get(name)))
        self.rows[name] = kept

    def take(self, message: StoredMessage) -> Kept:
        """A new message, behind all others."""
        self.seq += 1
        kept = Kept(message, self.seq)
        self.put(message.id, kept)
        return kept

    def ran(self, name: str, ran: bool) -> bool:
        """Whether an attempt of it may have run; what stood there before."""
        kept = self.rows[name]
        self.put(name, replace(kept, ran=ran))
        return kept.ran

    def over(self, name: str) -> None:
        """It is owed no more."""
        self._undo.append((name, self.rows.pop(name)))

    def sync(self) -> None:
        """What is written by now stays, whatever happens."""
        self._undo.clear()

    def power_lost(self, rng: random.Random) -> None:
        """The last of what was not synced is gone."""
        for name, before in self._undo[rng.randint(0, len(self._undo)):][::-1]:
            if before is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = before
        self._undo.clear()

    def owed(self) -> Iterator[Kept]:
        """In the order in which they were taken."""
        return iter(sorted(self.rows.values(), key=lambda kept: kept.seq))
