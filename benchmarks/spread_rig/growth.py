"""The surroundings of the one courier in the long run: endpoints that answer at once, reject, reset and are replaced;
clients that submit at a bounded rate; and the samples of the courier's size."""

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
REJECTED_SHARE, RESET_SHARE, FAILED_SHARE = 0.02, 0.01, 0.01  # of the calls: answered 503, reset, answered 500
REPLACEMENT_INTERVAL_S = 4.0  # between replacements of one endpoint of each destination
# A load far below the limit: without a report a courier would attribute each rejection to the limit and reduce its
# rate to the destination.
LOAD_REPORT = {"X-Load": "x0=0.900,x1=2000.000"}
CLIENTS = 48  # each submits one message at a time


@dataclass
class GrowthSite:
    """All endpoints, discovery, and counts of what they saw."""

    rng: random.Random
    calls: int = 0
    replaced: int = 0  # endpoints
    notifications: Counter[str] = field(default_factory=Counter)
    delivered: set[str] = field(default_factory=set)  # ids of messages
    undelivered: set[str] = field(default_factory=set)  # ids of messages that ended with a notification

    def __post_init__(self) -> None:
        self.agent = Agent("c0", History(Figures({})), lambda: 0, self._on_notification)
        self._names = itertools.count()
        self.endpoints: list[list[Endpoint]] = []

    def _on_notification(self, courier: str, notice: dict[str, Any]) -> None:
        self.notifications[notice["outcome"]] += 1
        self.undelivered.add(notice["message"])

    async def open(self) -> None:
        """Start discovery and all endpoints."""
        await self.agent.open()
        self.endpoints = [[await self._make(number) for _ in range(ENDPOINTS)] for number in range(DESTINATIONS)]
        self.agent.hosts = {one.name: one.row() for one in itertools.chain.from_iterable(self.endpoints)}

    async def _make(self, destination: int) -> Endpoint:
        made = Endpoint(self, f"e{next(self._names)}", destination)
        await made.port.listen()
        return made

    async def replace_endpoints_forever(self) -> None:
        """Replace the oldest endpoint of each destination every `REPLACEMENT_INTERVAL_S` until cancelled.

        The new endpoint is listed when the old one begins to drain; the old one closes 0.3 s later.
        """
        while True:
            await asyncio.sleep(REPLACEMENT_INTERVAL_S)
            old = [group.pop(0) for group in self.endpoints]
            for group, replaced in zip(self.endpoints, old, strict=True):
                group.append(await self._make(replaced.destination))
            self.agent.change(*(one.row("DRAINING") for one in old), *(group[-1].row() for group in self.endpoints))
            await asyncio.sleep(0.3)
            self.agent.change(*(one.row("DELETED") for one in old))
            for one in old:
                one.close()
            self.replaced += len(old)

    def close(self) -> None:
        """Stop discovery and close all endpoints."""
        self.agent.close()
        for one in itertools.chain.from_iterable(self.endpoints):
            one.close()


class Endpoint:
    """One endpoint, its port and its open connections."""

    def __init__(self, site: GrowthSite, name: str, destination: int) -> None:
        self.site, self.name, self.destination = site, name, destination
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
    """One connection of the courier: most calls are answered at once."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint

    def on_connect(self) -> None:
        self._endpoint.connections.add(self)

    def on_disconnect(self) -> None:
        self._endpoint.connections.discard(self)

    def on_request(self, request: Request) -> None:
        site = self._endpoint.site
        if request.target != "/inbox":
            self.answer(200)
            return
        site.calls += 1
        drawn = site.rng.random()
        if drawn < REJECTED_SHARE:
            self.answer(503)
        elif drawn < REJECTED_SHARE + RESET_SHARE:
            self.abort()
        elif drawn < REJECTED_SHARE + RESET_SHARE + FAILED_SHARE:
            self.answer(500)
        else:
            site.delivered.add(request.headers.get("x-request-id", ""))
            self.answer(200, LOAD_REPORT)


@dataclass
class Load:
    """Clients that submit until the courier at `host` has accepted `messages`, at most `per_s` a second."""

    host: str
    messages: int
    per_s: float
    answers: Counter[int] = field(default_factory=Counter)  # by status
    accepted: set[str] = field(default_factory=set)  # ids of messages that were answered 202
    submitted: int = 0

    async def run(self) -> None:
        """Submit until all messages are accepted."""
        async with asyncio.TaskGroup() as group:
            for number in range(CLIENTS):
                group.create_task(self._run_client(number))

    async def _run_client(self, number: int) -> None:
        loop, link = asyncio.get_running_loop(), await Client.dial(self.host, PORT)
        due = loop.time() + number / self.per_s
        while len(self.accepted) < self.messages:
            self.submitted += 1
            name = f"m{self.submitted:06d}"
            body = b"x" * 200
            answer = await link.exchange((
                f"POST /api/k{number}-{self.submitted // CLIENTS % 50} HTTP/1.1\r\nHost: origin.svc\r\n"
                f"X-Request-Id: {name}\r\nX-Class: update\r\nX-Deadline-Ms: 5000\r\n"
                f"X-Consignee: dest={self.submitted % DESTINATIONS}\r\nIdempotency-Key: t{name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            if answer is None:
                link = await Client.dial(self.host, PORT)
                continue
            self.answers[answer[0]] += 1
            if answer[0] == 202:
                self.accepted.add(name)
            due = max(due + CLIENTS / self.per_s, loop.time() - 1.0)
            if (left_s := due - loop.time()) > 0:
                await asyncio.sleep(left_s)
        link.close()


@dataclass(frozen=True, slots=True)
class Sample:
    """The courier's size when it had accepted `messages`."""

    messages: int
    rss_kb: int
    descriptors: int
    journal_bytes: int

    @classmethod
    def measure(cls, pid: int, state: Path, messages: int) -> Sample:
        """Measure process `pid` and the files below `state`."""
        size = sum(path.stat().st_size for path in state.rglob("*") if path.is_file())
        return cls(messages, memory_kb(pid)[0], len(os.listdir(f"/proc/{pid}/fd")), size)


def median_sample(samples: list[Sample], messages: int, first: float, last: float) -> Sample:
    """Return the medians of the samples taken between the shares `first` and `last` of all `messages`.

    Raises `StatisticsError` if there is no sample between them.
    """
    rows = [one for one in samples if first * messages <= one.messages <= last * messages]
    return Sample(round(median(one.messages for one in rows)), round(median(one.rss_kb for one in rows)),
                  round(median(one.descriptors for one in rows)), round(median(one.journal_bytes for one in rows)))
