"""The judge of fleets against synthetic histories: each rule kept and broken."""

from __future__ import annotations

import pytest

from tests.fleet_history import CHANNEL, MS, S, Scene
from wheelstep.rehearsal.fleet.evidence import FleetRule
from wheelstep.rehearsal.fleet.history import Looked
from wheelstep.rehearsal.fleet.judge import judge_fleet
from wheelstep.rehearsal.history import Fate, How, Late
from wheelstep.rehearsal.judge import Ruling


def two() -> Scene:
    """Two messages taken, the first called at 1 s."""
    return Scene().take(1, 0).take(2, 100 * MS).call(1, S)


def test_a_plain_channel_is_fine() -> None:
    verdict = judge_fleet(two().call(2, 2 * S).look(5 * S, 200, 3, last=True).history)
    assert verdict.ruling is Ruling.KEPT and not verdict.breaches
    assert set(verdict.rulings) == set(FleetRule)


# --- epochs ---

def test_an_epoch_is_one_couriers() -> None:
    assert two().call(2, 2 * S, courier="c1").broken() == {FleetRule.EPOCHS}
    assert two().call(2, 2 * S, epoch=2, courier="c1").broken() == set()
    breach = two().call(2, 2 * S, courier="c1").breaches()[0]
    assert (breach.at_us, breach.channel, breach.couriers, breach.epochs) == (2 * S, CHANNEL, ("c0", "c1"), (1, 1))


def test_an_epoch_is_its_parts_and_not_another_parts() -> None:
    scene = two().call(2, 2 * S)
    part = scene.history.part(CHANNEL)
    same = next(name for name in (f"updates/1/x{n}" for n in range(200)) if scene.history.part(name) == part)
    other = next(name for name in (f"updates/1/x{n}" for n in range(200)) if scene.history.part(name) != part)
    assert scene.take(1, 0, other).call(1, 2 * S, channel=other, courier="c1").broken() == set()
    assert scene.take(1, 0, same).call(1, 2 * S, channel=same, courier="c1").broken() == {FleetRule.EPOCHS}


def test_nothing_begins_under_an_old_epoch_but_within_the_slack() -> None:
    def fenced(at_us: int) -> Scene:
        scene = Scene().take(1, 0).take(2, 0, "loose/1/k").call(1, S, epoch=2, courier="c1")
        # Two channels of one part, so that order says nothing.
        channel = next(name for name in (f"loose/1/x{n}" for n in range(200))
                       if scene.history.part(name) == scene.history.part(CHANNEL))
        return scene.take(1, 0, channel).call(1, at_us, epoch=1, channel=channel).notice(2, 2 * S, "loose/1/k")
    assert fenced(S + 60 * MS).broken() == {FleetRule.FENCE}
    assert fenced(S + 40 * MS).broken() == set()
    late = fenced(S + 60 * MS)
    late.history.base.add(Late(S, "c0", 20 * MS))
    assert late.broken() == set()


# --- order ---

def test_a_strict_channel_has_one_call_out() -> None:
    assert two().call(2, S + 10 * MS).broken() >= {FleetRule.ORDER}
    assert two().call(2, S + 21 * MS).broken() == set()


def test_a_lower_number_after_a_higher_one_is_out_of_order() -> None:
    scene = Scene().take(1, 0).take(2, 0).call(2, S).call(1, 2 * S)
    assert scene.broken() == {FleetRule.ORDER, FleetRule.GAPS}
    assert Scene().take(1, 0, "last/1/k").take(2, 0, "last/1/k").call(2, S, channel="last/1/k") \
        .call(1, 2 * S, channel="last/1/k").broken() == {FleetRule.ORDER}
    assert Scene().take(1, 0, "loose/1/k").take(2, 0, "loose/1/k").call(2, S, channel="loose/1/k") \
        .call(1, S, channel="loose/1/k").broken() == set()


