"""A courier that is killed while its hold limit is full of untried messages, and restarted under new traffic."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loopback import SETTINGS, Call, Courier, Endpoint, Platform, Reply, host

_EARLY_S = 0.05  # messages end two ticks before their deadline
_END_SLACK_S = 0.3  # a message that has not ended this long after its deadline counts as lost


def settings(hold: int, **caps: Any) -> dict[str, Any]:
    """Return settings with the hold limit `hold`, and one message in each call."""
    return {**SETTINGS, "caps": {**SETTINGS["caps"], "open_cap": hold, **caps},
            "specifics": {**SETTINGS["specifics"], "per_call": [1]}}


def message_id(name: str) -> str:
    """Return an id whose order tells nothing of age, like those of clients; the module breaks ties by id."""
    return hashlib.md5(name.encode()).hexdigest()[:16]


@dataclass
class RestartResult:
    """What became of the messages that were untried at the restart, and of those handed in afterwards."""

    untried: int
    ready_s: float
    called: int = 0
    early: int = 0  # ended by a notice before their deadline, without a call
    late: int = 0  # did not end in time
    codes: dict[int, int] = field(default_factory=dict)  # answers to new messages by status
    returned: int = 0  # new ones that were accepted and handed back without a call

    def line(self) -> str:
        """Return a summary on one line."""
        return (f"{self.untried} untried: {self.called / self.untried:.2f} tried, {self.early / self.untried:.2f} "
                f"given up early with no call, {self.late} late; fresh: {self.codes.get(202, 0)} taken on, of these "
                f"{self.returned} returned with no call, {self.codes.get(503, 0)} refused; ready after "
                f"{self.ready_s:.2f} s")


class PlatformWithEndpoints(Platform):
    """The platform with some endpoints of destination 7; the first `hanging` of them never answer."""

    def __init__(self, endpoints: int, work_s: float = 0.02) -> None:
        super().__init__()
        self.endpoints, self.hanging, self.work_s = [Endpoint() for _ in range(endpoints)], 0, work_s
        self.ended_at: dict[str, float] = {}
        self.called: set[str] = set()

    async def __aenter__(self) -> PlatformWithEndpoints:
        await self.start()
        for number, endpoint in enumerate(self.endpoints):
            endpoint.reply = lambda call, number=number: self._reply(number, call)  # type: ignore[misc]
            await endpoint.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    def set_health(self, health: str) -> None:
        """List all endpoints with this state."""
        self.list(*(host(f"e{n}", endpoint.address, health=health) for n, endpoint in enumerate(self.endpoints)))

    async def _reply(self, number: int, call: Call) -> Reply | None:
        name = call.headers["x-request-id"]
        self.called.add(name)
        if number < self.hanging:
            return None
        await asyncio.sleep(self.work_s)
        self.ended_at.setdefault(name, time.monotonic())
        return 200, {}, b""

    def _hear(self, courier: str, notice: dict[str, Any]) -> None:
        self.ended_at.setdefault(notice["message"], time.monotonic())
        super()._hear(courier, notice)


class Client:
    """Hands messages in, one after another on one connection."""

    def __init__(self, courier: Courier, left_ms: int, classes: tuple[str, ...] = ("once", "ordered")) -> None:
        self._courier, self.left_ms, self._classes = courier, left_ms, classes
        self._writer: asyncio.StreamWriter | None = None
        self.codes: dict[int, int] = {}

    async def hand_in(self, name: str, number: int = 0) -> int:
        """Hand a message in and return the status; `number` selects the class."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._courier.address.rsplit(":", 1))
        cls = self._classes[number % len(self._classes)]
        keyed = f"Idempotency-Key: token-{name}\r\n" if cls == "ordered" else ""
        path = f"/api/{name}" if cls == "ordered" else "/api"
        self._writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\nX-Class: {cls}\r\n{keyed}"
                           f"X-Deadline-Ms: {self.left_ms}\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\n"
                           "x".encode())
        head = await self._reader.readuntil(b"\r\n\r\n")
        text = head.lower()
        if b"content-length: " in text:
            await self._reader.readexactly(int(text.split(b"content-length: ")[1].split(b"\r\n")[0]))
        code = int(head.split()[1])
        self.codes[code] = self.codes.get(code, 0) + 1
        if b"connection: close" in text:
            self.close()
        return code

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None


async def fill(courier: Courier, count: int, left_ms: int) -> dict[str, float]:
    """Hand in `count` messages that can't be tried. Return the deadline of each."""
    client, due = Client(courier, left_ms), {}
    for number in range(count):
        due[message_id(f"old{number}")] = time.monotonic() + left_ms / 1000
        assert await client.hand_in(message_id(f"old{number}"), number) == 202
    client.close()
    return due


async def send_new(courier: Courier, per_s: float, left_ms: int, until: asyncio.Event, codes: dict[int, int]) -> None:
    """Hand in new messages at a rate until `until` is set, from the moment at which the courier serves."""
    clients = [Client(courier, left_ms) for _ in range(8)]

    async def one(number: int, client: Client) -> None:
        count = 0
        while not until.is_set():
            try:
                await client.hand_in(message_id(f"new{number}-{count}"), count)
            except (OSError, asyncio.IncompleteReadError):
                client.close()
                await asyncio.sleep(0.01)
            count += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(until.wait(), 8 / per_s)
    await asyncio.gather(*(one(number, client) for number, client in enumerate(clients)))
    for client in clients:
        client.close()
        for code, count in client.codes.items():
            codes[code] = codes.get(code, 0) + count


async def play(folder: Path, hold: int = 300, left_ms: int = 6000, per_s: float = 300, endpoints: int = 8,
               hanging: int = 4, restarts: int = 1, work_s: float = 0.02, ends: bool = True) -> RestartResult:
    """Fill a courier to its hold limit, kill it, and restart it. Without `ends`, stop once all have been tried."""
    async with PlatformWithEndpoints(endpoints, work_s) as platform:
        platform.set_health("DRAINING")
        courier = Courier(folder, platform, settings(hold), disk_mb=8)
        await courier.start()
        due = await fill(courier, hold - 1, left_ms)  # with one more it would hand one back by itself
        last = max(due.values())
        await courier.kill()
        platform.hanging = hanging
        platform.set_health("SERVING")
        done, result = asyncio.Event(), RestartResult(len(due), 0.0)
        traffic = asyncio.create_task(send_new(courier, per_s, left_ms, done, result.codes))
        for number in range(restarts):
            if number:
                await courier.kill()
            started = time.monotonic()
            await courier.start()
            result.ready_s = time.monotonic() - started
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(last + _END_SLACK_S + 0.2 - time.monotonic()):
                while due.keys() - platform.ended_at.keys() - (set() if ends else platform.called):
                    await asyncio.sleep(0.05)
        done.set()
        await traffic
        await courier.kill()
    for name, until in due.items():
        ended = platform.ended_at.get(name)
        result.called += name in platform.called
        result.early += name not in platform.called and ended is not None and ended < until - _EARLY_S
        result.late += ends and (ended is None or ended > until + _END_SLACK_S)
    result.returned = len(platform.notices_heard.keys() - platform.called - due.keys())
    (folder / "log").write_text("".join(courier.log))
    return result
