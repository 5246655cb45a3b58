"""The simulated world: true time, an event queue, clocks that drift from true time, and links that drop, delay, reorder
and duplicate what is sent, or are blocked.

Imports nothing of the project. All times are whole microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS, S = 1_000, 1_000_000  # a millisecond and a second, in microseconds


class Clock:
    """A machine's monotonic clock, `drift_ppm` millionths too fast, and its wall clock, which steps on demand."""

    def __init__(self, offset_us: int, drift_ppm: int, wall_us: int) -> None:
        self._true_base_us, self._local_base_us, self.drift_ppm = 0, offset_us, drift_ppm
        self.wall_offset_us = wall_us - offset_us

    def local_time(self, true_us: int) -> int:
        """Return this clock's time at a true time."""
        return self._local_base_us + (true_us - self._true_base_us) * (1_000_000 + self.drift_ppm) // 1_000_000

    def true_time(self, local_us: int) -> int:
        """Return the first true time at which this clock shows at least `local_us`."""
        return self._true_base_us - (-(local_us - self._local_base_us) * 1_000_000 // (1_000_000 + self.drift_ppm))

    def wall_time(self, true_us: int) -> int:
        """Return the wall clock's time at a true time."""
        return self.local_time(true_us) + self.wall_offset_us

    def set_drift(self, true_us: int, drift_ppm: int) -> None:
        """Change the drift from `true_us` on; the time shown does not step."""
        self._local_base_us, self._true_base_us, self.drift_ppm = self.local_time(true_us), true_us, drift_ppm


@dataclass(slots=True)
class Network:
    """Delays, and the probability of each disturbance of a message. Links are ordered pairs of (sender, receiver):
    nothing passes those in `blocked_links`, and `extra_delay_us` slows others."""

    rng: random.Random
    min_delay_us: int = 200
    delay_spread_us: int = 2 * MS
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    long_delay_probability: float = 0.0  # of a delay of up to 300 ms more, so that later messages overtake
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    extra_delay_us: dict[tuple[str, str], int] = field(default_factory=dict)
    sent: int = 0
    lost: int = 0

    def draw_delays(self, sender: str, receiver: str, is_stream: bool) -> list[int]:
        """Return the delay until each arrival of a message that is sent now: none if it is lost, two if duplicated. A
        stream loses data by a blocked link only, and stalls for 200 ms where a datagram would be lost."""
        self.sent += 1
        if (sender, receiver) in self.blocked_links:
            self.lost += 1
            return []
        rng = self.rng
        delay = self.min_delay_us + int(rng.random() * self.delay_spread_us)
        if self.extra_delay_us:
            delay += self.extra_delay_us.get((sender, receiver), 0)
        if self.long_delay_probability and rng.random() < self.long_delay_probability:
            delay += int(rng.random() * 300 * MS)
        if self.loss_probability and rng.random() < self.loss_probability:
            if not is_stream:
                self.lost += 1
                return []
            delay += 200 * MS
        if self.duplicate_probability and not is_stream and rng.random() < self.duplicate_probability:
            return [delay, delay + int(rng.random() * 20 * MS)]
        return [delay]


class World:
    """Runs events in the order of true time; those of the same time in the order in which they were scheduled."""

    def __init__(self, seed: int, traced: bool = False) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.net = Network(random.Random(seed ^ 0x5EED))
        self.now_us = 0
        self.events = 0
        self.boundaries = 0  # action boundaries passed by all processes; a process can end at each
        self.crash_boundary, self.crash_is_power_loss = -1, False  # the boundary at which one does (-1: none), and how
        self.trace_lines: list[str] | None = [] if traced else None
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
        """Run all events up to `until_us`, which becomes the present time."""
        queue = self._queue
        while queue and queue[0][0] <= until_us:
            self.now_us, _, callback, args = heapq.heappop(queue)
            self.events += 1
            callback(*args)
        self.now_us = until_us

    def trace(self, source: str, event: str, *details: object) -> None:
        """Add a line to the trace, if one is kept."""
        if self.trace_lines is not None:
            self.trace_lines.append(
                f"{self.now_us / S:10.6f} {source:<5} {event} {' '.join(str(one) for one in details)}")
