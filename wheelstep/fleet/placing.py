"""What a courier asks for and gives away, by its own view of members and registers. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wheelstep.fleet.assignment import Placement
from wheelstep.fleet.errands import Errands
from wheelstep.fleet.membership import Limits as MemberLimits
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.tenure import Tenure
from wheelstep.fleet.types import Action, Answer, Holding, Member, Stand, State, Stood
from wheelstep.moves.steps import Limits, Room
from wheelstep.moves.swap import Pace, Swap


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The same at all couriers of a fleet: voters, parts, lease and drift. Spans in microseconds."""

    voters: tuple[str, ...]
    parts: int = 64
    lease_us: int = 3_000_000
    drift: float = 0.02
    margin_us: int = 100_000
    at_once: int = 2
    pace_us: int = 50_000
    probation_us: int = 10_000_000
    members: MemberLimits = field(default_factory=MemberLimits)
    moves: Limits = field(default_factory=Limits)
    room: Room = field(default_factory=Room)
    leaving: Pace = field(default_factory=Pace)


class Placing:
    """Plans every tenth of a lease, and at once where a member has changed."""

    def __init__(self, me: Member, settings: NodeSettings, membership: Membership, owner: Owner, tenure: Tenure,
                 errands: Errands, rng: random.Random, now_us: int) -> None:
        self._settings, self._membership, self._owner = settings, membership, owner
        self._tenure, self._errands, self._rng, self._me = tenure, errands, rng, me.name
        self._placement = Placement(me.name, settings.parts, settings.at_once, settings.pace_us, settings.probation_us)
        self._placement.saw(now_us, me)
        self._swap: Swap | None = None
        self._plan_us = now_us
        self._ask_us = now_us  # when a voter is asked next how the registers stand
        self._owners: dict[int, Holding] = {}  # by a voter's word
        self._known = False  # has any voter told?

    def holding(self, part: int) -> Holding | None:
        """Who has it since which epoch, as far as is known here."""
        decided, told = self._tenure.decided(part), self._owners.get(part)
        return told if decided is None or (told is not None and told.epoch > decided.epoch) else decided

    def owner_of(self, part: int) -> str | None:
        """Who has it, as far as is known here."""
        holding = self.holding(part)
        return holding.owner if holding is not None else None

    @property
    def leaving(self) -> bool:
        """Is everything being given away?"""
        return self._swap is not None

    @property
    def left(self) -> bool:
        """Has it been, or is there no time left for it? A part that was handed here and is not opened yet has to be
        given away first."""
        if self._swap is None or self._tenure.givers or not self._swap.over(self._plan_us):
            return False
        late = self._swap.progress(self._plan_us).state == "late"
        return late or not (self._owner.leased() or self._tenure.opening or self._tenure.taker.whole())

    def leave(self, now_us: int) -> None:
        """Give everything away."""
        self._swap = Swap(self._settings.leaving, now_us)
        self._tenure.taker.leaving = True
        self._plan_us = now_us

    def saw(self, now_us: int, members: Iterable[Member]) -> None:
        """These have changed."""
        for member in members:
            self._placement.saw(now_us, member)
            self._plan_us = now_us

    def next_us(self) -> int:
        """When `tick` has something to do."""
        return min(self._plan_us, self._ask_us)

    def tick(self, now_us: int, stand: Callable[[str], Stood]) -> list[Action]:
        """What is due; `stand` is this courier's own voter's word."""
        actions: list[Action] = []
        if now_us >= self._ask_us:
            self._ask_us = now_us + self._settings.lease_us // (1 if self._known else 10)
            actions += self._look(stand)
        if now_us >= self._plan_us:
            self._plan_us = now_us + self._settings.lease_us // 10
            actions += self._place(now_us)
        return actions

    def _look(self, stand: Callable[[str], Stood]) -> list[Action]:
        """Ask a voter, one by chance, how the registers stand: a hint of whose the parts are, not a decision."""
        voter = self._rng.choice(self._settings.voters)
        if voter == self._me:
            return self._hint(0, stand(""))
        return [self._errands.call(voter, Stand(), self._owner.timeout_us, self._hint)]

    def _hint(self, _: int, answer: Answer | None) -> list[Action]:
        if isinstance(answer, Stood) and not answer.blank:
            self._known = True
            for part, _promised, _accepted, holding in answer.rows:
                known = self._owners.get(part)
                if holding is not None and (known is None or holding.epoch > known.epoch):
                    self._owners[part] = holding
        return []

    def _place(self, now_us: int) -> list[Action]:
        """Ask for what this courier should have, and give away what it should not."""
        for part, done, why in self._tenure.ended:
            if self._swap is not None:
                self._swap.ended(now_us, part, done, why)
        self._tenure.ended.clear()
        parts = range(self._settings.parts)
        for part in parts:
            self._placement.owned(part, self.owner_of(part))
        if self._swap is not None:
            return self._give_all(now_us, self._swap)
        if not self._known or self._membership.doubled:
            return []
        plan = self._placement.plan(now_us, self._tenure.givers)
        for part in parts:
            mine = self.owner_of(part) == self._me or self._tenure.taker.sealed(part) is not None
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

    def _give_all(self, now_us: int, swap: Swap) -> list[Action]:
        mine = {part: self._tenure.weight(part) for part in range(self._settings.parts)
                if self._owner.epoch(part, now_us) is not None}
        target = self._placement.target(now_us)
        staying = [name for name in self._membership.members() if self._alive(name) and name != self._me]
        takers = {part: sorted(staying, key=lambda name, part=part: (name != target.get(part), name))  # type: ignore[misc]
                  for part in mine}
        return [action for start in swap.tick(now_us, mine, takers)
                for action in self._tenure.give(now_us, start.part, start.to)]
