"""The partners of hollow couriers: a table in place of sockets. It tells how a call would have ended, after how long,
and whether it would have needed a handshake. No I/O; times are passed in.

A destination that is down does not answer: a new connection is not established within the connect timeout, and an
existing connection is silent until the call's timeout.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field

from wheelstep.interface import Outcome
from wheelstep.rehearsal.scale.downs import LONG_OUTAGE_S, OutageSchedule

_MAX_IDLE_PER_ENDPOINT = 64  # idle connections kept to one endpoint
TRACKED_PREFIX = "t"  # message ids with this prefix are recorded one by one
_MAX_TRACKED = 1_000_000


@dataclass(slots=True)
class CallCounts:
    """Counters over all couriers of a process, since the start."""

    calls: int = 0
    down: int = 0  # calls to destinations that were down
    down_long: int = 0  # of these, down for `LONG_OUTAGE_S` or more
    probes: int = 0
    probes_down_long: int = 0
    handshakes: int = 0
    delivered: int = 0
    repeats: int = 0  # deliveries of messages that had already ended here, or that another courier holds
    unsettled: int = 0  # written, but neither begun nor withdrawn when their courier stopped
    handed_back: int = 0
    given_up: int = 0
    tracked: dict[str, list[float]] = field(default_factory=dict)  # message id -> delivery times (run clock)
    ended: dict[str, str] = field(default_factory=dict)  # message id -> how it ended undelivered

    def record_delivery(self, message: str, now_s: float) -> None:
        """Count a delivery to a partner at `now_s`."""
        self.delivered += 1
        if message.startswith(TRACKED_PREFIX) and len(self.tracked) < _MAX_TRACKED:
            self.tracked.setdefault(message, []).append(now_s)

    def record_end(self, message: str, how: str) -> None:
        """Count a message that ended undelivered; `how` is `handed_back` or `given_up`."""
        if how == "handed_back":
            self.handed_back += 1
        else:
            self.given_up += 1
        if message.startswith(TRACKED_PREFIX) and len(self.ended) < _MAX_TRACKED:
            self.ended[message] = how


class PartnerTable:
    """The partners as seen by one courier, which has its own connections. A connection is closed after `idle_s` without
    use; connecting to a destination that is down fails after `dial_s`. Every `now_s` is in seconds since the run's
    start."""

    def __init__(self, outages: OutageSchedule, counts: CallCounts, idle_s: float, dial_s: float,
                 rng: random.Random) -> None:
        self._outages, self._counts, self._idle_s, self._dial_s, self._rng = outages, counts, idle_s, dial_s, rng
        self._idle: dict[str, list[float]] = {}  # endpoint -> when each connection became idle, the latest last

    def begin_call(self, now_s: float, endpoint: str, destination: int, timeout_s: float) -> tuple[Outcome, float]:
        """Begin a call; return its outcome and after how many seconds it ends. The caller must then call `end_call`."""
        counts = self._counts
        counts.calls += 1
        reused = self._take_idle_connection(now_s, endpoint)
        counts.handshakes += not reused
        down_s = self._outages.down_for_s(destination, now_s)
        if down_s is None:
            spent_s = self._round_trip_s(endpoint) * (1 if reused else 2)
            return (Outcome.OK, spent_s) if spent_s <= timeout_s else (Outcome.TIMEOUT, timeout_s)
        counts.down += 1
        counts.down_long += down_s >= LONG_OUTAGE_S
        return (Outcome.TIMEOUT, timeout_s) if reused else (Outcome.CONNECT_FAILED, min(self._dial_s, timeout_s))

    def end_call(self, now_s: float, endpoint: str, outcome: Outcome) -> None:
        """Keep the call's connection as idle after `Outcome.OK`; otherwise it is closed."""
        if outcome is Outcome.OK:
            idle = self._idle.setdefault(endpoint, [])
            idle.append(now_s)
            del idle[:-_MAX_IDLE_PER_ENDPOINT]

    def probe(self, now_s: float, endpoint: str, destination: int, timeout_s: float) -> tuple[Outcome, float]:
        """Return the outcome of a probe and its duration in seconds; a probe opens its own connection."""
        self._counts.probes += 1
        down_s = self._outages.down_for_s(destination, now_s)
        if down_s is None:
            return Outcome.OK, 2 * self._round_trip_s(endpoint)
        self._counts.probes_down_long += down_s >= LONG_OUTAGE_S
        return Outcome.CONNECT_FAILED, min(self._dial_s, timeout_s)

    def close_idle(self, now_s: float, endpoint: str, idle_s: float = 0.0) -> None:
        """Close the connections to `endpoint` that have been idle for at least `idle_s`."""
        kept = [idle_since_s for idle_since_s in self._idle.get(endpoint, ()) if now_s - idle_since_s < idle_s]
        if kept:
            self._idle[endpoint] = kept
        else:
            self._idle.pop(endpoint, None)

    def sweep(self, now_s: float) -> None:
        """Forget endpoints whose connections have all passed the idle timeout."""
        for endpoint in [name for name, idle in self._idle.items() if now_s - idle[-1] >= self._idle_s]:
            del self._idle[endpoint]

    def _take_idle_connection(self, now_s: float, endpoint: str) -> bool:
        idle = self._idle.get(endpoint)
        if idle and now_s - idle.pop() < self._idle_s:  # the latest; if it is too old, so are the others
            if not idle:
                del self._idle[endpoint]
            return True
        self._idle.pop(endpoint, None)
        return False

    def _round_trip_s(self, endpoint: str) -> float:
        digest = hashlib.blake2b(endpoint.encode(), digest_size=4).digest()
        median_s = 0.02 + 0.1 * int.from_bytes(digest, "big") / 2 ** 32
        return median_s * math.exp(self._rng.gauss(0.0, 0.2))
