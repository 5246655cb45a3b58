"""Target assignment of parts to couriers: proportional to weight, with the fewest moves, at a bounded rate. No I/O;
takes events and the time. Equal views give equal results at all couriers; where views differ, the registers decide.

Imports xxhash: rendezvous hashing (Thaler and Ravishankar 1998) chooses among equal candidates.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from wheelstep.fleet.types import Member, State

FLAP_MEMORY_US = 3_600_000_000  # how long a death counts towards probation
MAX_FLAPS = 6  # deaths counted at most; each doubles the probation
CANDIDATES = 32  # couriers considered for an unassigned part, from its position on the hash ring
MASK_64 = (1 << 64) - 1


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _score(courier: int, part: int) -> int:
    """Mix two hashes into 64 bits (the finalizer of splitmix64)."""
    mixed = courier ^ part
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & MASK_64
    return mixed ^ (mixed >> 31)


def part_hash(part: int) -> int:
    """Return the hash of a part for rendezvous hashing."""
    return _hash(f"part {part}")


def assign(parts: int | Iterable[int], weights: Mapping[str, float], owners: Mapping[int, str]) -> dict[int, str]:
    """Return courier by part. Each courier gets its share by weight, off by less than one part, with the fewest moves
    from `owners` that this allows. Weights of 0 or less get nothing; if there are no others, the result is empty."""
    all_parts = sorted(range(parts) if isinstance(parts, int) else parts)
    couriers = sorted(name for name, weight in weights.items() if weight > 0 and math.isfinite(weight))
    total = math.fsum(weights[name] for name in couriers)
    if not couriers:
        return {}
    hashes = {name: _hash(name) for name in couriers}
    kept: dict[str, list[int]] = {name: [] for name in couriers}
    unassigned = []
    for part in all_parts:
        if (kept_parts := kept.get(owners.get(part, ""))) is not None:
            kept_parts.append(part)
        else:
            unassigned.append(part)
    capacity, remainders = {}, {}
    for name in couriers:
        exact = len(all_parts) * (weights[name] / total)
        rounded = round(exact)
        # A share that is integral except for rounding gets no extra part: that would be off by one.
        capacity[name] = rounded if abs(exact - rounded) < 1e-9 else math.floor(exact)
        if capacity[name] < exact - 1e-9:
            remainders[name] = exact - capacity[name]
    # Extra parts go first to couriers that hold more than the lower share, then by the largest remainder.
    order = sorted(remainders, key=lambda name: (
        len(kept[name]) <= capacity[name], -remainders[name], hashes[name], name))
    for name in order[:len(all_parts) - sum(capacity.values())]:
        capacity[name] += 1
    for name in couriers:
        kept_parts = kept[name]
        if len(kept_parts) > capacity[name]:
            kept_parts.sort(key=lambda part: _score(hashes[name], part_hash(part)), reverse=True)
            unassigned += kept_parts[capacity[name]:]
            del kept_parts[capacity[name]:]
        capacity[name] -= len(kept_parts)
    result = {part: name for name, kept_parts in kept.items() for part in kept_parts}
    ring = sorted((hashes[name], name) for name in couriers if capacity[name] > 0)
    for part in sorted(unassigned):
        key = part_hash(part)
        position = bisect(ring, (key, ""))
        candidates = [(position + step) % len(ring) for step in range(min(len(ring), CANDIDATES))]
        chosen = max(candidates, key=lambda place: (_score(ring[place][0], key), ring[place][1]))
        name = result[part] = ring[chosen][1]
        capacity[name] -= 1
        if not capacity[name]:
            del ring[chosen]
    return result


@dataclass(slots=True)
class MemberRecord:
    """A member with its history of deaths."""

    member: Member
    since_us: int = 0  # start of the current continuous presence
    flaps: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_FLAPS))  # times of unplanned deaths


@dataclass(frozen=True, slots=True)
class Plan:
    """`free`: parts to acquire. `away`: parts of this courier to move now, with their new owners."""

    free: frozenset[int]
    away: dict[int, str]


class Placement:
    """Plans what one courier acquires and gives away, from its view of members and owners. At most `at_once` moves run
    at a time, and one starts per `pace_us`. A courier on probation is given nothing: that is `probation_us` after it
    appeared, doubled for each time in the last hour that it was declared dead."""

    def __init__(self, me: str, parts: int, at_once: int, pace_us: int, probation_us: int) -> None:
        self.me = me
        self._parts = parts
        self._at_once = at_once
        self._pace_us = pace_us
        self._probation_us = probation_us
        self._members: dict[str, MemberRecord] = {}
        self._owners: dict[int, str] = {}
        self._next_us = 0  # earliest start of the next move

    def record_member(self, now_us: int, member: Member) -> None:
        """Record a change of state, incarnation or weight of a member, this courier included."""
        record = self._members.get(member.name)
        if record is None:
            self._members[member.name] = MemberRecord(member, now_us)
            return
        before = record.member.state
        if member.state is State.GONE and before in (State.ALIVE, State.SUSPECT):
            record.flaps.append(now_us)
        if before is State.GONE and member.state is not State.GONE:
            record.since_us = now_us
        record.member = member

    def remove_member(self, name: str) -> None:
        """Drop a member that the membership has dropped."""
        self._members.pop(name, None)

    def record_owner(self, part: int, owner: str | None) -> None:
        """Record the known owner of a part; None if it has none or the lease has expired."""
        if owner is None:
            self._owners.pop(part, None)
        else:
            self._owners[part] = owner

    def on_probation(self, now_us: int, name: str) -> bool:
        """Return whether the member is on probation and must not be given parts."""
        record = self._members[name]
        flaps = sum(at_us > now_us - FLAP_MEMORY_US for at_us in record.flaps)
        return now_us - record.since_us < self._probation_us << flaps

    def _weight(self, name: str) -> float:
        record = self._members.get(name)
        return record.member.weight if record and record.member.state in (State.ALIVE, State.SUSPECT) else 0.0

    def target(self, now_us: int) -> dict[int, str]:
        """Return the target owner by part. Couriers on probation keep their parts and get no others, unless all are."""
        weights = {name: weight for name in self._members if (weight := self._weight(name)) > 0}
        eligible = {name: weight for name, weight in weights.items() if not self.on_probation(now_us, name)}
        if not eligible:
            return assign(self._parts, weights, self._owners)
        pinned = {part: owner for part, owner in self._owners.items() if owner in weights and owner not in eligible}
        return assign((part for part in range(self._parts) if part not in pinned), eligible, self._owners) | pinned

    def plan(self, now_us: int, moving: Collection[int]) -> Plan:
        """Return what to do now, given the parts in `moving`. Call `began` for each move that starts."""
        target = self.target(now_us)
        free = frozenset(part for part, owner in target.items() if owner == self.me and self._is_free(part)
                         and self._version_allows(part, self.me))
        own_parts = [part for part, owner in sorted(self._owners.items()) if owner == self.me and part not in moving]
        count = max(self._at_once - len(moving), 0) if now_us >= self._next_us else 0
        if self._pace_us:
            count = min(count, 1)
        away: dict[int, str] = {}
        for part in own_parts:
            if len(away) >= count:
                break
            to = self._new_owner(now_us, part, target)
            if to is not None:
                away[part] = to
        return Plan(free, away)

    def record_move_start(self, now_us: int) -> None:
        """Record the start of a move; the pace counts from it."""
        self._next_us = now_us + self._pace_us

    def next_us(self, now_us: int) -> int:
        """Return when the pace allows the next move."""
        return max(self._next_us, now_us)

    def _is_free(self, part: int) -> bool:
        """Return whether the part has no owner or a gone one, whose lease has expired or will."""
        record = self._members.get(self._owners.get(part, ""))
        return record is None or record.member.state is State.GONE

    def _version_allows(self, part: int, name: str) -> bool:
        """Return whether the courier's version is not older than that of the part's owner."""
        owner = self._members.get(self._owners.get(part, ""))
        return owner is None or owner.member.version <= self._members[name].member.version

    def _new_owner(self, now_us: int, part: int, target: Mapping[int, str]) -> str | None:
        """Return the new owner for a part of this courier; None if it stays."""
        to = target.get(part)
        if to is None or to == self.me:
            return None
        if self._version_allows(part, to) and (not self.on_probation(now_us, to) or not self._weight(self.me)):
            return to
        if self._weight(self.me):
            return None
        # This courier leaves and the version of the target is too old: choose the least loaded of the others.
        counts = dict.fromkeys(target.values(), 0)
        for owner in self._owners.values():
            counts[owner] = counts.get(owner, 0) + 1
        others = [name for name in self._members if self._weight(name) > 0 and self._version_allows(part, name)]
        key = part_hash(part)
        return min(others, default=None, key=lambda name: (counts.get(name, 0) / self._weight(name),
                                                           _score(_hash(name), key)))
