"""Partners on loopback: each endpoint has a port for each courier, so that it is known who calls.

Faults act here where they concern connections; what they mean for the work is in `model`, for a call in `answering`.
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
from wheelstep.rehearsal.standins.ledger import Known, Ledger
from wheelstep.rehearsal.standins.model import FAILING_MOST, OUTAGES, Desk, Gauge
from wheelstep.rehearsal.standins.wire import Port

__all__ = ["Endpoint", "Known", "Ledger", "Stage", "_Connection"]

MOST_CONNECTIONS = 2_000  # of one courier to all endpoints; who opens more is turned away and named


class Endpoint:
    """One endpoint with its ports."""

    def __init__(self, name: str, partner: Partner, desk: Desk, stage: Stage,
                 ports: list[Port] | None = None) -> None:
        self.name, self.partner, self.desk, self.stage = name, partner, desk, stage
        self.connections: set[_Connection] = set()
        makers = [functools.partial(_Connection, self, f"c{index}") for index in range(stage.plan.couriers)]
        self.ports = [Port(make) for make in makers] if ports is None else ports
        for port, make in zip(self.ports, makers, strict=True):
            port.make = make
        self._plugs: list[socket.socket] = []
        self._outage_us: int | None = None

    async def open(self) -> None:
        """Listen."""
        for port in self.ports:
            await port.listen()

    def close(self) -> None:
        """For good."""
        self._unplug()
        for connection in list(self.connections):
            connection.abort()
        for port in self.ports:
            port.close()

    # --- faults ---

    async def begin(self, fault: Fault) -> None:
        """A fault sets in."""
        mode = self.desk.mode
        mode.faults[fault.kind] = fault.share
        if fault.kind == "shut":
            mode.wait_us = fault.wait_us
        if fault.kind == "reset":
            mode.reset_before = fault.when == "before"
        if fault.kind in OUTAGES and (fault.kind != "fail" or fault.share >= FAILING_MOST):
            self._outage_us = self.stage.now_us()
        if fault.kind == "refuse":
            for port in self.ports:
                port.refuse()
            self._reset()
        if fault.kind == "silent":
            self._silence()

    async def end(self, fault: Fault) -> None:
        """The fault is over; after an outage the endpoint is cold."""
        mode = self.desk.mode
        mode.faults.pop(fault.kind, None)
        if fault.kind in ("refuse", "silent"):
            self._unplug()
            for port in self.ports:
                port.refuse()  # what stands in the kernel's queue is reset
            self._reset()  # what stood through the silence is reset when the machine is back
            await self.open()
        if fault.kind in OUTAGES and self._outage_us is not None:
            now_us = self.stage.now_us()
            self.stage.history.add(Outage(self.name, self.partner.destination, self._outage_us, now_us,
                                          self.partner.per_s))
            self._outage_us = None
            self.desk.came_back(now_us)

    def _reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def _silence(self) -> None:
        """Guards the claim that nothing comes up: full queues of the kernel drop what asks for a connection."""
        for connection in self.connections:
            connection.mute()
        for port in self.ports:
            port.refuse()
        # A queue of none, filled by ourselves: what comes then is dropped without a word (Linux; elsewhere refused).
        for port in self.ports:
            with contextlib.suppress(OSError):
                port.hush()
                for _ in range(3):
                    plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    plug.setblocking(False)
                    plug.connect_ex(("127.0.0.1", port.port))
                    self._plugs.append(plug)

    def _unplug(self) -> None:
        for plug in self._plugs:
            plug.close()
        self._plugs.clear()


class Stage:
    """What all endpoints of a rehearsal share."""

    def __init__(self, plan: Plan, history: History, now_us: Callable[[], int]) -> None:
        self.plan, self.history, self.now_us = plan, history, now_us
        self.ledger = Ledger()
        self.endpoints: dict[str, Endpoint] = {}
        self.partners: dict[str, Partner] = {}
        self._successors: dict[str, str] = {}
        self.connections: Counter[str] = Counter()  # of each courier
        self._crowding: set[str] = set()
        self.epoch = 0.0  # the loop's time at the rehearsal's start
        for partner in plan.partners:
            gauge = None if partner.limit is None else Gauge(partner.limit)
            for number, name in enumerate(partner.endpoints):
                apart = partner.destination in plan.figures.routes_apart
                own = Gauge(partner.limit) if apart and partner.limit is not None else gauge
                luck = plan.luck[number:] + plan.luck[:number]
                self._make(name, partner, Desk(partner, plan.figures, own, luck, self.later, now_us))

    def _make(self, name: str, partner: Partner, desk: Desk) -> Endpoint:
        self.partners[name] = partner
        self.endpoints[name] = Endpoint(name, partner, desk, self)
        return self.endpoints[name]

    def admits(self, courier: str, endpoint: str) -> bool:
        """May this courier open one more connection? Guards the rig's descriptors against a courier that opens
        thousands."""
        if self.connections[courier] <= MOST_CONNECTIONS:
            return True
        if courier not in self._crowding:
            self._crowding.add(courier)
            self.history.add(Strange(self.now_us(), courier, endpoint,
                                     f"more than {MOST_CONNECTIONS} connections at once"))
        return False

    def later(self, at_us: int, what: Callable[[], None]) -> None:
        """Call it then."""
        asyncio.get_running_loop().call_at(self.epoch + at_us / 1e6, what)

    def us(self, at: float) -> int:
        """The loop's time as the rehearsal's."""
        return round((at - self.epoch) * 1e6)

    async def open(self) -> None:
        """All endpoints listen."""
        for endpoint in self.endpoints.values():
            await endpoint.open()

    def close(self) -> None:
        """All are shut, and calls without an end are noted."""
        for endpoint in self.endpoints.values():
            for connection in list(endpoint.connections):
                connection.note_open()
            endpoint.close()

    def replace(self, name: str) -> str:
        """A new endpoint at the same addresses; returns its name. Calls under way end as their process does."""
        old = self.at(name)
        fresh = f"{old.name}+"
        desk = Desk(old.partner, self.plan.figures, None, self.plan.luck, self.later, self.now_us)
        for connection in list(old.connections):
            connection.abort()
        # The ports stay: whoever calls the old name's address reaches the new process.
        new = Endpoint(fresh, old.partner, desk, self, old.ports)
        del self.endpoints[old.name]
        self.endpoints[fresh], self.partners[fresh] = new, old.partner
        self._successors[old.name] = fresh
        return fresh

    def at(self, name: str) -> Endpoint:
        """The endpoint of this name, or the one that took its place."""
        while name in self._successors:
            name = self._successors[name]
        return self.endpoints[name]
