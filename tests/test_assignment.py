"""Assignment of parts: proportional, fewest moves, deterministic; and the plan of one courier."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.fleet.assignment import Placement, assign
from wheelstep.fleet.types import Member, State

NAMES = ["a", "b", "c", "d"]
SECOND_US = 1_000_000
PROBATION_US = 30 * SECOND_US

weights_of = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([0.0, 0.5, 1.0, 1.5, 2.0, 3.0]), min_size=1)


def even(result: dict[int, str], parts: int, weights: dict[str, float]) -> bool:
    """Return whether each courier's count is less than one part off its share."""
    total = sum(weights.values())
    return len(result) == parts and all(
        abs(sum(owner == name for owner in result.values()) - parts * weight / total) < 1 - 1e-9
        for name, weight in weights.items())


def fewest(parts: int, weights: dict[str, float], owners: dict[int, str]) -> int:
    """Return the fewest moves to any even assignment, by exhaustive search."""
    names = [name for name, weight in weights.items() if weight > 0]
    tries = (dict(enumerate(each)) for each in itertools.product(names, repeat=parts))
    return min(sum(owners.get(part) != owner for part, owner in each.items())
               for each in tries if even(each, parts, weights))


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.integers(1, 6), weights_of, st.data())
def test_assignment_is_proportional_with_the_fewest_moves(
        parts: int, weights: dict[str, float], data: st.DataObject) -> None:
    """Also independent of the order of its inputs, and stable when applied to its own result."""
    owners = data.draw(st.dictionaries(st.integers(0, parts - 1), st.sampled_from([*NAMES, "gone"])))
    result = assign(parts, weights, owners)
    if not any(weights.values()):
        assert result == {}
        return
    assert even(result, parts, weights)
    assert sum(owners.get(part) != owner for part, owner in result.items()) == fewest(parts, weights, owners)
    shuffled = dict(reversed(weights.items()))
    assert assign(parts, shuffled, dict(reversed(owners.items()))) == result
    assert assign(parts, weights, result) == result


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(1, 300), st.dictionaries(st.text(max_size=4), st.floats(0.01, 100), min_size=1, max_size=40))
def test_large_assignments_are_proportional_for_any_weights(parts: int, weights: dict[str, float]) -> None:
    """Rounding must not accumulate over many couriers."""
    assert even(assign(parts, weights, {}), parts, weights)


def test_share_that_is_integral_except_for_rounding_is_exact() -> None:
    """Floating-point error must not cost a part."""
    weights = {"a": 0.7, "b": 0.1, "c": 0.1, "d": 0.6}  # "d" has 8 of 20, computed slightly lower
    owners = dict(enumerate("daabbadbdddacabaacba"))
    assert list(assign(20, weights, owners).values()).count("d") == 8


def test_views_differing_in_one_courier_agree_on_most_free_parts() -> None:
    """Couriers with different views must rarely compete for a part."""
    weights = {f"courier-{number}": 1.0 for number in range(12)}
    whole = assign(1024, weights, {})
    less = assign(1024, {name: weight for name, weight in weights.items() if name != "courier-3"}, {})
    same = sum(whole[part] == less[part] for part in range(1024))
    assert same > 0.6 * 1024


# --- the plan of one courier ---

def member(name: str, state: State = State.ALIVE, version: int = 1, weight: float = 1.0) -> Member:
    """Return a member with the given state, version and weight."""
    return Member(name, 1, state, "", "", weight, "", version)


def placement(me: str = "a", parts: int = 12, at_once: int = 2, pace_us: int = 0, now_us: int = 0) -> Placement:
    """Return the placement of `me`, with all four couriers alive since `now_us`."""
    place = Placement(me, parts, at_once, pace_us, PROBATION_US)
    for name in NAMES:
        place.record_member(now_us, member(name))
    return place


NOW_US = 10 * PROBATION_US


def test_each_free_part_is_acquired_by_exactly_one_courier() -> None:
    """Couriers with equal views must not compete or leave parts unowned."""
    plans = [placement(name).plan(NOW_US, ()) for name in NAMES]
    assert sorted(part for plan in plans for part in plan.free) == list(range(12))
    assert not any(plan.away for plan in plans)


def test_parts_of_a_gone_courier_are_free_and_of_a_suspect_not() -> None:
    """A suspect may still hold its leases."""
    for state, free in ((State.SUSPECT, 0), (State.GONE, 3)):
        plans = []
        for me in "abc":
            place = placement(me)
            for part in range(12):
                place.record_owner(part, NAMES[part % 4])
            place.record_member(NOW_US, member("d", state))
            plans.append(place.plan(NOW_US, ()))
        assert sum(len(plan.free) for plan in plans) == free
        assert not any(plan.away for plan in plans)


