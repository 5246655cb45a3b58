"""Hosts, clocks and constants for runs of voters and couriers in virtual time."""

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
    """A violated invariant."""


@dataclass
class Clock:
    """The clock of a process, with its own offset and rate."""

    rate: float
    offset_us: int

    def at(self, true_us: int) -> int:
        """Return the reading of the clock at a true time."""
        return self.offset_us + int(true_us * self.rate)


@dataclass
class Host:
    """A host that runs a voter or a courier."""

    name: str
    clock: Clock
    generation: int = 0  # number of the current run; 0 while down
    generations: int = 0  # runs started
    stopped_us: int = 0  # stalled until then
    disk: list[bytes] = field(default_factory=list)
    voter: Voter | None = None
    owner: Owner | None = None
