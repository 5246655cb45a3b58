"""The hash ring: after any history the same homes as one greedy pass by the definition, bounded load, few moves."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Mapping

import pytest
import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.shards import points, shares
from wheelstep.shards.ring import MAX_SHARDS, HashRing

NAMES = [f"c{number}" for number in range(12)]
WEIGHTS = st.sampled_from([0.0, 0.02, 0.3, 1.0, 1.0, 1.7, 2.5, -1.0, math.inf, math.nan])
CHANGES = st.lists(st.dictionaries(st.sampled_from(NAMES), WEIGHTS, max_size=6), min_size=1, max_size=8)
SEVEN = dict.fromkeys(NAMES[:7], 1.0)


def position(text: str, bits: int) -> int:
    """The position on a ring of which only the top `bits` bits are in use: with 4, most items share positions."""
    return xxhash.xxh3_64_intdigest(text.encode()) >> (64 - bits) << (64 - bits)


class GreedyMatching:
    """A direct implementation of the definition, without state between updates."""

    def __init__(self, ring: HashRing, shards: int, points: int, bits: int, weights: Mapping[str, float]) -> None:
        self.weights = {name: weight for name, weight in weights.items() if 0 < weight < math.inf}
        points_of = {name: [position(f"{name}#{k}", bits) for k in range(max(1, round(points * weight)))]
                     for name, weight in self.weights.items()}
        self.pairs = sorted((min((at - position(f"shard {shard}", bits)) % 2**64 for at in points_of[name]),
                             name, shard)
                            for shard in range(shards) for name in points_of)
        self.homes: dict[int, str] = {}
        room = {name: ring.cap_of(name) for name in points_of}
        for _, name, shard in self.pairs:
            if shard not in self.homes and room[name]:
                self.homes[shard] = name
                room[name] -= 1

    def walk(self, shard: int) -> list[str]:
        """The couriers in clockwise order from the shard."""
        return [name for _, name, of in self.pairs if of == shard]


@settings(max_examples=250, deadline=None, derandomize=True)
@given(shards=st.sampled_from([1, 7, 40]), load=st.sampled_from([1.0, 1.05, 1.25, 3.0]),
       count=st.sampled_from([1, 4, 16]), bits=st.sampled_from([4, 7, 64]), singles=st.sampled_from([2, 1_024]),
       changes=CHANGES)
def test_updates_give_the_homes_of_a_full_greedy_pass(shards: int, load: float, count: int, bits: int, singles: int,
                                                      changes: list[dict[str, float]]) -> None:
    """Guards against updates that repair too little, also where points share positions or are merged in bulk."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(points, "MAX_SINGLE_CHANGES", singles)
        patch.setattr(points, "position_of", lambda text: position(text, bits))
        ring = HashRing(shards, load, count)
        weights: dict[str, float] = {}
        for change in [SEVEN, *changes]:
            before = [ring.home(shard) for shard in range(shards)]
            weights |= change
            changed = ring.update(change)
            expected = GreedyMatching(ring, shards, count, bits, weights)
            now = [ring.home(shard) for shard in range(shards)]
            assert now == [expected.homes.get(shard) for shard in range(shards)]
            assert changed == {shard for shard in range(shards) if before[shard] != now[shard]}
            assert ring.loads() == {name: len(ring.shards_of(name)) for name in expected.weights}
            for name in NAMES:
                assert ring.shards_of(name) == {shard for shard in range(shards) if now[shard] == name}
                assert ring.weight_of(name) == expected.weights.get(name, 0.0)
            for shard in range(0, shards, 3):
                assert list(ring.walk(shard)) == expected.walk(shard)
            check_bound(ring, shards, load, expected.weights)


def check_bound(ring: HashRing, shards: int, load: float, weights: Mapping[str, float]) -> None:
    """Checks that no courier exceeds its limit and that every shard has a home."""
    total = math.fsum(weights.values())
    for name, weight in weights.items():
        assert len(ring.shards_of(name)) <= ring.cap_of(name) <= max(1, math.ceil(load * shards * weight / total))
    assert not weights or sum(ring.loads().values()) == shards


