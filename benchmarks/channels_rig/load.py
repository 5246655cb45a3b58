"""Stand-in partners and clients for one courier, a process each; the clients hand in at the courier's own pace or at a
given one."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from workers_rate import Plain

AGAIN_S = 0.02  # before a client offers again what was not taken
BODY = b"x" * 200
DESTINATIONS = 16


@dataclass(frozen=True)
class Load:
    """`channels` are taken at random by `seed`; `every_s`: each connection sends so often, 0 as soon as it heard.
    `each`: and so many at most, 0 any."""

    address: str
    links: int
    channels: int
    seed: int
    every_s: float
    seconds: float
    name: str  # before the ids of messages
    each: int = 0


@dataclass
class Seen:
    """Seconds until each 202, and how often a client was told to come again: the channel is full, or its lease lost."""

    spent: list[float]
    again: int = 0


def partner(ports: Any, count: Any) -> None:
    """Answers 200 to all on one port and counts requests."""
    async def work() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Plain(count), "127.0.0.1", 0, backlog=1000)
        ports.put(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()
    asyncio.run(work())


class _Client(asyncio.Protocol):
    """One connection: one request at a time."""

    def __init__(self, number: int, load: Load, seen: Seen) -> None:
        self._load, self._seen, self._number = load, seen, number
        self._rng = random.Random(f"{load.seed} {number}")
        self._until = time.perf_counter() + load.seconds
        self._due = time.perf_counter() + load.every_s * self._rng.random()
        self._count, self._left, self._request = 0, b"", b""
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._next()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.over.done():
            self.over.set_exception(ConnectionError(f"the courier closed the connection: {error}"))

    def _next(self) -> None:
        now = time.perf_counter()
        if now >= self._until or 0 < self._load.each <= self._count:
            self.over.set_result(None)
            self._transport.close()
            return
        channel = self._rng.randrange(self._load.channels)
        self._count += 1
        self._request = (
            f"POST /api/k{channel} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {self._load.name}-{self._number}-{self._count}"
            f"\r\nX-Class: once\r\nX-Deadline-Ms: 20000\r\nX-Consignee: dest={channel % DESTINATIONS}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n").encode() + BODY
        if self._load.every_s:  # an open loop: its time counts from when it was due, however late the client is
            self._due += self._load.every_s
            asyncio.get_running_loop().call_later(max(0.0, self._due - now), self._send)
        else:
            self._due = now
            self._send()

    def _send(self) -> None:
        self._transport.write(self._request)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self._left += data
        if b"\r\n\r\n" not in self._left:
            return
        answer, self._left = self._left, b""
        if answer.startswith(b"HTTP/1.1 202"):
            self._seen.spent.append(time.perf_counter() - self._due)
            self._next()
        elif answer.startswith(b"HTTP/1.1 503"):
            self._seen.again += 1
            asyncio.get_running_loop().call_later(AGAIN_S, self._send)
        elif not self.over.done():
            self.over.set_exception(RuntimeError(f"not taken: {answer[:200]!r}"))


async def _play(load: Load) -> Seen:
    loop, seen = asyncio.get_running_loop(), Seen([])
    host, port = load.address.rsplit(":", 1)
    made: deque[_Client] = deque()

    def client() -> _Client:
        made.append(_Client(len(made), load, seen))
        return made[-1]
    for _ in range(load.links):
        await loop.create_connection(client, host, int(port))
    await asyncio.wait_for(asyncio.gather(*(one.over for one in made)), load.seconds + 30)
    return seen


def clients(orders: Any) -> None:
    """Play each `Load` that comes through the pipe and answer what was seen, or the line that tells why not."""
    while isinstance(load := orders.recv(), Load):
        try:
            orders.send(asyncio.run(_play(load)))
        except (OSError, RuntimeError, TimeoutError) as error:
            orders.send(f"{type(error).__name__}: {error}")
