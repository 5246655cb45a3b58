"""What a courier's weight gives it on the ring: points, and a cap on the shards that it is home of. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from wheelstep.shards.points import MASK, place_of

LEAST_WEIGHT, MOST_WEIGHT = 1e-6, 64.0  # couriers that are lighter or heavier count as these


def counted(weight: float) -> float:
    """A weight as it counts on the ring; 0: not at all."""
    return min(max(weight, LEAST_WEIGHT), MOST_WEIGHT) if 0 < weight < math.inf else 0.0


def points_of(points: int, weight: float) -> int:
    """How many points a courier has, at so many for weight 1; any has one at least."""
    return max(1, round(points * weight)) if weight > 0 else 0


def counts_of(points: int, weights: Iterable[tuple[str, float, float]]) -> dict[str, tuple[int, int]]:
    """From couriers with their weight before and now, those with another number of points: before, and now."""
    counts = {name: (points_of(points, before), points_of(points, now)) for name, before, now in weights}
    return {name: count for name, count in counts.items() if count[0] != count[1]}


class Caps:
    """`load` times a courier's exact share, rounded up or down by the courier's own name, and never under its
    share rounded up: at most that bound rounded up, and all couriers together have room for all shards.

    Were it rounded up for all, or the total weight rounded to a grid, then the caps of couriers of one weight would
    all rise at the same total: one death in some ten would move a shard at every full courier. So a death
    moves that of a few."""

    def __init__(self, shards: int, load: float) -> None:
        self._shards, self._load = shards, load
        self._part: dict[str, float] = {}  # of each courier, 0 to 1: its cap is rounded up from 1 less this on

    def of(self, weights: Mapping[str, float]) -> dict[str, int]:
        """By the weights alone, all of which count."""
        self._part = {name: self._part.get(name) or place_of(f"cap {name}") / (MASK + 1) for name in weights}
        part_of_one = self._shards / math.fsum(weights.values()) if weights else 0.0
        return {name: max(math.ceil(part_of_one * weight),
                          math.floor(self._load * part_of_one * weight + self._part[name]))
                for name, weight in weights.items()}
