"""The parts of a plan: partners and their limits, arrivals, faults. `plan` draws them. No I/O, no clock.

Field names are part of a plan's digest, which identifies it in verdicts."""

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
    """What a partner accepts from all couriers together: a rate, or a count in each `window_us`."""

    per_s: float
    window_us: int = 0
    refused_count: bool = False
    wait_us: int = 0
    report: bool = True


@dataclass(frozen=True, slots=True)
class Partner:
    """One destination; `endpoints` are names. An endpoint serves `lanes` calls at once, in `pace_us` on average."""

    name: str
    destination: int
    kind: int
    endpoints: tuple[str, ...]
    lanes: int
    queue: int
    pace_us: int
    limit: Limit | None = None
    connections: int = 0  # per endpoint; 0: no limit
    run_on: bool = False
    key_memory: bool = True

    @property
    def per_s(self) -> float:
        """The full capacity of one endpoint in calls per second."""
        served = self.lanes * 1e6 / self.pace_us
        return min(served, self.limit.per_s) if self.limit is not None else served


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that a client submits; `work` is its processing time relative to the partner's average."""

    at_us: int
    number: int
    courier: int
    message_class: str
    destination: int
    key: str | None
    token: str | None
    size: int
    work: float
    luck: float  # random number for the client's decisions
    fresh: bool = False  # submitted on a new connection
    deadline_us: int = 0  # relative to `at_us`; 0: as its class


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
    stops_us: tuple[tuple[int, int], ...] = ()  # stall: begin and end of each stop
    told_us: tuple[int, ...] = ()  # discovery's delay to each courier


@dataclass(frozen=True, slots=True)
class Plan:
    """All events that a rehearsal plays by itself."""

    scenario: str
    seed: int
    speed: float
    couriers: int
    length_us: int
    end_us: int  # every message's deadline has passed by then
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
        """Return a short hash of the plan."""
        data = dataclasses.asdict(self)
        data["figures"]["routes_apart"] = sorted(self.figures.routes_apart)
        text = json.dumps(data, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def message_id(self, number: int, tries: int) -> str:
        """Return a message's id, a different one for each submission."""
        return hashlib.blake2b(f"{self.seed}/{number}/{tries}".encode(), digest_size=8).hexdigest()

    def body(self, arrival: Arrival) -> bytes:
        """Return a message's body: random bytes, the same for each submission."""
        return random.Random(f"{self.seed}/{arrival.number}").randbytes(arrival.size)
