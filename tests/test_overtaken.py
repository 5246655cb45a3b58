"""How a connection that has fallen silent is distinguished from a slow endpoint, and how much time a call gets."""

from __future__ import annotations

import pytest
from helpers import MS, S, SenderDriver, info, sent_messages

from wheelstep import interface as api
from wheelstep.interface import Outcome


def set_usual_round_trip(drive: SenderDriver, spent_us: int = 100 * MS, rounds: int = 20) -> None:
    """Deliver calls that take `spent_us`, so that it becomes the usual round trip at e0."""
    for number in range(rounds):
        drive.submit(f"u{number}")
        drive.now += spent_us
        drive.end(f"u{number}", Outcome.OK, spent_us=spent_us)


def cancelled(actions: list[api.Action]) -> list[tuple[str, int]]:
    """Return the cancelled attempts among these actions, as (message, attempt)."""
    return [(a.message, a.attempt) for a in actions if isinstance(a, api.CancelAttempt)]


def answer_later_calls(drive: SenderDriver, count: int, after_us: int = 10 * MS) -> list[api.Action]:
    """Send `count` later calls, answer them, and return the actions."""
    seen: list[api.Action] = []
    for number in range(count):
        drive.now += after_us
        seen += drive.submit(f"later{number}")
    for number in range(count):
        drive.now += 100 * MS
        seen += drive.end(f"later{number}", Outcome.OK, spent_us=100 * MS)
    return seen


@pytest.mark.parametrize(("cls", "least_us", "most_us"), [(0, 1000 * MS, 1300 * MS), (2, 2000 * MS, 2500 * MS)])
def test_a_call_that_later_answers_overtake_is_cancelled_once_it_is_late(cls: int, least_us: int, most_us: int) -> None:
    """Guards against calls on connections that have fallen silent, which held their slots for a promise and longer (15
    of 18 slots in one rehearsal). A call that can't be repeated gets twice the time."""
    drive = SenderDriver()
    set_usual_round_trip(drive)
    began = drive.now
    drive.submit("quiet", cls)
    seen = answer_later_calls(drive, 4)
    while not cancelled(seen) and drive.now < began + 5 * S:
        seen += drive.tick(drive.now + 50 * MS)
    assert cancelled(seen) == [("quiet", 0)]
    assert least_us <= drive.now - began <= most_us
    assert any(isinstance(a, api.CloseIdle) and a.idle_us >= drive.now - began - 50 * MS for a in seen)
    again = drive.end("quiet", Outcome.CANCELLED) + drive.tick(drive.now + 2 * S)
    if cls == 0:
        assert "quiet" in sent_messages(again)
    else:
        assert any(isinstance(a, api.Fail) and a.message == "quiet" for a in again)


def test_a_slow_endpoint_is_not_taken_for_a_silent_connection() -> None:
    """In a queue no answer overtakes another: without answers, or with answers in order, no call is cancelled early."""
    drive = SenderDriver()
    set_usual_round_trip(drive)
    for number in range(6):
        drive.now += 10 * MS
        drive.submit(f"q{number}")
    seen = drive.tick(drive.now + S)
    for number in range(6):
        drive.now += 300 * MS
        seen += drive.end(f"q{number}", Outcome.OK, spent_us=S)
    assert cancelled(seen) == []


def test_two_answers_to_later_calls_cancel_nothing() -> None:
    drive = SenderDriver()
    set_usual_round_trip(drive)
    drive.submit("quiet")
    seen = answer_later_calls(drive, 2) + drive.tick(drive.now + S)
    assert cancelled(seen) == []


def test_the_time_out_of_an_overtaken_call_does_not_make_its_endpoint_sick() -> None:
    """Guards against an endpoint that answers everything else but counts as sick after two such time-outs in a row,
    and returns by a ramp."""
    drive = SenderDriver()
    set_usual_round_trip(drive, rounds=3)
    for name in ("a", "b", "c"):
        drive.submit(name)
    for number in range(40):  # others are answered meanwhile
        drive.submit(f"later{number}")
        drive.now += 100 * MS
        drive.end(f"later{number}", Outcome.OK, spent_us=100 * MS)
    for name in ("a", "b", "c"):
        drive.end(name, Outcome.TIMEOUT, spent_us=4 * S)
    assert not any(isinstance(a, api.WriteLog) and " unavailable " in a.text for a in drive.actions)


