"""Maps the members seen in this courier's region to homes of shards. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set

from wheelstep.fleet.types import Member, State
from wheelstep.shards.ring import HashRing
from wheelstep.shards.types import region_of


class Homes:
    """Homes by the members seen so far. This courier counts as a member from the first call of `update_members` on;
    until then, and while the region has no members, no shard has a home."""

    def __init__(self, me: Member, shards: int, load: float = 1.25) -> None:
        self.me = me.name
        self.region = region_of(me.zone)
        self.ring = HashRing(shards, load)
        self._unseen_self: Member | None = me
        self._zones: dict[str, str] = {}  # zone of each courier on the ring
        self._zone_counts: Counter[str] = Counter()

    def update_members(self, now_us: int, members: Iterable[Member]) -> set[int]:
        """Takes each change of a member's state, zone or weight and returns the shards whose home changed. Members that
        are LEAVING, GONE or of another region are excluded; a suspected one keeps its shards."""
        changes = {member.name: member for member in members}
        if self._unseen_self is not None:
            changes.setdefault(self.me, self._unseen_self)
            self._unseen_self = None
        changed = self.ring.update({name: self._weight(member) for name, member in changes.items()})
        for name, member in changes.items():
            if (before := self._zones.pop(name, None)) is not None:
                self._zone_counts[before] -= 1
            if self.ring.weight_of(name):
                self._zones[name] = member.zone
                self._zone_counts[member.zone] += 1
        self._zone_counts += Counter()  # drops the zones that have no courier left
        return changed

    def _weight(self, member: Member) -> float:
        """The member's weight on the ring; 0 excludes it."""
        takes_part = member.state in (State.ALIVE, State.SUSPECT) and region_of(member.zone) == self.region
        return member.weight if takes_part else 0.0

    def home(self, shard: int) -> str | None:
        """The shard's home; None if no courier is there or there is no such shard."""
        return self.ring.home(shard)

    def successor(self, shard: int) -> str | None:
        """The courier that would follow the home: the next on the ring in another zone, else the next other one. None
        if there is none."""
        home = self.ring.home(shard)
        if home is None:
            return None
        zone = self._zones[home]
        for name in self.ring.walk(shard):
            if name == home:
                continue
            if self._zones[name] != zone or len(self._zone_counts) == 1:
                return name
        return None

    def own_shards(self) -> Set[int]:
        """The shards that this courier is home of."""
        return self.ring.shards_of(self.me)
