"""Proposer state of one part: what the courier knows of its register, and the next proposal. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from wheelstep.fleet.types import Accept, Ballot, Ownership, Prepare

NEVER_US = 1 << 62


class Phase(Enum):
    """The phase of a part at its proposer."""

    IDLE = "rest"
    PREPARE = "prepare"
    ACCEPT = "accept"
    HELD = "held"  # accepted by a majority; the lease is being renewed


@dataclass(frozen=True, slots=True)
class Gained:
    """This courier has gained the lease of the part under `epoch`, at first until `until_us`. No other courier can have
    owned it in the epochs from `first` on: the majority that promised reported no other owner since."""

    part: int
    epoch: int
    until_us: int
    first: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Lost:
    """This courier's lease under `epoch` has expired or ended, or goes on under another epoch."""

    part: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Decided:
    """A majority has accepted this holding, which supersedes all older ones. The owner may be this courier, by a move
    to it or from an earlier run; that alone gives it no lease."""

    part: int
    epoch: int
    owner: str


Event = Gained | Lost | Decided


@dataclass(slots=True)
class PartState:
    """The state of one part. By voter, for the current phase only: `agreed_us` is when the request was sent that the
    voter agreed to, `refused_by` are voters that refused or did not answer, `unanswered` those to ask again,
    `lease_left_us` the time left of other couriers' leases. `reported` is the newest holding reported by each voter."""

    number: int  # of the part
    phase: Phase = Phase.IDLE
    wanted: bool = False
    keep_lease: bool = False  # a lease is held, and is kept in the next round
    transfer_to: str = ""  # new owner during a transfer; this courier to take it back
    transfer_epoch: int = 0  # the epoch that the transfer ends
    ballot: Ballot = Ballot(0, "")
    target: Ownership = Ownership(0, "")
    target_first: int = 0  # `first_epoch` when `target` was chosen
    agreed_us: dict[str, int] = field(default_factory=dict)
    refused_by: set[str] = field(default_factory=set)
    unanswered: set[str] = field(default_factory=set)
    lease_left_us: dict[str, int] = field(default_factory=dict)
    reported: dict[str, Ownership] = field(default_factory=dict)
    decided: Ownership = Ownership(0, "")
    epoch: int = 0  # the last epoch in which this courier held a lease
    highest_number: int = 0  # highest ballot number seen
    round_start_us: int = 0
    due_us: int = 0  # when the next round, resend or renewal is due
    failures: int = 0  # consecutive failed rounds that no other courier's lease explains, up to 5

    def newest(self) -> Ownership:
        """Return the holding with the highest epoch seen; it may not be decided."""
        return max([self.decided, *self.reported.values()], key=lambda holding: holding.epoch)

    def first_epoch(self, me: str) -> int:
        """Return the first epoch from which no holding of another courier is known. Valid once a majority has promised:
        then no later one can have been decided, or will be under a lower ballot."""
        others = [holding.epoch for holding in self.reported.values() if holding.owner != me]
        return max([self.decided.epoch + (self.decided.owner != me), *(epoch + 1 for epoch in others)])

    def record_report(self, voter: str, holding: Ownership | None) -> None:
        """Record the holding that a voter has accepted; None if it has none."""
        if holding is not None and holding.epoch > self.reported.get(voter, self.decided).epoch:
            self.reported[voter] = holding

    def newly_decided(self, majority: int) -> Ownership | None:
        """Return a holding newer than `decided` that a majority has accepted, and store it there; None if none has.
        It is final: the epochs of a voter only increase, and no voter accepts one epoch for two owners."""
        for holding in self.reported.values():
            if holding.epoch > self.decided.epoch and \
                    sum(other == holding for other in self.reported.values()) >= majority:
                self.decided = holding
                self.reported = {voter: other for voter, other in self.reported.items() if other.epoch > holding.epoch}
                return holding
        return None

    def enter_phase(self, phase: Phase, now_us: int) -> None:
        """Enter a phase and clear the answers of the previous one."""
        self.phase = phase
        if phase is Phase.PREPARE:
            self.round_start_us = now_us
        self.agreed_us.clear()
        self.refused_by.clear()
        self.unanswered.clear()
        self.lease_left_us.clear()

    def next_us(self, now_us: int, round_us: int) -> int:
        """Return when action is due. An overdue idle part waits for other acquisitions (`MAX_ACQUISITIONS`)."""
        if self.phase in (Phase.PREPARE, Phase.ACCEPT):
            return min(self.round_start_us + round_us, self.due_us if self.unanswered else NEVER_US)
        return NEVER_US if self.phase is Phase.IDLE and self.due_us <= now_us else self.due_us

    def majority_us(self, majority: int) -> int:
        """Return the time from which a majority has granted a full lease: the k-th latest send time, k a majority."""
        return sorted(self.agreed_us.values(), reverse=True)[majority - 1]

    def proposal(self, me: str, leased: bool) -> Ownership:
        """Return the holding to propose once a majority has promised. A reported holding is never ignored: a transfer
        completes it, an acquisition proposes a later epoch."""
        newest = self.newest()
        if not self.transfer_to or self.transfer_to == me:
            return newest if leased and newest == Ownership(self.epoch, me) else Ownership(newest.epoch + 1, me)
        if newest.epoch > self.transfer_epoch and newest.owner != me:
            return newest
        return Ownership(newest.epoch + 1, self.transfer_to)

    def request_for(self, voter: str) -> Prepare | Accept | None:
        """Return the request to send to the voter now; None if there is none."""
        if self.phase is Phase.HELD:
            return Accept(self.number, self.ballot, self.target)
        if self.phase is Phase.IDLE or voter in self.agreed_us or voter in self.refused_by:
            return None
        if self.phase is Phase.PREPARE:
            return Prepare(self.number, self.ballot)
        return Accept(self.number, self.ballot, self.target)
