"""Plays a plan: couriers as processes, everything else on loopback sockets in this one. Returns what was seen."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import gc
import shlex
import sys
import tempfile
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep.rehearsal import lateness
from wheelstep.rehearsal.faults import Faults
from wheelstep.rehearsal.history import (
    Fact,
    History,
    Late,
    Life,
    Probe,
    Strange,
    Told,
)
from wheelstep.rehearsal.plan import Plan
from wheelstep.rehearsal.progress import Ends, Progress
from wheelstep.rehearsal.standins.clients import Clients
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.rehearsal.standins.process import Courier

_ROOT = Path(__file__).resolve().parents[2]


def module_command(*words: str) -> str:
    """The command that runs a module of ours, wherever it is called from."""
    return shlex.join(["/usr/bin/env", f"PYTHONPATH={_ROOT}", sys.executable, "-m", *words])


OURS = module_command("wheelstep.courier")
_CHECK_S = 0.1  # how often it is looked whether all is over


@dataclass(slots=True)
class Played:
    """What a rehearsal leaves: the history, and figures that hang on the machine."""

    history: History
    logs: dict[str, str] = field(default_factory=dict)
    log_bytes: dict[str, int] = field(default_factory=dict)
    effects: dict[int, int] = field(default_factory=dict)  # how often each planned message took effect
    wall_s: float = 0.0
    suspect: list[str] = field(default_factory=list)  # lines of logs that tell of a fault of the program, in a soak


async def play(plan: Plan, command: str = OURS, limits: dict[str, Any] | None = None,
               tell: Callable[[Progress], None] | None = None, orderly: bool = False,
               made: type[Courier] = Courier) -> Played:
    """Play a plan against a courier command; with `orderly` the couriers may leave by SIGTERM in the end. `made` is
    what each courier is made as. Raises `NoStartError` where the command can't be started."""
    with tempfile.TemporaryDirectory(prefix="umberchute-") as folder, _few_collections():
        rig = _Rig(plan, command, Path(folder), limits or {}, tell, made)
        try:
            played = await rig.run()
            if orderly:
                await rig.request_exit()
            return played
        finally:
            await rig.close()


@contextlib.contextmanager
def _few_collections() -> Iterator[None]:
    """Guards the verdict against the collector: a history only grows, and walking it whole stopped the loop for 240 ms
    at 1,000 messages a second, which made rehearsals inconclusive. Short-lived cycles are still collected."""
    before = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(10_000, 20, 1_000_000)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


