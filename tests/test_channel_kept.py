"""A journal with channels' positions, under a crash at each operation of its disk."""

from __future__ import annotations

import time

import pytest

from wheelstep.channels.book import Accept, ChannelTable, Release
from wheelstep.channels.contracts import read_contracts
from wheelstep.channels.kept import ChannelJournal
from wheelstep.journal import Journal, NoRoomError, StoredMessage
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk

CONTRACTS = read_contracts([{"name": "updates", "order": "strict"}])
CHANNEL, PARTS = "updates/1/k", 4


class ChannelScenario:
    """Four messages of one channel: delivered; refused, its number then handed in again; failed with an unclear
    attempt; waiting."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk = disk
        self.accepted: dict[int, str] = {}  # number -> message whose client received 202
        self.ended: set[str] = set()  # messages whose end was decided; added before the journal hears of it

    def open(self, disk: FaultyDisk) -> tuple[ChannelTable, ChannelJournal]:
        """Restore as a courier does at its start."""
        table = ChannelTable(CONTRACTS, PARTS, 100, 0)
        journal = ChannelJournal(Journal(disk, 1 << 20), table, PARTS, lambda: 0)  # type: ignore[arg-type]
        owed = {m.id: m.may_have_run() is not None for m in journal.messages.values()}
        for end in table.restore(0, journal.marks, owed):
            journal.forget(end.message)
        journal.flush()
        return table, journal

    def hand_in(self, table: ChannelTable, journal: ChannelJournal, name: str, number: int) -> None:
        """Accept a message, written to the journal, and confirm it."""
        contract = CONTRACTS.named("updates")
        assert contract is not None
        verdict = table.offer(0, contract, CHANNEL, name, number, None)
        assert isinstance(verdict, Accept), verdict
        journal.take(StoredMessage(name, "item-status", 1, int(time.time() * 1000) + 60_000, channel=CHANNEL,
                                   number=number))
        self.accepted[number] = name
        table.client_answered(0, name)

    def attempt(self, table: ChannelTable, journal: ChannelJournal, name: str, number: int) -> None:
        """Release a message and start an attempt of it."""
        assert Release(name) in table.release(0)
        journal.attempt(name, number, 1, "e0")

    def run(self) -> None:
        """Run the whole scenario."""
        table, journal = self.open(self.disk)
        self.hand_in(table, journal, "m1", 1)
        self.attempt(table, journal, "m1", 0)
        self.ended.add("m1")
        journal.over("m1")
        self.hand_in(table, journal, "m2", 2)
        self.ended.add("m2")
        journal.end("m2", "handed_back", 0)
        journal.over("m2")
        self.hand_in(table, journal, "m2b", 2)
        self.attempt(table, journal, "m2b", 0)
        journal.outcome("m2b", 0, True)
        self.ended.add("m2b")
        journal.end("m2b", "given_up", 0)
        self.hand_in(table, journal, "m3", 3)


def count_operations() -> int:
    """Return the number of disk operations of a whole run."""
    disk = FaultyDisk(1)
    ChannelScenario(disk).run()
    return disk.count


@pytest.mark.parametrize("power", [False, True])
def test_crash_at_any_disk_operation_loses_no_accepted_message_and_reuses_no_number(power: bool) -> None:
    crashes = 0
    for crash_at in range(1, count_operations() + 1):
        disk = FaultyDisk(crash_at)
        disk.crash_at = crash_at
        scenario = ChannelScenario(disk)
        try:
            scenario.run()
        except (CrashError, NoRoomError):
            crashes += 1
        table, journal = scenario.open(disk.after_crash(power=False) if not power else disk.after_crash(power=True))
        if power:
            continue  # nothing was synced: the rest only has to be readable
        position = table.position(CHANNEL)
        for number, name in scenario.accepted.items():
            if name in scenario.ended:
                continue
            assert name in journal.messages, f"crash at {crash_at}: {name} was answered 202 but is not owed"
            assert table.place_of(name) == (CHANNEL, number), crash_at
        taken = max(scenario.accepted, default=0)
        if taken:
            assert position is not None and position.next >= taken + 1, f"crash at {crash_at}: the position decreased"
            contract = CONTRACTS.named("updates")
            assert contract is not None
            verdict = table.offer(0, contract, CHANNEL, "other", taken, None)
            free = scenario.accepted[taken] == "m2" and "m2" in scenario.ended
            assert free or not isinstance(verdict, Accept), f"crash at {crash_at}: number {taken} is taken twice"
        for name in journal.messages:
            known = table.holds(name) or journal.messages[name].notice is not None
            assert known, f"crash at {crash_at}: {name} is owed but in no position"
    assert crashes > 10
