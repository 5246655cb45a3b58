"""The order of keys as the calls observe it, without sockets: turns, settle periods, and what the next process is
told.
"""

from __future__ import annotations

import pytest
from helpers import MS, S, SenderDriver, sent_messages
from hypothesis import given
from hypothesis import strategies as st

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.flight_recorder import EventKind, FlightRecorder
from wheelstep.courier.handover_state import continue_settling
from wheelstep.courier.invariants import MAX_LOGGED, Invariant, Invariants
from wheelstep.courier.key_order import Block, KeyOrder
from wheelstep.courier.send_guard import SendGuard
from wheelstep.journal import StoredMessage

SETTLE_S = 0.3


@pytest.fixture
def order() -> KeyOrder:
    """Two messages of one key, one of another, and one without a key."""
    made = KeyOrder(SETTLE_S)
    made.accepted("first", "k")
    made.accepted("second", "k")
    made.accepted("other", "o")
    made.accepted("free", None)
    return made


def test_messages_of_a_key_are_sent_one_at_a_time_in_the_order_of_acceptance(order: KeyOrder) -> None:
    """Guards against a message that overtakes an earlier one of its key."""
    assert [order.block(name, 0.0) for name in ("first", "second", "other", "free")] == [
        None, Block.EARLIER, None, None]
    order.attempt_started("first", 0)
    order.attempt_ended("first", 0, False, 1.0)
    order.completed("first", 1.0)
    assert order.block("second", 1.0) is None


def test_a_key_settles_after_an_attempt_that_may_still_run_also_once_its_message_is_complete(order: KeyOrder) -> None:
    """Guards against a message that is sent while an attempt of a completed message of its key may still run."""
    order.attempt_started("first", 0)
    order.attempt_ended("first", 0, True, 1.0)
    assert order.block("first", 1.0) is None  # it is first in its key, and may be tried again
    order.completed("first", 1.1)
    assert order.block("second", 1.299) is Block.SETTLING
    assert order.block("second", 1.3) is None


def test_next_message_of_a_key_waits_for_the_answer_to_a_notification(order: KeyOrder) -> None:
    """Guards against a message that is sent while the platform does not yet know how the one before it ended."""
    order.notification_pending("first", "k")
    assert order.block("second", 0.0) is Block.NOTIFICATION
    order.completed("first", 0.0)
    assert order.block("second", 0.0) is None


def test_open_call_of_a_message_set_aside_still_blocks_its_key(order: KeyOrder) -> None:
    """Guards against a message set aside whose open call is forgotten, so that the next message of its key runs
    beside it."""
    order.attempt_started("first", 0)
    order.completed("first", 1.0)
    assert order.block("second", 1.0) is Block.ATTEMPT
    order.attempt_ended("first", 0, True, 2.0)
    assert order.block("second", 2.2) is Block.SETTLING
    assert order.block("second", 2.3) is None


def test_next_process_takes_over_settle_periods(order: KeyOrder) -> None:
    """Guards against a handover that loses settle periods, or applies them to other keys."""
    order.attempt_started("first", 0)
    order.attempt_ended("first", 0, True, 1.0)
    order.completed("first", 1.0)
    after = KeyOrder(SETTLE_S)
    event = continue_settling(after, order.settling(1.1), 99.0, 1.1)
    assert event is not None and event.all_us == 0 and [key for key, _ in event.keys] == ["k"]
    assert 200_000 <= event.keys[0][1] <= 200_002
    after.accepted("second", "k")
    after.accepted("other", "o")
    assert after.block("second", 1.29) is Block.SETTLING and after.block("other", 1.29) is None
    assert after.block("second", 1.31) is None
    assert continue_settling(KeyOrder(SETTLE_S), {}, 99.0, 1.1) is None


def test_message_tried_before_a_handover_does_not_wait_for_its_own_settle_period(order: KeyOrder) -> None:
    """Guards against a handover that takes the settle period of a message's own attempt for one of an earlier message:
    its repeats were stopped."""
    order.attempt_started("first", 0)
    order.attempt_ended("first", 0, True, 1.0)
    after = KeyOrder(SETTLE_S)
    continue_settling(after, order.settling(1.1), 99.0, 1.1)
    after.accepted("first", "k", tried=True)
    after.accepted("second", "k")
    assert after.block("first", 1.1) is None
    after.completed("first", 1.1)
    assert after.block("second", 1.29) is Block.SETTLING and after.block("second", 1.31) is None


def test_after_a_restart_every_key_settles_except_for_a_message_that_was_tried() -> None:
    """Guards against attempts of a killed process that may still run: which keys they concern is unknown, so all
    keys settle; a message tried before had its turn already."""
    order = KeyOrder(SETTLE_S)
    event = continue_settling(order, None, 5.0, 4.9)
    assert event is not None and 100_000 <= event.all_us <= 100_002 and not event.keys
    order.accepted("untried", "k")
    order.accepted("tried", "o", tried=True)
    assert order.block("untried", 4.99) is Block.SETTLING and order.block("tried", 4.99) is None
    assert order.block("untried", 5.0) is None
    assert continue_settling(KeyOrder(SETTLE_S), None, 4.0, 4.9) is None


@given(st.lists(st.tuples(st.sampled_from(["accept", "start", "end", "break", "complete"]), st.integers(0, 5),
                          st.integers(0, 2)), max_size=60))
