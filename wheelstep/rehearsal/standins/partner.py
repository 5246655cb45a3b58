"""Partners on loopback: each endpoint has one port per courier, which tells the couriers apart.

This module plays the faults of connections. `model` has their effect on processing, `answering` on answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections import Counter
from collections.abc import Callable

from wheelstep.rehearsal.history import History, Outage, Strange
from wheelstep.rehearsal.plan import Fault, Partner, Plan
from wheelstep.rehearsal.standins.answering import Connection as _Connection
from wheelstep.rehearsal.standins.ledger import Ledger, Submission
from wheelstep.rehearsal.standins.model import OUTAGE_FAIL_SHARE, OUTAGE_FAULTS, EndpointModel, RateLimiter
from wheelstep.rehearsal.standins.wire import Port

__all__ = ["Endpoint", "Ledger", "PartnerPool", "Submission", "_Connection"]

MAX_CONNECTIONS_PER_COURIER = 2_000  # to all endpoints together; more are reset and recorded


class Endpoint:
    """One endpoint with its ports, by courier."""

    def __init__(self, name: str, partner: Partner, desk: EndpointModel, pool: PartnerPool,
                 ports: list[Port] | None = None) -> None:
        self.name, self.partner, self.model, self.pool = name, partner, desk, pool
        self.connections: set[_Connection] = set()
        makers = [functools.partial(_Connection, self, f"c{index}") for index in range(pool.plan.couriers)]
        self.ports = [Port(make) for make in makers] if ports is None else ports
        for port, make in zip(self.ports, makers, strict=True):
            port.factory = make
        self._fillers: list[socket.socket] = []
        self._outage_us: int | None = None

    async def open(self) -> None:
        """Listen on all ports."""
        for port in self.ports:
            await port.listen()

    def close(self) -> None:
        """Reset all connections and release the ports."""
        self._close_fillers()
        for connection in list(self.connections):
            connection.abort()
        for port in self.ports:
            port.close()

    # --- faults ---

    async def start_fault(self, fault: Fault) -> None:
        """Start a fault."""
        faults = self.model.active_faults
        faults.shares[fault.kind] = fault.share
        if fault.kind == "shut":
            faults.wait_us = fault.wait_us
        if fault.kind == "reset":
            faults.reset_before = fault.when == "before"
        if fault.kind in OUTAGE_FAULTS and (fault.kind != "fail" or fault.share >= OUTAGE_FAIL_SHARE):
            self._outage_us = self.pool.now_us()
        if fault.kind == "refuse":
            for port in self.ports:
                port.refuse()
            self._reset()
        if fault.kind == "silent":
            self._drop_traffic()

    async def end_fault(self, fault: Fault) -> None:
        """End a fault. After an outage the endpoint is cold, and the outage is recorded."""
        faults = self.model.active_faults
        faults.shares.pop(fault.kind, None)
        if fault.kind in ("refuse", "silent"):
            self._close_fillers()
            for port in self.ports:
                port.refuse()  # resets the connections in the kernel's accept queue
            self._reset()  # a machine that comes back resets the connections from before
            await self.open()
        if fault.kind in OUTAGE_FAULTS and self._outage_us is not None:
            now_us = self.pool.now_us()
            self.pool.history.add(Outage(self.name, self.partner.destination, self._outage_us, now_us,
                                         self.partner.per_s))
            self._outage_us = None
            self.model.recover(now_us)

    def _reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def _drop_traffic(self) -> None:
        """Answer nothing: silence the open connections and drop attempts to connect.

        New connections must not come up, so a full accept queue makes the kernel drop them.
        """
        for connection in self.connections:
            connection.silence()
        for port in self.ports:
            port.refuse()
        # Once our own connections fill the queue, Linux drops further ones silently; other systems refuse them.
        for port in self.ports:
            with contextlib.suppress(OSError):
                port.drop_connections()
                for _ in range(3):
                    filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port.port))
                    self._fillers.append(filler)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()


class PartnerPool:
    """All endpoints of a rehearsal and what they share: plan, history, clock, ledger and connection counts."""

    def __init__(self, plan: Plan, history: History, now_us: Callable[[], int]) -> None:
        self.plan, self.history, self.now_us = plan, history, now_us
        self.ledger = Ledger()
        self.endpoints: dict[str, Endpoint] = {}
        self.partners: dict[str, Partner] = {}
        self._successors: dict[str, str] = {}
        self.connections: Counter[str] = Counter()  # open, by courier
        self._over_limit: set[str] = set()
        self.epoch = 0.0  # the event loop's time at the rehearsal's start, in seconds
        for partner in plan.partners:
            limiter = None if partner.limit is None else RateLimiter(partner.limit)
            for number, name in enumerate(partner.endpoints):
                separate = partner.destination in plan.figures.routes_apart
                own_limiter = RateLimiter(partner.limit) if separate and partner.limit is not None else limiter
                draws = plan.luck[number:] + plan.luck[:number]
                self._add_endpoint(name, partner, EndpointModel(partner, plan.figures, own_limiter, draws,
                                                                self.call_at, now_us))

    def _add_endpoint(self, name: str, partner: Partner, desk: EndpointModel) -> Endpoint:
        self.partners[name] = partner
        self.endpoints[name] = Endpoint(name, partner, desk, self)
        return self.endpoints[name]

    def allows_connection(self, courier: str, endpoint: str) -> bool:
        """Return whether a courier's newest connection is within its limit.

        The limit protects the rig's descriptors from a courier that opens thousands of connections. The first excess
        is recorded as a violation.
        """
        if self.connections[courier] <= MAX_CONNECTIONS_PER_COURIER:
            return True
        if courier not in self._over_limit:
            self._over_limit.add(courier)
            self.history.add(Strange(self.now_us(), courier, endpoint,
                                     f"more than {MAX_CONNECTIONS_PER_COURIER} connections at once"))
        return False

    def call_at(self, at_us: int, callback: Callable[[], None]) -> None:
        """Call `callback` at a time of the rehearsal."""
        asyncio.get_running_loop().call_at(self.epoch + at_us / 1e6, callback)

    def to_us(self, loop_s: float) -> int:
        """Convert the event loop's time in seconds to the rehearsal's in microseconds."""
        return round((loop_s - self.epoch) * 1e6)

    async def open(self) -> None:
        """Listen on all endpoints."""
        for endpoint in self.endpoints.values():
            await endpoint.open()

    def close(self) -> None:
        """Close all endpoints; calls in progress are recorded as open."""
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                connection.record_open_call()
            endpoint.close()

    def replace(self, name: str) -> str:
        """Replace an endpoint by a new one at the same addresses and return the new name.

        Its connections are reset, so calls in progress end.
        """
        old = self.endpoint(name)
        fresh = f"{old.name}+"
        desk = EndpointModel(old.partner, self.plan.figures, None, self.plan.luck, self.call_at, self.now_us)
        for connection in list(old.connections):
            connection.abort()
        # The ports stay: a call to the old endpoint's address reaches the new one.
        new = Endpoint(fresh, old.partner, desk, self, old.ports)
        del self.endpoints[old.name]
        self.endpoints[fresh], self.partners[fresh] = new, old.partner
        self._successors[old.name] = fresh
        return fresh

    def endpoint(self, name: str) -> Endpoint:
        """Return the endpoint of this name or its latest replacement."""
        while name in self._successors:
            name = self._successors[name]
        return self.endpoints[name]
