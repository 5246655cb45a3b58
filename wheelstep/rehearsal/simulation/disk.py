"""A machine's disk: the fleet's log and the journal of channels as two files of records, with what is synced told apart
from what is only written. It loses, keeps, lies and goes back to an older copy on demand.

Imports nothing of the project.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field


class CrashError(BaseException):
    """The process ends here."""


@dataclass(slots=True)
class File:
    """Records in order; the first `safe` of them survive a power loss. `place` counts all that were ever written."""

    records: list[bytes] = field(default_factory=list)
    safe: int = 0
    place: int = 0

    def write(self, records: Sequence[bytes]) -> int:
        """Append; gives the place to sync to."""
        self.records += records
        self.place += len(records)
        return self.place

    def sync(self, place: int) -> None:
        """All up to there is kept from now on."""
        self.safe = max(self.safe, len(self.records) - (self.place - place))

    def replace(self, records: Sequence[bytes]) -> None:
        """Whole and in one step, as a rename of a synced file does."""
        self.records, self.safe = list(records), len(records)

    def copy(self) -> File:
        """Of what is safe."""
        return File(self.records[:self.safe], self.safe, self.place - (len(self.records) - self.safe))

    def lose(self, rng: random.Random) -> None:
        """The power goes: of what was not synced, some beginning is left."""
        kept = rng.randint(self.safe, len(self.records)) if len(self.records) > self.safe else self.safe
        self.place -= len(self.records) - kept
        del self.records[kept:]
        self.safe = kept


class Syncs:
    """Of one process: one runs at a time, and takes all that were asked for before it began."""

    def __init__(self) -> None:
        self._waiting: list[tuple[File, int, Callable[[], None]]] = []
        self._running: list[tuple[File, int, Callable[[], None]]] = []

    def ask(self, file: File, place: int, then: Callable[[], None]) -> bool:
        """Is the next one to `begin` now?"""
        self._waiting.append((file, place, then))
        return not self._running

    def begin(self) -> bool:
        """The next one; False if nothing waits."""
        self._running, self._waiting = self._waiting, []
        return bool(self._running)

    def done(self, disk: Disk) -> list[Callable[[], None]]:
        """It is, or says so: what follows."""
        running, self._running = self._running, []
        for file, place, _ in running:
            disk.sync(file, place)
        return [then for _, _, then in running]


def held(disks: Iterable[Disk], message: str) -> bool:
    """Does any of them hold it for sure, in its journal or among what was handed over?"""
    name = message.encode()
    return any(name in record for disk in disks for file in (disk.journal, disk.log)
               for record in file.records[:file.safe])


class Disk:
    """Two files. While `lies` is set a sync says that it is done and does nothing; while `full`, nothing is written."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.log = File()
        self.journal = File()
        self.lies = False
        self.full = False
        self.sync_us = 1_000  # what a sync takes at least

    def delay(self) -> int:
        """Microseconds that the sync asked for now takes."""
        return self.sync_us + int(self._rng.random() * self.sync_us)

    def sync(self, file: File, place: int) -> None:
        """The sync is done, or says so."""
        if not self.lies:
            file.sync(place)

    def crash(self, power: bool) -> None:
        """The process ends; `power`: the machine does."""
        for file in (self.log, self.journal):
            if power:
                file.lose(self._rng)
            else:
                file.safe = len(file.records)

    def copy(self) -> tuple[File, File]:
        """As a backup would hold it."""
        return self.log.copy(), self.journal.copy()

    def put_back(self, files: tuple[File, File]) -> None:
        """An older copy, or empty files: what was there since is gone."""
        self.log, self.journal = files[0].copy(), files[1].copy()
