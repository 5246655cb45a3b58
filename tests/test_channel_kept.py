"""A journal with the positions of channels in it, cut off at every operation of its disk."""

from __future__ import annotations

import time

import pytest

from wheelstep.channels.book import Book, Release, Take
from wheelstep.channels.contracts import read
from wheelstep.channels.kept import Kept
from wheelstep.journal import Journal, NoRoomError, StoredMessage
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk

CONTRACTS = read([{"name": "updates", "order": "strict"}])
CHANNEL, PARTS = "updates/1/k", 4


class Scene:
    """Four messages of one channel: delivered, refused and handed in again, failed with an unclear attempt, waiting."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk = disk
        self.answered: dict[int, str] = {}  # number -> message whose client heard 202
        self.over: set[str] = set()  # whose end was decided before anybody was told

    def open(self, disk: FaultyDisk) -> tuple[Book, Kept]:
        """As a courier does at its start."""
        book = Book(CONTRACTS, PARTS, 100, 0)
        kept = Kept(Journal(disk, 1 << 20), book, PARTS, lambda: 0)  # type: ignore[arg-type]
        owed = {m.id: m.may_have_run() is not None for m in kept.messages.values()}
        for end in book.restore(0, kept.marks, owed):
            kept.forget(end.message)
        kept.flush()
        return book, kept

    def hand_in(self, book: Book, kept: Kept, name: str, number: int) -> None:
        contract = CONTRACTS.named("updates")
        assert contract is not None
        verdict = book.offer(0, contract, CHANNEL, name, number, None)
        assert isinstance(verdict, Take), verdict
        kept.take(StoredMessage(name, "item-status", 1, int(time.time() * 1000) + 60_000, channel=CHANNEL,
                                number=number))
        self.answered[number] = name
        book.said(0, name)

    def attempt(self, book: Book, kept: Kept, name: str, number: int) -> None:
        assert Release(name) in book.release(0)
        kept.attempt(name, number, 1, "e0")

    def play(self) -> None:
        book, kept = self.open(self.disk)
        self.hand_in(book, kept, "m1", 1)
        self.attempt(book, kept, "m1", 0)
        self.over.add("m1")
        kept.over("m1")
        self.hand_in(book, kept, "m2", 2)
        self.over.add("m2")
        kept.end("m2", "handed_back", 0)
        kept.over("m2")
        self.hand_in(book, kept, "m2b", 2)
        self.attempt(book, kept, "m2b", 0)
        kept.outcome("m2b", 0, True)
        self.over.add("m2b")
        kept.end("m2b", "given_up", 0)
        self.hand_in(book, kept, "m3", 3)


def operations() -> int:
    """Of a whole play."""
    disk = FaultyDisk(1)
    Scene(disk).play()
    return disk.count


@pytest.mark.parametrize("power", [False, True])
def test_a_courier_cut_off_anywhere_owes_what_it_answered_and_gives_no_number_twice(power: bool) -> None:
    cut = 0
    for crash_at in range(1, operations() + 1):
        disk = FaultyDisk(crash_at)
        disk.crash_at = crash_at
        scene = Scene(disk)
        try:
            scene.play()
        except (CrashError, NoRoomError):
            cut += 1
        book, kept = scene.open(disk.after_crash(power=False) if not power else disk.after_crash(power=True))
        if power:
            continue  # nothing was synced: what is left of it must be readable, and nothing more
        position = book.position(CHANNEL)
        for number, name in scene.answered.items():
            if name in scene.over:
                continue
            assert name in kept.messages, f"crash at {crash_at}: {name} was answered 202 and is not owed"
            assert book.place_of(name) == (CHANNEL, number), crash_at
        taken = max(scene.answered, default=0)
        if taken:
            assert position is not None and position.next >= taken + 1, f"crash at {crash_at}: the position went back"
            contract = CONTRACTS.named("updates")
            assert contract is not None
            verdict = book.offer(0, contract, CHANNEL, "other", taken, None)
            free = scene.answered[taken] == "m2" and "m2" in scene.over
            assert free or not isinstance(verdict, Take), f"crash at {crash_at}: number {taken} is given twice"
        for name in kept.messages:
            known = book.holds(name) or kept.messages[name].notice is not None
            assert known, f"crash at {crash_at}: {name} is owed and in no position"
    assert cut > 10