def test_no_state_is_kept_once_all_messages_are_complete_and_settled(steps: list[tuple[str, int, int]]) -> None:
    """Guards against state that grows with the messages processed: in any order of events, all of it is removed in
    the end."""
    order, now_s = KeyOrder(SETTLE_S), 0.0
    for what, number, key in steps:
        now_s += 0.1
        name = f"m{number}-{key}"
        match what:
            case "accept":
                order.accepted(name, f"k{key}")
            case "start":
                order.attempt_started(name, 0)
            case "end" | "break":
                order.attempt_ended(name, 0, what == "break", now_s)
            case "complete":
                order.completed(name, now_s)
    for number in range(6):
        for key in range(3):
            order.attempt_ended(f"m{number}-{key}", 0, False, now_s)
            order.completed(f"m{number}-{key}", now_s)
    order.accepted("last", "last")
    order.completed("last", now_s + 9.0)
    assert len(order) == 0 and not order.settling(now_s + 9.0)


def test_send_guard_stops_and_counts_attempts_that_break_an_invariant(
        order: KeyOrder, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against wrong decisions of the decision module: an attempt out of order or a forbidden repeat must not
    be sent, and the log must show the events before it."""
    recorder = FlightRecorder()
    recorder.note(0.5, EventKind.ACCEPTED, "first", "k")
    invariants = Invariants(recorder)
    guard = SendGuard(order, invariants)
    second = StoredMessage("second", "c", 7, 0, key="k")
    assert not guard.may_send(second, Item("second", 0, None, b""), 1.0)
    assert "KEY_ORDER" in caplog.text and "0.500 accepted first" in caplog.text
    fee = StoredMessage("fee", "c", 7, 0, attempts=1, ran_ms=5, ran_at="e0")
    assert not guard.may_send(fee, Item("fee", 1, None, b"", once=True), 1.0)
    assert guard.may_send(fee, Item("fee", 1, None, b""), 1.0)
    fee.ran_ms, fee.out = None, {1: (5, "e0")}
    assert guard.may_send(fee, Item("fee", 1, None, b"", once=True), 1.0)  # the second check of the same attempt
    assert invariants.summary() == "1 KEY_ORDER, 1 SENT_ONCE"


def test_violations_beyond_the_log_limit_are_only_counted(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log flooded by a violation that repeats."""
    invariants = Invariants(FlightRecorder())
    for _ in range(MAX_LOGGED + 5):
        invariants.report_violation(Invariant.ANSWERED, "x")
    assert invariants.violations[Invariant.ANSWERED] == MAX_LOGGED + 5
    assert caplog.text.count("invariant violated") == MAX_LOGGED


def test_decision_module_waits_for_the_settle_periods_of_the_previous_process() -> None:
    """Guards against a decision module that starts a message which the send guard would stop, as its key still
    settles from the previous process."""
    drive = SenderDriver(order_settle_us=300 * MS)
    drive.at(0, api.KeysSettling((("k", 200 * MS),)))
    assert not sent_messages(drive.submit("a", 3, key="k")) and sent_messages(drive.submit("b", 3, key="o")) == ["b"]
    assert not sent_messages(drive.tick(199 * MS, MS))
    assert sent_messages(drive.tick(201 * MS, MS)) == ["a"]


def test_decision_module_repeats_a_message_tried_before_a_handover_while_its_own_attempt_settles() -> None:
    """Guards against a decision module that delays such a repeat, or lets the next message of the key go early."""
    drive = SenderDriver(order_settle_us=300 * MS)
    first, second = (api.MessageAccepted(name, 3, 7, 20 * S, "k") for name in ("first", "second"))
    started = drive.at(0, api.KeysSettling((("k", 200 * MS),)), api.MessageRestored(first, 1),
                       api.MessageRestored(second))
    assert sent_messages(started) == ["first"]
    assert not sent_messages(drive.end("first", api.Outcome.OK, attempt=1))
    assert not sent_messages(drive.tick(199 * MS, MS))
    assert sent_messages(drive.tick(201 * MS, MS)) == ["second"]


def test_decision_module_lets_all_keys_settle_after_a_restart_except_for_what_was_tried() -> None:
    """Guards against a decision module that starts messages which the send guard would stop after a restart, or that
    delays tried or unordered messages needlessly."""
    drive = SenderDriver(order_settle_us=300 * MS)
    tried = api.MessageAccepted("tried", 3, 7, 20 * S, "o")
    untried = api.MessageAccepted("untried", 3, 7, 20 * S, "k")
    free = api.MessageAccepted("free", 0, 7, 20 * S)
    started = drive.at(0, api.KeysSettling(all_us=100 * MS), api.MessageRestored(tried, 1, 50 * MS),
                       api.MessageRestored(untried), api.MessageRestored(free))
    assert set(sent_messages(started)) == {"tried", "free"}
    assert not sent_messages(drive.submit("new", 3, key="n"))
    assert not sent_messages(drive.tick(99 * MS, MS))
    assert set(sent_messages(drive.tick(102 * MS, MS))) == {"untried", "new"}


def test_decision_module_forgets_a_key_that_only_settles() -> None:
    """Guards against a queue that is kept for a key without messages."""
    drive = SenderDriver(order_settle_us=300 * MS)
    drive.at(0, api.KeysSettling((("k", 200 * MS),)))
    drive.tick(300 * MS)
    assert not drive.sender._key_queues
