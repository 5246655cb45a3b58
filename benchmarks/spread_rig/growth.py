"""What surrounds the one courier of the long run: endpoints that answer at once, refuse, reset and are replaced;
clients in a loop at a bounded rate; and the samples of the courier's size."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.rehearsal.standins.wire import Client, Port, Request, Server

from .fleet import PORT, memory_kb

DESTINATIONS, ENDPOINTS = 8, 3
REFUSED, RESET, FAILED = 0.02, 0.01, 0.01  # of the calls
REPLACED_S = 4.0  # every so often one endpoint of each destination gives way to a new one
# Far from the limit: without a report a courier would take each refusal for the limit's and slow its destination down.
REPORT = {"X-Load": "x0=0.900,x1=2000.000"}
LINKS = 48  # clients, each with one message at a time


@dataclass
class Place:
    """All endpoints, discovery, and what they saw."""

    rng: random.Random
    calls: int = 0
    replaced: int = 0
    notices: Counter[str] = field(default_factory=Counter)
    delivered: set[str] = field(default_factory=set)
    over: set[str] = field(default_factory=set)  # ended by a notice

    def __post_init__(self) -> None:
        self.agent = Agent("c0", History(Figures({})), lambda: 0, self._heard)
        self._names = itertools.count()
        self.endpoints: list[list[Endpoint]] = []

    def _heard(self, courier: str, notice: dict[str, Any]) -> None:
        self.notices[notice["outcome"]] += 1
        self.over.add(notice["message"])

    async def open(self) -> None:
        """Listen."""
        await self.agent.open()
        self.endpoints = [[await self._make(number) for _ in range(ENDPOINTS)] for number in range(DESTINATIONS)]
        self.agent.hosts = {one.name: one.row() for one in itertools.chain.from_iterable(self.endpoints)}

    async def _make(self, destination: int) -> Endpoint:
        made = Endpoint(self, f"e{next(self._names)}", destination)
        await made.port.listen()
        return made

    async def replace_for_good(self) -> None:
        """The oldest endpoint of each destination drains and goes; a new one comes at once."""
        while True:
            await asyncio.sleep(REPLACED_S)
            old = [places.pop(0) for places in self.endpoints]
            for places, gone in zip(self.endpoints, old, strict=True):
                places.append(await self._make(gone.destination))
            self.agent.change(*(one.row("DRAINING") for one in old), *(places[-1].row() for places in self.endpoints))
            await asyncio.sleep(0.3)
            self.agent.change(*(one.row("DELETED") for one in old))
            for one in old:
                one.close()
            self.replaced += len(old)

    def close(self) -> None:
        """Nothing listens any more."""
        self.agent.close()
        for one in itertools.chain.from_iterable(self.endpoints):
            one.close()


class Endpoint:
    """One endpoint and its port."""

    def __init__(self, place: Place, name: str, destination: int) -> None:
        self.place, self.name, self.destination = place, name, destination
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
    """One connection of the courier: most calls are answered at once."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    def on_connect(self) -> None:
        self._endpoint.links.add(self)

    def on_disconnect(self) -> None:
        self._endpoint.links.discard(self)

    def on_request(self, request: Request) -> None:
        place = self._endpoint.place
        if request.target != "/inbox":
            self.answer(200)
            return
        place.calls += 1
        luck = place.rng.random()
        if luck < REFUSED:
            self.answer(503)
        elif luck < REFUSED + RESET:
            self.abort()
        elif luck < REFUSED + RESET + FAILED:
            self.answer(500)
        else:
            place.delivered.add(request.headers.get("x-request-id", ""))
            self.answer(200, REPORT)


@dataclass
class Load:
    """Clients that hand in until so many `messages` are taken on, `per_s` a second at most."""

    host: str
    messages: int
    per_s: float
    answers: Counter[int] = field(default_factory=Counter)
    taken: set[str] = field(default_factory=set)  # answered 202
    asked: int = 0

    async def run(self) -> None:
        """Until all are taken on."""
        async with asyncio.TaskGroup() as group:
            for number in range(LINKS):
                group.create_task(self._one(number))

    async def _one(self, number: int) -> None:
        loop, link = asyncio.get_running_loop(), await Client.dial(self.host, PORT)
        due = loop.time() + number / self.per_s
        while len(self.taken) < self.messages:
            self.asked += 1
            name = f"m{self.asked:06d}"
            body = b"x" * 200
            answer = await link.exchange((
                f"POST /api/k{number}-{self.asked // LINKS % 50} HTTP/1.1\r\nHost: origin.svc\r\n"
                f"X-Request-Id: {name}\r\nX-Class: update\r\nX-Deadline-Ms: 5000\r\n"
                f"X-Consignee: dest={self.asked % DESTINATIONS}\r\nIdempotency-Key: t{name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            if answer is None:
                link = await Client.dial(self.host, PORT)
                continue
            self.answers[answer[0]] += 1
            if answer[0] == 202:
                self.taken.add(name)
            due = max(due + LINKS / self.per_s, loop.time() - 1.0)
            if (left_s := due - loop.time()) > 0:
                await asyncio.sleep(left_s)
        link.close()


@dataclass(frozen=True, slots=True)
class Sample:
    """The courier's size after so many messages."""

    messages: int
    rss_kb: int
    descriptors: int
    journal_bytes: int

    @classmethod
    def of(cls, pid: int, state: Path, messages: int) -> Sample:
        """As it is now."""
        size = sum(path.stat().st_size for path in state.rglob("*") if path.is_file())
        return cls(messages, memory_kb(pid)[0], len(os.listdir(f"/proc/{pid}/fd")), size)


def part(samples: list[Sample], messages: int, first: float, last: float) -> Sample:
    """The medians of the samples between these shares of all messages."""
    rows = [one for one in samples if first * messages <= one.messages <= last * messages]
    return Sample(round(median(one.messages for one in rows)), round(median(one.rss_kb for one in rows)),
                  round(median(one.descriptors for one in rows)), round(median(one.journal_bytes for one in rows)))
