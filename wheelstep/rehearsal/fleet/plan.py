"""What a scene of a fleet is: the plan of its traffic, faults at links, and steps in couriers' lives. No I/O."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass

from wheelstep.rehearsal.fleet.faults import Link, Planned
from wheelstep.rehearsal.fleet.history import Contract
from wheelstep.rehearsal.plan import Plan

S = 1_000_000
CLASS = "item-status"


@dataclass(frozen=True, slots=True)
class Step:
    """What happens to one courier's process at `at_us`: `kill` (back after `for_us`, with its folder if `keep`),
    `stop` for `for_us`,
    `freeze` (whoever comes to `point` first stops itself there, for `for_us`), or `swap` (it leaves, and
    after that `successor` starts with an empty folder, and `for_us` later the next step may begin; whoever comes to
    `point` first meanwhile is killed there, if one is named, and comes back)."""

    at_us: int
    what: str
    courier: str
    for_us: int = 0
    keep: bool = True
    trouble: tuple[tuple[str, str], ...] = ()
    successor: str = ""
    point: str = ""


@dataclass(frozen=True, slots=True)
class Scene:
    """All that a rehearsal of a fleet does by itself. `names` has every courier that will ever be, the first `begin`
    of them at the start. Steps of one kind `swap` follow one another, whatever their times."""

    name: str
    seed: int
    names: tuple[str, ...]
    begin: int
    voters: tuple[str, ...]
    lease_us: int
    parts: int
    contract: Contract
    plan: Plan
    faults: tuple[Planned, ...] = ()
    steps: tuple[Step, ...] = ()
    gap_share: float = 0.0
    roam: float = 0.05
    trouble: tuple[tuple[str, tuple[tuple[str, str], ...]], ...] = ()  # from the start, by courier

    def digest(self) -> str:
        """The same for the same scene."""
        data = dataclasses.asdict(dataclasses.replace(self, plan=None))  # type: ignore[arg-type]
        text = json.dumps(data, sort_keys=True) + self.plan.digest()
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def cut_off(self, links: Sequence[Link]) -> list[str]:
        """Who reaches no majority of voters both ways while these links pass nothing."""
        lost = set(links)
        found = []
        for name in self.names[:self.begin]:
            reached = [voter for voter in self.voters
                       if voter == name or not {(name, voter), (voter, name)} & lost]
            if 2 * len(reached) <= len(self.voters):
                found.append(name)
        return found


@dataclass(frozen=True, slots=True)
class Size:
    """How large a scene is played."""

    couriers: int = 3
    channels: int = 24
    rate_per_s: float = 40.0
    lease_us: int = 2 * S
    length_us: int = 8 * S
    deadline_us: int = 10 * S
    pace_us: int = 15_000  # a partner's, for a call
    roam: float = 0.05  # share of the hand-ins that come by a new connection to any courier
