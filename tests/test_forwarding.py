"""Messages asked of another process, in memory and over sealed streams, with each fault forced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from forwarding_world import World, message
from loopback import run

from wheelstep.courier.admission import BadRequestError, UnansweredError
from wheelstep.forwarding.client import Ended
from wheelstep.forwarding.errors import AwayError, NotAskedError
from wheelstep.forwarding.link import Heard, Link, Lost
from wheelstep.forwarding.server import Turned
from wheelstep.journal import NoRoomError

both = pytest.mark.parametrize("kind", ["memory", "streams"])


@both
def test_taken_begun_known_and_withdrawn(kind: str) -> None:
    async def work() -> None:
        async with World(kind) as s:
            desk, answer = s.ask(message("m1"))
            await answer
            assert s.home.taken == {"m1": message("m1")} and desk.ended is Ended.TAKEN and s.home.begun == []
            other, answer = s.ask(message("m1"))
            with pytest.raises(UnansweredError, match="another client"):
                await answer
            assert other.ended is Ended.UNSETTLED
            other.withdraw("m1")  # not its own to withdraw
            desk.begin("m1")
            await s.home.until(lambda: s.home.begun == ["m1"])
            other, answer = s.ask(message("m1"))
            await answer
            other.begin("m1")
            assert other.ended is Ended.KNOWN and other.known
            desk, answer = s.ask(message("m2"))
            await answer
            desk.withdraw("m2")
            await s.home.until(lambda: s.home.withdrawn == ["m2"])
            assert s.home.begun == ["m1"] and s.home.noted == [("m1", 202)] and s.dials == 1
    run(work())


@both
@pytest.mark.parametrize(("error", "seen", "ended"), [
    (NoRoomError("the disk is full"), NoRoomError, Ended.FULL),
    (BadRequestError("no such class"), BadRequestError, Ended.BAD),
    (AwayError("it moved"), AwayError, Ended.AWAY),
    (NotAskedError("its next is not there"), AwayError, Ended.AWAY),
])
def test_a_desk_that_waits_and_refuses_has_withdrawn(kind: str, error: Exception, seen: type, ended: Ended) -> None:
    async def work() -> None:
        async with World(kind) as s:
            s.home.syncs = True
            desk, answer = s.ask(message("m1"))
            await s.home.until(lambda: len(s.home.waits) == 1)
            s.home.waits[0].set_exception(error)
            with pytest.raises(seen, match=str(error)) as caught:
                await answer
            assert type(caught.value) is seen and desk.ended is ended
            assert s.home.withdrawn == ["m1"]
            desk, answer = s.ask(message("m1"))
            await s.home.until(lambda: len(s.home.waits) == 2)
            s.links[0].close()  # nothing of the first is left to begin
            with pytest.raises(UnansweredError):
                await answer
            await s.home.until(lambda: s.home.withdrawn == ["m1", "m1"])
            assert s.home.begun == [] and desk.ended is Ended.SILENT
    run(work())


@both
@pytest.mark.parametrize(("spoil", "seen", "ended"), [
    (lambda s: setattr(s, "turned", Turned("away", "not home")), AwayError, Ended.AWAY),
    (lambda s: setattr(s, "turned", Turned("full", "not open")), NoRoomError, Ended.FULL),
    (lambda s: setattr(s.home, "is_full", True), NoRoomError, Ended.FULL),
    (lambda s: setattr(s.home, "serves", lambda number: False), BadRequestError, Ended.BAD),
    (lambda s: setattr(s, "reachable", False), NotAskedError, Ended.NOT_ASKED),
])
def test_what_is_turned_away_is_taken_nowhere(kind: str, spoil: Callable[[World], None], seen: type,
                                              ended: Ended) -> None:
    async def work() -> None:
        async with World(kind) as s:
            spoil(s)
            desk, answer = s.ask(message("m1"))
            with pytest.raises(seen) as caught:
                await answer
            assert type(caught.value) is seen and desk.ended is ended
            assert s.home.taken == {} and s.home.noted == ([("m1", 503)] if s.home.is_full else [])
    run(work())


@both
@pytest.mark.parametrize("how", ["never", "unanswered"])
def test_a_home_that_does_not_answer_is_told_to_forget(kind: str, how: str) -> None:
    async def work() -> None:
        async with World(kind, wait_s=10 if how == "unanswered" else 0.05) as s:
            s.home.syncs = True
            desk, answer = s.ask(message("m1"))
            if how == "unanswered":
                await s.home.until(lambda: len(s.home.waits) == 1)
                s.home.waits[0].set_exception(UnansweredError("who knows"))
                await s.home.until(lambda: s.home.withdrawn == ["m1"])
                s.time_is_up()
            with pytest.raises(UnansweredError, match="its home did not answer"):
                await answer
            await s.home.until(lambda: s.home.withdrawn == ["m1"])
            assert desk.ended is Ended.SILENT and s.home.begun == [] and all(wait.done() for wait in s.home.waits)
    run(work())


def test_a_taken_that_comes_after_the_withdraw_is_nothing() -> None:
    async def work() -> None:
        async with World("memory") as s:
            desk, answer = s.ask(message("m0"))
            await answer
            far: Any = s.links[0]
            far.hold = True
            late, answer = s.ask(message("m1"))
            await s.home.until(lambda: "m1" in s.home.taken)
            s.time_is_up()
            with pytest.raises(UnansweredError):
                await answer
            await s.home.until(lambda: s.home.withdrawn == ["m1"])
            assert [head["is"] for head, _ in far.held] == ["taken"]
            far.hold = False
            far.let_go()
            again, answer = s.ask(message("m1"))
            await answer
            late.begin("m1")  # its number is over
            again.begin("m1")
            await s.home.until(lambda: s.home.begun == ["m1"])
            assert (late.ended, again.ended) == (Ended.SILENT, Ended.TAKEN) and s.client.refused == {}
    run(work())


@both
@pytest.mark.parametrize("end", ["asker", "home"])
def test_a_connection_that_ends_begins_what_was_answered_and_withdraws_the_rest(kind: str, end: str) -> None:
    async def work() -> None:
        async with World(kind) as s:
            await s.ask(message("m1"))[1]
            s.home.syncs = True
            desk, answer = s.ask(message("m2"))
            await s.home.until(lambda: len(s.home.waits) == 1)
            if end == "asker":
                s.client.close()
            else:
                s.links[0].close()
            with pytest.raises(UnansweredError, match="its home ended"):
                await answer
            await s.home.until(lambda: s.home.begun == ["m1"] and s.home.withdrawn == ["m2"])
            assert desk.ended is Ended.SILENT
            s.home.syncs = False
            desk, answer = s.ask(message("m3"))
            if end == "home":  # dialled again
                await answer
            else:
                with pytest.raises(NotAskedError, match="can't be reached"):
                    await answer
            assert s.dials == (2 if end == "home" else 1)
    run(work())


@both
def test_two_thousand_that_stall_end_in_time_and_one_more_is_not_asked(kind: str) -> None:
    async def work() -> None:
        async with World(kind) as s:
            s.home.syncs = True
            asked = [s.ask(message(f"m{number}")) for number in range(2_000)]  # more than one wait for the dial
            for _ in range(2):
                desk, answer = s.ask(message("over"))
                with pytest.raises(NotAskedError, match="too many messages are under way to its home"):
                    await answer
                assert desk.ended is Ended.NOT_ASKED
                if not s.home.waits:
                    await s.home.until(lambda: len(s.home.waits) > 0)
            await s.home.until(lambda: len(s.home.waits) == 2_000)
            s.time_is_up()
            ends = await asyncio.gather(*(answer for _, answer in asked), return_exceptions=True)
            assert {type(one) for one in ends} == {UnansweredError}
            assert {desk.ended for desk, _ in asked} == {Ended.SILENT}
            await s.home.until(lambda: len(s.home.withdrawn) == 2_000)
            assert s.home.taken == {} and s.home.begun == [] and s.dials == 1
    run(work())


def test_a_link_that_ended_while_it_was_dialled_is_dialled_again() -> None:
    """It was kept, and everything after it was told that the other can't be reached, for good."""
    async def work() -> None:
        s = World("memory")
        dial, losses = s._dial, [True]

        async def dialled(heard: Heard, lost: Lost) -> Link | None:
            link = await dial(heard, lost)
            if losses and losses.pop():
                lost()
            return link
        s.client._dial_link = dialled
        async with s:
            with pytest.raises(NotAskedError):
                await s.ask(message("m1"))[1]
            await s.ask(message("m1"))[1]
            assert s.dials == 2
    run(work())
