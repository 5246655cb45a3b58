"""Which courier should own which part: even by weight, with the least moves, and at a bounded pace. No I/O; events and
a clock go in. The same view gives the same result at every courier; where views differ, the registers decide.

Imports xxhash (rendezvous hashing, Thaler and Ravishankar 1998, chooses among equals).
"""

from __future__ import annotations

import math
from bisect import bisect
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from wheelstep.fleet.types import Member, State

FLAP_US = 3_600_000_000  # how long a flap is remembered
FLAPS = 6  # so many at most: probation is doubled as often
CHOICES = 32  # couriers that a part without one chooses among, from its place on a ring of them
MASK = (1 << 64) - 1


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _score(courier: int, part: int) -> int:
    """Of two hashes, spread over 64 bits (the last steps of splitmix64)."""
    mixed = courier ^ part
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & MASK
    return mixed ^ (mixed >> 31)


def part_hash(part: int) -> int:
    """What a part is told apart by when couriers are equal."""
    return _hash(f"part {part}")


def assign(parts: int | Iterable[int], weights: Mapping[str, float], owners: Mapping[int, str]) -> dict[int, str]:
    """Part to courier: each has its share by weight, less than one part away from the exact one, with the least moves
    from `owners` that this allows. Weights not above 0 get nothing; without any other, nothing is assigned."""
    wanted = sorted(range(parts) if isinstance(parts, int) else parts)
    couriers = sorted(name for name, weight in weights.items() if weight > 0 and math.isfinite(weight))
    total = math.fsum(weights[name] for name in couriers)
    if not couriers:
        return {}
    hashes = {name: _hash(name) for name in couriers}
    kept: dict[str, list[int]] = {name: [] for name in couriers}
    loose = []
    for part in wanted:
        if (mine := kept.get(owners.get(part, ""))) is not None:
            mine.append(part)
        else:
            loose.append(part)
    room, more = {}, {}
    for name in couriers:
        exact = len(wanted) * (weights[name] / total)
        near = round(exact)
        # What is whole but for rounding has no part to spare: one more would be one off.
        room[name] = near if abs(exact - near) < 1e-9 else math.floor(exact)
        if room[name] < exact - 1e-9:
            more[name] = exact - room[name]
    # Whoever has more than its lower share keeps one more; then who would be furthest from its exact share.
    order = sorted(more, key=lambda name: (len(kept[name]) <= room[name], -more[name], hashes[name], name))
    for name in order[:len(wanted) - sum(room.values())]:
        room[name] += 1
    for name in couriers:
        mine = kept[name]
        if len(mine) > room[name]:
            mine.sort(key=lambda part: _score(hashes[name], part_hash(part)), reverse=True)
            loose += mine[room[name]:]
            del mine[room[name]:]
        room[name] -= len(mine)
    result = {part: name for name, mine in kept.items() for part in mine}
    ring = sorted((hashes[name], name) for name in couriers if room[name] > 0)
    for part in sorted(loose):
        key = part_hash(part)
        at = bisect(ring, (key, ""))
        near_by = [(at + step) % len(ring) for step in range(min(len(ring), CHOICES))]
        best = max(near_by, key=lambda place: (_score(ring[place][0], key), ring[place][1]))
        name = result[part] = ring[best][1]
        room[name] -= 1
        if not room[name]:
            del ring[best]
    return result


@dataclass(slots=True)
class Seen:
    """A member as the placement knows it."""

    member: Member
    since_us: int = 0  # alive without a break since then
    flaps: deque[int] = field(default_factory=lambda: deque(maxlen=FLAPS))


@dataclass(frozen=True, slots=True)
class Plan:
    """`free`: parts to ask for. `away`: parts of this courier to begin to move now, and to whom."""

    free: frozenset[int]
    away: dict[int, str]


