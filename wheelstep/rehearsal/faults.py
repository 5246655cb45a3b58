"""Plays a plan's faults: at couriers' processes, at endpoints, and in what discovery tells."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from wheelstep.rehearsal.plan import Fault
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent
from wheelstep.rehearsal.standins.process import Courier


class Faults:
    """`row` makes an endpoint's row of the list for a courier, `until` waits for a time of the plan, `task` starts
    work that the rig owns."""

    def __init__(self, pool: PartnerPool, agents: Sequence[Agent], couriers: Sequence[Courier],
                 row: Callable[[str, int, str], dict[str, Any]], until: Callable[[int], Coroutine[Any, Any, None]],
                 task: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        self._pool, self._agents, self._couriers = pool, agents, couriers
        self._row, self._until, self._task = row, until, task

    async def play(self, fault: Fault) -> None:
        """From its begin to its end."""
        await self._until(fault.at_us)
        match fault.kind:
            case "kill" | "term" | "pause":
                for_s = (fault.until_us - fault.at_us) / 1e6
                for index in fault.couriers:
                    courier = self._couriers[index]
                    if fault.kind == "kill":
                        self._task(courier.kill(for_s))
                    elif fault.kind == "term":
                        self._task(courier.terminate(for_s))
                    else:
                        self._task(courier.pause(for_s))
            case "upgrade" | "reload" | "clock" | "sockets" | "short" | "disk":
                for index in fault.couriers:
                    self._task(self._couriers[index].apply_fault(fault))
            case "worker-kill" | "worker-hang":
                number = signal.SIGKILL if fault.kind == "worker-kill" else signal.SIGSTOP
                for index in fault.couriers:
                    self._couriers[index].signal_worker(fault.worker, number)
                await self._until(fault.until_us)
                for index in fault.couriers:
                    self._couriers[index].record_worker_replaced()
            case "discovery":
                for index in fault.couriers:
                    self._agents[index].down = True
                await self._until(fault.until_us)
                for index in fault.couriers:
                    self._agents[index].restore()
            case "stall":
                for begin_us, end_us in fault.stops_us:
                    await self._until(begin_us)
                    for name in fault.endpoints:
                        self._pool.endpoint(name).model.stall(end_us)
            case "drain" | "leave":
                await self._drain(fault)
            case "replace":
                await self._replace(fault)
            case _:
                for name in fault.endpoints:
                    await self._pool.endpoint(name).start_fault(fault)
                await self._until(fault.until_us)
                for name in fault.endpoints:
                    await self._pool.endpoint(name).end_fault(fault)

    def _tell_of(self, fault: Fault, health: str, names: tuple[str, ...]) -> None:
        for index, agent in enumerate(self._agents):
            rows = [self._row(name, index, health) for name in names]
            asyncio.get_running_loop().call_later(fault.told_us[index] / 1e6, agent.change, *rows)

    async def _drain(self, fault: Fault) -> None:
        """It says DRAINING; one that leaves goes after its time."""
        names = tuple(self._pool.endpoint(name).name for name in fault.endpoints)
        self._tell_of(fault, "DRAINING", names)
        if fault.kind == "leave":
            await self._until(fault.until_us)
            self._tell_of(fault, "DELETED", names)

    async def _replace(self, fault: Fault) -> None:
        """Drained, gone, and another process under a new name at the same address."""
        names = tuple(self._pool.endpoint(name).name for name in fault.endpoints)
        self._tell_of(fault, "DRAINING", names)
        await self._until(fault.until_us)
        self._tell_of(fault, "DELETED", names)
        fresh = tuple(self._pool.replace(name) for name in names)
        self._tell_of(fault, "SERVING", fresh)
