"""`time` in virtual time: for code that asks for the clock itself and not its loop's."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from wheelstep.rehearsal.shard_world.world import World


@contextlib.contextmanager
def virtual(world: World) -> Iterator[None]:
    """Within it, the module `time` tells the clock of the process whose turn it is. `perf_counter` and `process_time`
    tell the real ones still. A name taken out of the module before (`from time import time`) is not reached."""
    def own_us() -> int:
        return world.now_us + world.offset_us
    clocks = {
        "time": lambda: world.wall_us() / 1e6, "time_ns": lambda: world.wall_us() * 1_000,
        "monotonic": lambda: own_us() / 1e6, "monotonic_ns": lambda: own_us() * 1_000,
        "clock_gettime": lambda which: (world.wall_us() if which == time.CLOCK_REALTIME else own_us()) / 1e6,
        "clock_gettime_ns": lambda which: (world.wall_us() if which == time.CLOCK_REALTIME else own_us()) * 1_000}
    before = {name: getattr(time, name) for name in clocks}
    try:
        for name, clock in clocks.items():
            setattr(time, name, clock)
        yield
    finally:
        for name, clock in before.items():
            setattr(time, name, clock)
