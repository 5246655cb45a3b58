"""Failures found in rehearsals under load, one test for each: refusals, limits and connections."""

import pytest
from helpers import MS, UNSAFE, S, SenderDriver, info, sent_messages

from wheelstep import interface as api
from wheelstep.interface import Outcome


def test_refusals_slow_a_paced_destination_at_once() -> None:
    drive = SenderDriver(slots=64, weights_are_rates=True, listed=False)
    drive.members(info("e0", weight=40.0))
    number, started = 0, []
    while drive.now < 2 * S:
        actions = drive.at(drive.now + 10 * MS, api.TimerFired(0),
                           api.MessageAccepted(f"m{number}", 0, 7, 20 * S))
        number += 1
        for action in actions:
            if isinstance(action, api.StartAttempt):
                started.append(drive.now)
                full = 1 * S < drive.now < 1_200 * MS
                drive.sender.handle(drive.now, [api.AttemptEnded(
                    action.message, 0, "e0", Outcome.FULL if full else Outcome.OK, 5 * MS, not full)])
    before = len([at for at in started if at <= 1 * S]) / 1.0
    after = len([at for at in started if at > 1_200 * MS]) / 0.8
    assert before >= 35 and after <= 0.75 * before


def test_a_probe_is_sent_where_no_message_may_go_as_a_trial() -> None:
    drive = SenderDriver(classes=(UNSAFE,), may_probe=True)
    for number in range(4):
        drive.submit(f"m{number}")
    for number in range(4):
        drive.end(f"m{number}", Outcome.RESET)
    drive.submit("late")
    assert any(isinstance(a, api.Probe) for a in drive.tick(9 * S)) and "late" not in sent_messages(drive.actions)
    answered = drive.at(drive.now, api.ProbeEnded("e0", Outcome.OK, 30 * MS))
    assert sent_messages(answered + drive.tick(16 * S)) == ["late"]


def test_a_connection_that_would_idle_out_unused_is_closed() -> None:
    drive = SenderDriver(conn_idle_us=10 * S)
    drive.submit("m")
    assert api.CloseIdle("e0") in drive.end("m", Outcome.OK)


def test_a_connection_in_steady_use_is_kept_where_handshakes_cost() -> None:
    drive = SenderDriver(conn_idle_us=10 * S, handshake_price=0.06)
    for number in range(10):
        drive.submit(f"m{number}")
        last = drive.end(f"m{number}", Outcome.OK)
        drive.tick(drive.now + 1 * S)
    assert api.CloseIdle("e0") not in last


def _delivered_by(drive: SenderDriver, count: int, until_us: int) -> int:
    """Pass `count` messages at once, deliver each call after 100 ms, and return how many are delivered by then."""
    due: list[tuple[int, str]] = []
    events: list[api.Event] = [api.MessageAccepted(f"c{i}", 0, 7, 20 * S) for i in range(count)]
    delivered = 0
    while drive.now < until_us:
        ended = [name for at, name in due if at <= drive.now]
        due = [(at, name) for at, name in due if at > drive.now]
        delivered += len(ended)
        events += [api.AttemptEnded(name, 0, "e0", Outcome.OK, 100 * MS, True) for name in ended]
        due += [(drive.now + 100 * MS, name) for name in sent_messages(drive.at(drive.now, *events))]
        events, drive.now = [api.TimerFired(0)], drive.now + 20 * MS
    return delivered


def test_a_burst_is_delivered_where_an_even_part_of_the_limit_is_next_to_nothing() -> None:
    drive = SenderDriver(slots=4, senders=300, weights_are_rates=True, listed=False)
    drive.members(info("e0", weight=5.0))
    assert _delivered_by(drive, 10, 8 * S) == 10


def test_one_of_many_senders_falls_back_to_its_even_part_when_refused() -> None:
    """Where refused calls count against the limit, the attempts of all senders together must fall below it."""
    senders, limit = 300, 15.0
    drive = SenderDriver(slots=4, senders=senders, weights_are_rates=True, listed=False)
    drive.members(info("e0", weight=limit))
    sent_us, attempts = [], {}
    for number in range(20):
        drive.submit(f"m{number}")
    while drive.now < 60 * S:
        for name in sent_messages(drive.at(drive.now + 100 * MS, api.TimerFired(0),
                                   api.MessageAccepted(f"n{drive.now}", 0, 7, 20 * S))):
            sent_us.append(drive.now)
            attempts[name] = attempts.get(name, -1) + 1
            drive.end(name, Outcome.FULL, attempt=attempts[name])
    assert len([at for at in sent_us if at > 20 * S]) <= 2 + 40 * limit / senders


@pytest.mark.parametrize(("pause_us", "at_once"), [(5 * S, False), (15 * S, True)])
def test_an_endpoint_that_is_removed_and_listed_again_is_healthy_once_its_destination_is_warm(
        pause_us: int, at_once: bool) -> None:
    """Guards against a destination that returns from an outage under another name, and gets its full load cold."""
    drive = SenderDriver()
    for number in range(2):
        drive.submit(f"m{number}", cls=number)
        drive.end(f"m{number}", Outcome.CONNECT_FAILED)
    assert not sent_messages(drive.submit("waits"))  # it counts as sick
    drive.members(info("e1"))
    assert "waits" in sent_messages(drive.tick(15 * S))
    drive.end("waits", Outcome.OK, endpoint="e1")
    drive.tick(drive.now + pause_us)
    drive.members(info("e0"))
    assert (sent_messages(drive.submit("afresh")) == ["afresh"]) == at_once
    assert at_once or "afresh" in sent_messages(drive.tick(drive.now + 10 * S))


def _closes_idle_after(drive: SenderDriver, number: int, pause_us: int, outcome: Outcome) -> bool:
    """Make one call after a pause; return whether idle connections were closed before it."""
    drive.tick(drive.now + pause_us)
    actions = drive.submit(f"p{number}", cls=2)
    drive.now += 100 * MS
    drive.end(f"p{number}", outcome)
    starts = [type(a) for a in actions if isinstance(a, api.StartAttempt | api.CloseIdle)]
    return starts == [api.CloseIdle, api.StartAttempt]


def test_after_a_reset_idle_connections_are_closed_before_calls_that_follow_as_long_a_pause() -> None:
    drive = SenderDriver()
    assert not _closes_idle_after(drive, 0, 0, Outcome.OK)
    assert not _closes_idle_after(drive, 1, 4 * S, Outcome.OK)
    assert not any(_closes_idle_after(drive, number, 100 * MS, Outcome.OK) for number in range(10, 20))
    assert not _closes_idle_after(drive, 2, 4 * S, Outcome.RESET)
    assert _closes_idle_after(drive, 3, 4 * S, Outcome.OK)
    assert not _closes_idle_after(drive, 4, 500 * MS, Outcome.OK)
    assert _closes_idle_after(drive, 5, 60 * S, Outcome.OK)
    assert not _closes_idle_after(drive, 6, 4 * S, Outcome.OK)
