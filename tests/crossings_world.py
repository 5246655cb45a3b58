"""Plays an order of `crossings_plan` at one real courier, with clients, endpoints and the platform about it."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

from crossings_clients import Clients, ClientSocket
from crossings_endpoints import EndpointConnection, RecordingPlatform
from crossings_judge import HandIn, Seen
from crossings_plan import ENDPOINTS, Step, plan
from loopback import SETTINGS, Courier, host

from wheelstep.rehearsal.standins import wire

MOST_AWAY = 10  # steps that come to no process, however long a crowded machine takes to start one
WARM_S = 20.0  # for the courier to serve again, on a crowded machine
CROWD = 90  # clients may hold a third of 256 descriptors
ENDS_S = 12.0  # beyond the last deadline, for what is still owed
CLASSES: dict[str, dict[str, Any]] = {
    "safe": {"effect": "repeatable"}, "keyed": {"effect": "by_key", "group": "all", "key_ttl_us": 3_000_000},
    "unsafe": {"effect": "once"}, "ordered-safe": {"effect": "repeatable", "by_arrival": True},
    "ordered-unsafe": {"effect": "once", "by_arrival": True}}
GIVEN = {**SETTINGS, "services": [{"name": name, "promise_us": 500_000, "deadline_us": 3_000_000, **given}
                                  for name, given in CLASSES.items()],
         "specifics": {**SETTINGS["specifics"], "per_call": [1]},
         # Idle connections go early on both sides, so that calls cross their ends.
         "caps": {**SETTINGS["caps"], "open_cap": 40, "conn_idle_us": 400_000, "dial_timeout_us": 300_000},
         # A destination is let off soon, so that there are calls all along.
         "rules": {**SETTINGS["rules"], "cold_us": 500_000, "cold_from": 0.9}}


class Play:
    """One order at one courier."""

    def __init__(self, seed: int, folder: Path, *program: str, ends_s: float = ENDS_S) -> None:
        self._ends_s = ends_s
        self.seed, self.seen, self.tries = seed, Seen(), Counter[str]()
        self._platform = RecordingPlatform(self.seen)
        self._courier = Courier(folder, self._platform, GIVEN, console=True)
        self._before: list[Courier] = []  # processes that have handed over
        self._dismissals: list[asyncio.Task[None]] = []
        self._courier.program = program or Courier.program
        self._ports = {name: wire.Port(lambda name=name: EndpointConnection(self, name)) for name in ENDPOINTS}  # type: ignore[misc]
        self._tasks: set[asyncio.Task[None]] = set()
        self._life: asyncio.Task[None] | None = None
        self._up = True  # its handlers of signals are set

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)  # type: ignore[arg-type]
        return task  # type: ignore[return-value]

    async def run(self) -> Seen:
        for port in self._ports.values():
            await port.listen()
        await self._platform.start()
        self._platform.list(*(host(name, port.address, ENDPOINTS[name]) for name, port in self._ports.items()))
        await self._courier.start()
        self._courier.listen = self._courier.address
        self._clients = Clients(self._courier.address)
        try:
            asked: list[asyncio.Task[None]] = []
            away = 0
            for step in plan(self.seed):
                await asyncio.sleep(step.after_s)
                away = 0 if self._up else away + 1
                if away > MOST_AWAY and self._life is not None:
                    await self._life
                self.seen.order.append(str(step))
                if step.what == "message":
                    handed = HandIn(step.name, step.effect, step.key, step.destination)
                    self.seen.hand_ins.append(handed)
                    asked.append(self.spawn(self._clients.hand_in(handed, 2_000, step.way)))
                else:
                    self._event(step)
            await asyncio.gather(*asked)
            if self._life is not None:
                await self._life
            await self._ended()
            await asyncio.gather(*self._dismissals)  # else one that still ends its calls would be killed below
        finally:
            self.seen.log = [line for courier in (*self._before, self._courier) for line in courier.log]
            self._clients.close()
            for courier in (*self._before, self._courier):
                if courier.process.returncode is None:
                    await courier.kill()
            for task in self._tasks:
                task.cancel()
            await self._platform.stop()
            for port in self._ports.values():
                port.close()
        return self.seen

    def _event(self, step: Step) -> None:
        platform = self._platform
        match step.what:
            case "drain" | "remove" | "back":
                state = {"drain": "DRAINING", "remove": "DELETED", "back": "SERVING"}[step.what]
                platform.change(host(step.name, self._ports[step.name].address, ENDPOINTS[step.name], state))
            case "silent":
                platform.down = True
            case "heard":
                platform.restore()
            case "mute" | "unmute":
                platform.accepts_notices = step.what == "unmute"
            case "refuse" | "hush":
                self.spawn(self._away(self._ports[step.name], step.what == "hush"))
            case "HUP" if self._up:
                self._signal(signal.SIGHUP)
            case "crowd":
                self.spawn(self._crowd())
            case "pause":
                self.spawn(self._pause())
            case "again" if self._life is not None:
                self._signal(signal.SIGTERM)
            case "UPGRADE":
                self._life = self.spawn(self._upgrade(self._life))
            case "TERM" | "KILL":
                self._life = self.spawn(self._restart(step.what, self._life))

    async def _pause(self) -> None:
        """The process gets no processor for a while: what came meanwhile lies in the kernel."""
        process = self._courier.process
        self._signal(signal.SIGSTOP, process)
        await asyncio.sleep(0.3)
        self._signal(signal.SIGCONT, process)  # also if a new version has taken over meanwhile

    def _signal(self, number: int, process: asyncio.subprocess.Process | None = None) -> None:
        """Past `subprocess`, which looks first whether the process has ended and takes its exit code with it."""
        process = process or self._courier.process
        if process.returncode is None:
            os.kill(process.pid, number)

    async def _away(self, port: wire.Port, hush: bool) -> None:
        """An endpoint takes no connection for a while; what is written to one that waits in its queue is read later."""
        port.refuse()
        if hush:
            port.drop_connections()
        await asyncio.sleep(0.4)
        await port.listen()

    async def _crowd(self) -> None:
        """More silent connections than clients may hold."""
        lines = await asyncio.gather(*(ClientSocket.dial(self._courier.address) for _ in range(CROWD)))
        await asyncio.sleep(0.3)
        for line in lines:
            if line is not None:
                line.reset()

    async def _upgrade(self, before: asyncio.Task[None] | None) -> None:
        """A new version takes over; the one before is told to end, and ends its calls meanwhile."""
        if before is not None:
            await before
        old, new = self._courier, self._courier.successor()
        await new.begin()
        new.address = old.address
        await new.wait_ready()
        self._before.append(old)
        self._courier = new
        self._dismissals.append(self.spawn(self._dismiss(old)))

    async def _dismiss(self, old: Courier) -> None:
        if old.process.returncode is None:
            code = await old.terminate()
            if not self.seen.killed:  # else it was killed with the one that followed it
                self.seen.exits.append(code)

    async def _restart(self, what: str, before: asyncio.Task[None] | None) -> None:
        if before is not None:
            await before
        began = time.monotonic()
        self.seen.away.append((began, began + 1e9))
        if what == "KILL":
            self.seen.killed.append(began)
            for courier in (*self._before, self._courier):
                if courier.process.returncode is None:
                    courier.process.kill()
            await self._courier.kill()
        else:
            self.seen.exits.append(await self._courier.terminate())
        self._up = False
        async with asyncio.timeout(WARM_S):
            await self._courier.start()
        self._up, self.seen.away[-1] = True, (began, time.monotonic())

    async def _ended(self) -> None:
        """Wait until nothing is owed, or it is too late for it."""
        self._platform.accepts_notices = True
        self._platform.restore()
        until = time.monotonic() + 2.0 + self._ends_s
        while self.seen.owed() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)  # for a second end that nobody should tell
