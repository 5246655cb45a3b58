"""The fleet log on a disk with crashes, power loss, I/O errors and flipped bits."""

from __future__ import annotations

import errno
import random

import pytest

from wheelstep.fleet.log import COMPACT_SLACK_BYTES, NAME, Log, LogBrokenError, LogDamagedError
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk


def write_and_compact(disk: FaultyDisk, appended: list[list[bytes]], synced_count: list[int]) -> None:
    """Run three starts with appends, syncs and a compaction. `appended` receives the batches, `synced_count` the number
    of them that must survive. A compaction keeps all records."""
    for start in range(3):
        log, _ = Log.open(disk)
        for place in range(4):
            batch = [bytes([65 + start, place]) * size for size in (1, 40, 700)]
            appended.append(batch)
            log.append(batch)
            if place % 2:
                log.sync()
                synced_count[0] = len(appended)
        log.sync()
        synced_count[0] = len(appended)
        log.compact([record for batch in appended for record in batch])
        log.close()


def test_crash_or_power_loss_at_any_operation_keeps_synced_records_and_adds_none() -> None:
    """A voter that loses a synced record may grant a second lease."""
    whole = FaultyDisk(0)
    write_and_compact(whole, [], [0])
    assert whole.count > 40
    for crash_at in range(1, whole.count + 1):
        for power in (True, False):
            for seed in range(4):
                disk, appended, synced_count = FaultyDisk(seed), [], [0]
                disk.crash_at = crash_at
                with pytest.raises(CrashError):
                    write_and_compact(disk, appended, synced_count)
                log, found = Log.open(disk.after_crash(power))
                possible = [[record for batch in appended[:count] for record in batch]
                            for count in range(synced_count[0], len(appended) + 1)]
                assert found in possible, (crash_at, power, seed)
                assert log.boot >= 1


def test_boot_number_increases_at_each_start_and_after_damage() -> None:
    """Receivers refuse packets with a boot number lower than the highest seen."""
    disk = FaultyDisk(1)
    boots = []
    for _ in range(3):
        log, _ = Log.open(disk)
        boots.append(log.boot)
        log.append([b"x"])
        log.sync()
        log.close()
    log, _ = Log.open(disk, least_boot=500)
    log.close()
    assert [*boots, log.boot] == [1, 2, 3, 500]
    disk.files[NAME].data[40] ^= 1
    with pytest.raises(LogDamagedError) as damaged:
        Log.open(disk)
    assert damaged.value.boot == 500
    assert Log.create_after_damage(disk, damaged.value.boot + 1).boot == 501
    log, found = Log.open(disk)
    assert (log.boot, found) == (502, [])


def test_flipped_bit_is_detected_except_in_the_last_frame_which_is_dropped() -> None:
    """Damage to synced frames must not pass for a torn tail."""
    disk = FaultyDisk(2)
    log, _ = Log.open(disk)
    appended = [[bytes([place]) * 30] for place in range(6)]
    ends = []
    for batch in appended:
        log.append(batch)
        log.sync()
        ends.append(len(disk.files[NAME].data))
    log.close()
    sound = bytes(disk.files[NAME].data)
    rng = random.Random(5)
    for at in range(len(sound)):
        disk.files[NAME].data[:] = sound
        disk.files[NAME].data[at] ^= 1 << rng.randrange(8)
        if at < ends[-2]:
            with pytest.raises(LogDamagedError, match=r"fleet\.log: damaged at byte \d+ of"):
                Log.open(disk)
        else:
            log, found = Log.open(disk)
            log.close()
            assert found == [record for batch in appended[:-1] for record in batch]


def test_size_is_bounded_by_the_compacted_size_across_restarts() -> None:
    """The compaction threshold must survive a restart."""
    disk = FaultyDisk(3)
    live, max_size = [b"r" * 100] * 50, 0
    for _ in range(20):
        log, _ = Log.open(disk)
        for _ in range(200):
            log.append([b"c" * 200])
            log.sync()
            max_size = max(max_size, len(disk.files[NAME].data))
            if log.needs_compaction:
                log.compact(live)
        log.close()
    assert COMPACT_SLACK_BYTES < max_size < 2 * 6_000 + COMPACT_SLACK_BYTES + 1_000


def test_full_disk_raises_and_the_log_stays_usable() -> None:
    """A partial frame left by the failed write would hide later records."""
    disk = FaultyDisk(4, room=4096)
    log, _ = Log.open(disk)
    log.append([b"first"])
    log.sync()
    with pytest.raises(OSError, match="no space") as full:
        log.append([b"x" * 8000])
    assert full.value.errno == errno.ENOSPC
    disk.room = None
    log.append([b"second"])
    log.sync()
    log.close()
    assert Log.open(disk)[1] == [b"first", b"second"]


def test_after_a_failed_sync_every_write_raises() -> None:
    """After a failed sync the state on disk is unknown until the log is reopened."""
    disk = FaultyDisk(5)
    log, _ = Log.open(disk)
    log.append([b"first"])
    disk.broken = {"sync"}
    with pytest.raises(OSError, match="sync is broken"):
        log.sync()
    disk.broken = set()
    for act in (lambda: log.append([b"more"]), log.sync, lambda: log.compact([])):
        with pytest.raises(LogBrokenError):
            act()