def test_leaving_courier_gives_all_parts_to_staying_ones_within_bound_and_pace() -> None:
    """Moves that start all at once would overload couriers."""
    place = placement(at_once=2, pace_us=SECOND_US)
    for part in range(12):
        place.record_owner(part, NAMES[part % 4])
    place.record_member(NOW_US, member("a", State.LEAVING))
    place.record_member(NOW_US, member("b", State.LEAVING))
    now_us, moving, gone = NOW_US, [], []
    while away := place.plan(now_us, moving).away:
        (part, to), = away.items()
        assert to in ("c", "d")
        place.record_move_start(now_us)
        assert place.plan(now_us, [*moving, part]).away == {}
        assert place.plan(now_us + SECOND_US, [part, 99]).away == {}  # two moves are in progress
        place.record_owner(part, to)
        gone.append(to)
        now_us = place.next_us(now_us)
    assert len(gone) == 3 and now_us == NOW_US + 3 * SECOND_US
    assert place.plan(now_us, ()).free == frozenset()


def test_courier_on_probation_keeps_its_parts_and_is_given_none() -> None:
    """A courier that restarts repeatedly must not attract parts."""
    place = placement()
    for part in range(12):
        place.record_owner(part, "abc"[part % 3])
    place.record_member(NOW_US, member("e"))
    place.record_owner(11, "e")
    assert set(place.plan(NOW_US, ()).away.values()) == {"d"}
    place.record_member(NOW_US, member("d", State.GONE))
    place.record_member(NOW_US, member("d"))
    assert place.plan(NOW_US + PROBATION_US - 1, ()).away == {}
    assert place.target(NOW_US + PROBATION_US - 1)[11] == "e"
    after = NOW_US + 2 * PROBATION_US
    assert set(place.plan(after, ()).away.values()) <= {"d", "e"} and place.plan(after, ()).away


def test_probation_doubles_with_each_flap_within_an_hour_up_to_a_bound() -> None:
    """Orderly leaves do not count as flaps."""
    place = placement()
    now_us = NOW_US
    waits = []
    for _ in range(9):
        place.record_member(now_us, member("d", State.GONE))
        place.record_member(now_us, member("d"))
        wait_us = PROBATION_US
        while place.on_probation(now_us + wait_us, "d"):
            wait_us *= 2
        waits.append(wait_us // PROBATION_US)
        now_us += SECOND_US
    assert waits == [2, 4, 8, 16, 32, 64, 64, 64, 64]
    now_us += 2 * 3600 * SECOND_US
    place.record_member(now_us, member("d", State.LEAVING))
    place.record_member(now_us, member("d", State.GONE))
    place.record_member(now_us, member("d"))  # an orderly leave is no flap
    assert not place.on_probation(now_us + PROBATION_US, "d")


def test_if_all_couriers_are_on_probation_free_parts_are_assigned() -> None:
    """A new fleet must not wait for the probation to end."""
    place = Placement("a", 12, 2, 0, PROBATION_US)
    place.record_member(0, member("a"))
    place.record_member(0, member("b"))
    assert 0 < len(place.plan(1, ()).free) < 12
    for part in range(12):
        place.record_owner(part, "a")
    assert place.plan(1, ()) == placement_none()
    place.record_member(2, member("a", State.LEAVING))
    assert set(place.plan(2, ()).away.values()) == {"b"}


def placement_none() -> object:
    """Return the empty plan."""
    return Placement("a", 12, 2, 0, 0).plan(0, ())


def test_part_is_not_placed_on_an_older_version_than_its_owner() -> None:
    """An older courier may not understand the part's content."""
    place = placement(at_once=12)
    place.record_member(NOW_US, member("a", State.LEAVING, version=2))
    place.record_member(NOW_US, member("c", version=2))
    for part in range(12):
        place.record_owner(part, NAMES[part % 4])
    assert set(place.plan(NOW_US, ()).away.values()) == {"c"}
    place.record_member(NOW_US, member("c", State.GONE, version=2))
    assert place.plan(NOW_US, ()).away == {}
    other = placement("b")
    other.record_member(NOW_US, member("a", State.GONE, version=2))
    other.record_owner(0, "a")
    assert 0 not in other.plan(NOW_US, ()).free


@pytest.mark.parametrize("seed", range(3))
def test_rolling_replacement_needs_at_most_ten_percent_more_moves(seed: int) -> None:
    """Replacing couriers one by one must move each part about once."""
    rng = random.Random(seed)
    owners: dict[int, str] = {}
    weights = {f"old-{number}": 1.0 for number in range(12)}
    owners = assign(64, weights, owners)
    moves = 0
    for name in rng.sample(sorted(weights), 12):
        del weights[name]
        weights[name.replace("old", "new")] = 1.0
        after = assign(64, weights, owners)
        moves += sum(owners[part] != owner for part, owner in after.items())
        owners = after
    assert moves <= 1.1 * 64
