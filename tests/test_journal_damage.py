"""Damaged and missing bytes, newer formats, a second process, and a clock that steps back."""

from __future__ import annotations

import logging
import random

import pytest
from journal_cases import message, quiet  # noqa: F401 - a fixture

from wheelstep.journal import FolderInUseError, codec
from wheelstep.journal.codec import FormatError
from wheelstep.journal.durability import SyncPolicy
from wheelstep.journal.segments import segment_file_name
from wheelstep.rehearsal.faulty_disk import FaultyDisk, Inode
from wheelstep.rehearsal.journal_model import (
    JournalState,
    apply_step,
    draw_history,
    open_journal,
)


def full_disk(count: int = 30) -> FaultyDisk:
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    for number in range(count):
        journal.take(message(f"m{number}"))
    journal.close()
    return disk


@pytest.mark.parametrize("seed", range(40))
def test_after_any_damaged_byte_reading_continues_and_affected_messages_may_have_run(seed: int) -> None:
    rng = random.Random(seed)
    journal = open_journal(disk := FaultyDisk(seed), SyncPolicy.NONE)
    for step in draw_history(rng, 60):
        apply_step(journal, step)
    before = JournalState.of(journal)
    journal.close()
    disk = disk.after_crash(power=False)
    name = rng.choice(disk.names())
    data = disk.files[name].data
    last = data.rfind(codec.MARKER)  # its length field is left alone: too long a one looks like a torn record
    data[rng.choice([at for at in range(len(data)) if not last + 2 <= at < last + 6])] ^= 1 + rng.randrange(255)
    again = open_journal(disk, SyncPolicy.NONE)
    after = JournalState.of(again)
    ran = {row[0] for row in before.messages if row[3]}
    for row in after.messages:  # a message that may have run must still count as such
        assert row[0] not in ran or row[3] or row[4]
    assert len(after.messages) >= len(before.messages) - 1
    again.close()
    # What recovery decided holds at the next start, and after copying forward.
    third = open_journal(disk.after_crash(power=False), SyncPolicy.NONE)
    assert [row[:5] for row in JournalState.of(third).messages] == [row[:5] for row in after.messages]
    third.compact_all()
    assert [row[0] for row in JournalState.of(third).messages] == [row[0] for row in after.messages]


def test_damage_in_the_middle_loses_one_record_and_is_logged_with_its_offset(caplog: pytest.LogCaptureFixture) -> None:
    """Regression: all records after the first damaged one were lost."""
    logging.getLogger("wheelstep.journal").setLevel(logging.NOTSET)
    disk = full_disk().after_crash(power=False)
    data = disk.files[segment_file_name(2)].data
    start = data.find(codec.MARKER, 300)
    data[start + 20] ^= 0xFF
    journal = open_journal(disk, SyncPolicy.NONE)
    assert len(journal.messages) == 29
    assert f"00000002.journal is damaged from byte {start}" in caplog.text
    early, late = journal.messages["m0"], journal.messages["m29"]
    assert early.may_have_run() is not None and late.may_have_run() is None


def test_a_message_whose_body_was_lost_is_ended_as_failed() -> None:
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    journal.take(message("m"))
    journal.take(message("other"))
    journal.attempt("m", 0, 5, "e0")
    journal.close()
    disk = disk.after_crash(power=False)
    data = disk.files[segment_file_name(1)].data
    data[data.find(b'"m"')] ^= 0xFF
    for _ in range(2):  # also at the next start
        journal = open_journal(disk, SyncPolicy.NONE)
        assert journal.messages["m"].notice == ("given_up", 0)
        assert journal.messages["other"].notice is None
        journal.close()
        disk = disk.after_crash(power=False)


def test_after_a_missing_segment_all_earlier_messages_may_have_run() -> None:
    disk = full_disk().after_crash(power=False)
    del disk.files[segment_file_name(2)]
    journal = open_journal(disk, SyncPolicy.NONE)
    assert journal.messages["m0"].may_have_run() is not None
    assert journal.messages["m29"].may_have_run() is None


def test_a_newer_format_is_refused_and_nothing_is_touched() -> None:
    disk = FaultyDisk()
    head = codec._frame(b'h{"format":"umberchute-journal","version":2}')
    disk.files[segment_file_name(1)] = Inode(bytearray(head), head)
    with pytest.raises(FormatError, match="version 2; expected umberchute-journal version 1"):
        open_journal(disk, SyncPolicy.NONE)
    assert disk.read(segment_file_name(1)) == head and disk.lock()


def test_a_second_process_on_the_folder_is_refused() -> None:
    disk = FaultyDisk()
    journal = open_journal(disk, SyncPolicy.NONE)
    with pytest.raises(FolderInUseError):
        open_journal(disk, SyncPolicy.NONE)
    journal.close()
    open_journal(disk, SyncPolicy.NONE)


def test_a_clock_that_steps_back_changes_no_order() -> None:
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    for number, at_ms in enumerate((5_000, 1_000, 3_000)):
        journal.take(message(f"m{number}"))
        journal.attempt(f"m{number}", 0, at_ms, "e0")
        journal.attempt(f"m{number}", 1, at_ms - 900, "e1")
    again = open_journal(disk.after_crash(power=False), SyncPolicy.NONE)
    assert list(again.messages) == ["m0", "m1", "m2"]
    assert again.messages["m0"].may_have_run() == (4_100, "e1")