def test_a_window_has_so_many_out_and_begins_in_order() -> None:
    def window(count: int) -> Scene:
        scene = Scene()
        for number in range(1, count + 1):
            scene.take(number, 0, "wide/1/k").call(number, S + number * MS, channel="wide/1/k", took_us=100 * MS)
        return scene
    assert window(3).broken() == set()
    assert FleetRule.ORDER in window(4).broken()
    early = Scene().take(1, 0, "wide/1/k").take(2, 0, "wide/1/k").call(2, S, channel="wide/1/k")
    assert FleetRule.ORDER in early.call(1, S + MS, channel="wide/1/k").broken()


def test_a_call_that_a_dead_courier_left_open_binds_no_later_owner() -> None:
    scene = two().take(3, 200 * MS).call(2, 2 * S, fate=Fate.UNTOLD, took_us=20 * S, how=How.OPEN)
    assert scene.call(3, 4 * S, epoch=2, courier="c1").broken() >= {FleetRule.ORDER}
    assert FleetRule.ORDER not in scene.gone("c0", 2 * S, 9 * S).broken()


# --- gaps ---

@pytest.mark.parametrize("contract,at_us,broken", [
    ("updates", 9 * S, True), ("fails", 9 * S, True), ("skips", 900 * MS, True), ("skips", 1100 * MS, False),
    ("last", S, False)])
def test_a_number_is_passed_over_as_the_contract_says(contract: str, at_us: int, broken: bool) -> None:
    channel = f"{contract}/1/k"
    scene = Scene().take(2, 0, channel).call(2, at_us, channel=channel)
    assert scene.broken() == ({FleetRule.GAPS} if broken else set())


def test_an_ended_number_is_no_gap_and_one_that_died_with_its_courier_may_be_passed() -> None:
    assert Scene().take(1, 0).take(2, 0).notice(1, S).call(2, 2 * S).broken() == set()
    lost = Scene().take(1, 0).take(2, S, courier="c1").call(2, 2 * S, epoch=2, courier="c1").notice(1, 3 * S)
    assert lost.broken() == {FleetRule.GAPS}
    assert lost.gone("c0", 500 * MS, 3 * S).broken() == set()


def test_a_skipped_number_never_runs() -> None:
    scene = Scene().take(2, 0, "skips/1/k").call(2, 2 * S, channel="skips/1/k").take(1, S, "skips/1/k", following=3)
    assert scene.call(1, 3 * S, channel="skips/1/k").broken() == {FleetRule.ORDER}


# --- numbers ---

def test_a_number_has_one_message() -> None:
    assert two().call(2, 2 * S).take(2, 3 * S, message="other").broken() == {FleetRule.NUMBERS}
    assert two().call(2, 2 * S).take(2, 3 * S).broken() == set()


def test_what_was_taken_ends_in_its_time() -> None:
    assert Scene().take(1, 0).notice(1, 9 * S).broken() == set()
    lost = Scene().take(1, 0)
    assert lost.broken() == {FleetRule.NUMBERS}
    assert (lost.breaches()[0].numbers, lost.breaches()[0].couriers) == ((1,), ("c0",))
    assert Scene(end_us=10 * S).take(1, 0).broken() == set()  # not due yet
    assert Scene(end_us=14 * S).take(1, 0).gone("c0", 9 * S, 13 * S).broken() == set()
    assert Scene().take(1, 0, status=503).broken() == set()


def test_what_went_with_a_disk_is_owed_no_end_by_any_rule() -> None:
    scene = Scene().take(1, 0).gone("c0", S, 3 * S, disk=False)
    assert judge_fleet(scene.history).ruling is Ruling.KEPT
    assert judge_fleet(Scene().take(1, 4 * S).gone("c0", S, 3 * S, disk=False).history).ruling is Ruling.BROKEN


def test_a_delivered_number_is_not_called_again_unless_its_courier_could_not_hear() -> None:
    again = two().call(1, 2 * S, epoch=2, courier="c1").call(2, 3 * S, epoch=2, courier="c1")
    assert again.broken() == {FleetRule.NUMBERS}
    assert again.gone("c0", S + 10 * MS, 2 * S).broken() == set()
    long_before = two().call(1, 3 * S, epoch=2, courier="c1").call(2, 4 * S, epoch=2, courier="c1")
    assert long_before.gone("c0", 2 * S, 3 * S).broken() == {FleetRule.NUMBERS}


