"""The simulation's true time and queue of events. Imports nothing of the project. Times are whole microseconds."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Any

MS, S = 1_000, 1_000_000
START_WALL_US = 1_800_000_000 * S  # the wall clock at the start of a run


class StuckError(Exception):
    """The queue of events is empty while a caller still waits."""


class World:
    """Runs events in the order of true time, and events of the same time in the order in which they were scheduled.

    `fingerprint` is a checksum of every iteration of every process's loop and of every line of the trace. Two runs with
    different events differ in it.
    """

    def __init__(self, seed: int, traced: bool = False) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_us = 0
        self.events = 0
        self.stopped = False  # no further event is run
        self.fingerprint = zlib.crc32(str(seed).encode())
        self.trace_lines: list[str] | None = [] if traced else None
        self.counts: Counter[str] = Counter()
        self.current_name = ""  # the process whose loop runs now; empty between iterations
        self.offset_us = 0  # of that process's clock from true time
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0

    def call_at(self, true_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(true_us, self.now_us), self._scheduled, callback, args))

    def call_after(self, in_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after `in_us`."""
        self.call_at(self.now_us + in_us, callback, *args)

    def run(self, until_us: int) -> None:
        """Run all events up to `until_us`, or until the world is stopped."""
        queue = self._queue
        while queue and queue[0][0] <= until_us and not self.stopped:
            self.now_us, _, callback, args = heapq.heappop(queue)
            self.events += 1
            callback(*args)
        if not self.stopped:
            self.now_us = until_us

    def run_until_done(self, done: Callable[[], bool]) -> None:
        """Run events until `done` returns true. Raises `StuckError` if no event is left before."""
        while not done():
            if not self._queue:
                raise StuckError(f"seed {self.seed} at {self.now_us / S:.6f} s: no event is left in the queue")
            self.now_us, _, callback, args = heapq.heappop(self._queue)
            self.events += 1
            callback(*args)

    def wall_us(self) -> int:
        """The true wall clock, in microseconds since the Unix epoch."""
        return START_WALL_US + self.now_us

    def record_iteration(self, number: int) -> None:
        """Add an iteration of a process's loop to the fingerprint."""
        self.fingerprint = zlib.crc32(b"%d %d" % (self.now_us, number), self.fingerprint)

    def trace(self, who: str, event: str, *details: object) -> None:
        """Add a line of the trace to the fingerprint, and keep it if the run is traced."""
        line = f"{self.now_us / S:10.6f} {who:<6} {event} {' '.join(str(detail) for detail in details)}"
        self.fingerprint = zlib.crc32(line.encode(), self.fingerprint)
        if self.trace_lines is not None:
            self.trace_lines.append(line)
