"""The judge of fleets on synthetic histories: each rule kept and broken."""

from __future__ import annotations

import pytest

from tests.fleet_history import CHANNEL, MS, HistoryBuilder, S
from wheelstep.rehearsal.fleet.evidence import FleetRule
from wheelstep.rehearsal.fleet.history import Looked
from wheelstep.rehearsal.fleet.judge import judge_fleet
from wheelstep.rehearsal.history import Fate, How, Late
from wheelstep.rehearsal.judge import Ruling


def two_submitted() -> HistoryBuilder:
    """A history of two accepted messages, the first called at 1 s."""
    return HistoryBuilder().submit(1, 0).submit(2, 100 * MS).call(1, S)


def test_history_without_a_breach_is_kept() -> None:
    verdict = judge_fleet(two_submitted().call(2, 2 * S).read_position(5 * S, 200, 3, last=True).history)
    assert verdict.ruling is Ruling.KEPT and not verdict.breaches
    assert set(verdict.rulings) == set(FleetRule)


# --- epochs ---

def test_calls_of_two_couriers_in_one_epoch_break_epochs() -> None:
    assert two_submitted().call(2, 2 * S, courier="c1").broken_rules() == {FleetRule.EPOCHS}
    assert two_submitted().call(2, 2 * S, epoch=2, courier="c1").broken_rules() == set()
    breach = two_submitted().call(2, 2 * S, courier="c1").breaches()[0]
    assert (breach.at_us, breach.channel, breach.couriers, breach.epochs) == (2 * S, CHANNEL, ("c0", "c1"), (1, 1))


def test_epochs_of_different_parts_are_independent() -> None:
    builder = two_submitted().call(2, 2 * S)
    part = builder.history.part_of(CHANNEL)
    same = next(name for name in (f"updates/1/x{n}" for n in range(200)) if builder.history.part_of(name) == part)
    other = next(name for name in (f"updates/1/x{n}" for n in range(200)) if builder.history.part_of(name) != part)
    assert builder.submit(1, 0, other).call(1, 2 * S, channel=other, courier="c1").broken_rules() == set()
    assert builder.submit(1, 0, same).call(1, 2 * S, channel=same, courier="c1").broken_rules() == {FleetRule.EPOCHS}


def test_call_in_an_old_epoch_breaks_fence_beyond_the_slack_and_lateness() -> None:
    def call_in_old_epoch(at_us: int) -> HistoryBuilder:
        builder = HistoryBuilder().submit(1, 0).submit(2, 0, "loose/1/k").call(1, S, epoch=2, courier="c1")
        # Two channels of one part, so that the rule of order does not apply.
        channel = next(name for name in (f"loose/1/x{n}" for n in range(200))
                       if builder.history.part_of(name) == builder.history.part_of(CHANNEL))
        return builder.submit(1, 0, channel).call(1, at_us, epoch=1, channel=channel).notice(2, 2 * S, "loose/1/k")
    assert call_in_old_epoch(S + 60 * MS).broken_rules() == {FleetRule.FENCE}
    assert call_in_old_epoch(S + 40 * MS).broken_rules() == set()
    late = call_in_old_epoch(S + 60 * MS)
    late.history.base.add(Late(S, "c0", 20 * MS))
    assert late.broken_rules() == set()


# --- order ---

def test_second_open_call_of_a_strict_channel_breaks_order() -> None:
    assert two_submitted().call(2, S + 10 * MS).broken_rules() >= {FleetRule.ORDER}
    assert two_submitted().call(2, S + 21 * MS).broken_rules() == set()


def test_call_of_a_lower_number_after_a_higher_one_breaks_order() -> None:
    builder = HistoryBuilder().submit(1, 0).submit(2, 0).call(2, S).call(1, 2 * S)
    assert builder.broken_rules() == {FleetRule.ORDER, FleetRule.GAPS}
    assert HistoryBuilder().submit(1, 0, "last/1/k").submit(2, 0, "last/1/k").call(2, S, channel="last/1/k") \
        .call(1, 2 * S, channel="last/1/k").broken_rules() == {FleetRule.ORDER}
    assert HistoryBuilder().submit(1, 0, "loose/1/k").submit(2, 0, "loose/1/k").call(2, S, channel="loose/1/k") \
        .call(1, S, channel="loose/1/k").broken_rules() == set()


