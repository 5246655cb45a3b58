"""The module `time` in virtual time, for code that reads the clock itself and not its loop's."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from wheelstep.rehearsal.shard_world.world import World


@contextlib.contextmanager
def virtual_time(world: World) -> Iterator[None]:
    """Patch the module `time` to the clock of the process whose turn it is. `perf_counter` and `process_time` stay
    real, and names that were imported from the module before (`from time import time`) are not patched."""
    def local_us() -> int:
        return world.now_us + world.clock_offset_us
    clocks = {
        "time": lambda: world.wall_us() / 1e6, "time_ns": lambda: world.wall_us() * 1_000,
        "monotonic": lambda: local_us() / 1e6, "monotonic_ns": lambda: local_us() * 1_000,
        "clock_gettime": lambda which: (world.wall_us() if which == time.CLOCK_REALTIME else local_us()) / 1e6,
        "clock_gettime_ns": lambda which: (world.wall_us() if which == time.CLOCK_REALTIME else local_us()) * 1_000}
    originals = {name: getattr(time, name) for name in clocks}
    try:
        for name, clock in clocks.items():
            setattr(time, name, clock)
        yield
    finally:
        for name, clock in originals.items():
            setattr(time, name, clock)
