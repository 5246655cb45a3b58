"""Forwarded messages, in memory and over sealed streams, with each fault forced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from forwarding_world import ForwardingPair, message
from loopback import run

from wheelstep.courier.admission import BadRequestError, UnansweredError
from wheelstep.forwarding.client import AskOutcome
from wheelstep.forwarding.errors import AwayError, NotAskedError
from wheelstep.forwarding.link import Link, OnEnd, OnFrame
from wheelstep.forwarding.server import Refusal
from wheelstep.journal import NoRoomError

both_link_kinds = pytest.mark.parametrize("kind", ["memory", "streams"])


@both_link_kinds
def test_ask_is_taken_begun_known_and_withdrawn(kind: str) -> None:
    async def work() -> None:
        async with ForwardingPair(kind) as pair:
            remote, answer = pair.ask(message("m1"))
            await answer
            assert (pair.owner.taken == {"m1": message("m1")} and remote.outcome is AskOutcome.TAKEN
                    and pair.owner.begun == [])
            other, answer = pair.ask(message("m1"))
            with pytest.raises(UnansweredError, match="another client"):
                await answer
            assert other.outcome is AskOutcome.UNSETTLED
            other.withdraw("m1")  # ignored, as the other ask took the message
            remote.begin("m1")
            await pair.owner.until(lambda: pair.owner.begun == ["m1"])
            other, answer = pair.ask(message("m1"))
            await answer
            other.begin("m1")
            assert other.outcome is AskOutcome.KNOWN and other.known
            remote, answer = pair.ask(message("m2"))
            await answer
            remote.withdraw("m2")
            await pair.owner.until(lambda: pair.owner.withdrawn == ["m2"])
            assert pair.owner.begun == ["m1"] and pair.owner.recorded == [("m1", 202)] and pair.dials == 1
    run(work())


@both_link_kinds
@pytest.mark.parametrize(("error", "seen", "outcome"), [
    (NoRoomError("the disk is full"), NoRoomError, AskOutcome.FULL),
    (BadRequestError("no such class"), BadRequestError, AskOutcome.BAD),
    (AwayError("it moved"), AwayError, AskOutcome.AWAY),
    (NotAskedError("its next owner is not there"), AwayError, AskOutcome.AWAY),
])
def test_message_refused_during_its_sync_is_withdrawn(kind: str, error: Exception, seen: type,
                                                      outcome: AskOutcome) -> None:
    async def work() -> None:
        async with ForwardingPair(kind) as pair:
            pair.owner.syncs = True
            remote, answer = pair.ask(message("m1"))
            await pair.owner.until(lambda: len(pair.owner.waits) == 1)
            pair.owner.waits[0].set_exception(error)
            with pytest.raises(seen, match=str(error)) as caught:
                await answer
            assert type(caught.value) is seen and remote.outcome is outcome
            assert pair.owner.withdrawn == ["m1"]
            remote, answer = pair.ask(message("m1"))
            await pair.owner.until(lambda: len(pair.owner.waits) == 2)
            pair.links[0].close()  # the refused ask is not begun
            with pytest.raises(UnansweredError):
                await answer
            await pair.owner.until(lambda: pair.owner.withdrawn == ["m1", "m1"])
            assert pair.owner.begun == [] and remote.outcome is AskOutcome.SILENT
    run(work())


@both_link_kinds
@pytest.mark.parametrize(("cause_refusal", "seen", "outcome"), [
    (lambda pair: setattr(pair, "refusal", Refusal("away", "not served here")), AwayError, AskOutcome.AWAY),
    (lambda pair: setattr(pair, "refusal", Refusal("full", "not open")), NoRoomError, AskOutcome.FULL),
    (lambda pair: setattr(pair.owner, "is_full", True), NoRoomError, AskOutcome.FULL),
    (lambda pair: setattr(pair.owner, "serves", lambda number: False), BadRequestError, AskOutcome.BAD),
    (lambda pair: setattr(pair, "reachable", False), NotAskedError, AskOutcome.NOT_ASKED),
])
def test_refused_message_is_not_taken(kind: str, cause_refusal: Callable[[ForwardingPair], None], seen: type,
                                      outcome: AskOutcome) -> None:
    async def work() -> None:
        async with ForwardingPair(kind) as pair:
            cause_refusal(pair)
            remote, answer = pair.ask(message("m1"))
            with pytest.raises(seen) as caught:
                await answer
            assert type(caught.value) is seen and remote.outcome is outcome
            assert pair.owner.taken == {} and pair.owner.recorded == ([("m1", 503)] if pair.owner.is_full else [])
    run(work())


@both_link_kinds
@pytest.mark.parametrize("how", ["never", "unanswered"])
def test_ask_without_answer_in_time_is_withdrawn(kind: str, how: str) -> None:
    async def work() -> None:
        async with ForwardingPair(kind, wait_s=10 if how == "unanswered" else 0.05) as pair:
            pair.owner.syncs = True
            remote, answer = pair.ask(message("m1"))
            if how == "unanswered":
                await pair.owner.until(lambda: len(pair.owner.waits) == 1)
                pair.owner.waits[0].set_exception(UnansweredError("unknown"))
                await pair.owner.until(lambda: pair.owner.withdrawn == ["m1"])
                pair.time_out_all()
            with pytest.raises(UnansweredError, match="its owner did not answer"):
                await answer
            await pair.owner.until(lambda: pair.owner.withdrawn == ["m1"])
            assert (remote.outcome is AskOutcome.SILENT and pair.owner.begun == []
                    and all(wait.done() for wait in pair.owner.waits))
    run(work())


def test_late_answer_after_the_withdraw_is_ignored() -> None:
    async def work() -> None:
        async with ForwardingPair("memory") as pair:
            remote, answer = pair.ask(message("m0"))
            await answer
            owner_end: Any = pair.links[0]
            owner_end.hold = True
            late, answer = pair.ask(message("m1"))
            await pair.owner.until(lambda: "m1" in pair.owner.taken)
            pair.time_out_all()
            with pytest.raises(UnansweredError):
                await answer
            await pair.owner.until(lambda: pair.owner.withdrawn == ["m1"])
            assert [head["is"] for head, _ in owner_end.held] == ["taken"]
            owner_end.hold = False
            owner_end.release()
            again, answer = pair.ask(message("m1"))
            await answer
            late.begin("m1")  # ignored, as its ask has ended
            again.begin("m1")
            await pair.owner.until(lambda: pair.owner.begun == ["m1"])
            assert ((late.outcome, again.outcome) == (AskOutcome.SILENT, AskOutcome.TAKEN)
                    and pair.client.invalid_answers == {})
    run(work())


@both_link_kinds
@pytest.mark.parametrize("end", ["asker", "owner"])
def test_connection_end_begins_answered_asks_and_withdraws_the_rest(kind: str, end: str) -> None:
    async def work() -> None:
        async with ForwardingPair(kind) as pair:
            await pair.ask(message("m1"))[1]
            pair.owner.syncs = True
            remote, answer = pair.ask(message("m2"))
            await pair.owner.until(lambda: len(pair.owner.waits) == 1)
            if end == "asker":
                pair.client.close()
            else:
                pair.links[0].close()
            with pytest.raises(UnansweredError, match="its owner ended"):
                await answer
            await pair.owner.until(lambda: pair.owner.begun == ["m1"] and pair.owner.withdrawn == ["m2"])
            assert remote.outcome is AskOutcome.SILENT
            pair.owner.syncs = False
            remote, answer = pair.ask(message("m3"))
            if end == "owner":  # dialled again
                await answer
            else:
                with pytest.raises(NotAskedError, match="can't be reached"):
                    await answer
            assert pair.dials == (2 if end == "owner" else 1)
    run(work())


@both_link_kinds
def test_asks_beyond_the_bound_fail_at_once_and_stalled_ones_time_out(kind: str) -> None:
    async def work() -> None:
        async with ForwardingPair(kind) as pair:
            pair.owner.syncs = True
            asked = [pair.ask(message(f"m{number}")) for number in range(2_000)]  # several of them wait for the dial
            for _ in range(2):
                remote, answer = pair.ask(message("over"))
                with pytest.raises(NotAskedError, match="too many messages are under way to its owner"):
                    await answer
                assert remote.outcome is AskOutcome.NOT_ASKED
                if not pair.owner.waits:
                    await pair.owner.until(lambda: len(pair.owner.waits) > 0)
            await pair.owner.until(lambda: len(pair.owner.waits) == 2_000)
            pair.time_out_all()
            ends = await asyncio.gather(*(answer for _, answer in asked), return_exceptions=True)
            assert {type(one) for one in ends} == {UnansweredError}
            assert {remote.outcome for remote, _ in asked} == {AskOutcome.SILENT}
            await pair.owner.until(lambda: len(pair.owner.withdrawn) == 2_000)
            assert pair.owner.taken == {} and pair.owner.begun == [] and pair.dials == 1
    run(work())


def test_link_that_ends_while_it_is_dialled_is_dialled_again() -> None:
    """Guards against a dead link that is kept as the connection, so that every later ask fails as not reachable."""
    async def work() -> None:
        pair = ForwardingPair("memory")
        dial, ends = pair._dial, [True]  # ends the first link that is dialled

        async def dial_and_end(on_frame: OnFrame, on_end: OnEnd) -> Link | None:
            link = await dial(on_frame, on_end)
            if ends and ends.pop():
                on_end()
            return link
        pair.client._dial_link = dial_and_end
        async with pair:
            with pytest.raises(NotAskedError):
                await pair.ask(message("m1"))[1]
            await pair.ask(message("m1"))[1]
            assert pair.dials == 2
    run(work())
