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

    per_s: float  # messages per second
    window_us: int = 0  # 0: a rate without windows
    refused_count: bool = False  # a rejected call counts as one message
    wait_us: int = 0  # shortest wait that a rejection announces; 0: none is announced
    report: bool = True  # answers carry X-Load


@dataclass(frozen=True, slots=True)
class Partner:
    """One destination; `endpoints` are names. An endpoint serves `lanes` calls at once, in `pace_us` on average."""

    name: str
    destination: int
    kind: int  # index into the kinds of the settings
    endpoints: tuple[str, ...]
    lanes: int
    queue: int  # calls that may wait for a lane; more are rejected
    pace_us: int
    limit: Limit | None = None
    connections: int = 0  # per endpoint; 0: no limit
    run_on: bool = False  # cancelled calls run on
    key_memory: bool = True  # repeats of a token have no effect

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
    courier: int  # index
    message_class: str
    destination: int
    key: str | None  # of its order; None in classes without order
    token: str | None  # idempotency key; None: none
    size: int  # of the body, in bytes
    work: float
    luck: float  # random number for the client's decisions
    fresh: bool = False  # submitted on a new connection
    deadline_us: int = 0  # relative to `at_us`; 0: as its class


PROCESS_FAULTS = ("kill", "term", "pause", "worker-kill", "worker-hang")
SOAK_FAULTS = frozenset({"upgrade", "reload", "settings", "exclude", "signals", "crowd", "clock", "sockets", "short",
                         "disk", "transfers", "polls", "opens"})
"""Faults of couriers that only those of a soak play."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at endpoints or couriers, from `at_us` until `until_us`."""

    kind: str
    at_us: int
    until_us: int
    endpoints: tuple[str, ...] = ()
    couriers: tuple[int, ...] = ()
    share: float = 1.0  # of the calls; for a soak's faults as `FaultPage` defines it
    when: str = "after"  # reset: "before" or "after" the call's last byte; crowd: the kinds of its clients
    wait_us: int = 0  # shut: announced by each rejection
    worker: int = 0  # index at its courier; crowd: the number of its connections
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
    ready_within_us: int  # limit from a courier's start until it is ready
    figures: Figures
    settings: dict[str, Any]  # for the couriers, in the form of their configuration
    partners: tuple[Partner, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]
    retries: int  # of a message, after rejections
    honour: float  # share of retries that wait as Retry-After says
    backoff_us: tuple[int, int]  # range of the delay of other retries
    crowd: int  # extra idle connections per courier
    luck: tuple[float, ...]  # random numbers, used in turn by each endpoint

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
