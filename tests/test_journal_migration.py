"""The journal of version 0.1 on real files: taken over in place, and again after a downgrade."""

from __future__ import annotations

import contextlib
import json
import struct
import zlib
from pathlib import Path
from typing import Any

from wheelstep.journal import Journal, StoredMessage
from wheelstep.journal.segments import segment_file_name
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk, Inode

LIMIT = 3_000_000


def old_record(head: dict[str, Any], body: bytes = b"") -> bytes:
    payload = json.dumps(head, separators=(",", ":")).encode() + b"\n" + body
    return struct.pack(">II", len(payload), zlib.crc32(payload)) + payload


def old_message(name: str, **fields: Any) -> bytes:
    return old_record({"t": "m", "i": name, "c": "cls", "d": 7, "by": 1000, "k": "key", "tk": "token", "re": True,
                       "n": 0, "rm": None, "ra": None, "out": {}, "no": None, **fields}, b"body of " + name.encode())


OLD = [old_message("a"), old_message("b"), old_message("c", n=2, rm=70, ra="e9", out={"1": [80, "e1"]}),
       old_record({"t": "a", "i": "a", "n": 0, "at": 90, "e": "e0"}), old_record({"t": "x", "i": "b"}),
       old_record({"t": "e", "i": "c", "o": "given_up", "ms": 0}),
       old_record({"t": "k", "i": "e0", "v": [1, True, False, 2.0, 0.0]})]


def check_migrated(journal: Journal) -> None:
    assert list(journal.messages) == ["a", "c"]
    a, c = journal.messages.values()
    assert (a.body, a.key, a.token, a.resubmitted, a.out) == (b"body of a", "key", "token", True, {0: (90, "e0")})
    assert c.notice == ("given_up", 0) and c.attempts == 2 and c.may_have_run() == (70, "e9")
    assert journal.marks == {"e0": [1, True, False, 2.0, 0.0]}


def test_an_old_format_journal_is_migrated_in_place(tmp_path: Path) -> None:
    (tmp_path / "journal.log").write_bytes(b"".join(OLD) + OLD[0][:20])  # and a torn record
    (tmp_path / "journal.new").write_bytes(b"half a")
    for _ in range(2):
        journal = Journal(tmp_path, LIMIT)
        check_migrated(journal)
        journal.close()
        assert [path.name for path in tmp_path.iterdir()] == [segment_file_name(1)]


def test_a_migration_interrupted_at_any_point_loses_nothing() -> None:
    for power in (False, True):
        for point in range(1, 12):
            disk = FaultyDisk(point)
            data = b"".join(OLD)
            disk.files["journal.log"] = Inode(bytearray(data), data)
            disk.sync_folder()
            disk.crash_at = disk.count + point
            with contextlib.suppress(CrashError):
                Journal(disk, LIMIT)
            check_migrated(Journal(disk.after_crash(power), LIMIT))


def test_damage_in_an_old_format_journal_is_skipped(tmp_path: Path) -> None:
    data = bytearray(b"".join(OLD))
    data[len(OLD[0]) + 30] ^= 0xFF  # in a message that is finished anyway
    (tmp_path / "journal.log").write_bytes(bytes(data))
    check_migrated(Journal(tmp_path, LIMIT))


def test_messages_accepted_by_the_old_version_after_a_downgrade_are_kept(tmp_path: Path) -> None:
    journal = Journal(tmp_path, LIMIT)
    journal.take(StoredMessage("new", "cls", 7, 1000))
    journal.close()
    (tmp_path / "journal.log").write_bytes(old_message("old"))
    journal = Journal(tmp_path, LIMIT)
    assert list(journal.messages) == ["new", "old"]
    journal.close()
    assert list(Journal(tmp_path, LIMIT).messages) == ["new", "old"]
