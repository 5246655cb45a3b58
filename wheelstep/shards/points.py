"""The points of couriers on a ring of 64 bits. No I/O; imports xxhash."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping

import xxhash

MASK = (1 << 64) - 1
FEW = 1_024  # so many changed points are put in or taken out one by one; more of them in one pass over all


def place_of(text: str) -> int:
    """Where something of this name lies on the ring."""
    return xxhash.xxh3_64_intdigest(text.encode())


class ShardPlaces:
    """Where shards 0 to `shards` - 1 lie."""

    def __init__(self, shards: int) -> None:
        self.of = array("Q", [place_of(f"shard {shard}") for shard in range(shards)])
        self._shards = array("I", sorted(range(shards), key=lambda shard: (self.of[shard], shard)))
        self._places = array("Q", [self.of[shard] for shard in self._shards])

    def before(self, place: int, far: int) -> Iterator[tuple[int, int]]:
        """Shards from which it is not further than that clockwise to the place, the nearest first, and how far."""
        index = bisect_right(self._places, place) - 1
        for step in range(len(self._places)):
            distance = (place - self._places[index - step]) & MASK
            if distance > far:
                return
            yield self._shards[index - step], distance


class Points:
    """Points by place, those at one place by their courier's name. Distances are clockwise, from 0 to `MASK`."""

    def __init__(self) -> None:
        self.places = array("Q")
        self.names: list[str] = []  # whose point it is, in the order of `places`
        self.of: dict[str, array[int]] = {}  # each courier's places, ascending

    def change(self, counts: Mapping[str, tuple[int, int]]) -> dict[str, list[int]]:
        """Couriers and how many points each has now and is to have; the places that are new. Point `k` of a courier
        is always the same, and the last ones go first."""
        come = {name: [place_of(f"{name}#{k}") for k in range(before, after)]
                for name, (before, after) in counts.items() if after > before}
        go = {name: [place_of(f"{name}#{k}") for k in range(after, before)]
              for name, (before, after) in counts.items() if after < before}
        for name, places in go.items():
            left = self.of[name]
            for place in places:
                left.remove(place)
            if not left:
                del self.of[name]
        for name, places in come.items():
            self.of[name] = array("Q", sorted([*self.of.get(name, ()), *places]))
        if sum(map(len, come.values())) + sum(map(len, go.values())) > FEW:
            self._all_anew()
            return come
        for name, places in go.items():
            for place in places:
                at = self.index(place, name)
                del self.places[at], self.names[at]
        for name, places in come.items():
            for place in places:
                at = self._bisect(place, name)
                self.places.insert(at, place)
                self.names.insert(at, name)
        return come

    def _all_anew(self) -> None:
        names = [name for name in sorted(self.of) for _ in self.of[name]]
        places = [place for name in sorted(self.of) for place in self.of[name]]
        order = sorted(range(len(places)), key=places.__getitem__)  # stable: at one place by name
        self.places = array("Q", [places[at] for at in order])
        self.names = [names[at] for at in order]

    def _bisect(self, place: int, name: str) -> int:
        at = bisect_left(self.places, place)
        while at < len(self.places) and self.places[at] == place and self.names[at] < name:
            at += 1
        return at

    def index(self, place: int, name: str) -> int:
        """Of the first point from there on, this courier's or a later name's if there are several at the place; there
        has to be any."""
        at = self._bisect(place, name)
        return at if at < len(self.places) else 0

    def nearest(self, place: int, name: str) -> int:
        """Where the courier's nearest point clockwise lies; it has to have any."""
        mine = self.of[name]
        at = bisect_left(mine, place)
        return mine[at] if at < len(mine) else mine[0]

    def gap(self, place: int, name: str) -> int:
        """From the courier's point before this one of its points, 1 to `MASK` + 1."""
        mine = self.of[name]
        return ((place - mine[bisect_left(mine, place) - 1] - 1) & MASK) + 1

    def walk(self, place: int) -> Iterator[str]:
        """Each courier once, by its nearest point. Ends when points change meanwhile."""
        names, count = self.names, len(self.of)
        seen: set[str] = set()
        start = bisect_left(self.places, place)
        for step in range(len(names)):
            if len(seen) == count or names is not self.names or len(names) != len(self.places):
                return
            name = names[(start + step) % len(names)]
            if name not in seen:
                seen.add(name)
                yield name