class _Rig:
    def __init__(self, plan: Plan, command: str, folder: Path, limits: dict[str, Any],
                 tell: Callable[[Progress], None] | None, made: type[Courier]) -> None:
        self._plan, self._tell, self._limits = plan, tell, limits
        self._history = History(plan.figures)
        self._loop = asyncio.get_running_loop()
        self._epoch = self._loop.time()
        self._pool = PartnerPool(plan, self._history, self._now_us)
        self._pool.epoch = self._epoch
        names = [f"c{index}" for index in range(plan.couriers)]
        self._agents = [Agent(name, self._history, self._now_us, self._heard) for name in names]
        self._clients = [Clients(plan, index, self._pool.ledger, self._history, self._now_us)
                         for index in range(plan.couriers)]
        self._couriers = [
            made(name, command, folder / name, self._history, self._now_us,
                    lambda listen, index=index: self._config(index, listen),  # type: ignore[misc]
                    plan.ready_within_us / 1e6)
            for index, name in enumerate(names)]
        self._tasks: list[asyncio.Task[None]] = []
        self._progress = Progress(of_us=plan.end_us)
        self._ends = Ends(self._history, self._progress)

    def _now_us(self) -> int:
        return round((self._loop.time() - self._epoch) * 1e6)

    def _config(self, index: int, listen: str) -> dict[str, Any]:
        agent = self._agents[index]
        settings = {**self._plan.settings, "self_index": index}
        limits = {"cores": 1.0, "memory_mb": 256, "sockets": 1024, "disk_mb": 16, **self._limits}
        return {"name": f"c{index}", "listen": listen, "discovery": agent.port.address,
                "seed": f"{self._plan.seed + index:x}", "limits": limits, "known": agent.full_list(),
                "settings": settings}

    def _row(self, endpoint: str, index: int, health: str = "SERVING") -> dict[str, Any]:
        at = self._pool.endpoint(endpoint)
        return row(endpoint, at.ports[index].address, at.partner.destination,
                   self._plan.settings["kinds"][at.partner.kind], health)

    def _heard(self, courier: str, notice: dict[str, Any]) -> None:
        if notice["outcome"] == "handed_back":
            index = int(courier[1:])
            self._clients[index].on_handed_back(str(notice["message"]), int(notice.get("retry_in_ms", 0)) * 1000)

    # --- the run ---

    async def run(self) -> Played:
        """Start all, play, wait for every end, and stop all."""
        began = self._loop.time()
        await self._pool.open()
        for index, agent in enumerate(self._agents):
            agent.hosts = {name: self._row(name, index) for name in self._pool.endpoints}
            await agent.open()
        ready = await asyncio.gather(*(courier.start() for courier in self._couriers))
        if all(ready):
            gc.collect()
            gc.freeze()  # a collection of everything would make the rig late
            self._rebase()
            for index, clients in enumerate(self._clients):
                clients.address = self._couriers[index].address
                if self._plan.crowd:
                    await clients.open_idle_connections(self._plan.crowd)
            self._task(lateness.watch(self._couriers, self._history, self._now_us))
            faults = Faults(self._pool, self._agents, self._couriers, self._row, self._until, self._task)
            for fault in self._plan.faults:
                self._task(faults.play(fault))
            await self._hand_in()
            await self._until_over()
        self._pool.close()
        self._history.end_us = self._now_us()
        self._progress.phase = "judging"
        self._say()
        return Played(
            self._history, {courier.name: courier.log_text() for courier in self._couriers},
            {courier.name: courier.log_total for courier in self._couriers},
            dict(self._pool.ledger.effects), self._loop.time() - began,
            [line for courier in self._couriers for line in courier.suspect])

    def _rebase(self) -> None:
        """Time counts from when all are ready; what was seen before lies before it."""
        shift_us = self._now_us()
        self._epoch = self._pool.epoch = self._loop.time()

        facts: list[Fact] = []
        for fact in self._history.facts:
            if isinstance(fact, Life | Told | Probe | Late | Strange):
                facts.append(dataclasses.replace(fact, at_us=fact.at_us - shift_us))
        self._history.facts[:] = facts

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _hand_in(self) -> None:
        self._progress.phase = "handing in"
        for arrival in self._plan.arrivals:
            while (left_s := arrival.at_us / 1e6 - (self._loop.time() - self._epoch)) > 0:
                await asyncio.sleep(min(left_s, _CHECK_S))
                self._say()
            self._clients[arrival.courier].submit(arrival)
            self._raise_dead()

    def _raise_dead(self) -> None:
        """Guards against a rehearsal that goes on though a part of the rig has died."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                task.result()
        self._tasks = [task for task in self._tasks if not task.done()]

    async def _until_over(self) -> None:
        """Until all faults are over, and every message that was taken on has its end or its time is up."""
        self._progress.phase = "waiting for the last ends"
        last_us = max([self._plan.length_us, *(fault.until_us for fault in self._plan.faults)])
        settle_us = 700_000  # a second end, or a call too many, would show by then
        quiet_us: int | None = None
        while (now_us := self._now_us()) < self._plan.end_us:
            if now_us >= last_us and not self._ends.owed() and all(c.ready.is_set() for c in self._couriers):
                quiet_us = quiet_us or now_us
                if now_us - quiet_us >= settle_us:
                    return
            else:
                quiet_us = None
            await asyncio.sleep(_CHECK_S)
            self._raise_dead()
            self._say()

    def _say(self) -> None:
        if self._tell is None:
            return
        progress = self._progress
        progress.at_us = min(self._now_us(), self._plan.end_us)
        progress.handed_in = sum(clients.submitted for clients in self._clients)
        self._ends.owed()
        self._tell(progress)

    async def _until(self, at_us: int) -> None:
        await asyncio.sleep(max(0.0, self._epoch + at_us / 1e6 - self._loop.time()))

    async def request_exit(self) -> None:
        """SIGTERM to all couriers, and wait until they have left."""
        await asyncio.gather(*(courier.request_exit() for courier in self._couriers))

    async def close(self) -> None:
        """Nothing stays: tasks, processes, ports."""
        for task in self._tasks:
            task.cancel()
        for clients in self._clients:
            clients.close()
        await asyncio.gather(*(courier.stop() for courier in self._couriers), return_exceptions=True)
        for agent in self._agents:
            agent.close()
        for endpoint in self._pool.endpoints.values():
            endpoint.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
