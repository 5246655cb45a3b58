"""True time and its event queue. Imports nothing of the project. All times are whole microseconds."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Any

MS, S = 1_000, 1_000_000  # a millisecond and a second, in microseconds
WALL_US = 1_800_000_000 * S  # Unix time at the start of a run


class StuckError(Exception):
    """A condition is waited for, and no event is left that could bring it about."""


class World:
    """Runs events in the order of true time; those of the same time in the order in which they were scheduled.
    `digest` covers every turn of every process and every line of the trace, for comparing two runs."""

    def __init__(self, seed: int, traced: bool = False) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_us = 0
        self.events = 0
        self.finished = False  # no more events are run
        self.digest = zlib.crc32(str(seed).encode())
        self.trace_lines: list[str] | None = [] if traced else None
        self.counts: Counter[str] = Counter()
        self.current_process = ""  # the name of the process whose turn it is
        self.clock_offset_us = 0  # of its monotonic clock from true time
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def schedule_at(self, true_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call at a true time, or now if that is past."""
        self._sequence += 1
        heapq.heappush(self._queue, (max(true_us, self.now_us), self._sequence, callback, args))

    def schedule_after(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay."""
        self.schedule_at(self.now_us + delay_us, callback, *args)

    def run_until(self, until_us: int) -> None:
        """Run all events up to `until_us`, which becomes the present time, or until the run is finished."""
        queue = self._queue
        while queue and queue[0][0] <= until_us and not self.finished:
            self.now_us, _, callback, args = heapq.heappop(queue)
            self.events += 1
            callback(*args)
        if not self.finished:
            self.now_us = until_us

    def run_until_done(self, condition: Callable[[], bool]) -> None:
        """Run events until a condition holds. Raises `StuckError` if it never will."""
        while not condition():
            if not self._queue:
                raise StuckError(f"seed {self.seed} at {self.now_us / S:.6f} s: nothing is left to happen")
            self.now_us, _, callback, args = heapq.heappop(self._queue)
            self.events += 1
            callback(*args)

    def wall_us(self) -> int:
        """Return the Unix time."""
        return WALL_US + self.now_us

    def record_turn(self, number: int) -> None:
        """Add a turn of a process, given by its number, to the digest."""
        self.digest = zlib.crc32(b"%d %d" % (self.now_us, number), self.digest)

    def trace(self, source: str, event: str, *details: object) -> None:
        """Add a line to the digest, and to the trace if one is kept."""
        line = f"{self.now_us / S:10.6f} {source:<6} {event} {' '.join(str(one) for one in details)}"
        self.digest = zlib.crc32(line.encode(), self.digest)
        if self.trace_lines is not None:
            self.trace_lines.append(line)
