"""Stand-in destinations and clients for one courier, one process each. The clients run a closed loop, or an open loop
at a given rate."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from workers_rate import OkServer

RETRY_DELAY_S = 0.02  # after a 503
BODY = b"x" * 200
DESTINATIONS = 16


@dataclass(frozen=True)
class Load:
    """What the clients do: `connections` connections to `address` send for `seconds` seconds, each message to one of
    `channels` channels that `seed` selects at random."""

    address: str
    connections: int
    channels: int
    seed: int
    interval_s: float  # between two messages of a connection; 0: each is sent when the last one is answered
    seconds: float
    name: str  # prefix of the message ids
    messages_per_connection: int = 0  # at most; 0: no limit


@dataclass
class LoadResult:
    """The seconds until each 202, and the number of 503 answers: the channel is full, or its lease is lost."""

    accept_times: list[float]
    retries: int = 0


def serve_destination(ports: Any, count: Any) -> None:
    """Answer 200 to every request on one port, which is put into the queue `ports`, and count requests and connections
    in `count`. The target of a process; never returns."""
    async def work() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: OkServer(count), "127.0.0.1", 0, backlog=1000)
        ports.put(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()
    asyncio.run(work())


class _Client(asyncio.Protocol):
    """A client with one connection that sends one request at a time."""

    def __init__(self, number: int, load: Load, result: LoadResult) -> None:
        self._load, self._result, self._number = load, result, number
        self._rng = random.Random(f"{load.seed} {number}")
        self._until = time.perf_counter() + load.seconds
        self._due = time.perf_counter() + load.interval_s * self._rng.random()
        self._count, self._buffer, self._request = 0, b"", b""
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._next()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.finished.done():
            self.finished.set_exception(ConnectionError(f"the courier closed the connection: {error}"))

    def _next(self) -> None:
        now = time.perf_counter()
        if now >= self._until or 0 < self._load.messages_per_connection <= self._count:
            self.finished.set_result(None)
            self._transport.close()
            return
        channel = self._rng.randrange(self._load.channels)
        self._count += 1
        self._request = (
            f"POST /api/k{channel} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {self._load.name}-{self._number}-{self._count}"
            f"\r\nX-Class: once\r\nX-Deadline-Ms: 20000\r\nX-Consignee: dest={channel % DESTINATIONS}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n").encode() + BODY
        if self._load.interval_s:  # open loop: the time counts from when the request was due, even if it is sent late
            self._due += self._load.interval_s
            asyncio.get_running_loop().call_later(max(0.0, self._due - now), self._send)
        else:
            self._due = now
            self._send()

    def _send(self) -> None:
        self._transport.write(self._request)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if b"\r\n\r\n" not in self._buffer:
            return
        answer, self._buffer = self._buffer, b""
        if answer.startswith(b"HTTP/1.1 202"):
            self._result.accept_times.append(time.perf_counter() - self._due)
            self._next()
        elif answer.startswith(b"HTTP/1.1 503"):
            self._result.retries += 1
            asyncio.get_running_loop().call_later(RETRY_DELAY_S, self._send)
        elif not self.finished.done():
            self.finished.set_exception(RuntimeError(f"message rejected: {answer[:200]!r}"))


async def _run_load(load: Load) -> LoadResult:
    loop, result = asyncio.get_running_loop(), LoadResult([])
    host, port = load.address.rsplit(":", 1)
    connected: deque[_Client] = deque()

    def client() -> _Client:
        connected.append(_Client(len(connected), load, result))
        return connected[-1]
    for _ in range(load.connections):
        await loop.create_connection(client, host, int(port))
    await asyncio.wait_for(asyncio.gather(*(one.finished for one in connected)), load.seconds + 30)
    return result


def run_clients(pipe: Any) -> None:
    """Run each `Load` that comes through the pipe and send back its `LoadResult`, or a line that describes the error.

    The target of a process; returns when anything else than a `Load` comes.
    """
    while isinstance(load := pipe.recv(), Load):
        try:
            pipe.send(asyncio.run(_run_load(load)))
        except (OSError, RuntimeError, TimeoutError) as error:
            pipe.send(f"{type(error).__name__}: {error}")
