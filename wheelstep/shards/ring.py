"""Which courier is home of which shard: a ring of points by weight, walked clockwise, with bounded load (Dynamo's ring;
Mirrokni, Thorup, Zadimoghaddam 2016). No I/O.

A shard and a courier rank each other by one score: the distance from the shard's place clockwise to the courier's
nearest point. So there is exactly one stable matching, by the weights alone: what a greedy pass over all pairs by
ascending score gives. `update` replays that pass only where it comes out otherwise than before.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping, Set
from heapq import heapify, heappop, heappush

from wheelstep.shards.points import MASK, Points, ShardPlaces
from wheelstep.shards.shares import Caps, counted, counts_of

MOST_SHARDS = 1 << 20
SHARD = (1 << 32) - 1  # a pair's score is `distance << 32 | shard`, at one courier


class HashRing:
    """Homes of shards 0 to `shards` - 1. A courier holds at most `load` times its share by weight (rounded up), and has
    `points` points on the ring at weight 1. Raises `ValueError` for numbers that make no ring."""

    def __init__(self, shards: int, load: float = 1.25, points: int = 64) -> None:
        if not 0 < shards <= MOST_SHARDS:
            raise ValueError(f"expected 1 to {MOST_SHARDS} shards, found {shards}")
        if not 1 <= load < math.inf or points < 1:
            raise ValueError(f"expected a load of 1 or more and a point or more, found {load} and {points}")
        self._shards, self._per_weight = shards, points
        self._places = ShardPlaces(shards)
        self._place = self._places.of
        self._points = Points()
        self._weights: dict[str, float] = {}
        self._rule = Caps(shards, load)
        self._caps: dict[str, int] = {}
        self._held: dict[str, list[int]] = {}  # scores of the shards at home there, ascending
        # Shards that would rather be there than where they are, and some that no more would.
        self._passed: dict[str, array[int]] = {}
        # Each shard's point: its home's, or while it has none, the one that it has to ask next.
        self._distance = array("Q", bytes(8 * shards))
        self._at = [""] * shards
        self._homed = bytearray(shards)
        # During an update: proposals by score, each with the index of the point; what couriers with room may still
        # propose, the nearest last; proposals of theirs that are out; and where shards were before.
        self._events: list[tuple[int, int]] = []
        self._offers: dict[str, list[int]] = {}
        self._out: dict[str, int] = {}
        self._before: dict[int, str | None] = {}

    def home(self, shard: int) -> str | None:
        """None: there is no courier, or no such shard."""
        return self._at[shard] if 0 <= shard < self._shards and self._homed[shard] else None

    def shards_of(self, courier: str) -> Set[int]:
        """Those that it is home of."""
        return {score & SHARD for score in self._held.get(courier, ())}

    def weight_of(self, courier: str) -> float:
        """As it counts here; 0: it is not on the ring."""
        return self._weights.get(courier, 0.0)

    def loads(self) -> Mapping[str, int]:
        """How many shards each courier on the ring is home of."""
        return {name: len(held) for name, held in self._held.items()}

    def cap_of(self, courier: str) -> int:
        """How many it may be home of."""
        return self._caps.get(courier, 0)

    def walk(self, shard: int) -> Iterator[str]:
        """Each courier once, clockwise from the shard's place; of one shard only while no `update` comes between."""
        return self._points.walk(self._place[shard])

    def update(self, weights: Mapping[str, float]) -> set[int]:
        """Changed weights; 0, less or not finite takes a courier away. The shards whose home is another now."""
        changes = [(name, self.weight_of(name), counted(weight)) for name, weight in weights.items()]
        changes = [change for change in changes if change[1] != change[2]]
        if not changes:
            return set()
        counts = counts_of(self._per_weight, changes)
        held = {name: self._held[name] for name, (before, now) in counts.items() if now < before}
        come = self._points.change(counts)
        for name, _, weight in changes:
            if weight:
                self._weights[name] = weight
                self._held.setdefault(name, [])
                self._passed.setdefault(name, array("I"))
            else:
                del self._weights[name], self._held[name], self._passed[name]
        caps, self._caps = self._caps, self._rule.of(self._weights)
        moved = sum(abs(now - before) for before, now in counts.values())
        if 3 * moved > len(self._points.places):
            self._all_anew()
        else:
            for name, scores in held.items():
                self._lost_points(name, scores)
            for name, cap in self._caps.items():
                while len(self._held[name]) > cap:
                    self._let_go(self._held[name].pop() & SHARD)
            if come:
                self._new_points(come)
            for name, cap in self._caps.items():
                if cap > caps.get(name, 0) or name in held or name in come:
                    self._offer(name)
        self._settle()
        self._offers.clear()
        changed = {shard for shard, home in self._before.items() if home != self.home(shard)}
        self._before.clear()
        return changed

    def _all_anew(self) -> None:
        """Every shard asks from its place on: less work than repairs, where much has changed."""
        for shard in range(self._shards):
            self._before[shard] = self.home(shard)
        self._homed = bytearray(self._shards)
        for name in self._held:
            self._held[name], self._passed[name] = [], array("I")
        if not self._held:
            return
        places, names = self._points.places, self._points.names
        for shard, place in enumerate(self._place):
            index = bisect_left(places, place) % len(places)
            distance = self._distance[shard] = (places[index] - place) & MASK
            self._at[shard] = names[index]
            self._events.append((distance << 32 | shard, index))
        heapify(self._events)

    def _lost_points(self, name: str, scores: list[int]) -> None:
        """A courier has fewer points, or none: shards that it has by one that is gone ask on."""
        for score in list(scores):
            shard = score & SHARD
            place = self._place[shard]
            if (place + (score >> 32)) & MASK not in self._points.of.get(name, ()):
                scores.remove(score)
                self._let_go(shard)

    def _new_points(self, come: dict[str, list[int]]) -> None:
        """Note for couriers with new points the shards that would rather be there, or by a nearer point."""
        furthest = max(self._distance)
        for name, places in come.items():
            passed = self._passed[name]
            for place in places:
                far = min(furthest, self._points.gap(place, name) - 1)
                passed.extend(shard for shard, distance in self._places.before(place, far)
                              if distance <= self._distance[shard])

    def _let_go(self, shard: int) -> None:
        """It has no home: it asks where it was, if that point is still there, and on from there."""
        self._before.setdefault(shard, self.home(shard))
        self._homed[shard] = False
        place = self._place[shard]
        index = self._points.index((place + self._distance[shard]) & MASK, self._at[shard])
        distance = self._distance[shard] = (self._points.places[index] - place) & MASK
        self._at[shard] = self._points.names[index]
        heappush(self._events, (distance << 32 | shard, index))

    def _offer(self, name: str) -> None:
        """The nearest shard that would rather be there is asked to come, if there is room or it is nearer than one
        that is there; one at a time."""
        if name in self._out:
            return
        waiting = self._offers.get(name)
        if waiting is None:
            waiting = self._offers[name] = self._would_come(name)
        held = self._held[name]
        while waiting:
            score = waiting[-1]
            if len(held) >= self._caps[name] and score > held[-1]:
                return
            waiting.pop()
            shard = score & SHARD
            if (score >> 32, name) < (self._distance[shard], self._at[shard]):
                self._out[name] = score
                index = self._points.index((self._place[shard] + (score >> 32)) & MASK, name)
                heappush(self._events, (score, index))
                return

    def _would_come(self, name: str) -> list[int]:
        """Scores of the shards that would rather be there, the nearest last."""
        found = []
        for shard in set(self._passed[name]):
            place = self._place[shard]
            distance = (self._points.nearest(place, name) - place) & MASK
            if (distance, name) < (self._distance[shard], self._at[shard]):
                found.append(distance << 32 | shard)
        found.sort(reverse=True)
        self._passed[name] = array("I", [score & SHARD for score in found])
        return found

    def _settle(self) -> None:
        """Proposals by ascending score. All that has a lower score than the one at hand is final, since whatever a
        proposal sets off has a higher one: a shard that leaves makes room for further ones, one that is
        displaced goes further."""
        events = self._events
        while events:
            score, index = heappop(events)
            shard, name = score & SHARD, self._points.names[index]
            asked = (score >> 32, name)
            own = (self._distance[shard], self._at[shard])
            if not self._homed[shard] or asked < own:
                held = self._held[name]
                if len(held) < self._caps[name] or score < held[-1]:
                    self._take(name, score)
                elif asked == own:
                    self._go_on(score, index)
            if self._out.get(name) == score:
                del self._out[name]
                self._offer(name)

    def _take(self, name: str, score: int) -> None:
        """The shard is at home there now."""
        shard, held = score & SHARD, self._held[name]
        self._before.setdefault(shard, self.home(shard))
        left = self._at[shard] if self._homed[shard] else None
        if left is not None:
            of_left = self._held[left]
            del of_left[bisect_left(of_left, self._distance[shard] << 32 | shard)]
        insort(held, score)
        self._distance[shard], self._at[shard], self._homed[shard] = score >> 32, name, True
        if len(held) > self._caps[name]:
            self._let_go(held.pop() & SHARD)
        if left is not None and left != name:
            self._offer(left)

    def _go_on(self, score: int, index: int) -> None:
        """To the next point clockwise whose courier may still take it; those passed remember the shard."""
        shard = score & SHARD
        place = self._place[shard]
        names, places = self._points.names, self._points.places
        while True:
            name = names[index]
            held = self._held[name]
            if len(held) < self._caps[name] or held[-1] > score:
                break
            self._passed[name].append(shard)
            index += 1
            if index == len(names):
                index = 0
        distance = self._distance[shard] = (places[index] - place) & MASK
        self._at[shard] = names[index]
        heappush(self._events, (distance << 32 | shard, index))
