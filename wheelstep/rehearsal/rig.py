"""Plays a plan: couriers in processes of their own, all else on loopback sockets in this one."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import shlex
import sys
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wheelstep.rehearsal import lateness
from wheelstep.rehearsal.collector import reduced_gc
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
from wheelstep.rehearsal.progress import OutcomeTracker, Progress
from wheelstep.rehearsal.standins.clients import DEFAULT_HABITS, ClientHabits, Clients
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.rehearsal.standins.process import Courier

_ROOT = Path(__file__).resolve().parents[2]


def module_command(*words: str) -> str:
    """Return the command that runs one of our modules, independent of the working directory."""
    return shlex.join(["/usr/bin/env", f"PYTHONPATH={_ROOT}", sys.executable, "-m", *words])


OURS = module_command("wheelstep.courier")
_POLL_S = 0.1  # between checks whether all messages have outcomes


@dataclass(slots=True)
class Played:
    """The result of a rehearsal: the history, and figures that depend on the machine.

    `logs` and `log_bytes` are by courier.
    """

    history: History
    logs: dict[str, str] = field(default_factory=dict)
    log_bytes: dict[str, int] = field(default_factory=dict)
    effects: dict[int, int] = field(default_factory=dict)  # by planned message: how often it took effect
    wall_s: float = 0.0
    suspect: list[str] = field(default_factory=list)  # in a soak: log lines that point to a fault of the program


async def play(plan: Plan, command: str = OURS, limits: dict[str, Any] | None = None,
               on_progress: Callable[[Progress], None] | None = None, orderly: bool = False,
               courier_type: type[Courier] = Courier, habits: ClientHabits = DEFAULT_HABITS) -> Played:
    """Play a plan against a courier's command and return the result.

    With `orderly` the couriers get SIGTERM at the end and time to exit, else SIGKILL. `limits` overrides the couriers'
    default limits; `courier_type` is the class of each courier, `habits` are those of all clients. Raises
    `NoStartError` if the command can't be started.
    """
    with tempfile.TemporaryDirectory(prefix="umberchute-") as folder, reduced_gc():
        rig = _Rig(plan, command, Path(folder), limits or {}, on_progress, courier_type, habits)
        try:
            played = await rig.run()
            if orderly:
                await rig.request_exit()
            return played
        finally:
            await rig.close()


class _Rig:
    def __init__(self, plan: Plan, command: str, folder: Path, limits: dict[str, Any],
                 on_progress: Callable[[Progress], None] | None, courier_type: type[Courier],
                 habits: ClientHabits) -> None:
        self._plan, self._on_progress, self._limits = plan, on_progress, limits
        self._history = History(plan.figures)
        self._loop = asyncio.get_running_loop()
        self._epoch = self._loop.time()
        self._pool = PartnerPool(plan, self._history, self._now_us)
        self._pool.epoch = self._epoch
        names = [f"c{index}" for index in range(plan.couriers)]
        self._agents = [Agent(name, self._history, self._now_us, self._on_notice) for name in names]
        self._clients = [Clients(plan, index, self._pool.ledger, self._history, self._now_us, habits)
                         for index in range(plan.couriers)]
        self._couriers = [
            courier_type(name, command, folder / name, self._history, self._now_us,
                         lambda listen, index=index: self._config(index, listen),  # type: ignore[misc]
                         plan.ready_within_us / 1e6)
            for index, name in enumerate(names)]
        self._tasks: list[asyncio.Task[None]] = []
        self._progress = Progress(total_us=plan.end_us)
        self._outcomes = OutcomeTracker(self._history, self._progress)

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
        found = self._pool.endpoint(endpoint)
        return row(endpoint, found.ports[index].address, found.partner.destination,
                   self._plan.settings["kinds"][found.partner.kind], health)

    def _on_notice(self, courier: str, notice: dict[str, Any]) -> None:
        if notice["outcome"] == "handed_back":
            index = int(courier[1:])
            self._clients[index].on_handed_back(str(notice["message"]), int(notice.get("retry_in_ms", 0)) * 1000)

    # --- the run ---

    async def run(self) -> Played:
        """Start all parts, play the plan and wait for every outcome; return the result. `close` stops the parts."""
        began = self._loop.time()
        await self._pool.open()
        for index, agent in enumerate(self._agents):
            agent.hosts = {name: self._row(name, index) for name in self._pool.endpoints}
            await agent.open()
        ready = await asyncio.gather(*(courier.start() for courier in self._couriers))
        if all(ready):
            gc.collect()
            gc.freeze()  # a full collection would delay the event loop
            self._reset_clock()
            for index, clients in enumerate(self._clients):
                clients.address = self._couriers[index].address
                clients.may_connect = self._couriers[index].takes_new_connections
                clients.effect_of = self._couriers[index].effect_of
                if self._plan.crowd:
                    await clients.open_idle_connections(self._plan.crowd)
            self._start_task(lateness.record_lateness(self._couriers, self._history, self._now_us))
            faults = Faults(self._pool, self._agents, self._couriers, self._row, self._sleep_until, self._start_task)
            for fault in self._plan.faults:
                self._start_task(faults.play(fault))
            await self._submit_all()
            await self._wait_for_outcomes()
        self._pool.close()
        self._history.end_us = self._now_us()
        self._progress.phase = "judging"
        self._report_progress()
        return Played(
            self._history, {courier.name: courier.log_text() for courier in self._couriers},
            {courier.name: courier.log_total for courier in self._couriers},
            dict(self._pool.ledger.effects), self._loop.time() - began,
            [line for courier in self._couriers for line in courier.suspect])

    def _reset_clock(self) -> None:
        """Restart the rehearsal's time at 0 now that all couriers are ready; earlier facts get negative times."""
        shift_us = self._now_us()
        self._epoch = self._pool.epoch = self._loop.time()

        facts: list[Fact] = []
        for fact in self._history.facts:
            if isinstance(fact, Life | Told | Probe | Late | Strange):
                facts.append(dataclasses.replace(fact, at_us=fact.at_us - shift_us))
        self._history.facts[:] = facts

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _submit_all(self) -> None:
        self._progress.phase = "submitting"
        for arrival in self._plan.arrivals:
            while (left_s := arrival.at_us / 1e6 - (self._loop.time() - self._epoch)) > 0:
                await asyncio.sleep(min(left_s, _POLL_S))
                self._report_progress()
            self._clients[arrival.courier].submit(arrival)
            self._raise_task_errors()

    def _raise_task_errors(self) -> None:
        """Raise the exception of a failed task, so that the rehearsal doesn't continue without a part of the rig."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                task.result()
        self._tasks = [task for task in self._tasks if not task.done()]

    async def _wait_for_outcomes(self) -> None:
        """Wait until all faults are over and every accepted message has its outcome, or the plan's end has come."""
        self._progress.phase = "waiting for the last outcomes"
        last_us = max([self._plan.length_us, *(fault.until_us for fault in self._plan.faults)])
        settle_us = 700_000  # a second outcome or an excess call would be seen by then
        quiet_us: int | None = None
        while (now_us := self._now_us()) < self._plan.end_us:
            if now_us >= last_us and not self._outcomes.has_pending() and all(c.ready.is_set() for c in self._couriers):
                quiet_us = quiet_us or now_us
                if now_us - quiet_us >= settle_us:
                    return
            else:
                quiet_us = None
            await asyncio.sleep(_POLL_S)
            self._raise_task_errors()
            self._report_progress()

    def _report_progress(self) -> None:
        if self._on_progress is None:
            return
        progress = self._progress
        progress.at_us = min(self._now_us(), self._plan.end_us)
        progress.submitted = sum(clients.submitted for clients in self._clients)
        self._outcomes.has_pending()
        self._on_progress(progress)

    async def _sleep_until(self, at_us: int) -> None:
        await asyncio.sleep(max(0.0, self._epoch + at_us / 1e6 - self._loop.time()))

    async def request_exit(self) -> None:
        """Send SIGTERM to all couriers and give them time to exit."""
        await asyncio.gather(*(courier.request_exit() for courier in self._couriers))

    async def close(self) -> None:
        """Stop all tasks and processes and release all ports."""
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
