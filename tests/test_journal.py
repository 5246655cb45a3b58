"""The journal on real files: any cut, any restart, a small disk."""

from __future__ import annotations

import copy
import errno
import os
import shutil
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.courier.journal import Journal, NoRoomError, Stored

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
            journal.take(Stored(name, "cls", 7, 1000, "key", None, False, body))
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
        states, sizes = [copy.deepcopy(journal.messages)], [0]
        for step in steps:
            play(journal, step)
            states.append(copy.deepcopy(journal.messages))
            sizes.append((folder / "journal.log").stat().st_size)
        journal.close()
        cut = data.draw(st.integers(0, sizes[-1]))
        with (folder / "journal.log").open("r+b") as file:
            file.truncate(cut)
        again = Journal(folder, LIMIT)
        whole = max(i for i, size in enumerate(sizes) if size <= cut)
        assert again.messages == states[whole]
        assert list(again.messages) == list(states[whole])
        again.take(Stored("new", "cls", 7, 1000, body=b"after the cut"))
        again.close()
        third = Journal(folder, LIMIT)
        assert third.messages["new"].body == b"after the cut"
        third.close()
    finally:
        shutil.rmtree(folder)


def test_a_small_disk_is_never_overrun(tmp_path: Path) -> None:
    """Bodies of 64 KiB until there is no room; then everything still has its attempts and its end."""
    journal, taken = Journal(tmp_path, LIMIT), []
    most = 0

    def used() -> int:
        return sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir())

    for round_ in range(3):
        with pytest.raises(NoRoomError):
            for number in range(1000):
                journal.take(Stored(f"{round_}-{number}", "cls", 7, 1000, body=b"x" * 65536))
                taken.append(f"{round_}-{number}")
                most = max(most, used())
        assert len(journal.messages) >= 15
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
        journal.take(Stored(f"m{number}", "cls", 7, 1000, f"k{number % 3}", "token", True, b"body"))
        journal.attempt(f"m{number}", 0, number, "e1")
        if number % 100:
            journal.over(f"m{number}")
        elif number % 200:
            journal.outcome(f"m{number}", 0, True)
        else:
            journal.end(f"m{number}", "handed_back", 7)
    assert (tmp_path / "journal.log").stat().st_size < 200_000
    state = copy.deepcopy(journal.messages)
    journal.close()
    again = Journal(tmp_path, LIMIT)
    assert again.messages == state and list(again.messages) == list(state)


def test_a_compaction_that_was_cut_off_leaves_the_old_file_in_force(tmp_path: Path) -> None:
    journal = Journal(tmp_path, LIMIT)
    journal.take(Stored("m", "cls", 7, 1000, body=b"kept"))
    journal.close()
    (tmp_path / "journal.new").write_bytes(b"half a")
    assert Journal(tmp_path, LIMIT).messages["m"].body == b"kept"
    assert not (tmp_path / "journal.new").exists()


def test_a_full_disk_refuses_the_new_and_goes_on_with_the_old(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, LIMIT)
    for name in ("a", "b"):
        journal.take(Stored(name, "cls", 7, 1000))
    journal.attempt("a", 0, 5, "e0")
    write = os.write

    def half(file: int, data: bytes) -> int:
        if len(data) > 10:
            return write(file, data[:10])
        raise OSError(errno.ENOSPC, "no space")
    monkeypatch.setattr(os, "write", half)
    with pytest.raises(NoRoomError):
        journal.take(Stored("c", "cls", 7, 1000))
    with pytest.raises(OSError):
        journal.attempt("b", 0, 5, "e0")
    journal.outcome("a", 0, False)
    journal.end("b", "given_up", 0)
    assert journal.messages["a"].out == {} and journal.messages["b"].notice == ("given_up", 0)
    monkeypatch.undo()
    journal.over("b")
    journal.close()
    again = Journal(tmp_path, LIMIT)  # no half record hides what came after
    assert list(again.messages) == ["a"] and again.messages["a"].out == {0: (5, "e0")}