def test_window_allows_its_number_of_open_calls_begun_in_order() -> None:
    def window(count: int) -> HistoryBuilder:
        builder = HistoryBuilder()
        for number in range(1, count + 1):
            builder.submit(number, 0, "wide/1/k").call(number, S + number * MS, channel="wide/1/k", took_us=100 * MS)
        return builder
    assert window(3).broken_rules() == set()
    assert FleetRule.ORDER in window(4).broken_rules()
    early = HistoryBuilder().submit(1, 0, "wide/1/k").submit(2, 0, "wide/1/k").call(2, S, channel="wide/1/k")
    assert FleetRule.ORDER in early.call(1, S + MS, channel="wide/1/k").broken_rules()


def test_call_left_open_by_an_unavailable_courier_does_not_count() -> None:
    builder = two_submitted().submit(3, 200 * MS).call(2, 2 * S, fate=Fate.UNTOLD, took_us=20 * S, how=How.OPEN)
    assert builder.call(3, 4 * S, epoch=2, courier="c1").broken_rules() >= {FleetRule.ORDER}
    assert FleetRule.ORDER not in builder.unavailable("c0", 2 * S, 9 * S).broken_rules()


# --- gaps ---

@pytest.mark.parametrize("contract,at_us,broken", [
    ("updates", 9 * S, True), ("fails", 9 * S, True), ("skips", 900 * MS, True), ("skips", 1100 * MS, False),
    ("last", S, False)])
def test_call_behind_a_missing_number_breaks_gaps_unless_the_contract_skips_it(contract: str, at_us: int,
                                                                                broken: bool) -> None:
    channel = f"{contract}/1/k"
    builder = HistoryBuilder().submit(2, 0, channel).call(2, at_us, channel=channel)
    assert builder.broken_rules() == ({FleetRule.GAPS} if broken else set())


def test_ended_number_and_number_of_an_unavailable_courier_are_no_gaps() -> None:
    assert HistoryBuilder().submit(1, 0).submit(2, 0).notice(1, S).call(2, 2 * S).broken_rules() == set()
    lost = HistoryBuilder().submit(1, 0).submit(2, S, courier="c1").call(2, 2 * S, epoch=2, courier="c1") \
        .notice(1, 3 * S)
    assert lost.broken_rules() == {FleetRule.GAPS}
    assert lost.unavailable("c0", 500 * MS, 3 * S).broken_rules() == set()


def test_call_of_a_skipped_number_breaks_order() -> None:
    builder = HistoryBuilder().submit(2, 0, "skips/1/k").call(2, 2 * S, channel="skips/1/k") \
        .submit(1, S, "skips/1/k", following=3)
    assert builder.call(1, 3 * S, channel="skips/1/k").broken_rules() == {FleetRule.ORDER}


# --- numbers ---

def test_second_message_under_one_number_breaks_numbers() -> None:
    assert two_submitted().call(2, 2 * S).submit(2, 3 * S, message="other").broken_rules() == {FleetRule.NUMBERS}
    assert two_submitted().call(2, 2 * S).submit(2, 3 * S).broken_rules() == set()


def test_accepted_message_without_an_end_breaks_numbers_once_it_is_due() -> None:
    assert HistoryBuilder().submit(1, 0).notice(1, 9 * S).broken_rules() == set()
    lost = HistoryBuilder().submit(1, 0)
    assert lost.broken_rules() == {FleetRule.NUMBERS}
    assert (lost.breaches()[0].numbers, lost.breaches()[0].couriers) == ((1,), ("c0",))
    assert HistoryBuilder(end_us=10 * S).submit(1, 0).broken_rules() == set()  # not due yet
    assert HistoryBuilder(end_us=14 * S).submit(1, 0).unavailable("c0", 9 * S, 13 * S).broken_rules() == set()
    assert HistoryBuilder().submit(1, 0, status=503).broken_rules() == set()


def test_message_lost_with_a_disk_needs_no_end() -> None:
    builder = HistoryBuilder().submit(1, 0).unavailable("c0", S, 3 * S, disk=False)
    assert judge_fleet(builder.history).ruling is Ruling.KEPT
    assert judge_fleet(HistoryBuilder().submit(1, 4 * S).unavailable("c0", S, 3 * S, disk=False)
                       .history).ruling is Ruling.BROKEN


def test_call_after_delivery_breaks_numbers_unless_the_courier_missed_the_answer() -> None:
    again = two_submitted().call(1, 2 * S, epoch=2, courier="c1").call(2, 3 * S, epoch=2, courier="c1")
    assert again.broken_rules() == {FleetRule.NUMBERS}
    assert again.unavailable("c0", S + 10 * MS, 2 * S).broken_rules() == set()
    long_before = two_submitted().call(1, 3 * S, epoch=2, courier="c1").call(2, 4 * S, epoch=2, courier="c1")
    assert long_before.unavailable("c0", 2 * S, 3 * S).broken_rules() == {FleetRule.NUMBERS}


