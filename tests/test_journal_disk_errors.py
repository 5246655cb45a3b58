"""A journal whose disk is full or fails: writes, segments, recovery and syncs."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import random

import pytest
from journal_cases import message, quiet  # noqa: F401 - a fixture

from wheelstep.journal import Journal, NoRoomError
from wheelstep.journal.durability import SyncPolicy
from wheelstep.rehearsal.faulty_disk import FaultyDisk, Inode
from wheelstep.rehearsal.journal_model import (
    JOURNAL_BYTES,
    JournalState,
    apply_step,
    draw_history,
    open_journal,
)

ERROR_BURST = 6  # operations of the disk in a row that fail


def test_a_full_disk_refuses_new_messages_and_loses_none(caplog: pytest.LogCaptureFixture) -> None:
    logging.getLogger("wheelstep.journal").setLevel(logging.NOTSET)
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    journal.take(message("a"))
    journal.take(message("b"))
    journal.attempt("a", 0, 5, "e0")
    disk.room = disk.used()  # another program has filled it
    with pytest.raises(NoRoomError):
        journal.take(message("c", 2_000))
    journal.outcome("a", 0, True)
    journal.end("b", "given_up", 0)
    for number in range(600):  # until the last block is full as well
        journal.mark("e0", number)
    with pytest.raises(OSError):
        for number in range(600):
            journal.attempt("a", 1 + number, 6, "e0")
    journal.over("b")
    assert journal.messages["a"].ran_ms == 5 and "b" not in journal.messages
    with pytest.raises(NoRoomError):
        journal.take(message("d"))
    assert caplog.text.count("can't write") == 1
    disk.room = None
    journal.take(message("e"))
    assert caplog.text.count("writes again") == 1
    again = open_journal(disk.after_crash(power=False), SyncPolicy.NONE)
    assert list(again.messages) == ["a", "e"] and again.messages["a"].may_have_run() is not None


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC, errno.EROFS, errno.EDQUOT, errno.EINTR])
def test_an_error_at_any_one_operation_loses_nothing(number: int) -> None:
    """One history, with an error at each operation in turn: memory and disk must agree in the end."""
    history = draw_history(random.Random(number), 60)
    whole = open_journal(disk := FaultyDisk(1), SyncPolicy.NONE)
    for step in history:
        apply_step(whole, step)
    for point in range(1, disk.count + 1):
        disk = FaultyDisk(1)
        disk.faults = {point: number}
        try:
            journal = open_journal(disk, SyncPolicy.NONE)
        except OSError:
            continue
        for step in history:
            try:
                apply_step(journal, step)
            except OSError:  # an attempt that could not be written, and is not sent
                assert step[0] == "attempt"
        assert journal._deferred.write()
        held = JournalState.of(journal)
        again = JournalState.of(open_journal(disk.after_crash(power=False), SyncPolicy.NONE))
        assert again.messages == held.messages


@pytest.mark.parametrize("seed", range(4))
def test_the_disk_has_all_that_happened_whenever_an_attempt_or_a_message_was_written(seed: int) -> None:
    """Incident 57: a burst of errors at each operation in turn; what is written next must not overtake what was not."""
    history = draw_history(random.Random(seed), 40)
    whole = open_journal(disk := FaultyDisk(1), SyncPolicy.NONE)
    for step in history:
        apply_step(whole, step)
    for point in range(1, disk.count + 1):
        disk = FaultyDisk(1)
        journal = open_journal(disk, SyncPolicy.NONE)
        disk.faults = dict.fromkeys(range(max(point, disk.count + 1), point + ERROR_BURST), errno.EIO)
        for step in history:
            before = JournalState.of(journal)
            try:
                apply_step(journal, step)
            except OSError:
                continue
            if step[0] in ("attempt", "take") and (held := JournalState.of(journal)) != before:
                assert JournalState.of(open_journal(disk.after_crash(power=False), SyncPolicy.NONE)) == held


@pytest.mark.parametrize("broken", [{"write", "unlink"}, {"close"}, {"write", "truncate"}, {"write", "close"}])
def test_a_journal_writes_again_after_a_new_segment_could_not_be_begun_or_cleaned_up(broken: set[str]) -> None:
    """Incident 57: the file of a segment that was not begun stayed behind, and each later try found it there."""
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    for number in range(12):  # segments hold 1,000 bytes
        disk.broken = broken if number in (4, 5, 8) else set()
        with contextlib.suppress(NoRoomError):
            journal.take(message(f"m{number}", 400))
    disk.broken = set()
    journal.take(message("last", 400))
    held = JournalState.of(journal)
    assert {"m0", "m6", "m11", "last"} <= set(journal.messages)
    assert JournalState.of(open_journal(disk.after_crash(power=False), SyncPolicy.NONE)) == held


def test_a_journal_opens_although_half_a_record_can_not_be_cut_off_and_old_files_stay() -> None:
    """Incident 57: a start gave up, or waited, where the disk took no changes; reading is enough to go on."""
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    for number in range(5):
        journal.take(message(f"m{number}", 400))
    disk = disk.after_crash(power=False)
    newest = max(disk.files)
    disk.files[newest].data += disk.files[newest].data[:20]
    disk.files[f"{int(newest[:8]) + 1:08}.journal"] = Inode(bytearray(b"no record"))
    disk.broken = {"write", "truncate", "sync", "sync_folder", "unlink", "create"}
    journal = open_journal(disk, SyncPolicy.NONE)
    journal.over("m1")
    with pytest.raises(OSError):
        journal.attempt("m2", 0, 1, "e0")
    disk.broken = set()
    journal.attempt("m2", 0, 1, "e0")
    held = JournalState.of(journal)
    assert set(journal.messages) == {"m0", "m2", "m3", "m4"}
    assert JournalState.of(open_journal(disk.after_crash(power=False), SyncPolicy.NONE)) == held


def test_half_a_record_that_can_not_be_cut_off_hides_nothing_behind_it() -> None:
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.NONE)
    journal.take(message("a"))
    write, truncate = disk.write, disk.truncate

    def half(handle: int, data: bytes) -> int:
        disk.write = lambda handle, data: (_ for _ in ()).throw(OSError(errno.EIO, "broken"))  # type: ignore
        return write(handle, data[:len(data) // 2])

    def broken(handle: int, size: int) -> None:
        raise OSError(errno.EIO, "broken")

    disk.write, disk.truncate = half, broken  # type: ignore[method-assign]
    with pytest.raises(NoRoomError):
        journal.take(message("b"))
    disk.write, disk.truncate = write, truncate  # type: ignore[method-assign]
    journal.take(message("c"))
    journal.attempt("a", 0, 5, "e0")
    again = open_journal(disk.after_crash(power=False), SyncPolicy.NONE)
    assert list(again.messages) == ["a", "c"]
    assert again.messages["c"].may_have_run() is None  # a torn record is not damage


def test_a_sync_that_fails_once_is_never_trusted_again(caplog: pytest.LogCaptureFixture) -> None:
    logging.getLogger("wheelstep.journal").setLevel(logging.NOTSET)

    async def scene() -> None:
        journal = open_journal(disk := FaultyDisk(), SyncPolicy.GROUP)
        journal.take(message("a"))
        await journal.durable()
        disk.broken.add("sync")
        journal.take(message("b"))
        with pytest.raises(NoRoomError, match="sync"):
            await journal.durable()
        disk.broken.clear()
        with pytest.raises(NoRoomError, match="until the next start"):
            journal.take(message("c"))
        journal.attempt("a", 0, 1, "e0")  # accepted messages are still finished and ended
        journal.outcome("a", 0, False)
        journal.end("a", "given_up", 0)
        journal.over("a")
        assert list(journal.messages) == ["b"]
        journal.close()
    asyncio.run(scene())
    assert caplog.text.count("a sync has failed") == 1


def test_a_message_whose_own_sync_failed_is_not_back_at_the_next_start() -> None:
    """Its client was answered 503 and may send it again."""
    journal = open_journal(disk := FaultyDisk(), SyncPolicy.EACH)
    journal.take(message("a"))
    disk.broken.add("sync")
    with pytest.raises(NoRoomError):
        journal.take(message("b"))
    journal.over("a")
    assert not open_journal(disk.after_crash(power=False), SyncPolicy.EACH).messages


def test_all_waiters_share_one_sync_and_a_slow_sync_times_out() -> None:
    async def scene() -> None:
        disk = FaultyDisk()
        journal = Journal(disk, 3_000_000, SyncPolicy.GROUP)
        journal.take(message("first"))
        await journal.durable()
        syncs = 0
        sync = disk.sync

        def counted(handle: int) -> None:
            nonlocal syncs
            syncs += 1
            sync(handle)

        disk.sync = counted  # type: ignore[method-assign]

        async def one(number: int) -> None:
            journal.take(message(f"m{number}", 10))
            await journal.durable()

        await asyncio.gather(*(one(number) for number in range(50)))
        assert 1 <= syncs <= 3
        lost = disk.after_crash(power=True)
        assert len(open_journal(lost, SyncPolicy.GROUP).messages) == 51
        slow = Journal(FaultyDisk(), JOURNAL_BYTES, SyncPolicy.GROUP, wait_s=0.0)
        slow.take(message("m"))
        with pytest.raises(NoRoomError, match="no sync within"):
            await slow.durable()
    asyncio.run(scene())


def test_under_a_sync_policy_a_segment_goes_only_once_its_copies_are_synced() -> None:
    async def scene() -> None:
        journal = open_journal(disk := FaultyDisk(), SyncPolicy.GROUP)
        for number in range(60):
            journal.take(message(f"m{number}", 20))
            if number % 10:
                journal.over(f"m{number}")
        await journal.durable()
        for _ in range(40):
            journal.compact(0.0)
        assert not (open_journal(disk.after_crash(power=True), SyncPolicy.GROUP).messages.keys()
                    ^ journal.messages.keys())
        await journal.durable()
        assert not (open_journal(disk.after_crash(power=True), SyncPolicy.GROUP).messages.keys()
                    ^ journal.messages.keys())
    asyncio.run(scene())
