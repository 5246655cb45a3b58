"""Runs the steps of a scene on the couriers' processes, and records how late the machine ran meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from wheelstep.rehearsal.fleet.courier import FleetCourier
from wheelstep.rehearsal.fleet.history import FleetHistory, Gone
from wheelstep.rehearsal.fleet.plan import Step
from wheelstep.rehearsal.history import Late

_POLL_S = 0.01
_MIN_LATENESS_US = 5_000  # less is not recorded
GIVE_AWAY_WITHIN_S = 10  # the time in which a leaving courier must give its parts away
_LEAVE_TIMEOUT_S = 30.0  # from SIGTERM until SIGKILL
_MAX_LEAVE_ATTEMPTS = 4
_FREEZE_TIMEOUT_S = 20.0  # until a courier reaches the point of a freeze
_RESTART_DELAY_S = 1.0  # after a courier was killed in a swap


class ProcessController:
    """The processes of all couriers. It keeps `addresses` up to date: the client address of each running courier."""

    def __init__(self, couriers: Mapping[str, FleetCourier], addresses: dict[str, tuple[str, int]],
                 history: FleetHistory, now_us: Callable[[], int], point_file: Path) -> None:
        self._couriers, self._addresses, self._history, self._now_us = couriers, addresses, history, now_us
        self._point_file, self._restarting = point_file, 0  # the file of RIG_POINT; killed couriers not yet up
        self.killed_at_point: list[str] = []  # couriers killed at a point of a move
        self.leave_times_s: list[float] = []  # the duration of each attempt to leave
        self.incomplete_leaves: list[str] = []  # couriers that did not give all parts away in time

    async def run_steps(self, steps: Sequence[Step]) -> None:
        """Run each step at its time, and the steps of a swap one after another; return when all are over."""
        swaps = [step for step in steps if step.what == "swap"]
        async with asyncio.TaskGroup() as group:
            for step in steps:
                if step.what != "swap":
                    group.create_task(self._run_step(step))
            if swaps:
                watchers = [asyncio.create_task(self._restart_when_killed(name)) for name in self._couriers]
                try:
                    await self._run_swaps(swaps)
                finally:
                    for task in watchers:
                        task.cancel()
                for task in watchers:
                    if task.done() and not task.cancelled():
                        task.result()

    async def _sleep_until(self, at_us: int) -> None:
        await asyncio.sleep(max(0, at_us - self._now_us()) / 1e6)

    async def _run_step(self, step: Step) -> None:
        await self._sleep_until(step.at_us)
        if step.what == "freeze":
            await self._freeze(step)
            return
        courier, begin_us = self._couriers[step.courier], self._now_us()
        if step.what == "stop":
            await courier.pause(step.for_us / 1e6)
            self._history.add(Gone(step.courier, begin_us, self._now_us(), why="stopped"))
        else:
            courier.fault_env |= dict(step.trouble)
            await self._kill(step.courier, step.for_us / 1e6, step.keep)

    async def _freeze(self, step: Step) -> None:
        """Wait until a courier has stopped itself at the step's point, and continue it after the step's time.

        Raises `TimeoutError` if none reaches the point.
        """
        self._point_file.write_text(step.point)
        async with asyncio.timeout(_FREEZE_TIMEOUT_S):
            while not (stopped := [name for name, courier in self._couriers.items() if courier.is_stopped]):
                await asyncio.sleep(_POLL_S)
        begin_us = self._now_us()
        await self._couriers[stopped[0]].pause(step.for_us / 1e6)
        self._history.add(Gone(stopped[0], begin_us, self._now_us(), why="frozen"))

    async def _kill(self, name: str, for_s: float, keep: bool = True) -> None:
        begin_us = self._now_us()
        await self._couriers[name].kill_without_restart()
        await asyncio.sleep(for_s)
        await self._start(name, keep)
        self._history.add(Gone(name, begin_us, self._now_us(), keep, "killed"))

    async def _start(self, name: str, keep: bool) -> None:
        await self._couriers[name].restart(keep)
        self._addresses[name] = self._couriers[name].address

    async def _restart_when_killed(self, name: str) -> None:
        """Restart a courier, with its folder, each time that it is killed at a point. Runs until cancelled."""
        courier = self._couriers[name]
        while True:
            await courier.killed_at_point.wait()
            self._restarting += 1
            await self._restart_later(name)
            courier.killed_at_point.clear()
            self._restarting -= 1
            self.killed_at_point.append(name)

    async def _restart_later(self, name: str) -> None:
        begin_us = self._now_us()
        await asyncio.sleep(_RESTART_DELAY_S)
        await self._start(name, keep=True)
        self._history.add(Gone(name, begin_us, self._now_us(), why="fell"))

    async def _run_swaps(self, swaps: Sequence[Step]) -> None:
        """Run the swaps in turn. The next one begins once the last successor and all killed couriers are up again."""
        await self._sleep_until(swaps[0].at_us)
        for step in swaps:
            if step.point:
                self._point_file.write_text(step.point)
            for _ in range(_MAX_LEAVE_ATTEMPTS):
                if await self._leave(step.courier) == "left":
                    break
                # Killed, or out of time: the messages it still owes are on its disk. Restart it and try again.
                await self._restart_later(step.courier)
                await asyncio.sleep(step.for_us / 1e6)
            else:
                continue  # it never gave all parts away, and stays
            self._point_file.unlink(missing_ok=True)
            self._addresses.pop(step.courier, None)
            await self._start(step.successor, keep=False)
            while self._restarting:
                await asyncio.sleep(_POLL_S)
            await asyncio.sleep(step.for_us / 1e6)

    async def _leave(self, name: str) -> str:
        """Tell a courier to leave; return `left`, `fell` or, where it had no time to give all away, `stayed`."""
        begin_us = self._now_us()
        result = await self._couriers[name].leave(_LEAVE_TIMEOUT_S)
        leave_time_s = (self._now_us() - begin_us) / 1e6
        self.leave_times_s.append(leave_time_s)
        if result == "fell":
            self.killed_at_point.append(name)
        elif result == "stayed" or leave_time_s >= GIVE_AWAY_WITHIN_S:
            self.incomplete_leaves.append(name)
            result = "stayed"
        return result

    async def record_lateness(self) -> None:
        """Record when this loop or a courier's process had to wait for a core. Runs until cancelled."""
        waits: dict[str, tuple[int, int]] = {}
        previous_us = self._now_us()
        while True:
            await asyncio.sleep(_POLL_S)
            now_us = self._now_us()
            self._record_lateness("the rig", now_us - previous_us - round(_POLL_S * 1e6))
            previous_us = now_us
            for name, courier in self._couriers.items():
                total_us = courier.run_queue_wait_us() if courier.up else None
                if total_us is None or courier.process is None:
                    continue
                pid, last_us = waits.get(name, (0, 0))
                if pid == courier.process.pid:
                    self._record_lateness(name, total_us - last_us)
                waits[name] = courier.process.pid, total_us

    def _record_lateness(self, who: str, late_us: int) -> None:
        if late_us >= _MIN_LATENESS_US:
            self._history.base.add(Late(self._now_us(), who, late_us))
