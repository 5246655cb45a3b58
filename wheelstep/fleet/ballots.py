"""What a courier knows of one part's register, and the proposals that follow from it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wheelstep.fleet.types import Accept, Ballot, Holding, Prepare

NEVER_US = 1 << 62


class Phase(Enum):
    """Of a part at its proposer."""

    REST = "rest"
    PREPARE = "prepare"
    ACCEPT = "accept"
    HELD = "held"  # a majority has accepted: the lease is renewed


@dataclass(frozen=True, slots=True)
class Gained:
    """The part is this courier's under this epoch, for now until then. From the epoch `first` on nobody else can have
    had it: a majority that has promised has seen holdings of this courier alone since."""

    part: int
    epoch: int
    until_us: int
    first: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Lost:
    """It no longer is: its lease has run out, or it goes on under another epoch."""

    part: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Passed:
    """A majority has accepted this holding, and nothing older ever counts again. The owner may be this courier: by a
    move to it, or by an earlier life; it has no lease by that."""

    part: int
    epoch: int
    owner: str


Event = Gained | Lost | Passed


@dataclass(slots=True)
class Part:
    """One part. `yes`: when the ask went out that a voter said yes to, `no`: who refused or gave no answer, `mute`: who
    is asked again, `left`: how long others' leases still run at voters; all of this round only. `told`: the newest
    holding by voter."""

    number: int
    phase: Phase = Phase.REST
    wanted: bool = False
    keep: bool = False  # it is held, or a round of its own is to go on with the lease
    goal: str = ""  # to whom it is being given, or taken back
    given: int = 0  # the epoch that `goal` ends
    ballot: Ballot = Ballot(0, "")
    target: Holding = Holding(0, "")
    since: int = 0  # `first` when `target` was chosen
    yes: dict[str, int] = field(default_factory=dict)
    no: set[str] = field(default_factory=set)
    mute: set[str] = field(default_factory=set)
    left: dict[str, int] = field(default_factory=dict)
    told: dict[str, Holding] = field(default_factory=dict)
    decided: Holding = Holding(0, "")
    epoch: int = 0  # the last one that this courier had
    top: int = 0  # the highest ballot's number heard of
    began_us: int = 0
    due_us: int = 0
    tries: int = 0

    def newest(self) -> Holding:
        """Of all heard of; a majority may not have it."""
        return max([self.decided, *self.told.values()], key=lambda holding: holding.epoch)

    def first(self, me: str) -> int:
        """The first epoch since which no holding of another is known of. To be asked once a majority has promised: a
        later one of another can't have been decided then, and none will be under a lower ballot."""
        others = [holding.epoch for holding in self.told.values() if holding.owner != me]
        return max([self.decided.epoch + (self.decided.owner != me), *(epoch + 1 for epoch in others)])

    def hear(self, voter: str, holding: Holding | None) -> None:
        """What a voter has accepted."""
        if holding is not None and holding.epoch > self.told.get(voter, self.decided).epoch:
            self.told[voter] = holding

    def settled(self, majority: int) -> Holding | None:
        """A holding newer than the last one known that a majority has accepted. It is decided: voters' epochs only
        rise, and no voter accepts an epoch for two owners."""
        for holding in self.told.values():
            if holding.epoch > self.decided.epoch and \
                    sum(other == holding for other in self.told.values()) >= majority:
                self.decided = holding
                self.told = {voter: other for voter, other in self.told.items() if other.epoch > holding.epoch}
                return holding
        return None

    def begin(self, phase: Phase, now_us: int) -> None:
        """A round's next phase."""
        self.phase = phase
        if phase is Phase.PREPARE:
            self.began_us = now_us
        self.yes.clear()
        self.no.clear()
        self.mute.clear()
        self.left.clear()

    def next_us(self, now_us: int, round_us: int) -> int:
        """When there is something to do for it. What is at rest and was due waits for others to end (`AT_ONCE`)."""
        if self.phase in (Phase.PREPARE, Phase.ACCEPT):
            return min(self.began_us + round_us, self.due_us if self.mute else NEVER_US)
        return NEVER_US if self.phase is Phase.REST and self.due_us <= now_us else self.due_us

    def base_us(self, majority: int) -> int:
        """The moment from which a majority has granted a whole lease."""
        return sorted(self.yes.values(), reverse=True)[majority - 1]

    def proposal(self, me: str, leased: bool) -> Holding:
        """What to propose once a majority has promised. An accepted value that was seen is never passed over: it is
        completed where this courier gives the part away, and followed by a later epoch where it takes it."""
        newest = self.newest()
        if not self.goal or self.goal == me:
            return newest if leased and newest == Holding(self.epoch, me) else Holding(newest.epoch + 1, me)
        if newest.epoch > self.given and newest.owner != me:
            return newest
        return Holding(newest.epoch + 1, self.goal)

    def ask(self, voter: str) -> Prepare | Accept | None:
        """What there is to ask of a voter now, if anything."""
        if self.phase is Phase.HELD:
            return Accept(self.number, self.ballot, self.target)
        if self.phase is Phase.REST or voter in self.yes or voter in self.no:
            return None
        if self.phase is Phase.PREPARE:
            return Prepare(self.number, self.ballot)
        return Accept(self.number, self.ballot, self.target)
