"""Decides which connections to an endpoint may carry another call. No I/O; the clock is handed in.

HTTP/1.1 pairs an answer with a call by its place on the connection and by nothing else. If an endpoint, or a proxy
before it, sends an answer twice, the second copy would be read as the answer to the next call, and each later answer
as one to the call after its own. So a connection rests after an answer, where a copy shows as bytes that nobody asked
for, and an endpoint that sent such bytes gets one call on each connection for a while.

All times are monotonic seconds.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from wheelstep.courier.connection import Connection

REST_S = 0.25
"""From an answer until the next call on its connection, while the connection is watched for further bytes."""
LONG_REST_S = 2.0
"""The same at all endpoints after one of them has sent unrequested bytes: they may share the proxy that sent them."""
SINGLE_USE_S = 300.0
"""For so long after unrequested bytes, the endpoint's connections carry one call each, and all others rest longer."""
_IDLE_GROWTH = 0.1  # seconds that the safe idle time grows in each second, after an early end was observed


class RestPeriod:
    """The rest of connections after an answer, at all endpoints of a courier."""

    def __init__(self) -> None:
        self._long_until = -math.inf

    def unrequested_bytes(self, now_s: float) -> None:
        """Note that bytes came outside of a call, from any endpoint."""
        self._long_until = now_s + SINGLE_USE_S

    def seconds(self, now_s: float) -> float:
        """Return how long a connection rests."""
        return LONG_REST_S if now_s < self._long_until else REST_S


class ReuseRules:
    """The rules for the connections to one endpoint. `max_idle_s`: a connection that idled for longer may be closed by
    its endpoint at any moment. `rest` is shared by all endpoints."""

    def __init__(self, max_idle_s: float, rest: RestPeriod) -> None:
        self._max_idle_s, self._rest = max_idle_s, rest
        self._safe_idle_s = math.inf  # idle time considered safe when it was last learned; inf: nothing observed
        self._learned_at = 0.0
        self._single_use_until = -math.inf

    # --- events ---

    def unrequested_bytes(self, now_s: float) -> None:
        """Note that bytes came outside of a call."""
        self._single_use_until = now_s + SINGLE_USE_S
        self._rest.unrequested_bytes(now_s)

    def ended_early(self, idled_s: float, now_s: float) -> None:
        """Note that the endpoint ended a connection that had idled for `idled_s`."""
        self._safe_idle_s, self._learned_at = min(self.safe_idle_s(now_s), idled_s / 2), now_s

    def refused(self) -> None:
        """Note that nothing listens at the endpoint: earlier ends came from an outage and tell nothing of idle time."""
        self._safe_idle_s = math.inf

    # --- decisions ---

    def single_use(self, now_s: float) -> bool:
        """Return whether a connection may carry only one call."""
        return now_s < self._single_use_until

    def expired(self, connection: Connection, now_s: float) -> bool:
        """Return whether an idle connection must not carry another call."""
        return now_s - connection.idle_since >= self._max_idle_s or self.single_use(now_s)

    def safe_idle_s(self, now_s: float) -> float:
        """Return how long a connection may idle before a call that cannot be repeated is at risk on it.

        Protects such calls from an endpoint that closes idle connections early, where that was observed: as
        `Outcomes._max_idle_us` does for closures that are not observed. While remembered it costs connection
        handshakes, also where an endpoint closed all connections for another reason.
        """
        return min(self._max_idle_s, self._safe_idle_s + (now_s - self._learned_at) * _IDLE_GROWTH)

    def choose(self, idle: Sequence[Connection], once: bool, now_s: float) -> Connection | None:
        """Return the connection for the next call, None if a new one is needed: the one that was used last among those
        that have rested. `idle` is in the order of use; `once`: what will be sent must not be sent again."""
        rest_s = self._rest.seconds(now_s)
        rested = next((one for one in reversed(idle) if not one.calls or now_s - one.idle_since >= rest_s), None)
        if rested is None or once and now_s - rested.idle_since >= self.safe_idle_s(now_s):
            return None
        return rested
