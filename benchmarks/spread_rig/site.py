"""Stand-in endpoints on loopback that count and queue, and the one agent of discovery that all couriers share."""

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

from .desk import Call, Desk
from .plan import Arrival, Scene, Shape

DRAIN_S = 0.5  # from the word that an endpoint drains until it is off the list
OVER = 2.0  # a limit that answers tell of, over what is asked for: never in the way


@dataclass
class Play:
    """What endpoints saw in one scene."""

    tag: str
    scene: Scene
    began: float  # the loop's time
    messages: Sequence[Arrival]
    calls: list[Call] = field(default_factory=list)
    dials: list[tuple[float, int]] = field(default_factory=list)  # when, and at which destination
    delivered: dict[int, float] = field(default_factory=dict)  # message -> when its first 200 was written
    over: asyncio.Event = field(default_factory=asyncio.Event)  # all are delivered

    def now_s(self) -> float:
        """Seconds since its start."""
        return asyncio.get_running_loop().time() - self.began


class Endpoint:
    """One endpoint and its port."""

    def __init__(self, site: Site, name: str, destination: int, place: int, gauge: RateLimiter | None) -> None:
        self.site, self.name, self.destination, self.place, self.gauge = site, name, destination, place, gauge
        self.desk = Desk()
        self.links: set[_Link] = set()
        self.port = Port(lambda: _Link(self))

    def row(self, health: str = "SERVING") -> dict[str, Any]:
        """Its line of the list."""
        return row(self.name, self.port.address, self.destination, "k", health)

    def close(self) -> None:
        """It is gone, with its connections."""
        self.port.close()
        for link in list(self.links):
            link.abort()


class _Link(Server):
    """One connection of a courier."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    def on_connect(self) -> None:
        endpoint = self._endpoint
        endpoint.links.add(self)
        if (play := endpoint.site.play) is not None:
            play.dials.append((play.now_s(), endpoint.destination))

    def on_disconnect(self) -> None:
        self._endpoint.links.discard(self)

    def on_request(self, request: Request) -> None:
        endpoint, play = self._endpoint, self._endpoint.site.play
        tag, _, number = request.headers.get("x-request-id", "").partition("-")
        if request.target != "/inbox" or play is None or tag != play.tag:
            self.answer(200)  # a probe, or a copy of an earlier scene's message
            return
        now_s, message = play.now_s(), play.messages[int(number.partition("-")[0])]
        gauge, head = endpoint.gauge, {}
        if gauge is not None:
            now_us = round(asyncio.get_running_loop().time() * 1e6)
            fits, head = gauge.try_acquire(now_us, 1), {"X-Load": gauge.load_report(now_us)}
        end_s = None if gauge is not None and not fits else endpoint.desk.take(now_s, message.work_s)
        play.calls.append(Call(endpoint.destination, endpoint.place, message.number, now_s, end_s))
        if end_s is None:
            self.answer(503, head)
        else:
            asyncio.get_running_loop().call_at(play.began + end_s, self._served, play, message.number, head)

    def _served(self, play: Play, number: int, head: dict[str, str]) -> None:
        if self.closed:
            return
        self.answer(200, head)
        play.delivered.setdefault(number, play.now_s())
        if len(play.delivered) == len(play.messages):
            play.over.set()


class Site:
    """All endpoints, and discovery."""

    def __init__(self, shapes: Sequence[Shape], per_s: float, reports: bool) -> None:
        self.agent = Agent("all", History(Figures({})), lambda: 0, self._heard)
        self.notices = 0  # of messages that ended undelivered
        self.play: Play | None = None
        self._made = 0
        self._gauges = {shape.destination: RateLimiter(Limit(OVER * per_s / len(shapes))) if reports else None
                        for shape in shapes}
        self.endpoints = {shape.destination: [self._make(shape.destination, place) for place in range(shape.endpoints)]
                          for shape in shapes}

    def _heard(self, courier: str, notice: object) -> None:
        self.notices += 1

    def _make(self, destination: int, place: int) -> Endpoint:
        self._made += 1
        return Endpoint(self, f"e{destination}-{self._made}", destination, place, self._gauges[destination])

    async def open(self) -> None:
        """Listen."""
        await self.agent.open()
        for endpoint in self._all():
            await endpoint.port.listen()
            self.agent.hosts[endpoint.name] = endpoint.row()

    def _all(self) -> list[Endpoint]:
        return [endpoint for places in self.endpoints.values() for endpoint in places]

    def begin(self, play: Play) -> None:
        """From now on calls count for this play."""
        self.play = play
        for places in self.endpoints.values():
            for place, endpoint in enumerate(places):
                endpoint.place, endpoint.desk = place, Desk(play.scene.stall(place))

    async def replace(self) -> None:
        """The first endpoint of each destination drains, and a new one is there; then the old one is gone."""
        old = [places[0] for places in self.endpoints.values()]
        new = [self._make(one.destination, len(self.endpoints[one.destination])) for one in old]
        for one in new:
            await one.port.listen()
            self.endpoints[one.destination].append(one)
        self.agent.change(*(one.row("DRAINING") for one in old), *(one.row() for one in new))
        await asyncio.sleep(DRAIN_S)
        self.agent.change(*(one.row("DELETED") for one in old))
        await asyncio.sleep(2 * DRAIN_S)  # what it has, it finishes
        for one in old:
            one.close()
            self.endpoints[one.destination].remove(one)

    def close(self) -> None:
        """Nothing listens any more."""
        self.agent.close()
        for endpoint in self._all():
            endpoint.close()
