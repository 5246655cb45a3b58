"""The partners of hollow couriers: a table in place of sockets. What a call would have come to, when, and whether it
would have needed a handshake. No I/O; clocks are handed in.

A destination that is down answers nothing: a new connection does not come up in the dialler's time, one that stood is
silent until the call's time is up.
"""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, field

from wheelstep.interface import Outcome
from wheelstep.rehearsal.scale.downs import LONG_S, Downs

_MOST_IDLE = 64  # connections to one endpoint
TRACKED = "t"  # ids that begin so are kept one by one
_MOST_TRACKED = 1_000_000


@dataclass(slots=True)
class Counts:
    """Of all couriers of a process, since the start."""

    calls: int = 0
    down: int = 0  # calls to destinations that were down
    down_long: int = 0  # of these, for `LONG_S` or more
    probes: int = 0
    probes_down_long: int = 0
    handshakes: int = 0
    delivered: int = 0
    repeats: int = 0  # deliveries of messages that were over, or are held by another
    unsettled: int = 0  # taken, and neither begun nor withdrawn when their courier ended
    handed_back: int = 0
    given_up: int = 0
    tracked: dict[str, list[float]] = field(default_factory=dict)  # id -> when it was delivered
    ended: dict[str, str] = field(default_factory=dict)  # id -> how it ended undelivered

    def delivery(self, message: str, now_s: float) -> None:
        """A partner has it."""
        self.delivered += 1
        if message.startswith(TRACKED) and len(self.tracked) < _MOST_TRACKED:
            self.tracked.setdefault(message, []).append(now_s)

    def end(self, message: str, how: str) -> None:
        """It is over, and was not delivered."""
        if how == "handed_back":
            self.handed_back += 1
        else:
            self.given_up += 1
        if message.startswith(TRACKED) and len(self.ended) < _MOST_TRACKED:
            self.ended[message] = how


class Partners:
    """One courier's view: its connections are its own. `now_s` counts from the run's start."""

    def __init__(self, downs: Downs, counts: Counts, idle_s: float, dial_s: float, rng: random.Random) -> None:
        self._downs, self._counts, self._idle_s, self._dial_s, self._rng = downs, counts, idle_s, dial_s, rng
        self._idle: dict[str, list[float]] = {}  # endpoint -> since when each is idle, the latest last

    def call(self, now_s: float, endpoint: str, destination: int, timeout_s: float) -> tuple[Outcome, float]:
        """A call begins: how it will end, and after how long. `ended` is to be told then."""
        counts = self._counts
        counts.calls += 1
        found = self._take(now_s, endpoint)
        counts.handshakes += not found
        down_s = self._downs.for_s(destination, now_s)
        if down_s is None:
            spent_s = self._round_trip_s(endpoint) * (1 if found else 2)
            return (Outcome.OK, spent_s) if spent_s <= timeout_s else (Outcome.TIMEOUT, timeout_s)
        counts.down += 1
        counts.down_long += down_s >= LONG_S
        return (Outcome.TIMEOUT, timeout_s) if found else (Outcome.CONNECT_FAILED, min(self._dial_s, timeout_s))

    def ended(self, now_s: float, endpoint: str, outcome: Outcome) -> None:
        """Its connection is idle now, or is no more."""
        if outcome is Outcome.OK:
            idle = self._idle.setdefault(endpoint, [])
            idle.append(now_s)
            del idle[:-_MOST_IDLE]

    def probe(self, now_s: float, endpoint: str, destination: int, timeout_s: float) -> tuple[Outcome, float]:
        """As a call, on a connection of its own."""
        self._counts.probes += 1
        down_s = self._downs.for_s(destination, now_s)
        if down_s is None:
            return Outcome.OK, 2 * self._round_trip_s(endpoint)
        self._counts.probes_down_long += down_s >= LONG_S
        return Outcome.CONNECT_FAILED, min(self._dial_s, timeout_s)

    def close_idle(self, now_s: float, endpoint: str, idle_s: float = 0.0) -> None:
        """Those that have been idle for so long at least."""
        left = [since_s for since_s in self._idle.get(endpoint, ()) if now_s - since_s < idle_s]
        if left:
            self._idle[endpoint] = left
        else:
            self._idle.pop(endpoint, None)

    def sweep(self, now_s: float) -> None:
        """Endpoints whose connections are all too old are forgotten."""
        for endpoint in [name for name, idle in self._idle.items() if now_s - idle[-1] >= self._idle_s]:
            del self._idle[endpoint]

    def _take(self, now_s: float, endpoint: str) -> bool:
        idle = self._idle.get(endpoint)
        if idle and now_s - idle.pop() < self._idle_s:  # the latest: if that is too old, so are the others
            if not idle:
                del self._idle[endpoint]
            return True
        self._idle.pop(endpoint, None)
        return False

    def _round_trip_s(self, endpoint: str) -> float:
        digest = hashlib.blake2b(endpoint.encode(), digest_size=4).digest()
        usual_s = 0.02 + 0.1 * int.from_bytes(digest, "big") / 2 ** 32
        return usual_s * math.exp(self._rng.gauss(0.0, 0.2))
