"""Scripted cases of the six rules that every sender keeps, at least one for each."""

import pytest
from helpers import MS, SAFE, S, SenderDriver, final_answers, info, sent_messages

from wheelstep import interface as api
from wheelstep.interface import Outcome


def test_a_waiting_message_is_answered_before_its_deadline() -> None:
    drive = SenderDriver(listed=False)
    drive.submit("m", left_us=3 * S)
    assert final_answers(drive.tick(3 * S - 2 * MS, step_us=MS)) == [("Refuse", "m")]


def test_a_deadline_already_past_is_answered_at_once_and_never_sent() -> None:
    drive = SenderDriver()
    actions = drive.submit("m", left_us=0)
    assert final_answers(actions) == [("Refuse", "m")] and not sent_messages(actions)


def test_the_time_out_at_the_deadline_is_answered_in_the_same_batch() -> None:
    drive = SenderDriver()
    assert sent_messages(drive.submit("m", cls=2, left_us=3 * S)) == ["m"]
    drive.tick(3 * S)
    assert final_answers(drive.end("m", Outcome.TIMEOUT, spent_us=3 * S)) == [("Fail", "m")]


def test_nothing_follows_a_final_answer() -> None:
    drive = SenderDriver()
    drive.submit("m")
    drive.end("m", Outcome.OK)
    drive.end("m", Outcome.ERROR)
    assert not final_answers(drive.tick(25 * S)) and not sent_messages(drive.actions)[1:]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_unsafe_message_that_may_have_run_fails_for_good(outcome: Outcome) -> None:
    drive = SenderDriver()
    drive.submit("m", cls=2)
    assert final_answers(drive.end("m", outcome)) == [("Fail", "m")]
    assert not sent_messages(drive.tick(20 * S))


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_an_unsafe_message_that_never_ran_goes_again(outcome: Outcome) -> None:
    drive = SenderDriver()
    drive.submit("m", cls=2)
    drive.end("m", outcome)
    assert sent_messages(drive.tick(15 * S)) == ["m"]


def test_a_keyed_message_is_not_sent_after_its_key_has_expired() -> None:
    drive = SenderDriver()
    drive.submit("m", cls=1)
    drive.now = 4_900 * MS
    drive.end("m", Outcome.ERROR)
    assert not sent_messages(drive.tick(20 * S))
    assert final_answers(drive.actions) == [("Refuse", "m")]


def test_a_zone_keyed_message_stays_in_its_zone() -> None:
    cls = api.MessageClass(2 * S, 20 * S, api.Effect.KEYED, key_ttl_us=15 * S, zone_keys=True)
    drive = SenderDriver(listed=False, classes=(cls,))
    drive.members(info("e0", zone=0))
    drive.submit("m")
    drive.members(info("e0", state=api.EndpointState.DRAINING), info("e1", zone=1))
    drive.end("m", Outcome.ERROR)
    assert not sent_messages(drive.tick(18 * S))
    assert final_answers(drive.tick(20 * S)) == [("Fail", "m")]


def test_a_message_has_at_most_one_attempt_in_progress() -> None:
    drive = SenderDriver(endpoints=3)
    drive.submit("m")
    assert not sent_messages(drive.tick(15 * S))


def test_attempts_stop_at_max_attempts() -> None:
    drive = SenderDriver(max_attempts=2)
    drive.submit("m")
    drive.end("m", Outcome.ERROR)
    drive.tick(3 * S)
    assert final_answers(drive.end("m", Outcome.ERROR, attempt=1)) == [("Refuse", "m")]


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_a_draining_endpoint_gets_nothing_new(state: api.EndpointState) -> None:
    drive = SenderDriver()
    drive.members(info("e0", state=state), kind=api.ListKind.CHANGES)
    assert not sent_messages(drive.submit("m") + drive.tick(10 * S))


def test_an_endpoint_missing_from_a_whole_list_gets_nothing_new() -> None:
    drive = SenderDriver(endpoints=2)
    drive.members(info("e1"))
    for number in range(4):
        drive.submit(f"m{number}")
    assert {a.endpoint for a in drive.actions if isinstance(a, api.StartAttempt)} == {"e1"}


def test_a_requested_wait_holds_back_every_message_of_the_destination() -> None:
    drive = SenderDriver(endpoints=2)
    drive.submit("m0")
    drive.end("m0", Outcome.FULL, wait_us=3 * S)
    drive.submit("m1")
    assert not sent_messages(drive.tick(3 * S - MS))
    assert sent_messages(drive.tick(15 * S))


def test_the_longest_wait_of_one_call_applies() -> None:
    drive = SenderDriver(kinds=(api.DestinationKind(per_call=5),))
    both = [api.MessageAccepted(name, 0, 7, 20 * S) for name in ("a", "b")]
    assert sorted(sent_messages(drive.at(0, *both))) == ["a", "b"]
    drive.end("a", Outcome.FULL, wait_us=1 * S)
    drive.end("b", Outcome.FULL, wait_us=2 * S)
    assert not sent_messages(drive.tick(2 * S - MS))


def test_a_wait_applies_to_one_route_where_routes_are_apart() -> None:
    drive = SenderDriver(endpoints=2, kinds=(api.DestinationKind(routes_apart=True),))
    drive.submit("m0")
    first = next(a.endpoint for a in drive.actions if isinstance(a, api.StartAttempt))
    drive.end("m0", Outcome.FULL, endpoint=first, wait_us=3 * S)
    drive.submit("m1")
    drive.submit("m2")
    assert {a.endpoint for a in drive.actions[1:] if isinstance(a, api.StartAttempt)} - {first}