def test_second_open_call_of_a_number_breaks_numbers() -> None:
    builder = HistoryBuilder().submit(1, 0).call(1, S, took_us=2 * S, fate=Fate.FAILED)
    assert builder.call(1, 2 * S, epoch=2, courier="c1").broken_rules() == {FleetRule.NUMBERS}


def test_contract_once_allows_a_repeat_only_after_a_refused_call() -> None:
    def again(contract: str, fate: Fate) -> set[FleetRule]:
        channel = f"{contract}/1/k"
        return HistoryBuilder().submit(1, 0, channel).call(1, S, channel=channel, fate=fate) \
            .call(1, 2 * S, channel=channel).broken_rules()
    assert again("once", Fate.FAILED) == {FleetRule.NUMBERS}
    assert again("once", Fate.REFUSED) == set()
    assert again("updates", Fate.FAILED) == set()


def test_call_after_the_notice_or_under_another_number_breaks_numbers() -> None:
    assert HistoryBuilder().submit(1, 0).notice(1, S).call(1, 2 * S).broken_rules() == {FleetRule.NUMBERS}
    builder = HistoryBuilder().submit(1, 0).call(2, S, message=f"{CHANNEL}#1")
    assert FleetRule.NUMBERS in builder.broken_rules()


def test_number_that_was_handed_back_can_be_reused_and_is_a_gap_until_then() -> None:
    back = HistoryBuilder().submit(1, 0).submit(2, 0).notice(1, S, outcome="handed_back")
    assert back.call(2, 2 * S).broken_rules() == {FleetRule.GAPS}
    again = HistoryBuilder().submit(1, 0).submit(2, 0).notice(1, S, outcome="handed_back") \
        .submit(1, 2 * S, message="other", following=3)
    assert again.call(1, 3 * S, message="other").call(2, 4 * S).broken_rules() == set()


def test_gap_that_is_filled_late_keeps_the_six_rules() -> None:
    builder = HistoryBuilder().submit(2, 0, following=1).submit(1, S, following=3).call(1, 2 * S).call(2, 3 * S) \
        .submit(3, 4 * S)
    assert judge_fleet(builder.call(3, 5 * S).history).ruling is Ruling.KEPT


# --- owners and positions ---

@pytest.mark.parametrize("serving", [[], ["c0", "c1"]])
def test_channel_without_a_single_owner_at_the_end_breaks_owner(serving: list[str]) -> None:
    builder = two_submitted().call(2, 2 * S)
    for courier in ("c0", "c1", "c2"):
        builder.read_position(9 * S, 200 if courier in serving else 503, 3, courier, last=True)
    assert builder.broken_rules() == {FleetRule.OWNER}
    assert builder.breaches()[0].couriers == tuple(serving)


def test_position_that_goes_back_breaks_positions() -> None:
    assert two_submitted().call(2, 2 * S).read_position(3 * S, 200, 3).read_position(4 * S, 200, 2, "c1") \
        .broken_rules() == {FleetRule.POSITIONS}
    assert two_submitted().call(2, 2 * S).read_position(3 * S, 200, 3).read_position(4 * S, 200, 3) \
        .broken_rules() == set()
    crossed = two_submitted().call(2, 2 * S).read_position(3 * S, 200, 4)
    crossed.history.add(Looked(3 * S + MS, 3 * S - 2 * MS, "c1", CHANNEL, 200, 3))  # asked before that answer arrived
    assert crossed.broken_rules() == set()


def test_verdict_holds_the_rulings_of_couriers_and_channels() -> None:
    verdict = judge_fleet(two_submitted().call(2, 2 * S, courier="c1").history)
    assert verdict.ruling is Ruling.BROKEN and '"epochs":"broken"' in verdict.canonical(seed=1)
    lost = judge_fleet(HistoryBuilder().submit(1, 0).history)
    assert '"lost":"broken"' in lost.canonical() and '"numbers":"broken"' in lost.canonical()


def test_submissions_of_one_message_count_as_one_for_the_six_rules() -> None:
    builder = HistoryBuilder().submit(1, 0, status=503).submit(1, S, courier="c1").call(1, 2 * S, epoch=1, courier="c1")
    assert judge_fleet(builder.history).ruling is Ruling.KEPT
    refused = HistoryBuilder().submit(1, 0, status=503).call(1, 2 * S)
    assert '"twice":"kept"' in judge_fleet(refused.history).canonical()  # keyed: the six rules allow it
