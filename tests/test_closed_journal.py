"""A closed journal's folder belongs to its next owner: nothing that the former owner still does may change it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from journal_cases import message
from loopback import ALONE, LIMIT_S, Call, Scene, run
from successors import waiting_successor

from wheelstep.journal import Journal
from wheelstep.journal.durability import JournalClosedError, SyncPolicy

LIMIT = 3_000_000
EVENTS: dict[str, Callable[[Journal], object]] = {
    "attempt": lambda journal: journal.attempt("held", 1, 60, "e0"),
    "outcome": lambda journal: journal.outcome("held", 0, True),
    "end": lambda journal: journal.end("held", "given_up", 0),
    "over": lambda journal: journal.over("held"),
    "mark": lambda journal: journal.mark("f", 1),
    "unmark": lambda journal: journal.mark("known", None),
    "flush": lambda journal: journal.flush(),
    "compact": lambda journal: journal.compact(1.0),
    "compact all": lambda journal: journal.compact_all(),
    "sync": lambda journal: journal.sync_now(),
    "durable": lambda journal: asyncio.run(journal.durable()),
    "close": lambda journal: journal.close(),
}


def files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def former_owner(folder: Path, sync: SyncPolicy) -> Journal:
    """Return a closed journal of several segments, one of which waits to be removed."""
    journal = Journal(folder, LIMIT, sync, segment_bytes=700)
    journal.mark("known", 1)
    journal.take(message("held"))
    journal.attempt("held", 0, 50, "e0")
    for number in range(12):
        journal.take(message(f"gone{number}"))
        journal.over(f"gone{number}")
    journal.compact(1.0)
    journal.close()
    return journal


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(sorted(EVENTS)), min_size=1, max_size=6), st.sampled_from(SyncPolicy), st.booleans())
def test_a_closed_journal_changes_nothing_in_its_folder(events: list[str], sync: SyncPolicy, in_use: bool) -> None:
    """Guards against a former owner that begins a segment: recovery drops what the owner has written (case 1 of the
    review, 13 to 18 accepted messages lost)."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        former = former_owner(folder, sync)
        owner = Journal(folder, LIMIT) if in_use else None
        if owner is not None:
            owner.take(message("new"))
        before = files(folder)
        for event in events:
            with contextlib.suppress(OSError):
                EVENTS[event](former)
        assert files(folder) == before
        again = owner or Journal(folder, LIMIT)
        again.close()
        with contextlib.closing(Journal(folder, LIMIT)) as last:
            assert set(last.messages) == ({"held", "new"} if in_use else {"held"}) and last.marks == {"known": 1}


def test_an_attempt_is_not_sent_by_a_process_that_has_closed_its_journal(tmp_path: Path) -> None:
    """Guards against a first byte whose attempt no process has recorded."""
    former = former_owner(tmp_path, SyncPolicy.NONE)
    with pytest.raises(JournalClosedError):
        former.attempt("held", 1, 60, "e0")


def test_new_settings_before_a_handover_lose_no_message_of_the_next_process(tmp_path: Path) -> None:
    """Guards against the old process's timer after SIGHUP, which wrote into the folder that its successor had taken
    over; after a kill all that the successor had accepted was gone (case 1 of the review)."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            answered = asyncio.Event()

            async def late(call: Call) -> tuple[int, dict[str, str], bytes]:
                await answered.wait()
                return 200, {}, b""
            s.endpoint.reply = late
            settings = {**ALONE, "caps": {**ALONE["caps"], "most_tries": 10}}
            config = {**json.loads(s.courier.config(s.platform)), "settings": settings}
            async with waiting_successor(s) as (after, take_over):
                s.courier.renew(json.dumps(config))
                await s.courier.wait_log("configuration read again")
                await take_over()
                for number in range(30):
                    assert await after.hand_in(f"m{number}") == 202
                await asyncio.sleep(2.0)  # the timer that SIGHUP has set, 1.5 s, has passed
                await after.kill()
                assert not any("can't write" in line for line in s.courier.log)
                await s.courier.kill()
                s.courier.settings = settings
                tried = {call.headers["x-request-id"] for call in s.endpoint.calls}
                answered.set()
                await s.courier.start()
                async with asyncio.timeout(LIMIT_S):
                    for number in range(30):
                        while not ended(s, f"m{number}", tried):
                            await asyncio.sleep(0.02)
    run(scene())


def ended(scene: Scene, name: str, tried_before: set[str]) -> bool:
    """Return whether the end of a message was told, or one that was untried at the kill was called since."""
    calls = {call.headers["x-request-id"] for call in scene.endpoint.calls}
    return name in scene.platform.notices_heard or name in calls - tried_before