def test_messages_of_a_key_go_one_at_a_time_in_order() -> None:
    drive = SenderDriver()
    for name in ("a", "b"):
        drive.submit(name, cls=3, key="k")
    assert sent_messages(drive.actions) == ["a"]
    assert sent_messages(drive.end("a", Outcome.OK)) == ["b"]


def test_a_key_settles_after_a_time_out() -> None:
    unsafe = api.MessageClass(2 * S, 20 * S, api.Effect.UNSAFE, ordered=True)
    drive = SenderDriver(classes=(unsafe,), order_settle_us=300 * MS)
    drive.submit("a", key="k")
    drive.submit("b", key="k")
    drive.end("a", Outcome.TIMEOUT)
    assert not sent_messages(drive.tick(299 * MS, step_us=10 * MS))
    assert sent_messages(drive.tick(5 * S)) == ["b"]


def test_a_withdrawn_message_holds_its_key_until_its_attempt_ends() -> None:
    drive = SenderDriver()
    drive.submit("a", cls=3, key="k")
    drive.submit("b", cls=3, key="k")
    assert not sent_messages(drive.at(1 * S, api.MessageWithdrawn("a")))
    assert sent_messages(drive.end("a", Outcome.OK)) == ["b"]


def _run_with_outcome(drive: SenderDriver, outcome: Outcome, until_us: int) -> int:
    """Pass a message every 20 ms and end every attempt with `outcome` until then; return how many were sent."""
    count, number = 0, 0
    open_attempts: dict[str, int] = {}
    while drive.now < until_us:
        actions = drive.at(drive.now + 20 * MS, api.TimerFired(0),
                           api.MessageAccepted(f"o{number}", 0, 7, 20 * S))
        number += 1
        for name in sent_messages(actions):
            count += 1
            attempt = open_attempts.get(name, -1) + 1
            open_attempts[name] = attempt
            drive.end(name, outcome, attempt=attempt)
    return count


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR])
def test_an_outage_gets_few_calls_and_traffic_ramps_up_after_it(outcome: Outcome) -> None:
    drive = SenderDriver(hold_limit=10_000)
    assert _run_with_outcome(drive, Outcome.OK, 4 * S) > 150
    _run_with_outcome(drive, outcome, 8 * S)
    assert _run_with_outcome(drive, outcome, 12 * S) <= 6
    carried, begin = 50, drive.now
    back = _run_with_outcome(drive, Outcome.OK, begin + 3 * S)
    assert 1 <= back <= 0.5 * carried * 3
    later = _run_with_outcome(drive, Outcome.OK, begin + 12 * S)
    assert later > 3 * back


def test_a_silent_endpoint_gets_no_more_calls_long_before_its_calls_time_out() -> None:
    drive = SenderDriver(classes=(api.MessageClass(2 * S, 60 * S, api.Effect.UNSAFE),), slots=32)
    for number in range(100):
        drive.submit(f"m{number}", left_us=60 * S)
        drive.tick(drive.now + 100 * MS)
    assert len(sent_messages(drive.actions)) <= 16
    assert SAFE.promise_us < drive.now


def test_a_removed_endpoint_that_is_listed_again_gets_messages() -> None:
    drive = SenderDriver()
    drive.members(info("e1"))
    drive.members(info("e0"))
    drive.submit("m")
    assert [a.endpoint for a in drive.actions if isinstance(a, api.StartAttempt)] == ["e0"]


def test_a_destination_that_refuses_all_gets_few_calls_and_no_burst_when_it_opens() -> None:
    drive = SenderDriver(hold_limit=10_000)
    _run_with_outcome(drive, Outcome.OK, 4 * S)
    _run_with_outcome(drive, Outcome.FULL, 8 * S)
    assert _run_with_outcome(drive, Outcome.FULL, 12 * S) <= 20
    assert 1 <= _run_with_outcome(drive, Outcome.OK, 15 * S) <= 50


def _count_trials(drive: SenderDriver, until_us: int) -> int:
    """Return how many calls a sender makes to a destination that is down while messages wait."""
    count, attempts = 0, {}
    while drive.now < until_us:
        actions = drive.at(drive.now + 100 * MS, api.TimerFired(0),
                           api.MessageAccepted(f"t{drive.now}", 0, 7, 20 * S))
        for action in [a for a in actions if isinstance(a, api.StartAttempt)]:
            count += 1
            attempts[action.message] = attempts.get(action.message, -1) + 1
            drive.end(action.message, Outcome.CONNECT_FAILED, attempt=attempts[action.message],
                      endpoint=action.endpoint)
    return count


def test_one_of_many_senders_tries_a_sick_destination_less_often() -> None:
    one, many = SenderDriver(fall_multiple=2.0), SenderDriver(fall_multiple=2.0, senders=300)
    assert _count_trials(one, 60 * S) >= 15
    assert _count_trials(many, 60 * S) <= 10


def test_senders_that_know_when_a_destination_opens_do_not_all_call_at_that_moment() -> None:
    first_us = []
    for seed in range(40):
        drive = SenderDriver(endpoints=2, seed=seed, senders=40, fall_multiple=2.0)
        drive.submit("m0")
        drive.end("m0", Outcome.FULL, endpoint="e0", wait_us=4 * S)
        while not sent_messages(drive.at(drive.now + 50 * MS, api.TimerFired(0))):
            pass
        first_us.append(drive.now)
    assert min(first_us) >= 4 * S
    assert len([at for at in first_us if at < 5 * S]) <= 10


def test_an_outage_of_one_endpoint_slows_calls_to_all_until_one_is_delivered() -> None:
    drive = SenderDriver(endpoints=3, senders=300, fall_multiple=2.0)
    assert _count_trials(drive, 20 * S) <= 6
