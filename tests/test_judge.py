"""The judge on synthetic histories: a clean one has no findings, one with a planted violation always has."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.rehearsal import worth
from wheelstep.rehearsal.evidence import Evidence
from wheelstep.rehearsal.history import (
    Answer,
    Call,
    ClassFigures,
    Effect,
    End,
    Fact,
    Fate,
    Figures,
    HandIn,
    History,
    How,
    Late,
    Life,
    Notice,
    Outage,
    Probe,
    Strange,
    Told,
    Turn,
)
from wheelstep.rehearsal.historyfile import HistoryError, dump, load
from wheelstep.rehearsal.judge import MAX_LATENESS_US, Rule, Ruling, judge

MS, S = 1_000, 1_000_000
FIGURES = Figures(
    classes={"pay": ClassFigures(Effect.UNSAFE, False, 6 * S, 0, 2 * S, 3.0, 0.3),
             "update": ClassFigures(Effect.KEYED, True, 6 * S, 2 * S, 2 * S, 1.0, 0.5),
             "hint": ClassFigures(Effect.SAFE, False, 6 * S, 0, 2 * S, 1.0, 0.5)},
    drain_grace_us=250 * MS, fall_multiple=1.5, overload_for_us=1 * S, cold_from=0.25, cold_us=8 * S,
    order_settle_us=300 * MS)


class Scene:
    """Builds a history step by step."""

    def __init__(self, end_us: int = 30 * S) -> None:
        self.history = History(FIGURES, end_us=end_us)

    def add(self, *facts: Fact) -> Scene:
        self.history.facts += facts
        return self

    def hand_in(self, name: str, at_us: int, cls: str = "pay", key: str | None = None, status: int = 202,
                courier: str = "c0", destination: int = 1) -> Scene:
        return self.add(HandIn(at_us, courier, name, len(self.history.facts), cls, destination, key, at_us + 6 * S),
                        Answer(at_us + MS, courier, name, End.ANSWERED, status))

    def call(self, name: str, at_us: int, fate: Fate = Fate.DELIVERED, took_us: int = 50 * MS,
             how: How = How.ANSWERED, endpoint: str = "e0", courier: str = "c0", destination: int = 1,
             wait_us: int = 0) -> Scene:
        return self.add(Call(courier, endpoint, destination, at_us, at_us, (name,), how, at_us + took_us, (fate,),
                             (fate is Fate.DELIVERED,), wait_us))

    def notice(self, name: str, at_us: int, outcome: str = "given_up") -> Scene:
        return self.add(Notice(at_us, "c0", name, outcome))

    def broken(self) -> set[Rule]:
        return {finding.rule for finding in judge(self.history).findings}


def test_a_plain_delivery_has_no_findings() -> None:
    assert Scene().hand_in("m", 0).call("m", 10 * MS).broken() == set()


# --- lost ---

def test_a_message_without_an_outcome_is_lost() -> None:
    scene = Scene().hand_in("m", 0)
    assert scene.broken() == {Rule.LOST}
    assert judge(scene.history).findings[0].messages == ("m",)


def test_a_late_outcome_counts_as_lost() -> None:
    assert Scene().hand_in("m", 0).notice("m", 6 * S + 349 * MS).broken() == set()
    assert Scene().hand_in("m", 0).notice("m", 6 * S + 351 * MS).broken() == {Rule.LOST}


def test_a_message_not_due_by_the_end_is_not_lost() -> None:
    assert Scene(end_us=3 * S).hand_in("m", 0).broken() == set()


def test_a_rejected_message_needs_no_outcome() -> None:
    assert Scene().hand_in("m", 0, status=503).broken() == set()


def test_a_restart_extends_the_time_for_an_outcome() -> None:
    scene = Scene().hand_in("m", 0).notice("m", 9 * S)
    scene.add(Life(0, "c0", Turn.READY), Life(6 * S, "c0", Turn.KILLED), Life(8 * S, "c0", Turn.READY))
    assert scene.broken() == set()
    late = Scene().hand_in("m", 0).notice("m", 10 * S)
    late.add(Life(0, "c0", Turn.READY), Life(6 * S, "c0", Turn.KILLED), Life(8 * S, "c0", Turn.READY))
    assert late.broken() == {Rule.LOST}


def test_two_different_outcomes_break_the_rule_but_not_the_same_one_twice() -> None:
    assert Scene().hand_in("m", 0).notice("m", S).notice("m", 2 * S).broken() == set()
    assert Scene().hand_in("m", 0).notice("m", S).notice("m", 2 * S, "handed_back").broken() == {Rule.LOST}


def test_a_client_without_an_answer_counts_as_lost_unless_the_courier_died() -> None:
    facts = (HandIn(S, "c0", "m", 0, "pay", 1, None, 7 * S), Answer(S + MS, "c0", "m", End.ENDED))
    assert Scene().add(*facts).broken() == {Rule.LOST}
    died = Scene().add(*facts, Life(0, "c0", Turn.READY), Life(S, "c0", Turn.KILLED), Life(2 * S, "c0", Turn.READY))
    assert died.broken() == set()
    told_to_end = Life(0, "c0", Turn.READY), Life(S - MS, "c0", Turn.TERMINATED)
    ended_later = *told_to_end, Life(4 * S, "c0", Turn.EXITED), Life(5 * S, "c0", Turn.READY)
    assert Scene().add(*facts, *ended_later).broken() == {Rule.LOST}
    ended_then = *told_to_end, Life(S + MS, "c0", Turn.EXITED), Life(5 * S, "c0", Turn.READY)
    assert Scene().add(*facts, *ended_then).broken() == set()


# --- twice ---

@pytest.mark.parametrize("fate,how", [(Fate.FAILED, How.ANSWERED), (Fate.UNTOLD, How.RESET),
                                      (Fate.UNTOLD, How.CLOSED), (Fate.DELIVERED, How.ANSWERED),
                                      (Fate.UNTOLD, How.SPOILT), (Fate.UNTOLD, How.OPEN)])
def test_an_unsafe_message_sent_again_after_a_call_that_may_have_run_breaks_the_rule(fate: Fate, how: How) -> None:
    scene = Scene().hand_in("m", 0).call("m", 10 * MS, fate, how=how).call("m", 200 * MS)
    assert Rule.TWICE in scene.broken()
    assert len(judge(scene.history).findings[0].calls) == 2


@pytest.mark.parametrize("fate", [Fate.REFUSED, Fate.OVER, Fate.SPENT])
def test_an_unsafe_message_may_be_sent_again_after_proof_that_it_never_ran(fate: Fate) -> None:
    assert Scene().hand_in("m", 0).call("m", 10 * MS, fate).call("m", 200 * MS).broken() == set()


def test_a_second_call_while_the_first_is_in_progress_breaks_the_rule() -> None:
    scene = Scene().hand_in("m", 0).call("m", 10 * MS, Fate.REFUSED, took_us=S).call("m", 200 * MS)
    assert scene.broken() == {Rule.TWICE}


def test_handing_back_a_message_that_may_have_run_breaks_the_rule() -> None:
    scene = Scene().hand_in("m", 0).call("m", 10 * MS, Fate.FAILED).notice("m", S, "handed_back")
    assert scene.broken() == {Rule.TWICE}
    assert Scene().hand_in("m", 0).call("m", 10 * MS, Fate.REFUSED).notice("m", S, "handed_back").broken() == set()
    assert Scene().hand_in("m", 0).call("m", 10 * MS, Fate.FAILED).notice("m", S).broken() == set()


def test_sending_a_rejected_or_handed_back_message_breaks_the_rule() -> None:
    assert Scene().hand_in("m", 0, status=503).call("m", 10 * MS).broken() == {Rule.TWICE}
    assert Scene().hand_in("m", 0).notice("m", S, "handed_back").call("m", 2 * S).broken() == {Rule.TWICE}


def test_a_keyed_message_may_be_repeated_within_its_keys_life_only() -> None:
    scene = Scene().hand_in("m", 0, "update").call("m", 10 * MS, Fate.FAILED)
    assert scene.call("m", 1900 * MS).broken() == set()
    scene = Scene().hand_in("m", 0, "update").call("m", 10 * MS, Fate.FAILED)
    assert scene.call("m", 2100 * MS).broken() == {Rule.TWICE}


def test_a_rejected_call_does_not_start_a_keys_life() -> None:
    scene = Scene().hand_in("m", 0, "update").call("m", 10 * MS, Fate.REFUSED)
    assert scene.call("m", 5 * S).broken() == set()


# --- drains ---

def test_a_call_to_a_draining_endpoint_breaks_the_rule_after_the_grace_period() -> None:
    told = Told(S, "c0", "e0", "DRAINING")
    assert Scene().add(told).hand_in("m", 0).call("m", S + 290 * MS).broken() == set()
    assert Scene().add(told).hand_in("m", 0).call("m", S + 310 * MS).broken() == {Rule.DRAINS}


def test_a_drain_told_to_another_courier_or_revoked_does_not_apply() -> None:
    assert Scene().add(Told(S, "c1", "e0", "DRAINING")).hand_in("m", 0).call("m", 3 * S).broken() == set()
    back = Scene().add(Told(S, "c0", "e0", "DRAINING"), Told(2 * S, "c0", "e0", "SERVING"))
    assert back.hand_in("m", 0).call("m", 3 * S).broken() == set()


def test_the_grace_period_does_not_restart_when_a_draining_endpoint_is_deleted() -> None:
    scene = Scene().add(Told(S, "c0", "e0", "DRAINING"), Told(2 * S, "c0", "e0", "DELETED"))
    assert scene.hand_in("m", 0).call("m", 2 * S + 100 * MS).broken() == {Rule.DRAINS}


def test_a_drain_told_during_a_pause_counts_from_its_end() -> None:
    scene = Scene().add(Life(0, "c0", Turn.READY), Life(S, "c0", Turn.PAUSED), Told(2 * S, "c0", "e0", "DRAINING"),
                        Life(3 * S, "c0", Turn.RESUMED))
    assert scene.hand_in("m", 0).call("m", 3 * S + 200 * MS).broken() == set()


# --- returns ---

def burst(count: int, from_us: int, courier: str = "c0", failed: bool = True) -> Scene:
    """An outage until 10 s of an endpoint with a full (warm) capacity of 20 calls a second, then `count` within one."""
    scene = Scene().add(Outage("e0", 1, 5 * S, 10 * S, 20.0))
    if failed:
        scene.hand_in("f", 0, "hint").call("f", 6 * S, Fate.FAILED).notice("f", 6100 * MS)
    for number in range(count):
        name = f"m{number}"
        scene.hand_in(name, from_us - S, "hint", courier=courier)
        scene.call(name, from_us + number * S // count, courier=courier)
    return scene


def test_a_burst_at_a_cold_endpoint_breaks_the_rule() -> None:
    assert burst(40, 10 * S + 100 * MS).broken() == {Rule.RETURNS}


def test_few_calls_or_a_late_burst_keep_the_rule() -> None:
    assert burst(10, 10 * S + 100 * MS).broken() == set()
    assert burst(40, 18 * S + 100 * MS).broken() == set()


def test_a_burst_of_couriers_that_saw_no_failure_keeps_the_rule() -> None:
    assert burst(40, 10 * S + 100 * MS, courier="c1").broken() == set()
    assert burst(40, 10 * S + 100 * MS, failed=False).broken() == set()


def test_a_failed_probe_counts_as_a_seen_failure() -> None:
    scene = burst(40, 10 * S + 100 * MS, failed=False).add(Probe("c0", "e0", 1, 7 * S, False))
    assert scene.broken() == {Rule.RETURNS}


# --- order ---

def pair(first_fate: Fate, first_how: How, second_us: int) -> Scene:
    """Two updates of a key: the first called at 1 s for 100 ms, the second at a given time."""
    scene = Scene().hand_in("a", 0, "update", "k").hand_in("b", 100 * MS, "update", "k")
    return scene.call("a", S, first_fate, 100 * MS, first_how).call("b", second_us)


def test_concurrent_calls_of_a_key_break_the_rule() -> None:
    assert pair(Fate.DELIVERED, How.ANSWERED, 1200 * MS).broken() == set()
    assert pair(Fate.DELIVERED, How.ANSWERED, 1050 * MS).broken() == {Rule.ORDER}


def test_a_key_pauses_after_a_reset_even_if_the_message_was_delivered_since() -> None:
    scene = pair(Fate.UNTOLD, How.RESET, 1300 * MS).call("a", 1150 * MS, took_us=50 * MS)
    assert scene.broken() == {Rule.ORDER}
    rested = pair(Fate.UNTOLD, How.RESET, 1500 * MS).call("a", 1150 * MS, took_us=50 * MS)
    assert rested.broken() == set()


def test_overtaking_a_message_without_an_outcome_breaks_the_rule() -> None:
    scene = pair(Fate.FAILED, How.ANSWERED, 2 * S).notice("a", 3 * S)
    assert scene.broken() == {Rule.ORDER}
    assert pair(Fate.FAILED, How.ANSWERED, 3 * S).notice("a", 2 * S).broken() == set()


def test_messages_of_different_keys_may_be_concurrent() -> None:
    scene = Scene().hand_in("a", 0, "update", "k").hand_in("b", 0, "update", "other")
    assert scene.call("a", S, took_us=S).call("b", S).broken() == set()


# --- waits ---

def test_a_call_or_probe_during_an_announced_wait_breaks_the_rule() -> None:
    scene = Scene().hand_in("a", 0, "hint").call("a", S, Fate.REFUSED, 0, wait_us=2 * S).notice("a", S)
    late = Scene().hand_in("b", 0, "hint")
    late.history.facts += scene.history.facts
    assert late.call("b", 2 * S, endpoint="e1").broken() == {Rule.WAITS}
    assert scene.add(Probe("c0", "e1", 1, 2 * S, True)).broken() == {Rule.WAITS}


@pytest.mark.parametrize("at_us", [S + 90 * MS, 3 * S + 10 * MS])
def test_a_call_right_after_the_answer_or_after_the_wait_keeps_the_rule(at_us: int) -> None:
    scene = Scene().hand_in("a", 0, "hint").call("a", S, Fate.REFUSED, 0, wait_us=2 * S).notice("a", S)
    assert scene.hand_in("b", 0, "hint").call("b", at_us).broken() == set()


def test_a_wait_ends_at_a_restart_and_does_not_apply_to_a_separate_route() -> None:
    scene = Scene().hand_in("a", 0, "hint").call("a", S, Fate.REFUSED, 0, wait_us=2 * S).notice("a", S)
    scene.hand_in("b", 0, "hint").call("b", 2 * S, endpoint="e1")
    again = Scene().add(*scene.history.facts, Life(0, "c0", Turn.READY), Life(1500 * MS, "c0", Turn.KILLED),
                        Life(1900 * MS, "c0", Turn.READY))
    assert again.broken() == set()
    scene.history.figures = dataclasses.replace(FIGURES, routes_apart=frozenset({1}))
    assert scene.broken() == set()


# --- form, lateness, files ---

def test_violations_crashes_and_failed_starts_break_the_form() -> None:
    assert Scene().add(Strange(S, "c0", "e0", "a changed body")).broken() == {Rule.FORM}
    assert Scene().add(Life(S, "c0", Turn.CRASHED, 1)).broken() == {Rule.FORM}
    assert Scene().add(Life(S, "c0", Turn.NEVER_READY)).broken() == {Rule.FORM}
    assert Scene().add(Life(S, "c0", Turn.EXITED, -9)).broken() == set()


def test_lateness_extends_limits_and_too_much_makes_all_inconclusive() -> None:
    told = Told(S, "c0", "e0", "DRAINING")
    scene = Scene().add(told, Late(S, "the rig", 40 * MS)).hand_in("m", 0).call("m", S + 330 * MS)
    assert scene.broken() == set()
    lost = Scene().hand_in("m", 0)
    assert judge(lost.history).ruling is Ruling.BROKEN
    lost.add(Late(20 * S, "c0", MAX_LATENESS_US + 1))
    verdict = judge(lost.history)
    assert verdict.ruling is Ruling.INCONCLUSIVE and set(verdict.rulings.values()) == {Ruling.INCONCLUSIVE}
    assert (verdict.late_us, verdict.late_who) == (MAX_LATENESS_US + 1, "c0")


def test_a_dumped_history_loads_unchanged() -> None:
    scene = burst(5, 10 * S).add(Told(S, "c0", "e0", "DRAINING"), Life(S, "c0", Turn.EXITED, -9),
                                 Strange(S, "c0", "e0", "x"), Late(S, "rig", 1), Probe("c0", "e0", 1, S, True))
    again = load(dump(scene.history))
    assert again.facts == scene.history.facts and again.figures == scene.history.figures
    assert judge(again).canonical() == judge(scene.history).canonical()


@pytest.mark.parametrize("lines,where", [([], "line 1"), (["{}"], "line 1"), (["nonsense"], "line 1")])
def test_a_file_without_a_history_is_rejected_with_the_line(lines: list[str], where: str) -> None:
    with pytest.raises(HistoryError, match=where):
        load(lines)


def test_an_invalid_fact_is_rejected_with_its_line() -> None:
    good = list(dump(Scene().hand_in("m", 0).history))
    with pytest.raises(HistoryError, match="line 3"):
        load([*good[:2], '["Nonsense", {}]'])


def test_worth_falls_with_time_from_the_first_submission() -> None:
    scene = Scene()
    scene.add(HandIn(0, "c0", "a", 1, "pay", 1, None, 6 * S), HandIn(S, "c0", "b", 1, "pay", 1, None, 6 * S))
    scene.call("b", 4 * S, took_us=0)
    row = worth.tally(scene.history)["pay"]
    assert (row.messages, row.delivered, row.offered) == (1, 1, 3.0)
    assert row.earned_worth == pytest.approx(3.0 * (1 - 0.7 * 0.5))


# --- properties: a clean day, and one planted violation in it ---

def clean_day(rng: random.Random) -> Scene:
    """The history of a correct courier: keys in order, rejections retried, waits and drains observed."""
    scene = Scene(end_us=100 * S)
    scene.add(Life(0, "c0", Turn.READY))
    free_us: dict[str, int] = {}
    for number in range(rng.randint(3, 40)):
        name = f"m{number}"
        cls = rng.choice(["pay", "update", "hint"])
        key = rng.choice("pqr") if cls == "update" else None
        # A key's messages are submitted in the order of their calls.
        at_us = max(free_us.get(key or "", 0), rng.randrange(20 * S))
        destination = rng.choice([1, 2])
        scene.hand_in(name, at_us, cls, key, destination=destination)
        clock_us = at_us + rng.randrange(1, 300 * MS)
        for _ in range(rng.randint(0, 2)):
            scene.call(name, clock_us, Fate.REFUSED, 20 * MS, endpoint=f"d{destination}", destination=destination)
            clock_us += rng.randrange(30 * MS, 400 * MS)
        end = rng.choice(["delivered", "given_up", "broke"])
        if end == "delivered":
            scene.call(name, clock_us, endpoint=f"d{destination}", destination=destination)
            clock_us += 50 * MS
        elif end == "broke":
            scene.call(name, clock_us, Fate.UNTOLD, 50 * MS, How.RESET, f"d{destination}", destination=destination)
            clock_us += 60 * MS
            scene.notice(name, clock_us)
        else:
            scene.notice(name, clock_us)
        if key is not None:
            free_us[key] = clock_us + 400 * MS
    rng.shuffle(scene.history.facts)  # the order of facts must not matter
    return scene


@settings(max_examples=150, deadline=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_a_clean_day_has_no_findings(seed: int) -> None:
    verdict = judge(clean_day(random.Random(seed)).history)
    assert verdict.findings == () and verdict.ruling is Ruling.KEPT


def plant_lost(scene: Scene) -> None:
    scene.hand_in("bad", 30 * S)


def plant_two_ends(scene: Scene) -> None:
    scene.hand_in("bad", 30 * S).notice("bad", 31 * S).notice("bad", 32 * S, "handed_back")


def plant_twice(scene: Scene) -> None:
    scene.hand_in("bad", 30 * S).call("bad", 31 * S, Fate.UNTOLD, how=How.CLOSED).call("bad", 33 * S)


def plant_key_forgotten(scene: Scene) -> None:
    scene.hand_in("bad", 30 * S, "update").call("bad", 31 * S, Fate.FAILED).call("bad", 35 * S)


def plant_drain(scene: Scene) -> None:
    scene.add(Told(30 * S, "c0", "leaving", "DRAINING")).hand_in("bad", 30 * S)
    scene.call("bad", 31 * S, endpoint="leaving")


def plant_overtaking(scene: Scene) -> None:
    scene.hand_in("good", 30 * S, "update", "z").hand_in("bad", 30 * S + MS, "update", "z")
    scene.call("bad", 31 * S).call("good", 32 * S)


def plant_wait(scene: Scene) -> None:
    scene.hand_in("told", 30 * S, "hint").call("told", 31 * S, Fate.REFUSED, wait_us=3 * S).notice("told", 32 * S)
    scene.hand_in("bad", 30 * S, "hint").call("bad", 32 * S)


def plant_rush(scene: Scene) -> None:
    scene.add(Outage("cold", 9, 40 * S, 45 * S, 20.0), Probe("c0", "cold", 9, 42 * S, False))
    for number in range(40):
        scene.hand_in(f"bad{number}", 44 * S, "hint", destination=9)
        scene.call(f"bad{number}", 45 * S + number * 10 * MS, endpoint="cold", destination=9)


PLANTS = {plant_lost: Rule.LOST, plant_two_ends: Rule.LOST, plant_twice: Rule.TWICE,
          plant_key_forgotten: Rule.TWICE, plant_drain: Rule.DRAINS, plant_overtaking: Rule.ORDER,
          plant_wait: Rule.WAITS, plant_rush: Rule.RETURNS}


@settings(max_examples=200, deadline=None)
@given(st.integers(min_value=0, max_value=2**32), st.sampled_from(list(PLANTS)))
def test_a_planted_violation_is_always_found_and_named(seed: int, plant: object) -> None:
    scene = clean_day(random.Random(seed))
    assert callable(plant)
    plant(scene)
    random.Random(seed).shuffle(scene.history.facts)
    verdict = judge(scene.history)
    assert {finding.rule for finding in verdict.findings} == {PLANTS[plant]}  # type: ignore[index]
    named = {name for finding in verdict.findings for name in finding.messages}
    assert PLANTS[plant] is Rule.RETURNS or "bad" in named  # type: ignore[index]


def test_a_pause_within_a_restart_does_not_end_it() -> None:
    """Guards against notices being overdue before a restarted courier is ready, paused or not (seed 28 of the soak)."""
    lives = [Life(at, "c0", turn) for at, turn in (
        (1 * S, Turn.TERMINATED), (2 * S, Turn.PAUSED), (2 * S + 100 * MS, Turn.RESUMED), (4 * S, Turn.EXITED),
        (5 * S, Turn.READY), (7 * S, Turn.PAUSED), (8 * S, Turn.RESUMED), (9 * S, Turn.KILLED))]
    evidence = Evidence(History(Figures({}), list(lives), 10 * S))
    assert evidence.unavailable["c0"] == [(1 * S, 5 * S), (7 * S, 8 * S), (9 * S, 10 * S)]
    # A courier that was told to end still runs, and answers what it reads, until it has exited.
    assert evidence.not_running["c0"] == [(2 * S, 2 * S + 100 * MS), (4 * S, 5 * S), (7 * S, 8 * S), (9 * S, 10 * S)]
