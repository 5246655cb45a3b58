"""What a plan is made of: partners and their limits, arrivals, faults. No I/O, no clock; `plan` draws one."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import random
from dataclasses import dataclass
from typing import Any

from wheelstep.rehearsal.history import Figures


@dataclass(frozen=True, slots=True)
class Limit:
    """What a partner takes from all couriers together: a rate, or a count in each `window_us`."""

    per_s: float
    window_us: int = 0
    refused_count: bool = False
    wait_us: int = 0
    report: bool = True


@dataclass(frozen=True, slots=True)
class Partner:
    """One destination. `endpoints` are their names."""

    name: str
    destination: int
    kind: int
    endpoints: tuple[str, ...]
    lanes: int
    queue: int
    pace_us: int
    limit: Limit | None = None
    connections: int = 0  # 0: no bound
    run_on: bool = False
    key_memory: bool = True

    @property
    def per_s(self) -> float:
        """What one endpoint does, warm, in calls a second."""
        served = self.lanes * 1e6 / self.pace_us
        return min(served, self.limit.per_s) if self.limit is not None else served


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that a client hands in; `work` is its share of the partner's pace."""

    at_us: int
    number: int
    courier: int
    message_class: str
    destination: int
    key: str | None
    token: str | None
    size: int
    work: float
    luck: float  # for what a client decides by share
    fresh: bool = False  # on a connection of its own
    deadline_us: int = 0  # the time it has from `at_us`; 0: its class's


PROCESS_FAULTS = ("kill", "term", "pause", "worker-kill", "worker-hang")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at endpoints or couriers, from `at_us` until `until_us`."""

    kind: str
    at_us: int
    until_us: int
    endpoints: tuple[str, ...] = ()
    couriers: tuple[int, ...] = ()
    share: float = 1.0
    when: str = "after"
    wait_us: int = 0
    worker: int = 0
    every_us: int = 0
    stops_us: tuple[tuple[int, int], ...] = ()  # stall: from when until when
    told_us: tuple[int, ...] = ()  # until each courier is told


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a rehearsal does by itself."""

    scenario: str
    seed: int
    speed: float
    couriers: int
    length_us: int
    end_us: int  # by then every message's time is up
    ready_within_us: int
    figures: Figures
    settings: dict[str, Any]  # for the couriers, in the form of their configuration
    partners: tuple[Partner, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]
    retries: int
    honour: float
    backoff_us: tuple[int, int]
    crowd: int
    luck: tuple[float, ...]

    def digest(self) -> str:
        """The same for the same plan."""
        data = dataclasses.asdict(self)
        data["figures"]["routes_apart"] = sorted(self.figures.routes_apart)
        text = json.dumps(data, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def message_id(self, number: int, tries: int) -> str:
        """New for each time that a message is handed in."""
        return hashlib.blake2b(f"{self.seed}/{number}/{tries}".encode(), digest_size=8).hexdigest()

    def body(self, arrival: Arrival) -> bytes:
        """The message's bytes: any, and the same each time that it is handed in."""
        return random.Random(f"{self.seed}/{arrival.number}").randbytes(arrival.size)
