"""Couriers' points and shards' positions on a 64-bit hash ring. No I/O; imports xxhash."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping

import xxhash

MASK = (1 << 64) - 1
MAX_SINGLE_CHANGES = 1_024  # up to this many changed points are inserted or removed singly; more are merged in one pass


def position_of(text: str) -> int:
    """The position on the ring of an item with this name."""
    return xxhash.xxh3_64_intdigest(text.encode())


class ShardPositions:
    """The positions of shards 0 to `shards` - 1."""

    def __init__(self, shards: int) -> None:
        self.positions = array("Q", [position_of(f"shard {shard}") for shard in range(shards)])
        self._shards = array("I", sorted(range(shards), key=lambda shard: (self.positions[shard], shard)))
        self._positions = array("Q", [self.positions[shard] for shard in self._shards])

    def preceding(self, position: int, max_distance: int) -> Iterator[tuple[int, int]]:
        """Yields the shards whose clockwise distance to the position is at most `max_distance`, the nearest first, with
        that distance."""
        index = bisect_right(self._positions, position) - 1
        for step in range(len(self._positions)):
            distance = (position - self._positions[index - step]) & MASK
            if distance > max_distance:
                return
            yield self._shards[index - step], distance


class Points:
    """Points ordered by position, then by their courier's name. Distances are clockwise, from 0 to `MASK`."""

    def __init__(self) -> None:
        self.positions = array("Q")
        self.names: list[str] = []  # the courier of each point, in the order of `positions`
        self.by_courier: dict[str, array[int]] = {}  # each courier's positions, ascending

    def change(self, counts: Mapping[str, tuple[int, int]]) -> dict[str, list[int]]:
        """Takes each courier's number of points before and after, and returns the positions that are new. Point `k` of
        a courier always has the same position; the highest `k` are removed first."""
        added = {name: [position_of(f"{name}#{k}") for k in range(before, after)]
                 for name, (before, after) in counts.items() if after > before}
        removed = {name: [position_of(f"{name}#{k}") for k in range(after, before)]
                   for name, (before, after) in counts.items() if after < before}
        for name, positions in removed.items():
            remaining = self.by_courier[name]
            for position in positions:
                remaining.remove(position)
            if not remaining:
                del self.by_courier[name]
        for name, positions in added.items():
            self.by_courier[name] = array("Q", sorted([*self.by_courier.get(name, ()), *positions]))
        if sum(map(len, added.values())) + sum(map(len, removed.values())) > MAX_SINGLE_CHANGES:
            self._rebuild()
            return added
        for name, positions in removed.items():
            for position in positions:
                at = self.index(position, name)
                del self.positions[at], self.names[at]
        for name, positions in added.items():
            for position in positions:
                at = self._bisect(position, name)
                self.positions.insert(at, position)
                self.names.insert(at, name)
        return added

    def _rebuild(self) -> None:
        """Rebuilds the arrays from the points by courier."""
        names = [name for name in sorted(self.by_courier) for _ in self.by_courier[name]]
        positions = [position for name in sorted(self.by_courier) for position in self.by_courier[name]]
        order = sorted(range(len(positions)), key=positions.__getitem__)  # stable: names order points at one position
        self.positions = array("Q", [positions[at] for at in order])
        self.names = [names[at] for at in order]

    def _bisect(self, position: int, name: str) -> int:
        """The index of this point, or where it belongs."""
        at = bisect_left(self.positions, position)
        while at < len(self.positions) and self.positions[at] == position and self.names[at] < name:
            at += 1
        return at

    def index(self, position: int, name: str) -> int:
        """The index of the first point at or after the position, not counting points there of couriers with smaller
        names. There must be at least one point."""
        at = self._bisect(position, name)
        return at if at < len(self.positions) else 0

    def nearest(self, position: int, name: str) -> int:
        """The position of the courier's nearest point clockwise. The courier must have one."""
        own_positions = self.by_courier[name]
        at = bisect_left(own_positions, position)
        return own_positions[at] if at < len(own_positions) else own_positions[0]

    def gap(self, position: int, name: str) -> int:
        """The distance to this point of the courier from its previous one, 1 to `MASK` + 1."""
        own_positions = self.by_courier[name]
        return ((position - own_positions[bisect_left(own_positions, position) - 1] - 1) & MASK) + 1

    def walk(self, position: int) -> Iterator[str]:
        """Yields each courier once, by its nearest point. Ends early when points change meanwhile."""
        names, count = self.names, len(self.by_courier)
        seen: set[str] = set()
        start = bisect_left(self.positions, position)
        for step in range(len(names)):
            if len(seen) == count or names is not self.names or len(names) != len(self.positions):
                return
            name = names[(start + step) % len(names)]
            if name not in seen:
                seen.add(name)
                yield name
