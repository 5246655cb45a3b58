"""Applies the placement plan: acquires parts and starts moves, by the view of members and registers. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wheelstep.fleet.assignment import Placement
from wheelstep.fleet.errands import PendingOperations
from wheelstep.fleet.membership import Limits as MemberLimits
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.tenure import PartCoordinator
from wheelstep.fleet.types import Action, Answer, Member, Ownership, Stand, State, Stood
from wheelstep.moves.steps import GiverLimits, TakerLimits
from wheelstep.moves.swap import Evacuation, EvacuationLimits


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node. Voters, parts, lease and drift must be equal at all couriers. Durations in microseconds."""

    voters: tuple[str, ...]
    parts: int = 64
    lease_us: int = 3_000_000
    drift: float = 0.02
    margin_us: int = 100_000
    at_once: int = 2
    pace_us: int = 50_000
    probation_us: int = 10_000_000
    members: MemberLimits = field(default_factory=MemberLimits)
    moves: GiverLimits = field(default_factory=GiverLimits)
    room: TakerLimits = field(default_factory=TakerLimits)
    leaving: EvacuationLimits = field(default_factory=EvacuationLimits)


class PlacementRunner:
    """Plans every tenth of a lease, and at once after a change of a member."""

    def __init__(self, me: Member, settings: NodeSettings, membership: Membership, owner: Owner,
                 tenure: PartCoordinator, errands: PendingOperations, rng: random.Random, now_us: int) -> None:
        self._settings, self._membership, self._owner = settings, membership, owner
        self._tenure, self._errands, self._rng, self._me = tenure, errands, rng, me.name
        self._placement = Placement(me.name, settings.parts, settings.at_once, settings.pace_us, settings.probation_us)
        self._placement.record_member(now_us, me)
        self._evacuation: Evacuation | None = None
        self._next_plan_us = now_us
        self._next_query_us = now_us  # next query of a voter for the registers
        self._reported: dict[int, Ownership] = {}  # holdings reported by voters; not known to be decided
        self._has_report = False  # whether any voter has reported its registers

    def holding(self, part: int) -> Ownership | None:
        """Return the newest known holding of the part; None if there is none."""
        decided, reported = self._tenure.decided(part), self._reported.get(part)
        return reported if decided is None or (reported is not None and reported.epoch > decided.epoch) else decided

    def owner_of(self, part: int) -> str | None:
        """Return the known owner of the part; None if there is none."""
        holding = self.holding(part)
        return holding.owner if holding is not None else None

    @property
    def leaving(self) -> bool:
        """Whether this courier is giving all its parts away."""
        return self._evacuation is not None

    @property
    def left(self) -> bool:
        """Whether all parts are given away or the time for it is over. Parts received but not opened yet must be given
        away first."""
        if self._evacuation is None or self._tenure.givers or not self._evacuation.over(self._next_plan_us):
            return False
        late = self._evacuation.progress(self._next_plan_us).state == "late"
        return late or not (self._owner.leased() or self._tenure.opening or self._tenure.taker.sealed_parts())

    def leave(self, now_us: int) -> None:
        """Start giving all parts away."""
        self._evacuation = Evacuation(self._settings.leaving, now_us)
        self._tenure.taker.leaving = True
        self._next_plan_us = now_us

    def saw(self, now_us: int, members: Iterable[Member]) -> None:
        """Record changed members and plan at once."""
        for member in members:
            self._placement.record_member(now_us, member)
            self._next_plan_us = now_us

    def next_us(self) -> int:
        """Return when to call `tick` next."""
        return min(self._next_plan_us, self._next_query_us)

    def tick(self, now_us: int, stand: Callable[[str], Stood]) -> list[Action]:
        """Do what is due. `stand` returns the registers of this courier's own voter."""
        actions: list[Action] = []
        if now_us >= self._next_query_us:
            self._next_query_us = now_us + self._settings.lease_us // (1 if self._has_report else 10)
            actions += self._query_voter(stand)
        if now_us >= self._next_plan_us:
            self._next_plan_us = now_us + self._settings.lease_us // 10
            actions += self._apply_plan(now_us)
        return actions

    def _query_voter(self, stand: Callable[[str], Stood]) -> list[Action]:
        """Query a random voter for its registers: a hint of the owners, not a decision."""
        voter = self._rng.choice(self._settings.voters)
        if voter == self._me:
            return self._on_stood(0, stand(""))
        return [self._errands.call(voter, Stand(), self._owner.timeout_us, self._on_stood)]

    def _on_stood(self, _: int, answer: Answer | None) -> list[Action]:
        if isinstance(answer, Stood) and not answer.blank:
            self._has_report = True
            for part, _promised, _accepted, holding in answer.rows:
                known = self._reported.get(part)
                if holding is not None and (known is None or holding.epoch > known.epoch):
                    self._reported[part] = holding
        return []

    def _apply_plan(self, now_us: int) -> list[Action]:
        """Acquire the parts that this courier should own, and start moving the others."""
        for part, done, why in self._tenure.ended:
            if self._evacuation is not None:
                self._evacuation.ended(now_us, part, done, why)
        self._tenure.ended.clear()
        parts = range(self._settings.parts)
        for part in parts:
            self._placement.owned(part, self.owner_of(part))
        if self._evacuation is not None:
            return self._give_away_all(now_us, self._evacuation)
        if not self._has_report or self._membership.name_in_use:
            return []
        plan = self._placement.plan(now_us, self._tenure.givers)
        for part in parts:
            mine = self.owner_of(part) == self._me or self._tenure.taker.sealed_epoch(part) is not None
            (self._owner.want if part in plan.free or mine else self._owner.unwant)(part)
        actions: list[Action] = []
        for part, to in plan.away.items():
            if self._alive(to) and self._owner.epoch(part, now_us) is not None:
                self._placement.began(now_us)
                actions += self._tenure.give(now_us, part, to)
        return actions

    def _alive(self, name: str) -> bool:
        member = self._membership.members().get(name)
        return member is not None and member.state is State.ALIVE

    def _give_away_all(self, now_us: int, evacuation: Evacuation) -> list[Action]:
        mine = {part: self._tenure.weight(part) for part in range(self._settings.parts)
                if self._owner.epoch(part, now_us) is not None}
        target = self._placement.target(now_us)
        staying = [name for name in self._membership.members() if self._alive(name) and name != self._me]
        ranked = {part: sorted(staying, key=lambda name, part=part: (name != target.get(part), name))  # type: ignore[misc]
                  for part in mine}
        return [action for start in evacuation.tick(now_us, mine, ranked)
                for action in self._tenure.give(now_us, start.part, start.to)]
