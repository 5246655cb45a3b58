"""Stand-in endpoints on loopback that record and queue calls, and the one discovery agent that all couriers share."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.plan import Limit
from wheelstep.rehearsal.standins.model import RateLimiter
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.rehearsal.standins.wire import Port, Request, Server

from .desk import Call, EndpointQueue
from .plan import Arrival, Scene, Shape

DRAIN_DELAY_S = 0.5  # from the listing of an endpoint as DRAINING until it is listed as DELETED
REPORTED_LIMIT_FACTOR = 2.0  # the rate limit that answers report, over the actual rate: high enough never to apply


@dataclass
class SceneRun:
    """What the endpoints saw in one scene. Times are in seconds from its start."""

    tag: str  # starts the request ids of this scene's messages
    scene: Scene
    started: float  # event loop time
    messages: Sequence[Arrival]
    calls: list[Call] = field(default_factory=list)
    dials: list[tuple[float, int]] = field(default_factory=list)  # time and destination of each new connection
    delivered: dict[int, float] = field(default_factory=dict)  # message number -> when its first 200 was written
    all_delivered: asyncio.Event = field(default_factory=asyncio.Event)

    def now_s(self) -> float:
        """Return the seconds since the scene's start."""
        return asyncio.get_running_loop().time() - self.started


class Endpoint:
    """One endpoint, its port and its open connections. With a `gauge`, its answers report a rate limit."""

    def __init__(self, site: Site, name: str, destination: int, position: int, gauge: RateLimiter | None) -> None:
        self.site, self.name, self.destination, self.position, self.gauge = site, name, destination, position, gauge
        self.queue = EndpointQueue()
        self.connections: set[_Connection] = set()
        self.port = Port(lambda: _Connection(self))

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        """Return the endpoint's entry in the list of discovery, with this health."""
        return row(self.name, self.port.address, self.destination, "k", health)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.port.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(Server):
    """One connection of a courier to an endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    def on_connect(self) -> None:
        endpoint = self._endpoint
        endpoint.connections.add(self)
        if (scene_run := endpoint.site.scene_run) is not None:
            scene_run.dials.append((scene_run.now_s(), endpoint.destination))

    def on_disconnect(self) -> None:
        self._endpoint.connections.discard(self)

    def on_request(self, request: Request) -> None:
        endpoint, scene_run = self._endpoint, self._endpoint.site.scene_run
        tag, _, number = request.headers.get("x-request-id", "").partition("-")
        if request.target != "/inbox" or scene_run is None or tag != scene_run.tag:
            self.answer(200)  # a probe, or a copy of an earlier scene's message
            return
        now_s, message = scene_run.now_s(), scene_run.messages[int(number.partition("-")[0])]
        gauge, headers = endpoint.gauge, {}
        if gauge is not None:
            now_us = round(asyncio.get_running_loop().time() * 1e6)
            fits, headers = gauge.try_acquire(now_us, 1), {"X-Load": gauge.load_report(now_us)}
        end_s = None if gauge is not None and not fits else endpoint.queue.accept(now_s, message.work_s)
        scene_run.calls.append(Call(endpoint.destination, endpoint.position, message.number, now_s, end_s))
        if end_s is None:
            self.answer(503, headers)
        else:
            asyncio.get_running_loop().call_at(scene_run.started + end_s, self._answer_served, scene_run,
                                               message.number, headers)

    def _answer_served(self, scene_run: SceneRun, number: int, headers: dict[str, str]) -> None:
        if self.closed:
            return
        self.answer(200, headers)
        scene_run.delivered.setdefault(number, scene_run.now_s())
        if len(scene_run.delivered) == len(scene_run.messages):
            scene_run.all_delivered.set()


class Site:
    """All endpoints of the `shapes`, and discovery. `per_s` is the rate of messages to all destinations; with `reports`
    the answers report a rate limit."""

    def __init__(self, shapes: Sequence[Shape], per_s: float, reports: bool) -> None:
        self.agent = Agent("all", History(Figures({})), lambda: 0, self._on_notification)
        self.notifications = 0  # of messages that ended undelivered
        self.scene_run: SceneRun | None = None
        self._endpoints_made = 0
        self._gauges = {
            shape.destination: RateLimiter(Limit(REPORTED_LIMIT_FACTOR * per_s / len(shapes))) if reports else None
            for shape in shapes}
        self.endpoints = {
            shape.destination: [self._make(shape.destination, position) for position in range(shape.endpoints)]
            for shape in shapes}

    def _on_notification(self, courier: str, notice: object) -> None:
        self.notifications += 1

    def _make(self, destination: int, position: int) -> Endpoint:
        self._endpoints_made += 1
        return Endpoint(self, f"e{destination}-{self._endpoints_made}", destination, position,
                        self._gauges[destination])

    async def open(self) -> None:
        """Start discovery and all endpoints."""
        await self.agent.open()
        for endpoint in self._all():
            await endpoint.port.listen()
            self.agent.hosts[endpoint.name] = endpoint.row()

    def _all(self) -> list[Endpoint]:
        return [endpoint for group in self.endpoints.values() for endpoint in group]

    def begin(self, scene_run: SceneRun) -> None:
        """Record calls in `scene_run` from now on, with empty queues and positions counted anew."""
        self.scene_run = scene_run
        for group in self.endpoints.values():
            for position, endpoint in enumerate(group):
                endpoint.position, endpoint.queue = position, EndpointQueue(scene_run.scene.stall(position))

    async def replace(self) -> None:
        """Replace the first endpoint of each destination: list a new one, drain the old one, then remove it."""
        old = [group[0] for group in self.endpoints.values()]
        new = [self._make(one.destination, len(self.endpoints[one.destination])) for one in old]
        for one in new:
            await one.port.listen()
            self.endpoints[one.destination].append(one)
        self.agent.change(*(one.row("DRAINING") for one in old), *(one.row() for one in new))
        await asyncio.sleep(DRAIN_DELAY_S)
        self.agent.change(*(one.row("DELETED") for one in old))
        await asyncio.sleep(2 * DRAIN_DELAY_S)  # for calls that the old endpoints still work on
        for one in old:
            one.close()
            self.endpoints[one.destination].remove(one)

    def close(self) -> None:
        """Stop discovery and close all endpoints."""
        self.agent.close()
        for endpoint in self._all():
            endpoint.close()
