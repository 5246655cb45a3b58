"""What a run of voters and couriers in virtual time is made of."""

from __future__ import annotations

from dataclasses import dataclass, field

from wheelstep.fleet.owner import Owner
from wheelstep.fleet.register import Voter

LEASE_US = 1_000_000
DRIFT = 0.02
MARGIN_US = 1_000
PARTS = 4
STEP_US = 10_000


class Violation(AssertionError):
    """An invariant does not hold."""


@dataclass
class Clock:
    """A process's own: it starts anywhere and runs at its own rate."""

    rate: float
    offset_us: int

    def at(self, true_us: int) -> int:
        return self.offset_us + int(true_us * self.rate)


@dataclass
class Host:
    """A machine with a voter or a courier."""

    name: str
    clock: Clock
    life: int = 0  # 0: down; else which one
    lives: int = 0
    stopped_us: int = 0  # stands still until then
    disk: list[bytes] = field(default_factory=list)
    voter: Voter | None = None
    owner: Owner | None = None
