"""How late the machine runs under a rehearsal: the rig's own loop, and couriers' processes in line for a core."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from wheelstep.rehearsal.history import History, Late
from wheelstep.rehearsal.standins.process import Courier

_TICK_S = 0.01  # how often lateness is looked at
_LATE_US = 5_000  # worth a note


async def watch(couriers: Sequence[Courier], history: History, now_us: Callable[[], int]) -> None:
    """Notes when this loop, or a courier's process, had to wait for a core."""
    loop = asyncio.get_running_loop()

    def note(who: str, late_us: int) -> None:
        if late_us >= _LATE_US:
            history.add(Late(now_us(), who, late_us))

    waited = [courier.run_queue_wait_us() for courier in couriers]
    pids = [courier.process.pid if courier.process else 0 for courier in couriers]
    before = loop.time()
    while True:
        await asyncio.sleep(_TICK_S)
        now = loop.time()
        note("the rig", round((now - before - _TICK_S) * 1e6))
        before = now
        for index, courier in enumerate(couriers):
            pid = courier.process.pid if courier.process else 0
            total_us = courier.run_queue_wait_us()
            if pid == pids[index] and total_us is not None and waited[index] is not None:
                note(courier.name, total_us - (waited[index] or 0))
            waited[index], pids[index] = total_us, pid
