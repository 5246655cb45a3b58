"""What a scene does to couriers' processes, and how late the machine ran meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from wheelstep.rehearsal.fleet.courier import FleetCourier
from wheelstep.rehearsal.fleet.history import FleetHistory, Gone
from wheelstep.rehearsal.fleet.plan import Step
from wheelstep.rehearsal.history import Late

_TICK_S = 0.01
_LATE_US = 5_000  # worth a note
GIVE_AWAY_S = 10  # that one that leaves may take to give its parts away
_LEAVE_S = 30.0  # until it is killed
_TRIES = 4  # to leave
_POINT_S = 20.0  # until somebody comes to a point that everybody comes to
_BACK_S = 1.0  # until one that was killed in a swap is back


class Lives:
    """The processes of all couriers. `doors` is kept true: who is up, and where it takes clients."""

    def __init__(self, couriers: Mapping[str, FleetCourier], doors: dict[str, tuple[str, int]], history: FleetHistory,
                 now_us: Callable[[], int], arm: Path) -> None:
        self._couriers, self._doors, self._history, self._now_us = couriers, doors, history, now_us
        self._arm, self._falling = arm, 0  # the file that names who is to fall; how many are down
        self.fell: list[str] = []  # who fell at a point of a move
        self.left_s: list[float] = []  # how long each that left took
        self.stayed: list[str] = []  # who was told to leave and had not given all away in time

    async def play(self, steps: Sequence[Step]) -> None:
        """All steps in their times; those of a swap one after another."""
        swaps = [step for step in steps if step.what == "swap"]
        async with asyncio.TaskGroup() as group:
            for step in steps:
                if step.what != "swap":
                    group.create_task(self._step(step))
            if swaps:
                reviving = [asyncio.create_task(self._revive(name)) for name in self._couriers]
                try:
                    await self._swap_all(swaps)
                finally:
                    for task in reviving:
                        task.cancel()
                for task in reviving:
                    if task.done() and not task.cancelled():
                        task.result()

    async def _until(self, at_us: int) -> None:
        await asyncio.sleep(max(0, at_us - self._now_us()) / 1e6)

    async def _step(self, step: Step) -> None:
        await self._until(step.at_us)
        if step.what == "freeze":
            await self._freeze(step)
            return
        courier, begin_us = self._couriers[step.courier], self._now_us()
        if step.what == "stop":
            await courier.pause(step.for_us / 1e6)
            self._history.add(Gone(step.courier, begin_us, self._now_us(), why="stopped"))
        else:
            courier.trouble |= dict(step.trouble)
            await self._kill(step.courier, step.for_us / 1e6, step.keep)

    async def _freeze(self, step: Step) -> None:
        """Wait until somebody has stopped itself, and let it go on after a while."""
        self._arm.write_text(step.point)
        async with asyncio.timeout(_POINT_S):
            while not (still := [name for name, courier in self._couriers.items() if courier.stands_still]):
                await asyncio.sleep(_TICK_S)
        begin_us = self._now_us()
        await self._couriers[still[0]].pause(step.for_us / 1e6)
        self._history.add(Gone(still[0], begin_us, self._now_us(), why="frozen"))

    async def _kill(self, name: str, for_s: float, keep: bool = True) -> None:
        begin_us = self._now_us()
        await self._couriers[name].crash()
        await asyncio.sleep(for_s)
        await self._start(name, keep)
        self._history.add(Gone(name, begin_us, self._now_us(), keep, "killed"))

    async def _start(self, name: str, keep: bool) -> None:
        await self._couriers[name].back(keep)
        self._doors[name] = self._couriers[name].address

    async def _revive(self, name: str) -> None:
        """Whoever falls is back a little later, with its disk. For good."""
        courier = self._couriers[name]
        while True:
            await courier.fell.wait()
            self._falling += 1
            await self._rise(name)
            courier.fell.clear()
            self._falling -= 1
            self.fell.append(name)

    async def _rise(self, name: str) -> None:
        begin_us = self._now_us()
        await asyncio.sleep(_BACK_S)
        await self._start(name, keep=True)
        self._history.add(Gone(name, begin_us, self._now_us(), why="fell"))

    async def _swap_all(self, swaps: Sequence[Step]) -> None:
        """One after another; the next one begins when the last one's successor is up, and all that fell."""
        await self._until(swaps[0].at_us)
        for step in swaps:
            if step.point:
                self._arm.write_text(step.point)
            for _ in range(_TRIES):
                if await self._leave(step.courier) == "left":
                    break
                # It fell, or had no time to give all away: what it owes is on its disk. Back, and once more.
                await self._rise(step.courier)
                await asyncio.sleep(step.for_us / 1e6)
            else:
                continue  # it never gave all away, and stays
            self._arm.unlink(missing_ok=True)
            self._doors.pop(step.courier, None)
            await self._start(step.successor, keep=False)
            while self._falling:
                await asyncio.sleep(_TICK_S)
            await asyncio.sleep(step.for_us / 1e6)

    async def _leave(self, name: str) -> str:
        begin_us = self._now_us()
        how = await self._couriers[name].leave(_LEAVE_S)
        took_s = (self._now_us() - begin_us) / 1e6
        self.left_s.append(took_s)
        if how == "fell":
            self.fell.append(name)
        elif how == "stayed" or took_s >= GIVE_AWAY_S:
            self.stayed.append(name)
            how = "stayed"
        return how

    async def watch_lateness(self) -> None:
        """Notes when this loop, or a courier's process, had to wait for a core. For good."""
        waited: dict[str, tuple[int, int]] = {}
        before_us = self._now_us()
        while True:
            await asyncio.sleep(_TICK_S)
            now_us = self._now_us()
            self._late("the rig", now_us - before_us - round(_TICK_S * 1e6))
            before_us = now_us
            for name, courier in self._couriers.items():
                total_us = courier.run_queue_wait_us() if courier.up else None
                if total_us is None or courier.process is None:
                    continue
                pid, last_us = waited.get(name, (0, 0))
                if pid == courier.process.pid:
                    self._late(name, total_us - last_us)
                waited[name] = courier.process.pid, total_us

    def _late(self, who: str, late_us: int) -> None:
        if late_us >= _LATE_US:
            self._history.base.add(Late(self._now_us(), who, late_us))
