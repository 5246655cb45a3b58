"""Assigns each shard a home courier: consistent hashing with bounded loads on a ring of weighted points (Dynamo's ring;
Mirrokni, Thorup, Zadimoghaddam 2016). No I/O.

Shards and couriers rank each other by one score: the clockwise distance from the shard's position to the courier's
nearest point. So the stable matching is unique and a function of the weights alone: the result of a greedy pass over
all pairs by ascending score. `update` redoes only the part of that pass whose outcome changes.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping, Set
from heapq import heapify, heappop, heappush

from wheelstep.shards.points import MASK, Points, ShardPositions
from wheelstep.shards.shares import Caps, changed_point_counts, clamped_weight

MAX_SHARDS = 1 << 20
SHARD_MASK = (1 << 32) - 1  # a pair's score is `distance << 32 | shard`, kept per courier


class HashRing:
    """The homes of shards 0 to `shards` - 1. A courier is home of at most `load` times its share by weight (rounded up)
    and has `points` points on the ring at weight 1."""

    def __init__(self, shards: int, load: float = 1.25, points: int = 64) -> None:
        """Raises `ValueError` for a number out of range."""
        if not 0 < shards <= MAX_SHARDS:
            raise ValueError(f"expected 1 to {MAX_SHARDS} shards, found {shards}")
        if not 1 <= load < math.inf or points < 1:
            raise ValueError(f"expected a finite load of at least 1 and at least 1 point, found {load} and {points}")
        self._shards, self._per_weight = shards, points
        self._positions = ShardPositions(shards)
        self._position = self._positions.positions
        self._points = Points()
        self._weights: dict[str, float] = {}
        self._rule = Caps(shards, load)
        self._caps: dict[str, int] = {}
        self._held: dict[str, list[int]] = {}  # scores of the shards assigned to each courier, ascending
        # Per courier, the shards that were not assigned to it and may prefer it; some entries are outdated.
        self._skipped: dict[str, array[int]] = {}
        # Distance and courier of each shard's current point: that of its home, or the one to propose to next.
        self._distance = array("Q", bytes(8 * shards))
        self._courier = [""] * shards
        self._assigned = bytearray(shards)
        # During an update: a heap of proposals (score, index of the point); for couriers with free
        # capacity the candidate shards, nearest last, and the open proposal's score; previous homes by shard.
        self._proposals: list[tuple[int, int]] = []
        self._candidates: dict[str, list[int]] = {}
        self._open_proposals: dict[str, int] = {}
        self._previous_homes: dict[int, str | None] = {}

    def home(self, shard: int) -> str | None:
        """The shard's home; None if there are no couriers or no such shard."""
        return self._courier[shard] if 0 <= shard < self._shards and self._assigned[shard] else None

    def shards_of(self, courier: str) -> Set[int]:
        """The shards whose home is this courier."""
        return {score & SHARD_MASK for score in self._held.get(courier, ())}

    def weight_of(self, courier: str) -> float:
        """The courier's weight as clamped for the ring; 0 if it is not on the ring."""
        return self._weights.get(courier, 0.0)

    def loads(self) -> Mapping[str, int]:
        """The number of shards assigned to each courier on the ring."""
        return {name: len(held) for name, held in self._held.items()}

    def cap_of(self, courier: str) -> int:
        """The highest number of shards that the courier may be home of; 0 if it is not on the ring."""
        return self._caps.get(courier, 0)

    def walk(self, shard: int) -> Iterator[str]:
        """Yields each courier once, in clockwise order from the shard's position. Ends early if `update` runs
        meanwhile."""
        return self._points.walk(self._position[shard])

    def update(self, weights: Mapping[str, float]) -> set[int]:
        """Applies changed weights and returns the shards whose home changed. A weight that is zero, negative or not
        finite removes the courier."""
        changes = [(name, self.weight_of(name), clamped_weight(weight)) for name, weight in weights.items()]
        changes = [change for change in changes if change[1] != change[2]]
        if not changes:
            return set()
        counts = changed_point_counts(self._per_weight, changes)
        held = {name: self._held[name] for name, (before, now) in counts.items() if now < before}
        added = self._points.change(counts)
        for name, _, weight in changes:
            if weight:
                self._weights[name] = weight
                self._held.setdefault(name, [])
                self._skipped.setdefault(name, array("I"))
            else:
                del self._weights[name], self._held[name], self._skipped[name]
        previous_caps, self._caps = self._caps, self._rule.of(self._weights)
        changed_points = sum(abs(now - before) for before, now in counts.values())
        if 3 * changed_points > len(self._points.positions):
            self._rebuild()
        else:
            for name, scores in held.items():
                self._unassign_lost_points(name, scores)
            for name, cap in self._caps.items():
                while len(self._held[name]) > cap:
                    self._unassign(self._held[name].pop() & SHARD_MASK)
            if added:
                self._record_candidates(added)
            for name, cap in self._caps.items():
                if cap > previous_caps.get(name, 0) or name in held or name in added:
                    self._propose_nearest(name)
        self._process_proposals()
        self._candidates.clear()
        changed = {shard for shard, home in self._previous_homes.items() if home != self.home(shard)}
        self._previous_homes.clear()
        return changed

    def _rebuild(self) -> None:
        """Recomputes every assignment from scratch: cheaper than repairs when many points change."""
        for shard in range(self._shards):
            self._previous_homes[shard] = self.home(shard)
        self._assigned = bytearray(self._shards)
        for name in self._held:
            self._held[name], self._skipped[name] = [], array("I")
        if not self._held:
            return
        positions, names = self._points.positions, self._points.names
        for shard, position in enumerate(self._position):
            index = bisect_left(positions, position) % len(positions)
            distance = self._distance[shard] = (positions[index] - position) & MASK
            self._courier[shard] = names[index]
            self._proposals.append((distance << 32 | shard, index))
        heapify(self._proposals)

    def _unassign_lost_points(self, name: str, scores: list[int]) -> None:
        """Unassigns the shards that reached this courier through a point that it no longer has."""
        for score in list(scores):
            shard = score & SHARD_MASK
            position = self._position[shard]
            if (position + (score >> 32)) & MASK not in self._points.by_courier.get(name, ()):
                scores.remove(score)
                self._unassign(shard)

    def _record_candidates(self, added: dict[str, list[int]]) -> None:
        """Records, for couriers with new points, the shards that may prefer them or reach them through a nearer point.
        """
        furthest = max(self._distance)
        for name, positions in added.items():
            skipped = self._skipped[name]
            for position in positions:
                max_distance = min(furthest, self._points.gap(position, name) - 1)
                skipped.extend(shard for shard, distance in self._positions.preceding(position, max_distance)
                               if distance <= self._distance[shard])

    def _unassign(self, shard: int) -> None:
        """Removes the shard from its home. It proposes next to its former point, or clockwise from there if that is
        gone."""
        self._previous_homes.setdefault(shard, self.home(shard))
        self._assigned[shard] = False
        position = self._position[shard]
        index = self._points.index((position + self._distance[shard]) & MASK, self._courier[shard])
        distance = self._distance[shard] = (self._points.positions[index] - position) & MASK
        self._courier[shard] = self._points.names[index]
        heappush(self._proposals, (distance << 32 | shard, index))

    def _propose_nearest(self, name: str) -> None:
        """Proposes to the courier's nearest candidate shard, if the courier has free capacity or the shard is nearer
        than one assigned to it. Each courier has one open proposal at most."""
        if name in self._open_proposals:
            return
        candidates = self._candidates.get(name)
        if candidates is None:
            candidates = self._candidates[name] = self._find_candidates(name)
        held = self._held[name]
        while candidates:
            score = candidates[-1]
            if len(held) >= self._caps[name] and score > held[-1]:
                return
            candidates.pop()
            shard = score & SHARD_MASK
            if (score >> 32, name) < (self._distance[shard], self._courier[shard]):
                self._open_proposals[name] = score
                index = self._points.index((self._position[shard] + (score >> 32)) & MASK, name)
                heappush(self._proposals, (score, index))
                return

    def _find_candidates(self, name: str) -> list[int]:
        """The scores of the shards that prefer this courier to their present point, the nearest last."""
        found = []
        for shard in set(self._skipped[name]):
            position = self._position[shard]
            distance = (self._points.nearest(position, name) - position) & MASK
            if (distance, name) < (self._distance[shard], self._courier[shard]):
                found.append(distance << 32 | shard)
        found.sort(reverse=True)
        self._skipped[name] = array("I", [score & SHARD_MASK for score in found])
        return found

    def _process_proposals(self) -> None:
        """Processes proposals by ascending score. Whatever has a lower score is final, as a proposal only triggers ones
        with higher scores: a shard that leaves frees capacity for more distant shards, and a displaced one moves to a
        more distant point."""
        proposals = self._proposals
        while proposals:
            score, index = heappop(proposals)
            shard, name = score & SHARD_MASK, self._points.names[index]
            proposed = (score >> 32, name)
            current = (self._distance[shard], self._courier[shard])
            if not self._assigned[shard] or proposed < current:
                held = self._held[name]
                if len(held) < self._caps[name] or score < held[-1]:
                    self._assign(name, score)
                elif proposed == current:
                    self._propose_further(score, index)
            if self._open_proposals.get(name) == score:
                del self._open_proposals[name]
                self._propose_nearest(name)

    def _assign(self, name: str, score: int) -> None:
        """Assigns the shard to this courier."""
        shard, held = score & SHARD_MASK, self._held[name]
        self._previous_homes.setdefault(shard, self.home(shard))
        former = self._courier[shard] if self._assigned[shard] else None
        if former is not None:
            former_scores = self._held[former]
            del former_scores[bisect_left(former_scores, self._distance[shard] << 32 | shard)]
        insort(held, score)
        self._distance[shard], self._courier[shard], self._assigned[shard] = score >> 32, name, True
        if len(held) > self._caps[name]:
            self._unassign(held.pop() & SHARD_MASK)
        if former is not None and former != name:
            self._propose_nearest(former)

    def _propose_further(self, score: int, index: int) -> None:
        """Proposes to the next point whose courier may accept the shard; the couriers skipped record it."""
        shard = score & SHARD_MASK
        position = self._position[shard]
        names, positions = self._points.names, self._points.positions
        while True:
            name = names[index]
            held = self._held[name]
            if len(held) < self._caps[name] or held[-1] > score:
                break
            self._skipped[name].append(shard)
            index += 1
            if index == len(names):
                index = 0
        distance = self._distance[shard] = (positions[index] - position) & MASK
        self._courier[shard] = names[index]
        heappush(self._proposals, (distance << 32 | shard, index))