def test_a_call_that_ends_before_it_is_late_is_not_cancelled() -> None:
    drive = SenderDriver()
    set_usual_round_trip(drive)
    drive.submit("slow")
    seen = answer_later_calls(drive, 4, after_us=MS)
    seen += drive.end("slow", Outcome.OK, spent_us=450 * MS) + drive.tick(drive.now + 5 * S)
    assert cancelled(seen) == []


def test_an_endpoint_that_is_up_again_after_a_drain_ramps_up() -> None:
    """Guards an endpoint that was restarted during a drain: it is cold, though no outage was seen."""
    def rate(drains: bool) -> int:
        drive = SenderDriver(cold_from=0.3, cold_us=10 * S, fall_multiple=1.5)
        set_usual_round_trip(drive, rounds=60)
        if drains:
            drive.members(info("e0", state=api.EndpointState.DRAINING), kind=api.ListKind.CHANGES)
            assert sent_messages(drive.submit("none")) == []
            drive.tick(drive.now + 3 * S)
            drive.members(info("e0"), kind=api.ListKind.CHANGES)
        sent = 0
        for number in range(200):
            drive.now += 10 * MS
            for name in sent_messages(drive.submit(f"n{number}", left_us=20 * S)):
                sent += 1
                drive.end(name, Outcome.OK, spent_us=10 * MS)
        return sent
    ramped, free = rate(True), rate(False)
    assert 3 <= ramped < free / 4


def test_noted_health_is_restored_in_the_next_process() -> None:
    """Guards against endpoints that return after an upgrade as if they had carried next to nothing: what they carried
    was not passed on."""
    drive = SenderDriver()
    set_usual_round_trip(drive, rounds=60)
    (note,) = drive.sender.notes(drive.now)
    assert note.health.carried > 3 and note.health.usual_us == 100 * MS
    after = SenderDriver()
    after.at(0, api.HealthRestored("e0", note.health, S))
    (again,) = after.sender.notes(0)
    assert again.health.carried == pytest.approx(note.health.carried * 0.905, rel=0.01)
    assert (again.health.usual_us, again.health.window) == (note.health.usual_us, note.health.window)
    old = SenderDriver()
    old.at(0, api.HealthRestored("e0", note.health, 60 * S))  # too old to apply
    assert old.sender.notes(0)[0].health.carried == 0


def test_a_message_with_less_time_than_a_call_takes_ends_at_once_and_the_others_are_sent() -> None:
    """Guards against a backlog as old as its deadline, sent in order with less time than a call takes: no call is
    answered, nor any behind it."""
    drive = SenderDriver(slots=4)
    set_usual_round_trip(drive, 400 * MS)
    actions = [*drive.submit("late", left_us=300 * MS), *drive.submit("fresh", left_us=5 * S)]
    assert sent_messages(actions) == ["fresh"]
    assert any(isinstance(a, api.Refuse) and a.message == "late" for a in actions)


def test_calls_that_were_cut_short_raise_the_expected_time_of_a_call() -> None:
    """Without answers, calls that were cut short are the only measurement of the round trip."""
    drive = SenderDriver()
    for number in range(4):
        drive.submit(f"m{number}", left_us=500 * MS)
        drive.now += 490 * MS
        drive.end(f"m{number}", Outcome.TIMEOUT, spent_us=490 * MS)
    assert sent_messages(drive.submit("next", left_us=500 * MS)) == []
    assert sent_messages(drive.submit("later", left_us=5 * S)) == ["later"]


def test_a_call_holds_no_message_that_would_cut_it_short() -> None:
    """Guards against a call of five messages that is abandoned when the first of them runs out of time."""
    drive = SenderDriver(kinds=(api.DestinationKind(per_call=5),))
    set_usual_round_trip(drive, 400 * MS)
    held = [api.MessageAccepted(f"m{n}", 0, 7, 5 * S if n else 380 * MS) for n in range(4)]
    assert set(sent_messages(drive.at(drive.now, *held))) == {"m1", "m2", "m3"}
