"""Applies the placement plan: acquires parts and starts moves, by the view of members and registers. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wheelstep.fleet.assignment import Placement
from wheelstep.fleet.errands import PendingOperations
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.tenure import PartCoordinator
from wheelstep.fleet.types import Action, Answer, Member, Ownership, Stand, State, Stood
from wheelstep.moves.steps import GiverLimits, TakerLimits
from wheelstep.moves.swap import Evacuation, EvacuationLimits


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node. Voters, parts, lease and drift must be equal at all couriers. Durations in microseconds.
    `moves` and `room` limit the giver and the taker of a move, `leaving` the moves of a courier that leaves."""

    voters: tuple[str, ...]
    parts: int = 64
    lease_us: int = 3_000_000
    drift: float = 0.02  # maximum relative difference between the rates of two couriers' clocks
    margin_us: int = 100_000  # by which an owner's term ends early, in addition to the drift
    at_once: int = 2  # moves away in progress
    pace_us: int = 50_000  # between the starts of two moves away
    probation_us: int = 10_000_000  # for a courier that has appeared, before it is given parts
    members: MemberLimits = field(default_factory=MemberLimits)
    moves: GiverLimits = field(default_factory=GiverLimits)
    room: TakerLimits = field(default_factory=TakerLimits)
    leaving: EvacuationLimits = field(default_factory=EvacuationLimits)


class PlacementRunner:
    """Acquires the parts that this courier should own, and starts moves of those that others should. It plans every
    tenth of a lease, and at once after a change of a member."""

    def __init__(self, me: Member, settings: NodeSettings, membership: Membership, owner: Owner,
                 coordinator: PartCoordinator, operations: PendingOperations, rng: random.Random, now_us: int) -> None:
        self._settings, self._membership, self._owner = settings, membership, owner
        self._coordinator, self._operations, self._rng, self._me = coordinator, operations, rng, me.name
        self._placement = Placement(me.name, settings.parts, settings.at_once, settings.pace_us, settings.probation_us)
        self._placement.record_member(now_us, me)
        self._evacuation: Evacuation | None = None
        self._next_plan_us = now_us
        self._next_query_us = now_us  # next query of a voter for the registers
        self._reported: dict[int, Ownership] = {}  # holdings reported by voters; not known to be decided
        self._has_report = False  # whether any voter has reported its registers

    def holding(self, part: int) -> Ownership | None:
        """Return the newest known holding of the part, perhaps undecided; None if there is none."""
        decided, reported = self._coordinator.decided(part), self._reported.get(part)
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
        """Whether, after `leave`, all parts are given away or the time limit for it is over. Parts received but not
        opened yet must be given away first."""
        if self._evacuation is None or self._coordinator.givers or not self._evacuation.over(self._next_plan_us):
            return False
        late = self._evacuation.progress(self._next_plan_us).state == "late"
        return late or not (self._owner.leased() or self._coordinator.opening or self._coordinator.taker.sealed_parts())

    def leave(self, now_us: int) -> None:
        """Start giving all parts away."""
        self._evacuation = Evacuation(self._settings.leaving, now_us)
        self._coordinator.taker.leaving = True
        self._next_plan_us = now_us

    def record_members(self, now_us: int, members: Iterable[Member]) -> None:
        """Record changed members and plan at once."""
        for member in members:
            self._placement.record_member(now_us, member)
            self._next_plan_us = now_us

    def next_us(self) -> int:
        """Return when to call `tick` next."""
        return min(self._next_plan_us, self._next_query_us)

    def tick(self, now_us: int, own_registers: Callable[[str], Stood]) -> list[Action]:
        """Do what is due. `own_registers` returns the registers of this courier's own voter."""
        actions: list[Action] = []
        if now_us >= self._next_query_us:
            self._next_query_us = now_us + self._settings.lease_us // (1 if self._has_report else 10)
            actions += self._query_voter(own_registers)
        if now_us >= self._next_plan_us:
            self._next_plan_us = now_us + self._settings.lease_us // 10
            actions += self._apply_plan(now_us)
        return actions

    def _query_voter(self, own_registers: Callable[[str], Stood]) -> list[Action]:
        """Query a random voter for its registers: a hint of the owners, not a decision."""
        voter = self._rng.choice(self._settings.voters)
        if voter == self._me:
            return self._on_stood(0, own_registers(""))
        return [self._operations.call(voter, Stand(), self._owner.timeout_us, self._on_stood)]

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
        for part, done, why in self._coordinator.ended_moves:
            if self._evacuation is not None:
                self._evacuation.ended(now_us, part, done, why)
        self._coordinator.ended_moves.clear()
        parts = range(self._settings.parts)
        for part in parts:
            self._placement.record_owner(part, self.owner_of(part))
        if self._evacuation is not None:
            return self._give_away_all(now_us, self._evacuation)
        if not self._has_report or self._membership.name_in_use:
            return []
        plan = self._placement.plan(now_us, self._coordinator.givers)
        for part in parts:
            is_own = self.owner_of(part) == self._me or self._coordinator.taker.sealed_epoch(part) is not None
            (self._owner.want if part in plan.free or is_own else self._owner.unwant)(part)
        actions: list[Action] = []
        for part, to in plan.away.items():
            if self._alive(to) and self._owner.epoch(part, now_us) is not None:
                self._placement.record_move_start(now_us)
                actions += self._coordinator.give(now_us, part, to)
        return actions

    def _alive(self, name: str) -> bool:
        member = self._membership.members().get(name)
        return member is not None and member.state is State.ALIVE

    def _give_away_all(self, now_us: int, evacuation: Evacuation) -> list[Action]:
        own_weights = {part: self._coordinator.weight(part) for part in range(self._settings.parts)
                       if self._owner.epoch(part, now_us) is not None}
        target = self._placement.target(now_us)
        staying = [name for name in self._membership.members() if self._alive(name) and name != self._me]
        ranked = {part: sorted(staying, key=lambda name, part=part: (name != target.get(part), name))  # type: ignore[misc]
                  for part in own_weights}
        return [action for start in evacuation.tick(now_us, own_weights, ranked)
                for action in self._coordinator.give(now_us, start.part, start.to)]
