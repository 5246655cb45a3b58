"""The journal on real files: truncation, a small disk, the old format, the tools. Crashes, damage and errors of
the disk: test_journal_crashes, test_journal_damage, test_journal_disk_errors."""

from __future__ import annotations

import contextlib
import copy
import errno
import json
import os
import shutil
import struct
import subprocess
import sys
import tempfile
import zlib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.journal import FolderInUseError, Journal, NoRoomError, StoredMessage, tools
from wheelstep.journal.segments import segment_file_name
from wheelstep.rehearsal.faulty_disk import CrashError, FaultyDisk, Inode

ROOT = Path(__file__).parent.parent
LIMIT = 3_000_000
IDS = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(st.one_of(
    st.tuples(st.just("take"), IDS, st.binary(max_size=40)),
    st.tuples(st.just("attempt"), IDS, st.integers(0, 3)),
    st.tuples(st.just("outcome"), IDS, st.integers(0, 3), st.booleans()),
    st.tuples(st.just("end"), IDS), st.tuples(st.just("over"), IDS)), max_size=25)


def play(journal: Journal, step: tuple[object, ...]) -> None:
    match step:
        case ("take", str(name), bytes(body)):
            journal.take(StoredMessage(name, "cls", 7, 1000, "key", None, False, body))
        case ("attempt", str(name), int(number)):
            journal.attempt(name, number, 50 + number, "e0")
        case ("outcome", str(name), int(number), bool(ran)):
            journal.outcome(name, number, ran)
        case ("end", str(name)):
            journal.end(name, "given_up", 5)
        case ("over", str(name)):
            journal.over(name)


@settings(max_examples=150, deadline=None)
@given(STEPS, st.data())
def test_a_cut_journal_replays_to_a_state_it_once_had(
        steps: list[tuple[object, ...]], data: st.DataObject) -> None:
    folder = Path(tempfile.mkdtemp())
    try:
        journal = Journal(folder, LIMIT)
        file = folder / segment_file_name(1)
        states, sizes = [copy.deepcopy(journal.messages)], [0]
        for step in steps:
            play(journal, step)
            states.append(copy.deepcopy(journal.messages))
            sizes.append(file.stat().st_size if file.exists() else 0)
        journal.close()
        cut = data.draw(st.integers(0, sizes[-1]))
        if file.exists():
            with file.open("r+b") as handle:
                handle.truncate(cut)
        again = Journal(folder, LIMIT)
        whole = max(i for i, size in enumerate(sizes) if size <= cut)
        assert again.messages == states[whole]
        assert list(again.messages) == list(states[whole])
        again.take(StoredMessage("new", "cls", 7, 1000, body=b"after the cut"))
        again.close()
        third = Journal(folder, LIMIT)
        assert third.messages["new"].body == b"after the cut"
        third.close()
    finally:
        shutil.rmtree(folder)


def test_on_a_small_disk_the_size_limit_is_never_exceeded(tmp_path: Path) -> None:
    """Accept 64 KiB bodies until refused; every accepted message must still get its attempts and end."""
    journal, taken = Journal(tmp_path, LIMIT), []
    most = 0

    def used() -> int:
        return sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir())

    for round_ in range(3):
        with pytest.raises(NoRoomError):
            for number in range(1000):
                journal.take(StoredMessage(f"{round_}-{number}", "cls", 7, 1000, body=b"x" * 65536))
                taken.append(f"{round_}-{number}")
                most = max(most, used())
        assert len(journal.messages) >= 30  # more than half of the disk; compaction by copying all of it left half
        for attempt in range(12):
            for name in taken:
                journal.attempt(name, attempt, 5, "e0")
                journal.outcome(name, attempt, False)
                most = max(most, used())
        for name in taken[1:]:
            journal.over(name)
        taken = taken[:1]
    assert most <= LIMIT
    state = copy.deepcopy(journal.messages)
    journal.close()
    assert Journal(tmp_path, LIMIT).messages == state


def test_compaction_keeps_state_and_order(tmp_path: Path) -> None:
    journal = Journal(tmp_path, LIMIT)
    for number in range(3000):
        journal.take(StoredMessage(f"m{number}", "cls", 7, 1000, f"k{number % 3}", "token", True, b"body"))
        journal.attempt(f"m{number}", 0, number, "e1")
        if number % 100:
            journal.over(f"m{number}")
        elif number % 200:
            journal.outcome(f"m{number}", 0, True)
        else:
            journal.end(f"m{number}", "handed_back", 7)
        while journal.wants_compaction():
            journal.compact(0.001)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 400_000
    state = copy.deepcopy(journal.messages)
    journal.close()
    again = Journal(tmp_path, LIMIT)
    assert again.messages == state and list(again.messages) == list(state)