def test_a_number_is_not_called_while_a_call_of_it_is_out() -> None:
    scene = Scene().take(1, 0).call(1, S, took_us=2 * S, fate=Fate.FAILED)
    assert scene.call(1, 2 * S, epoch=2, courier="c1").broken() == {FleetRule.NUMBERS}


def test_once_means_never_again_after_what_may_have_run() -> None:
    def again(contract: str, fate: Fate) -> set[FleetRule]:
        channel = f"{contract}/1/k"
        return Scene().take(1, 0, channel).call(1, S, channel=channel, fate=fate) \
            .call(1, 2 * S, channel=channel).broken()
    assert again("once", Fate.FAILED) == {FleetRule.NUMBERS}
    assert again("once", Fate.REFUSED) == set()
    assert again("updates", Fate.FAILED) == set()


def test_a_number_is_not_called_after_its_end_was_told_or_under_another() -> None:
    assert Scene().take(1, 0).notice(1, S).call(1, 2 * S).broken() == {FleetRule.NUMBERS}
    scene = Scene().take(1, 0).call(2, S, message=f"{CHANNEL}#1")
    assert FleetRule.NUMBERS in scene.broken()


def test_a_number_that_was_handed_back_is_free_and_still_a_gap() -> None:
    back = Scene().take(1, 0).take(2, 0).notice(1, S, outcome="handed_back")
    assert back.call(2, 2 * S).broken() == {FleetRule.GAPS}
    again = Scene().take(1, 0).take(2, 0).notice(1, S, outcome="handed_back") \
        .take(1, 2 * S, message="other", following=3)
    assert again.call(1, 3 * S, message="other").call(2, 4 * S).broken() == set()


def test_a_gap_that_is_filled_late_is_in_order_by_the_six_rules() -> None:
    scene = Scene().take(2, 0, following=1).take(1, S, following=3).call(1, 2 * S).call(2, 3 * S).take(3, 4 * S)
    assert judge_fleet(scene.call(3, 5 * S).history).ruling is Ruling.KEPT


# --- owners and positions ---

@pytest.mark.parametrize("serving", [[], ["c0", "c1"]])
def test_in_the_end_one_courier_serves(serving: list[str]) -> None:
    scene = two().call(2, 2 * S)
    for courier in ("c0", "c1", "c2"):
        scene.look(9 * S, 200 if courier in serving else 503, 3, courier, last=True)
    assert scene.broken() == {FleetRule.OWNER}
    assert scene.breaches()[0].couriers == tuple(serving)


def test_a_position_goes_on_only() -> None:
    assert two().call(2, 2 * S).look(3 * S, 200, 3).look(4 * S, 200, 2, "c1").broken() == {FleetRule.POSITIONS}
    assert two().call(2, 2 * S).look(3 * S, 200, 3).look(4 * S, 200, 3).broken() == set()
    crossed = two().call(2, 2 * S).look(3 * S, 200, 4)
    crossed.history.add(Looked(3 * S + MS, 3 * S - 2 * MS, "c1", CHANNEL, 200, 3))  # asked before that was told
    assert crossed.broken() == set()


def test_the_verdict_says_both() -> None:
    verdict = judge_fleet(two().call(2, 2 * S, courier="c1").history)
    assert verdict.ruling is Ruling.BROKEN and '"epochs":"broken"' in verdict.canonical(seed=1)
    lost = judge_fleet(Scene().take(1, 0).history)
    assert '"lost":"broken"' in lost.canonical() and '"numbers":"broken"' in lost.canonical()


def test_tries_of_a_message_are_one_hand_in_for_the_six_rules() -> None:
    scene = Scene().take(1, 0, status=503).take(1, S, courier="c1").call(1, 2 * S, epoch=1, courier="c1")
    assert judge_fleet(scene.history).ruling is Ruling.KEPT
    refused = Scene().take(1, 0, status=503).call(1, 2 * S)
    assert '"twice":"kept"' in judge_fleet(refused.history).canonical()  # keyed: the six rules allow it
