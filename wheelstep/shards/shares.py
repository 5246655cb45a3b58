"""What a courier's weight entitles it to on the ring: a number of points, and a cap on its shards. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from wheelstep.shards.points import MASK, position_of

MIN_WEIGHT, MAX_WEIGHT = 1e-6, 64.0  # weights outside are clamped to these


def clamped_weight(weight: float) -> float:
    """The weight as clamped for the ring; 0 excludes the courier."""
    return min(max(weight, MIN_WEIGHT), MAX_WEIGHT) if 0 < weight < math.inf else 0.0


def point_count(points: int, weight: float) -> int:
    """How many points a courier of this weight has, given the number at weight 1; at least one unless the weight is 0.
    """
    return max(1, round(points * weight)) if weight > 0 else 0


def changed_point_counts(points: int, weights: Iterable[tuple[str, float, float]]) -> dict[str, tuple[int, int]]:
    """Takes each courier's weight before and after, and returns the number of points before and after of those for
    which it changes."""
    counts = {name: (point_count(points, before), point_count(points, now)) for name, before, now in weights}
    return {name: count for name, count in counts.items() if count[0] != count[1]}


class Caps:
    """Limits on shards per courier: `load` times the exact share, rounded up or down by a hash of the courier's name,
    and never below the share rounded up. So no courier exceeds that bound rounded up, and all couriers together have
    room for all shards.

    The rounding differs by courier because otherwise (rounding up for all, or rounding the total weight to a grid) the
    caps of all couriers of one weight rise at the same total: about one death in ten then moved a shard at every full
    courier. With this rule a death moves shards of few couriers.
    """

    def __init__(self, shards: int, load: float) -> None:
        self._shards, self._load = shards, load
        self._rounding: dict[str, float] = {}  # per courier, 0 to 1: its cap is rounded up from 1 minus this on

    def of(self, weights: Mapping[str, float]) -> dict[str, int]:
        """The caps, as a function of the weights alone; all of these couriers count."""
        self._rounding = {name: self._rounding.get(name) or position_of(f"cap {name}") / (MASK + 1) for name in weights}
        shards_per_weight = self._shards / math.fsum(weights.values()) if weights else 0.0
        return {name: max(math.ceil(shards_per_weight * weight),
                          math.floor(self._load * shards_per_weight * weight + self._rounding[name]))
                for name, weight in weights.items()}
