"""True time, an event queue, clocks that run apart from it, and links that drop, delay, reorder, double and are cut.

Imports nothing of the project. All times are whole microseconds.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS, S = 1_000, 1_000_000


class Clock:
    """A machine's own clock: it never steps, but runs `ppm` millionths too fast. Its wall clock steps on demand."""

    def __init__(self, offset_us: int, ppm: int, wall_us: int) -> None:
        self._true_us, self._own_us, self.ppm = 0, offset_us, ppm
        self.wall_off_us = wall_us - offset_us

    def own(self, true_us: int) -> int:
        """What it shows then."""
        return self._own_us + (true_us - self._true_us) * (1_000_000 + self.ppm) // 1_000_000

    def true(self, own_us: int) -> int:
        """The first moment at which it shows at least so much."""
        return self._true_us - (-(own_us - self._own_us) * 1_000_000 // (1_000_000 + self.ppm))

    def wall(self, true_us: int) -> int:
        """Microseconds of the wall clock."""
        return self.own(true_us) + self.wall_off_us

    def pace(self, true_us: int, ppm: int) -> None:
        """From now on it runs so."""
        self._own_us, self._true_us, self.ppm = self.own(true_us), true_us, ppm


@dataclass(slots=True)
class Network:
    """Chances for each message; `cuts` holds the ordered pairs that nothing gets through, `slow` extra delays."""

    rng: random.Random
    least_us: int = 200
    spread_us: int = 2 * MS
    lose: float = 0.0
    double: float = 0.0
    late: float = 0.0  # chance of a delay far beyond the others: what follows overtakes it
    cuts: set[tuple[str, str]] = field(default_factory=set)
    slow: dict[tuple[str, str], int] = field(default_factory=dict)
    sent: int = 0
    lost: int = 0

    def delays(self, sender: str, to: str, stream: bool) -> list[int]:
        """When what is sent now arrives, from now; empty if never. Streams lose nothing but by a cut, and stall where
        a datagram is lost."""
        self.sent += 1
        if (sender, to) in self.cuts:
            self.lost += 1
            return []
        rng = self.rng
        delay = self.least_us + int(rng.random() * self.spread_us)
        if self.slow:
            delay += self.slow.get((sender, to), 0)
        if self.late and rng.random() < self.late:
            delay += int(rng.random() * 300 * MS)
        if self.lose and rng.random() < self.lose:
            if not stream:
                self.lost += 1
                return []
            delay += 200 * MS
        if self.double and not stream and rng.random() < self.double:
            return [delay, delay + int(rng.random() * 20 * MS)]
        return [delay]


class World:
    """Plays events in the order of true time; those of one moment in the order in which they were asked for."""

    def __init__(self, seed: int, traced: bool = False) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.net = Network(random.Random(seed ^ 0x5EED))
        self.now_us = 0
        self.events = 0
        self.boundaries = 0  # action boundaries passed, at which a process can end
        self.crash_at, self.crash_power = -1, False  # the one at which it does, and how
        self.lines: list[str] | None = [] if traced else None
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, true_us: int, what: Callable[..., None], *given: Any) -> None:
        """Do it then, or at once if that is past."""
        self._count += 1
        heapq.heappush(self._queue, (max(true_us, self.now_us), self._count, what, given))

    def after(self, in_us: int, what: Callable[..., None], *given: Any) -> None:
        """Do it so much later."""
        self.at(self.now_us + in_us, what, *given)

    def run(self, until_us: int) -> None:
        """Play all events up to then."""
        queue = self._queue
        while queue and queue[0][0] <= until_us:
            self.now_us, _, what, given = heapq.heappop(queue)
            self.events += 1
            what(*given)
        self.now_us = until_us

    def trace(self, who: str, what: str, *about: object) -> None:
        """A line of the trace, if one is kept."""
        if self.lines is not None:
            self.lines.append(f"{self.now_us / S:10.6f} {who:<5} {what} {' '.join(str(one) for one in about)}")
