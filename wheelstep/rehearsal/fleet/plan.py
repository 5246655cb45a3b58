"""What a scene of a fleet consists of: traffic, faults of links, and steps on couriers' processes. No I/O."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass

from wheelstep.rehearsal.fleet.faults import Link, PlannedFault
from wheelstep.rehearsal.fleet.history import Contract
from wheelstep.rehearsal.plan import Plan

S = 1_000_000  # microseconds in a second
MESSAGE_CLASS = "item-status"


@dataclass(frozen=True, slots=True)
class Step:
    """What happens to one courier's process at `at_us`, by `what`:

    - `kill`: it is killed and restarted after `for_us`, with its folder if `keep`, and with `trouble` in its
      environment.
    - `stop`: it is stopped for `for_us`.
    - `freeze`: the first courier that reaches `point` stops itself there, for `for_us`.
    - `swap`: it leaves, then `successor` starts with an empty folder, and the next step may begin `for_us` later. If
      `point` is set, the first courier that reaches it meanwhile kills itself there and is restarted.
    """

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
    """All that a rehearsal of a fleet does.

    `names` holds every courier that occurs; the first `begin` of them run from the start. Steps `swap` follow one
    another, whatever their times. `gap_share` is the share of messages whose number is left out at first, `roam` the
    share of submissions that go to another courier by a new connection.
    """

    name: str
    seed: int
    names: tuple[str, ...]
    begin: int
    voters: tuple[str, ...]
    lease_us: int
    parts: int
    contract: Contract
    plan: Plan
    faults: tuple[PlannedFault, ...] = ()
    steps: tuple[Step, ...] = ()
    gap_share: float = 0.0
    roam: float = 0.05
    trouble: tuple[tuple[str, tuple[tuple[str, str], ...]], ...] = ()  # by courier: its environment from the start

    def digest(self) -> str:
        """Return a hash of all that the scene consists of."""
        data = dataclasses.asdict(dataclasses.replace(self, plan=None))  # type: ignore[arg-type]
        text = json.dumps(data, sort_keys=True) + self.plan.digest()
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def without_majority(self, links: Sequence[Link]) -> list[str]:
        """Return the couriers that reach no majority of voters in both directions while these links pass nothing."""
        cut_links = set(links)
        isolated = []
        for name in self.names[:self.begin]:
            reached = [voter for voter in self.voters
                       if voter == name or not {(name, voter), (voter, name)} & cut_links]
            if 2 * len(reached) <= len(self.voters):
                isolated.append(name)
        return isolated


@dataclass(frozen=True, slots=True)
class SceneSize:
    """The size and the load of a scene."""

    couriers: int = 3
    channels: int = 24
    rate_per_s: float = 40.0
    lease_us: int = 2 * S
    length_us: int = 8 * S
    deadline_us: int = 10 * S
    pace_us: int = 15_000  # of a call at a partner
    roam: float = 0.05  # share of submissions that go to another courier by a new connection