def test_a_full_disk_refuses_new_messages_and_finishes_accepted_ones(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, LIMIT)
    for name in ("a", "b"):
        journal.take(StoredMessage(name, "cls", 7, 1000))
    journal.attempt("a", 0, 5, "e0")
    write = os.write

    def half(file: int, data: bytes) -> int:
        if len(data) > 10:
            return write(file, data[:10])
        raise OSError(errno.ENOSPC, "no space")
    monkeypatch.setattr(os, "write", half)
    with pytest.raises(NoRoomError):
        journal.take(StoredMessage("c", "cls", 7, 1000))
    with pytest.raises(OSError):
        journal.attempt("b", 0, 5, "e0")
    journal.outcome("a", 0, False)
    journal.end("b", "given_up", 0)
    assert journal.messages["a"].out == {} and journal.messages["b"].notice == ("given_up", 0)
    monkeypatch.undo()
    journal.over("b")
    journal.close()
    again = Journal(tmp_path, LIMIT)  # half a record hides nothing behind it, and what was missing is written
    assert list(again.messages) == ["a"] and again.messages["a"].out == {}


def test_another_process_on_the_folder_is_refused_and_a_dead_one_is_not(tmp_path: Path) -> None:
    code = ("import sys, time; from pathlib import Path; from wheelstep.journal import Journal; "
            "journal = Journal(Path(sys.argv[1]), 3_000_000); print('open', flush=True); time.sleep(60)")
    other = subprocess.Popen([sys.executable, "-c", code, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert other.stdout is not None and other.stdout.readline() == "open\n"
        with pytest.raises(FolderInUseError):
            Journal(tmp_path, LIMIT)
        with pytest.raises(tools.ToolError, match="in use by another process"):
            tools.inspect(tmp_path)
    finally:
        other.kill()
        other.wait()
    Journal(tmp_path, LIMIT).close()


# --- the format of version 0.1 ---

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


# --- the operator tools ---

def filled(folder: Path) -> None:
    journal = Journal(folder, LIMIT)
    for number in range(500):
        journal.take(StoredMessage(f"m{number}", "cls", 7, 1000, body=b"secret" * 50))
        journal.attempt(f"m{number}", 0, 5, "e0")
        if number % 5:
            journal.over(f"m{number}")
    journal.end("m0", "given_up", 0)
    journal.close()


def call(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "wheelstep.cli", "journal", *words], cwd=ROOT, capture_output=True,
                          text=True, timeout=60)


def test_inspect_lists_unfinished_messages_without_bodies(tmp_path: Path) -> None:
    filled(tmp_path)
    done = call("inspect", str(tmp_path), "--messages", "--json")
    found = json.loads(done.stdout)
    assert (done.returncode, found["messages"], found["owed_a_notice"], found["may_have_run"]) == (0, 100, 1, 100)
    assert found["all_messages"][1]["bytes"] == 300 and "secret" not in done.stdout
    plain = call("inspect", str(tmp_path))
    assert plain.returncode == 0 and "messages: 100" in plain.stdout


def test_compact_leaves_the_same_messages_in_less_room(tmp_path: Path) -> None:
    filled(tmp_path)
    before = Journal(tmp_path, LIMIT)
    state = copy.deepcopy(before.messages)
    before.close()
    found = json.loads(call("compact", str(tmp_path), "--json").stdout)
    assert found["messages"] == 100 and found["bytes_after"] < found["bytes_before"] / 3
    assert Journal(tmp_path, LIMIT).messages == state


def test_damage_is_reported_by_verify_refused_by_compact_and_fixed_by_repair(tmp_path: Path) -> None:
    filled(tmp_path)
    assert call("verify", str(tmp_path)).returncode == 0
    file = tmp_path / segment_file_name(1)
    data = bytearray(file.read_bytes())
    data[5_000] ^= 0xFF
    file.write_bytes(bytes(data))
    bad = call("verify", str(tmp_path), "--json")
    assert bad.returncode == 1 and json.loads(bad.stdout)["damage"][0]["file"] == segment_file_name(1)
    refused = call("compact", str(tmp_path))
    assert refused.returncode == 2 and "repair" in refused.stderr and refused.stderr.count("\n") == 1
    mended = json.loads(call("repair", str(tmp_path), "--json").stdout)
    assert mended["kept"] and Path(mended["kept"][0]).read_bytes() == bytes(data)
    assert call("verify", str(tmp_path)).returncode == 0


@pytest.mark.parametrize("verb", ["inspect", "verify", "repair", "compact"])
def test_a_missing_folder_is_reported_on_one_line(verb: str) -> None:
    done = call(verb, "/no/such/folder")
    assert done.returncode == 2 and "no folder" in done.stderr and done.stderr.count("\n") == 1


def test_a_closed_journal_refuses_messages(tmp_path: Path) -> None:
    """A late message must not be written into a segment that may already belong to the folder's next owner."""
    journal = Journal(tmp_path, LIMIT)
    journal.close()
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with pytest.raises(NoRoomError):
        journal.take(StoredMessage("m", "cls", 7, 1000))
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
