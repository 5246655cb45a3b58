"""The functions of `time` in virtual time, for code that reads the clock itself rather than its loop's."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from wheelstep.rehearsal.shard_world.world import World


@contextlib.contextmanager
def virtual(world: World) -> Iterator[None]:
    """Replace the clocks of the module `time` by that of the process that runs now, until the context ends.

    `perf_counter` and `process_time` stay real. A name imported from the module earlier (`from time import time`) is
    not replaced.
    """
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