@settings(max_examples=60, deadline=None, derandomize=True)
@given(changes=CHANGES, rng=st.randoms(use_true_random=False))
def test_homes_do_not_depend_on_the_order_of_updates(changes: list[dict[str, float]], rng: random.Random) -> None:
    """Couriers hear of each other in different orders; homes that depended on it would never agree."""
    weights = dict(SEVEN)
    for change in changes:
        weights |= change
    first, other = HashRing(90, points=8), HashRing(90, points=8)
    first.update(weights)
    single = [{name: weight} for name, weight in weights.items()]
    rng.shuffle(single)
    for change in [*changes, *single]:
        other.update(change)
    assert [first.home(shard) for shard in range(90)] == [other.home(shard) for shard in range(90)]
    assert first.loads() == other.loads() and all(first.cap_of(name) == other.cap_of(name) for name in NAMES)


def test_removing_one_of_a_hundred_moves_few_shards_and_adding_it_restores_them() -> None:
    """Only its own shards move, and a few that use the capacity that the others gain."""
    ring = HashRing(4_096)
    names = [f"courier-{number}" for number in range(100)]
    assert len(ring.update(dict.fromkeys(names, 1.0))) == 4_096
    least = moves = 0
    for name in names:
        had = set(ring.shards_of(name))
        changed = ring.update({name: 0.0})
        assert had <= changed and len(changed) <= 2 * len(had) + 5
        least, moves = least + len(had), moves + len(changed)
        assert ring.update({name: 1.0}) == changed and ring.shards_of(name) == had
    assert least == 4_096 and moves < 1.25 * least


def test_removing_a_courier_never_moves_a_shard_of_every_other_courier() -> None:
    """Happened when the caps of couriers of one weight all rose at the same total weight."""
    ring = HashRing(16_384)
    names = [f"courier-{number}" for number in range(300)]
    ring.update(dict.fromkeys(names, 1.0))
    for name in names[:30]:
        had = len(ring.shards_of(name))
        assert len(ring.update({name: 0.0})) <= 1.5 * had


def test_an_update_assigns_little_more_than_the_shards_that_move(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against updates that recompute everything for a small change."""
    ring = HashRing(4_096)
    names = [f"courier-{number}" for number in range(60)]
    ring.update(dict.fromkeys(names, 1.0))
    taken: Counter[str] = Counter()
    take = HashRing._assign
    monkeypatch.setattr(HashRing, "_assign", lambda self, name, score: (taken.update([name]), take(self, name, score)))
    for weights in ({"courier-7": 0.0}, {"courier-7": 1.0}, {"courier-8": 1.1}, dict.fromkeys(names[:10], 0.0)):
        taken.clear()
        changed = ring.update(weights)
        assert len(changed) <= taken.total() <= 1.5 * len(changed)
    assert ring.update({"courier-7": 0.0, "courier-20": 1.0, "nobody": 0.0}) == set()


def test_an_empty_ring_has_no_homes_and_a_single_courier_has_all() -> None:
    """Also weights that remove a courier, and shards out of range."""
    ring = HashRing(50)
    assert ring.home(3) is None and list(ring.walk(3)) == [] and ring.loads() == {}
    assert ring.update({"a": math.nan, "b": math.inf, "c": -1.0, "d": 0.0}) == set() and ring.home(3) is None
    assert ring.update({"a": 0.2}) == set(range(50)) == ring.shards_of("a")
    assert list(ring.walk(3)) == ["a"] and ring.update({"a": 9.0}) == set()
    assert ring.update({"a": 0.0}) == set(range(50)) and ring.home(3) is None and ring.shards_of("a") == set()
    assert ring.home(50) is None and ring.home(-1) is None


def test_extreme_weights_are_clamped() -> None:
    """A peer that reports a weight of 1e300 or 1e-320 must not exhaust memory or break the sums."""
    ring = HashRing(50, points=4)
    ring.update({"vast": 1e300, "tiny": 1e-320, "a": 1.0})
    assert ring.weight_of("vast") == shares.MAX_WEIGHT and ring.weight_of("tiny") == shares.MIN_WEIGHT
    assert sum(ring.loads().values()) == 50 and ring.cap_of("tiny") == 1


@pytest.mark.parametrize(("shards", "load", "count"), [(0, 1.25, 64), (MAX_SHARDS + 1, 1.25, 64), (10, 0.99, 64),
                                                       (10, math.nan, 64), (10, math.inf, 64), (10, 1.25, 0)])
def test_invalid_ring_parameters_raise_value_error(shards: int, load: float, count: int) -> None:
    """Guards against rings without shards, capacity or points."""
    with pytest.raises(ValueError, match="expected"):
        HashRing(shards, load, count)
