"""Endpoints and the platform on loopback sockets, for a courier in a process of its own (`loopback`)."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins import wire
from wheelstep.rehearsal.standins.platform import Agent, row

LIMIT_S = 20.0  # a wait for an event fails after this
Reply = tuple[int, dict[str, str], bytes]


@dataclass
class Call:
    """One request that an endpoint received; `closed` is set when its connection has ended."""

    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    closed: asyncio.Event = field(default_factory=asyncio.Event)


class _Link(wire.Server):
    """One connection to an `Endpoint`."""

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__()
        self._endpoint = endpoint
        self.calls: list[Call] = []

    def on_connect(self) -> None:
        self._endpoint.connections += 1
        self._endpoint.open += 1
        self._number = self._endpoint.connections

    def on_request(self, request: wire.Request) -> None:
        call = Call(request.target, request.headers, request.body, self._number)
        self.calls.append(call)
        self._endpoint.tasks.append(asyncio.create_task(self._reply(call)))

    async def _reply(self, call: Call) -> None:
        await self._endpoint.note(call)
        try:
            answer = await self._endpoint.reply(call)
        except OSError:
            self.abort()
            return
        if answer is not None:
            self.answer(*answer)

    def on_disconnect(self) -> None:
        self._endpoint.open -= 1
        for call in self.calls:
            call.closed.set()


class Endpoint:
    """An endpoint. `reply` returns the answer to a call, or None for no answer; an `OSError` resets the connection."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.connections = self.open = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.reply: Callable[[Call], Awaitable[Reply | None]] = self._fine
        self._news = asyncio.Condition()

    async def _fine(self, call: Call) -> Reply | None:
        return 200, {}, b""

    async def start(self) -> str:
        self.port = wire.Port(lambda: _Link(self))
        await self.port.listen()
        self.address = self.port.address
        return self.address

    async def note(self, call: Call) -> None:
        async with self._news:
            self.calls.append(call)
            self._news.notify_all()

    async def wait(self, calls: int) -> list[Call]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.calls) >= calls)
        return self.calls


class Platform(Agent):
    """Discovery and the receiver of notifications: the kit's agent, which lets tests wait for events."""

    def __init__(self) -> None:
        super().__init__("n0", History(Figures({})), lambda: 0, self._hear)
        self.notices_heard: dict[str, dict[str, Any]] = {}
        self._news = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        await self.open()
        self.address = self.port.address
        return self.address

    async def stop(self) -> None:
        self.close()

    def list(self, *rows: dict[str, Any]) -> None:
        """Set the full list, before any courier is started."""
        self.hosts = {row["host"]: row for row in rows}

    def push(self, *rows: dict[str, Any]) -> None:
        """Send changes with any rows, also invalid ones."""
        self.seq += 1
        self.broadcast(json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)}).encode() + b"\n")

    def _hear(self, courier: str, notice: dict[str, Any]) -> None:
        self.notices_heard[notice["message"]] = notice
        self._tell()

    def add_watch(self, connection: Any) -> None:
        super().add_watch(connection)
        self._tell()

    def _tell(self) -> None:
        async def tell() -> None:
            async with self._news:
                self._news.notify_all()
        self._tasks.append(asyncio.create_task(tell()))

    async def wait_notice(self, message: str) -> dict[str, Any]:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: message in self.notices_heard)
        return self.notices_heard[message]

    async def wait_watches(self, count: int) -> None:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: len(self.watch_versions) >= count)


def host(name: str, address: str, block: int = 7, health: str = "SERVING", kind: str = "k") -> dict[str, Any]:
    return row(name, address, block, kind, health)
