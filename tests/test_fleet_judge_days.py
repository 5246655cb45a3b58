"""The judge of fleets on random histories: those without a breach are kept, and one inserted breach is always found."""

from __future__ import annotations

import dataclasses
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet_history import MS, HistoryBuilder, S
from wheelstep.rehearsal.fleet.evidence import FleetRule
from wheelstep.rehearsal.fleet.history import Asked, Looked, Touch
from wheelstep.rehearsal.fleet.judge import judge_fleet
from wheelstep.rehearsal.history import Fate
from wheelstep.rehearsal.judge import Ruling


def history_without_breach(rng: random.Random) -> tuple[HistoryBuilder, list[tuple[str, int, int, str, int]]]:
    """Draw a history in which owners move and stop and every rule is kept, and its calls.

    A call is its channel, number, epoch, courier and time in microseconds.
    """
    builder = HistoryBuilder(end_us=100 * S)
    calls: list[tuple[str, int, int, str, int]] = []
    owners: dict[int, tuple[int, str]] = {}
    at_us = S
    numbers: dict[str, int] = {}
    names = [f"updates/1/k{n}" for n in range(rng.randint(1, 5))]
    for _ in range(rng.randint(4, 60)):
        channel = rng.choice(names)
        part = builder.history.part_of(channel)
        epoch, courier = owners.get(part, (1, "c0"))
        if rng.random() < 0.15:
            if rng.random() < 0.5:  # the owner is stopped and another one takes over
                builder.unavailable(courier, at_us + 30 * MS, at_us + 3 * S)
                at_us += 3200 * MS
            epoch, courier = epoch + 1, rng.choice(["c0", "c1", "c2"])
        owners[part] = epoch, courier
        number = numbers[channel] = numbers.get(channel, 0) + 1
        builder.submit(number, at_us, channel, courier)
        if rng.random() < 0.1:
            builder.notice(number, at_us + 100 * MS, channel)
        else:
            if rng.random() < 0.2:
                builder.call(number, at_us + 10 * MS, epoch, courier, channel, Fate.REFUSED, 5 * MS)
            builder.call(number, at_us + 40 * MS, epoch, courier, channel)
            calls.append((channel, number, epoch, courier, at_us + 40 * MS))
        at_us += 200 * MS
    return builder, calls


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 2**32))
def test_history_without_a_breach_is_always_kept(seed: int) -> None:
    builder, _ = history_without_breach(random.Random(seed))
    verdict = judge_fleet(builder.history)
    assert verdict.ruling is Ruling.KEPT, verdict.breaches


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from(list(FleetRule)))
def test_one_inserted_breach_is_always_found_by_its_rule(seed: int, rule: FleetRule) -> None:
    rng = random.Random(seed)
    builder, calls = history_without_breach(rng)
    if not calls:
        return
    channel, number, epoch, courier, at_us = rng.choice(calls)
    last = max(call[1] for call in calls if call[0] == channel)
    end_us = 90 * S
    facts = builder.history.facts
    delivered_index = next(place for place, fact in enumerate(facts) if isinstance(fact, Touch)
                           and fact.channel == channel and fact.number == number and fact.delivered)
    match rule:
        case FleetRule.EPOCHS:
            builder.submit(999, at_us, "loose/1/x")
            facts[delivered_index] = dataclasses.replace(facts[delivered_index], courier="c9", fate=Fate.DELIVERED)
            builder.call(last, end_us, epoch, courier, channel)
        case FleetRule.FENCE:
            builder.call(last, end_us, 99, "c9", channel).call(last, end_us + S, epoch, courier, channel)
        case FleetRule.ORDER:
            builder.call(last + 1, end_us, 99, "c9", channel).call(last, end_us + S, 99, "c9", channel)
        case FleetRule.GAPS:
            # Numbers after the last call may have ended without one, and are no gap.
            highest = max(fact.number for fact in facts if isinstance(fact, Asked) and fact.channel == channel)
            builder.submit(highest + 3, end_us, channel).call(highest + 3, end_us + S, 99, "c9", channel)
        case FleetRule.NUMBERS:
            builder.call(number, end_us, 99, "c9", channel)
        case FleetRule.OWNER:
            facts.append(Looked(end_us, end_us - MS, "c0", channel, 503, 0, True))
        case FleetRule.POSITIONS:
            facts.append(Looked(end_us, end_us - MS, "c0", channel, 200, number, False))
    verdict = judge_fleet(builder.history)
    named = [breach for breach in verdict.breaches if breach.rule is rule]
    assert named and verdict.ruling is Ruling.BROKEN
    assert any(breach.channel == channel for breach in named)