class Placement:
    """What one courier should ask for and give away, from its own view of members and owners. `at_once` moves at a
    time, one begun each `pace_us` at most; nothing is given to a courier alive for less than `probation_us`, doubled
    with each time within an hour that it was found dead."""

    def __init__(self, me: str, parts: int, at_once: int, pace_us: int, probation_us: int) -> None:
        self.me = me
        self._parts = parts
        self._at_once = at_once
        self._pace_us = pace_us
        self._probation_us = probation_us
        self._members: dict[str, Seen] = {}
        self._owners: dict[int, str] = {}
        self._next_us = 0  # no move begins before

    def saw(self, now_us: int, member: Member) -> None:
        """News of a member (this courier included): each change of state, incarnation or weight."""
        seen = self._members.get(member.name)
        if seen is None:
            self._members[member.name] = Seen(member, now_us)
            return
        before = seen.member.state
        if member.state is State.GONE and before in (State.ALIVE, State.SUSPECT):
            seen.flaps.append(now_us)
        if before is State.GONE and member.state is not State.GONE:
            seen.since_us = now_us
        seen.member = member

    def forget(self, name: str) -> None:
        """The membership has forgotten a member that was gone for long."""
        self._members.pop(name, None)

    def owned(self, part: int, owner: str | None) -> None:
        """The register's word, as far as known; None: nobody has it, or its lease has run out."""
        if owner is None:
            self._owners.pop(part, None)
        else:
            self._owners[part] = owner

    def on_probation(self, now_us: int, name: str) -> bool:
        """Is it too early to give it anything?"""
        seen = self._members[name]
        flaps = sum(at_us > now_us - FLAP_US for at_us in seen.flaps)
        return now_us - seen.since_us < self._probation_us << flaps

    def _weight(self, name: str) -> float:
        seen = self._members.get(name)
        return seen.member.weight if seen and seen.member.state in (State.ALIVE, State.SUSPECT) else 0.0

    def target(self, now_us: int) -> dict[int, str]:
        """Who should own what. Couriers on probation keep what they have and get nothing, unless all are."""
        weights = {name: weight for name in self._members if (weight := self._weight(name)) > 0}
        settled = {name: weight for name, weight in weights.items() if not self.on_probation(now_us, name)}
        if not settled:
            return assign(self._parts, weights, self._owners)
        pinned = {part: owner for part, owner in self._owners.items() if owner in weights and owner not in settled}
        return assign((part for part in range(self._parts) if part not in pinned), settled, self._owners) | pinned

    def plan(self, now_us: int, moving: Collection[int]) -> Plan:
        """What to do now; `moving` are this courier's moves under way. Call `began` for each that does begin."""
        target = self.target(now_us)
        free = frozenset(part for part, owner in target.items() if owner == self.me and self._is_free(part)
                         and self._may_have(part, self.me))
        mine = [part for part, owner in sorted(self._owners.items()) if owner == self.me and part not in moving]
        count = max(self._at_once - len(moving), 0) if now_us >= self._next_us else 0
        if self._pace_us:
            count = min(count, 1)
        away: dict[int, str] = {}
        for part in mine:
            if len(away) >= count:
                break
            to = self._taker(now_us, part, target)
            if to is not None:
                away[part] = to
        return Plan(free, away)

    def began(self, now_us: int) -> None:
        """A move has begun: the pace counts from it."""
        self._next_us = now_us + self._pace_us

    def next_us(self, now_us: int) -> int:
        """When the pace lets the next move begin."""
        return max(self._next_us, now_us)

    def _is_free(self, part: int) -> bool:
        """Its owner is gone or nobody: its lease has run out, or will."""
        seen = self._members.get(self._owners.get(part, ""))
        return seen is None or seen.member.state is State.GONE

    def _may_have(self, part: int, name: str) -> bool:
        """Is it of the owner's version, or a newer one?"""
        owner = self._members.get(self._owners.get(part, ""))
        return owner is None or owner.member.version <= self._members[name].member.version

    def _taker(self, now_us: int, part: int, target: Mapping[int, str]) -> str | None:
        """To whom a part of this courier should go, if it should."""
        to = target.get(part)
        if to is None or to == self.me:
            return None
        if self._may_have(part, to) and (not self.on_probation(now_us, to) or not self._weight(self.me)):
            return to
        if self._weight(self.me):
            return None
        # It leaves, and whose turn it would be is too old: whoever has least of those that are not.
        counts = dict.fromkeys(target.values(), 0)
        for owner in self._owners.values():
            counts[owner] = counts.get(owner, 0) + 1
        others = [name for name in self._members if self._weight(name) > 0 and self._may_have(part, name)]
        key = part_hash(part)
        return min(others, default=None, key=lambda name: (counts.get(name, 0) / self._weight(name),
                                                           _score(_hash(name), key)))
