"""Couriers that each see few calls spread them evenly over the endpoints of a destination."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import MS, S, SenderDriver, info
from spread import mean
from spread_scenes import Scene

from wheelstep import interface as api
from wheelstep.interface import Outcome

SEEDS = (1, 2)
FEW = Scene("few", modules=200, endpoints=8, load=0.3, span_s=4)


@pytest.mark.parametrize("scene", [
    FEW, Scene("many endpoints", endpoints=20, load=0.2, span_s=3),
    Scene("restart", load=0.3, trouble="restart", span_s=5, at_s=3),
    Scene("list", load=0.3, trouble="list", span_s=5, at_s=3)])
def test_the_busiest_and_idlest_endpoint_of_any_second_are_near_a_random_choice(scene: Scene) -> None:
    """Guards against couriers that choose the same endpoint: the busiest had 3 to 6 times the mean, the idlest under
    0.1 of it, and p99 was up to three times that of a random choice."""
    mine, plain = mean(scene, SEEDS), mean(scene, SEEDS, "random")
    assert mine["high"] <= 1.2 * plain["high"]
    assert mine["low"] >= 0.5 * plain["low"]
    assert mine["p99"] <= 1.1 * plain["p99"]


def test_a_slow_endpoint_gets_less_than_half_of_an_even_part_and_the_others_stay_even() -> None:
    scene = Scene("slow", modules=100, load=0.4, trouble="slow", span_s=8, at_s=2)
    mine, plain = mean(scene, SEEDS), mean(scene, SEEDS, "random")
    assert mine["ill"] < 0.5
    assert mine["high"] <= 1.2 * plain["high"]
    assert mine["p99"] <= 0.5 * plain["p99"]


def test_an_endpoint_that_is_no_longer_slow_gets_its_part_again() -> None:
    drive = SenderDriver(endpoints=3, slots=32)
    took = {"e0": 50 * MS, "e1": 400 * MS, "e2": 50 * MS}
    counts: list[Counter[str]] = []
    number = 0
    for _ in range(3):
        seen: Counter[str] = Counter()
        for _ in range(60):
            number += 1
            [start] = [a for a in drive.submit(f"m{number}") if isinstance(a, api.StartAttempt)]
            seen[start.endpoint] += 1
            drive.now += took[start.endpoint]
            drive.end(f"m{number}", Outcome.OK, endpoint=start.endpoint, spent_us=took[start.endpoint])
        counts.append(seen)
        if len(counts) == 1:
            took["e1"] = 50 * MS
            drive.now += 20 * S  # its measured times have decayed
    assert counts[0]["e1"] <= 10
    assert counts[2]["e1"] >= 16


def first_choices(seeds: range) -> Counter[str]:
    """Count the endpoints of the first calls of senders with these seeds."""
    found: Counter[str] = Counter()
    for seed in seeds:
        drive = SenderDriver(endpoints=4, seed=seed)
        found[next(a.endpoint for a in drive.submit("m0") if isinstance(a, api.StartAttempt))] += 1
    return found


def test_first_calls_after_a_start_are_spread_over_endpoints() -> None:
    """Guards against couriers that all send their first call to the first endpoint of the list."""
    found = first_choices(range(200))
    assert min(found.values()) >= 30 and len(found) == 4


def test_a_new_endpoint_is_not_the_next_choice_of_every_courier() -> None:
    """Guards against couriers that all choose a new endpoint next because an untried one has the lowest cost."""
    next_ones: Counter[str] = Counter()
    for seed in range(100):
        drive = SenderDriver(endpoints=4, seed=seed)
        for number in range(8 + seed % 4):
            [start] = [a for a in drive.submit(f"m{number}") if isinstance(a, api.StartAttempt)]
            drive.now += 50 * MS
            drive.end(f"m{number}", Outcome.OK, endpoint=start.endpoint)
        drive.members(info("new"), kind=api.ListKind.CHANGES)
        [start] = [a for a in drive.submit("next") if isinstance(a, api.StartAttempt)]
        next_ones[start.endpoint] += 1
    assert 10 <= next_ones["new"] <= 40


def test_a_single_courier_rotates_over_all_endpoints() -> None:
    drive = SenderDriver(endpoints=5, seed=3)
    found = []
    for number in range(20):
        [start] = [a for a in drive.submit(f"m{number}") if isinstance(a, api.StartAttempt)]
        found.append(start.endpoint)
        drive.now += 50 * MS
        drive.end(f"m{number}", Outcome.OK, endpoint=start.endpoint)
    assert all(set(found[at:at + 5]) == {f"e{i}" for i in range(5)} for at in range(0, 20, 5))
