"""The journal on real files: truncation, a small disk, compaction, its lock. Crashes, damage, errors of the disk, the
old format and the tools: test_journal_crashes, _damage, _disk_errors, _migration, _tools."""

from __future__ import annotations

import copy
import errno
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.journal import FolderInUseError, Journal, NoRoomError, StoredMessage, tools
from wheelstep.journal.segments import segment_file_name

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
    # The time that compaction has while a client waits counts as processor time: the machine may be busy.
    journal, taken = Journal(tmp_path, LIMIT, clock=time.process_time), []
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


def test_a_closed_journal_refuses_messages(tmp_path: Path) -> None:
    """A late message must not be written into a segment that may already belong to the folder's next owner."""
    journal = Journal(tmp_path, LIMIT)
    journal.close()
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with pytest.raises(NoRoomError):
        journal.take(StoredMessage("m", "cls", 7, 1000))
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
