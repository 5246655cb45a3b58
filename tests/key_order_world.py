"""A platform, endpoints and couriers that follow each other, for tests of a key's order over processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from loopback import LIMIT_S, SETTINGS, Courier, Platform, free_address, host

from wheelstep.rehearsal.standins import wire

SETTLE_S = 0.3
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer
KEYS = 64
CLASSES: list[dict[str, Any]] = [
    {"name": "once", "promise_us": 4_000_000, "deadline_us": 20_000_000, "effect": "once", "by_arrival": True},
    {"name": "safe", "promise_us": 4_000_000, "deadline_us": 20_000_000, "effect": "repeatable", "by_arrival": True}]


def settings(settle_s: float = SETTLE_S) -> dict[str, Any]:
    return {**SETTINGS, "services": CLASSES,
            "specifics": {**SETTINGS["specifics"], "per_call": [1], "calls_out": 4 * KEYS},
            "caps": {**SETTINGS["caps"], "open_cap": 8 * KEYS},
            "rules": {**SETTINGS["rules"], "order_settle_us": int(settle_s * 1e6)}}


@dataclass
class Attempt:
    """One call as its endpoint saw it. Times are the loop's."""

    message: str
    first_at: float
    answered: bool = False
    ended_at: float = float("inf")  # answered, or its connection has ended
    reset: Callable[[], None] = lambda: None
    write: Callable[[bytes], None] = lambda _: None


@dataclass
class Endpoints:
    """One for each destination from 1 to `count`. `reply` tells whether a call is answered 200, or stays open."""

    count: int
    reply: Callable[[Attempt], Awaitable[bool]]
    attempts: list[Attempt] = field(default_factory=list)

    async def rows(self) -> list[dict[str, Any]]:
        self.ports = [wire.Port(lambda: EndpointLink(self)) for _ in range(self.count)]
        for port in self.ports:
            await port.listen()
        return [host(f"e{number}", port.address, number) for number, port in enumerate(self.ports, 1)]

    def of(self, message: str) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.message == message]

    async def until(self, seen: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not seen():
                await asyncio.sleep(0.005)


class EndpointLink(wire.Server):
    """One connection to an endpoint."""

    def __init__(self, endpoints: Endpoints) -> None:
        super().__init__()
        self._endpoints = endpoints
        self._open: list[Attempt] = []

    def on_request(self, request: wire.Request) -> None:
        if request.method != "POST":
            self.answer(200)
            return
        attempt = Attempt(request.headers["x-request-id"], request.first_byte_at, reset=self.abort, write=self.write)
        self._open.append(attempt)
        self._endpoints.attempts.append(attempt)
        self._task = asyncio.create_task(self._reply(attempt))

    async def _reply(self, attempt: Attempt) -> None:
        if await self._endpoints.reply(attempt) and not self.closed:
            self._open.remove(attempt)
            attempt.answered, attempt.ended_at = True, time.monotonic()
            self.answer(200)

    def on_disconnect(self) -> None:
        for attempt in self._open:
            attempt.ended_at = min(attempt.ended_at, time.monotonic())


def early(endpoints: Endpoints, pairs: dict[str, str], settle_s: float = SETTLE_S) -> list[str]:
    """Which later messages were called for before the earlier one's attempts had ended and the key had settled."""
    found = []
    for later, earlier in pairs.items():
        for call in endpoints.of(later):
            for before in endpoints.of(earlier):
                needs_s = 0.0 if before.answered else settle_s - SLACK_S
                if (passed_s := call.first_at - before.ended_at) < needs_s:
                    found.append(f"{later} called for {passed_s:.3f} s after an attempt of {earlier} had ended")
    return found


class World:
    """The platform, endpoints and one courier that others follow."""

    def __init__(self, folder: Path, endpoints: Endpoints, settle_s: float = SETTLE_S) -> None:
        self.platform, self.endpoints = Platform(), endpoints
        self.courier = Courier(folder, self.platform, settings(settle_s), console=True)
        self.couriers = [self.courier]

    async def __aenter__(self) -> World:
        await self.platform.start()
        self.platform.list(*await self.endpoints.rows())
        self.courier.listen = free_address()
        await self.courier.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for courier in self.couriers:
            if courier.process.returncode is None:
                await courier.kill()
        await self.platform.stop()
        for port in self.endpoints.ports:
            port.close()

    async def submit_pair(self) -> None:
        """The first of a key, whose call is then open, and the second, which waits for it."""
        assert await self.courier.hand_in("first", "once", "k", X_Consignee="dest=1") == 202
        await self.endpoints.until(lambda: len(self.endpoints.attempts) == 1)
        assert await self.courier.hand_in("second", "safe", "k", X_Consignee="dest=2") == 202

    async def submit_pairs(self, count: int) -> dict[str, str]:
        """Two messages of each key; returns the earlier one by the later one. Each has a destination of its own, so
        that nothing but the key's order holds the later one back."""
        async with aiohttp.ClientSession() as http:
            for name, cls, place in (("first", "once", 0), ("second", "safe", count)):
                for number in range(1, count + 1):
                    url, given = f"http://{self.courier.address}/api/k{number}", {
                        "X-Request-Id": f"{name}-{number}", "X-Class": cls, "X-Deadline-Ms": "20000",
                        "X-Consignee": f"dest={place + number}"}
                    async with http.post(url, data=b"x", headers=given) as answer:
                        assert answer.status == 202
        return {f"second-{number}": f"first-{number}" for number in range(1, count + 1)}

    async def upgrade(self) -> Courier:
        """Start the successor of the newest process, and wait until it serves."""
        after = self.courier.successor()
        await after.begin()
        after.address = self.courier.address
        self.couriers.append(after)
        await after.wait_ready()
        self.courier = after
        return after
