"""Migration between layouts loses and doubles no message, wherever it is interrupted."""

from __future__ import annotations

import os
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from wheelstep.journal import Journal, StoredMessage
from wheelstep.workers.layout import LAYOUT_FILE, Layout, LayoutError, prepare, read_layout
from wheelstep.workers.ownership import share_of

LIMIT_BYTES = 50_000_000


def fill(folder: Path, count: int = 60) -> None:
    """Write a journal of messages in several states, and a mark."""
    journal = Journal(folder, LIMIT_BYTES)
    for number in range(count):
        journal.take(StoredMessage(f"m{number}", "pay", number % 13, 10**13, f"k{number % 5}", "t", False,
                                   b"x" * number))
        if number % 3 == 0:
            journal.attempt(f"m{number}", 0, 1_000 + number, "e1")
        if number % 6 == 0:
            journal.outcome(f"m{number}", 0, True)
        if number % 10 == 9:
            journal.end(f"m{number}", "given_up", 0)
    journal.mark("e1", [1, True, False, 2.0, 0.5])
    journal.close()


def stored_messages(state: Path) -> dict[str, tuple[Any, ...]]:
    """Return the stored fields of every message of the valid layout, by id. Checks that each is in its share, in order,
    and that every share has the mark."""
    layout = read_layout(state)
    found: dict[str, tuple[Any, ...]] = {}
    for share in range(layout.shares):
        journal = Journal(layout.folder(state, share), LIMIT_BYTES)
        for one in journal.messages.values():
            assert one.id not in found
            assert not layout.generation or share_of(one.destination, layout.shares) == share
            found[one.id] = (one.message_class, one.destination, one.deadline_ms, one.key, one.token, one.body,
                             one.attempts, one.ran_ms, one.ran_at, one.out, one.notice)
        for destination in range(13):
            numbers = [int(one.id[1:]) for one in journal.messages.values() if one.destination == destination]
            assert numbers == sorted(numbers)  # keeps the order of a key
        assert journal.marks == {"e1": [1, True, False, 2.0, 0.5]}
        journal.close()
    return found


def test_messages_survive_migration_to_shares_and_back(tmp_path: Path) -> None:
    fill(tmp_path)
    before = stored_messages(tmp_path)
    for shares in (8, 3, 8, 1, 0):
        assert prepare(tmp_path, shares, LIMIT_BYTES).shares == max(shares, 1)
        assert stored_messages(tmp_path) == before
    assert read_layout(tmp_path) == Layout(0, 1)
    assert [path.name for path in tmp_path.iterdir() if path.is_dir() or path.name == LAYOUT_FILE] == []


def test_prepare_keeps_an_equal_layout(tmp_path: Path) -> None:
    fill(tmp_path)
    layout = prepare(tmp_path, 4, LIMIT_BYTES)
    assert prepare(tmp_path, 4, LIMIT_BYTES) == layout == read_layout(tmp_path)


class Interrupted(Exception):
    """Stands for the end of the process."""


@pytest.mark.parametrize("shares", [5, 0])
def test_migration_interrupted_at_any_step_is_completed_by_the_next(tmp_path: Path, shares: int,
                                                                    monkeypatch: pytest.MonkeyPatch) -> None:
    """Interrupts each removal, rename, write and folder creation in turn, until a run is not interrupted."""
    start = tmp_path / "start"
    start.mkdir()
    fill(start)
    prepare(start, 4, LIMIT_BYTES)
    before = stored_messages(start)
    steps = 0
    while True:
        state = tmp_path / f"run-{steps}"
        shutil.copytree(start, state)
        steps_left = steps

        def counted(function: Callable[..., Any]) -> Callable[..., Any]:
            def step(*args: Any, **named: Any) -> Any:
                nonlocal steps_left
                if steps_left == 0:
                    raise Interrupted
                steps_left -= 1
                return function(*args, **named)
            return step
        with monkeypatch.context() as patch:
            for owner, name in ((os, "replace"), (os, "unlink"), (shutil, "rmtree"), (Path, "mkdir"), (Path, "unlink"),
                                (Journal, "take"), (Journal, "mark"), (Journal, "sync_now")):
                patch.setattr(owner, name, counted(getattr(owner, name)))
            try:
                prepare(state, shares, LIMIT_BYTES)
                done = True
            except Interrupted:
                done = False
        prepare(state, shares, LIMIT_BYTES)
        assert stored_messages(state) == before and read_layout(state).shares == max(shares, 1)
        shutil.rmtree(state)
        if done:
            break
        steps += 1
    assert steps > 60


def test_migration_without_room_for_both_copies_changes_nothing(tmp_path: Path) -> None:
    fill(tmp_path)
    before = stored_messages(tmp_path)
    with pytest.raises(LayoutError, match="expected room for another copy"):
        prepare(tmp_path, 4, 5_000)
    assert stored_messages(tmp_path) == before and read_layout(tmp_path) == Layout(0, 1)


def test_folder_in_use_or_invalid_layout_file_is_refused(tmp_path: Path) -> None:
    fill(tmp_path)
    journal = Journal(tmp_path, LIMIT_BYTES)
    with pytest.raises(LayoutError, match="another process has"):
        prepare(tmp_path, 4, LIMIT_BYTES)
    journal.close()
    for text in ("", "{}", '{"generation": -1, "shares": 4}', '{"generation": 1, "shares": 0}', "\0"):
        (tmp_path / LAYOUT_FILE).write_text(text)
        with pytest.raises(LayoutError, match="expected the file as umberchute wrote it"):
            prepare(tmp_path, 4, LIMIT_BYTES)
    (tmp_path / LAYOUT_FILE).unlink()
    assert len(stored_messages(tmp_path)) == 60
