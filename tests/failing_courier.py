"""A courier whose system calls a test makes fail, and an endpoint that answers each message when the test says so."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import LIMIT_S, Call, Reply, Scene

from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage


class FailingScene:
    """A courier with a fault page, its platform and its endpoint. `replies` has the answers by message; a message
    without one gets none."""

    def __init__(self, scene: Scene, page: FaultPage) -> None:
        self.courier, self.platform, self.endpoint, self.page = scene.courier, scene.platform, scene.endpoint, page
        self.replies: dict[str, Reply] = {}
        self.default_reply: Reply | None = 200, {}, b""
        self.answered: set[str] = set()
        self.endpoint.reply = self._reply

    async def _reply(self, call: Call) -> Reply | None:
        message = call.headers.get("x-request-id", "")
        while self.default_reply is None and message not in self.replies and not call.closed.is_set():
            await asyncio.sleep(0.005)
        self.answered.add(message)
        return self.replies.get(message, self.default_reply)

    def called(self) -> list[str]:
        """Return the messages of all calls in their order."""
        return [call.headers["x-request-id"] for call in self.endpoint.calls if "x-request-id" in call.headers]

    async def wait_until(self, condition: Callable[[], bool], within_s: float = LIMIT_S) -> None:
        """Wait until the condition holds. Raises `TimeoutError`."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.005)

    async def restart(self) -> None:
        """Kill the courier and start it again with its folder and address."""
        await self.courier.kill()
        self.courier.listen = self.courier.address
        await self.courier.start()


@contextlib.asynccontextmanager
async def failing_scene(folder: Path, monkeypatch: pytest.MonkeyPatch, tick_us: int = 5_000,
                        **caps: Any) -> AsyncIterator[FailingScene]:
    """Start a courier with one message in each call, without a second address. `caps` replace those of the
    settings."""
    page = FaultPage(folder / "page")
    monkeypatch.setenv(FAULT_PAGE_VARIABLE, str(folder / "page"))
    scene = Scene(folder, console=True)
    scene.courier.console = ""
    base = scene.courier.settings
    # As handshakes are dear, idle connections are kept.
    scene.courier.settings = {**base, "tick_us": tick_us, "prices": {"handshake": 10.0},
                              "caps": {**base["caps"], **caps}}
    scene.courier.program = ("wheelstep.rehearsal.soak.faulty",)
    async with scene as started:
        yield FailingScene(started, page)


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def busy_share(pid: int, over_s: float) -> float:
    """Return the share of one core that a process uses over a time."""
    before, began = processor_s(pid), time.monotonic()
    await asyncio.sleep(over_s)
    return (processor_s(pid) - before) / (time.monotonic() - began)
