"""Plays a plan's faults: at couriers' processes, at endpoints, and in discovery."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from wheelstep.rehearsal.plan import Fault
from wheelstep.rehearsal.planned import SOAK_FAULTS
from wheelstep.rehearsal.standins.partner import PartnerPool
from wheelstep.rehearsal.standins.platform import Agent
from wheelstep.rehearsal.standins.process import Courier


class Faults:
    """Plays faults at the stand-ins and the couriers.

    `row` returns an endpoint's row of the list for a courier, `sleep_until` waits for a time of the plan,
    `start_task` starts a task that the rig owns.
    """

    def __init__(self, pool: PartnerPool, agents: Sequence[Agent], couriers: Sequence[Courier],
                 row: Callable[[str, int, str], dict[str, Any]],
                 sleep_until: Callable[[int], Coroutine[Any, Any, None]],
                 start_task: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        self._pool, self._agents, self._couriers = pool, agents, couriers
        self._row, self._sleep_until, self._start_task = row, sleep_until, start_task

    async def play(self, fault: Fault) -> None:
        """Play a fault from its begin to its end."""
        await self._sleep_until(fault.at_us)
        match fault.kind:
            case "kill" | "term" | "pause":
                for_s = (fault.until_us - fault.at_us) / 1e6
                for index in fault.couriers:
                    courier = self._couriers[index]
                    if fault.kind == "kill":
                        self._start_task(courier.kill(for_s))
                    elif fault.kind == "term":
                        self._start_task(courier.terminate(for_s))
                    else:
                        self._start_task(courier.pause(for_s))
            case kind if kind in SOAK_FAULTS:
                for index in fault.couriers:
                    self._start_task(self._couriers[index].apply_fault(fault))
            case "worker-kill" | "worker-hang":
                number = signal.SIGKILL if fault.kind == "worker-kill" else signal.SIGSTOP
                for index in fault.couriers:
                    self._couriers[index].signal_worker(fault.worker, number)
                await self._sleep_until(fault.until_us)
                for index in fault.couriers:
                    self._couriers[index].record_worker_replaced()
            case "discovery":
                for index in fault.couriers:
                    self._agents[index].down = True
                await self._sleep_until(fault.until_us)
                for index in fault.couriers:
                    self._agents[index].restore()
            case "agent-copy":
                for index in fault.couriers:
                    self._agents[index].copy_delay_s = fault.wait_us / 1e6
                await self._sleep_until(fault.until_us)
                for index in fault.couriers:
                    self._agents[index].copy_delay_s = None
            case "stall":
                for begin_us, end_us in fault.stops_us:
                    await self._sleep_until(begin_us)
                    for name in fault.endpoints:
                        self._pool.endpoint(name).model.stall(end_us)
            case "drain" | "leave":
                await self._drain(fault)
            case "replace":
                await self._replace(fault)
            case _:
                for name in fault.endpoints:
                    await self._pool.endpoint(name).start_fault(fault)
                await self._sleep_until(fault.until_us)
                for name in fault.endpoints:
                    await self._pool.endpoint(name).end_fault(fault)

    def _announce(self, fault: Fault, health: str, names: tuple[str, ...]) -> None:
        for index, agent in enumerate(self._agents):
            rows = [self._row(name, index, health) for name in names]
            asyncio.get_running_loop().call_later(fault.told_us[index] / 1e6, agent.change, *rows)

    async def _drain(self, fault: Fault) -> None:
        """Announce endpoints as draining, and for a fault `leave` as deleted at its end."""
        names = tuple(self._pool.endpoint(name).name for name in fault.endpoints)
        self._announce(fault, "DRAINING", names)
        if fault.kind == "leave":
            await self._sleep_until(fault.until_us)
            self._announce(fault, "DELETED", names)

    async def _replace(self, fault: Fault) -> None:
        """Drain endpoints, then replace each by a new one with another name at the same address."""
        names = tuple(self._pool.endpoint(name).name for name in fault.endpoints)
        self._announce(fault, "DRAINING", names)
        await self._sleep_until(fault.until_us)
        self._announce(fault, "DELETED", names)
        successors = tuple(self._pool.replace(name) for name in names)
        self._announce(fault, "SERVING", successors)
