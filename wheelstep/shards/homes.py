"""Who is home of a shard in this courier's region, by membership. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set

from wheelstep.fleet.types import Member, State
from wheelstep.shards.ring import HashRing
from wheelstep.shards.types import region_of


class Homes:
    """Homes by the members that were seen; this courier counts among them from the first `saw` on. Until then, and
    while no member of the region is there, nobody is home."""

    def __init__(self, me: Member, shards: int, load: float = 1.25) -> None:
        self.me = me.name
        self.region = region_of(me.zone)
        self.ring = HashRing(shards, load)
        self._first: Member | None = me
        self._zones: dict[str, str] = {}  # of the couriers on the ring
        self._in_zone: Counter[str] = Counter()

    def saw(self, now_us: int, members: Iterable[Member]) -> set[int]:
        """News of members: each change of state, zone or weight. The shards whose home changed. A member that is
        LEAVING, GONE or of another region takes no part; a suspect one keeps its place."""
        news = {member.name: member for member in members}
        if self._first is not None:
            news.setdefault(self.me, self._first)
            self._first = None
        changed = self.ring.update({name: self._weight(member) for name, member in news.items()})
        for name, member in news.items():
            if (before := self._zones.pop(name, None)) is not None:
                self._in_zone[before] -= 1
            if self.ring.weight_of(name):
                self._zones[name] = member.zone
                self._in_zone[member.zone] += 1
        self._in_zone += Counter()  # without those of which none is left
        return changed

    def _weight(self, member: Member) -> float:
        is_there = member.state in (State.ALIVE, State.SUSPECT) and region_of(member.zone) == self.region
        return member.weight if is_there else 0.0

    def home(self, shard: int) -> str | None:
        """None: nobody is there, or there is no such shard."""
        return self.ring.home(shard)

    def next(self, shard: int) -> str | None:
        """Who would follow the home: the first on the walk in another zone, else the first other; None: nobody."""
        home = self.ring.home(shard)
        if home is None:
            return None
        zone = self._zones[home]
        for name in self.ring.walk(shard):
            if name == home:
                continue
            if self._zones[name] != zone or len(self._in_zone) == 1:
                return name
        return None

    def mine(self) -> Set[int]:
        """The shards that this courier is home of."""
        return self.ring.shards_of(self.me)
