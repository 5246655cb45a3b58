"""Endpoints and platform of a randomised crossings run: how each call ends, drawn from the seed, and what was
observed.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from crossings_judge import Call, Seen
from loopback import Platform

from wheelstep.rehearsal.standins import wire

if TYPE_CHECKING:  # it creates these objects
    from crossings_world import Play

ENDS = ("whole",) * 40 + ("close after", "halves", "half", "line", "hang", "reset", "end", "503", "429", "500", "late",
                          "resets idle")


class EndpointConnection(wire.Server):
    """One connection to an endpoint."""

    def __init__(self, play: Play, endpoint: str) -> None:
        super().__init__()
        self._play, self._endpoint = play, endpoint
        self._calls: list[Call] = []

    def on_request(self, request: wire.Request) -> None:
        """Record the call and start its answer."""
        if request.method != "POST":
            self.answer(200)
            return
        name = request.headers["x-request-id"]
        call = Call(name, self._endpoint, request.first_byte_at, request.last_byte_at)
        self._calls.append(call)
        self._play.seen.calls.append(call)
        self._play.tries[name] += 1
        # Seeded by message and attempt, not by earlier calls here, so that the same plan runs alike.
        rng = random.Random(f"{self._play.seed} {name} {self._play.tries[name]}")
        self._play.spawn(self._reply(call, rng.choice(ENDS), rng))

    async def _reply(self, call: Call, how: str, rng: random.Random) -> None:
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.001, 0.02, 0.1]))
        match how:
            case "whole" | "close after" | "resets idle" | "late":
                await asyncio.sleep(0.7 if how == "late" else 0.0)
                self._tell(call, 200, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                if how != "whole":
                    await asyncio.sleep(rng.choice([0.0, 0.002, 0.1, 0.2]))
                    self._end(call, how != "close after")
            case "halves" | "half":
                self._tell(call, 200, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
                await asyncio.sleep(rng.choice([0.0, 0.02, 0.3]))
                if how == "halves":
                    self.write(b"k")
                else:
                    self._end(call, rng.random() < 0.5)
            case "line":
                self.write(b"HTTP/1.1 20")
                await asyncio.sleep(rng.choice([0.0, 0.1]))
                self._end(call, rng.random() < 0.5)
            case "reset" | "end":
                self._end(call, how == "reset")
            case "503" | "429" | "500":
                self._tell(call, int(how), wire.render(int(how), {"Retry-After": "0.1"} if how == "429" else {}, b""))

    def _tell(self, call: Call, status: int, data: bytes) -> None:
        if not self.closed:
            call.status, call.told_at = status, time.monotonic()
            self.write(data)

    def _end(self, call: Call, reset: bool) -> None:
        call.broken = True
        if reset:
            self.abort()
        elif self.transport is not None:
            self.transport.close()

    def on_disconnect(self) -> None:
        """Record when the connection of its calls ended."""
        for call in self._calls:
            call.closed_at = call.closed_at or time.monotonic()


class RecordingPlatform(Platform):
    """A platform that records every notification."""

    def __init__(self, seen: Seen) -> None:
        super().__init__()
        self._seen = seen

    def _hear(self, courier: str, notice: dict[str, Any]) -> None:
        self._seen.notices.append((time.monotonic(), notice["message"], notice["outcome"]))
        super()._hear(courier, notice)
