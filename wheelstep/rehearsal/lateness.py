"""Measures how late the machine runs during a rehearsal: the rig's event loop and the couriers' processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from wheelstep.rehearsal.history import History, Late
from wheelstep.rehearsal.standins.process import Courier

_INTERVAL_S = 0.01  # between measurements
_MIN_RECORDED_US = 5_000  # less is not recorded


async def record_lateness(couriers: Sequence[Courier], history: History, now_us: Callable[[], int]) -> None:
    """Record in the history when the event loop was late, or a courier's process waited for a core, by at least
    5 ms in an interval; runs until cancelled."""
    loop = asyncio.get_running_loop()

    def record(who: str, late_us: int) -> None:
        if late_us >= _MIN_RECORDED_US:
            history.add(Late(now_us(), who, late_us))

    waited = [courier.run_queue_wait_us() for courier in couriers]
    pids = [courier.process.pid if courier.process else 0 for courier in couriers]
    before = loop.time()
    while True:
        await asyncio.sleep(_INTERVAL_S)
        now = loop.time()
        record("the rig", round((now - before - _INTERVAL_S) * 1e6))
        before = now
        for index, courier in enumerate(couriers):
            pid = courier.process.pid if courier.process else 0
            total_us = courier.run_queue_wait_us()
            if pid == pids[index] and total_us is not None and waited[index] is not None:
                record(courier.name, total_us - (waited[index] or 0))
            waited[index], pids[index] = total_us, pid
