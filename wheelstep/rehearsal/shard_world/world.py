"""True time and its queue of events. Imports nothing of the project. All times are whole microseconds."""

from __future__ import annotations

import heapq
import random
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Any

MS, S = 1_000, 1_000_000
WALL_US = 1_800_000_000 * S  # the wall clock at the run's first moment


class StuckError(Exception):
    """Nothing will ever happen any more, and somebody waits."""


class World:
    """Plays events in the order of true time; those of one moment in the order in which they were asked for. `mark`
    tells two runs apart: it is made of every turn of every process, and of every line of the trace."""

    def __init__(self, seed: int, traced: bool = False) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_us = 0
        self.events = 0
        self.over = False  # nothing more is played
        self.mark = zlib.crc32(str(seed).encode())
        self.lines: list[str] | None = [] if traced else None
        self.count: Counter[str] = Counter()
        self.who = ""  # whose turn it is
        self.offset_us = 0  # of that one's clock
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._asked = 0

    def at(self, true_us: int, what: Callable[..., None], *given: Any) -> None:
        """Do it then, or at once if that is past."""
        self._asked += 1
        heapq.heappush(self._queue, (max(true_us, self.now_us), self._asked, what, given))

    def after(self, in_us: int, what: Callable[..., None], *given: Any) -> None:
        """Do it so much later."""
        self.at(self.now_us + in_us, what, *given)

    def run(self, until_us: int) -> None:
        """Play all events up to then."""
        queue = self._queue
        while queue and queue[0][0] <= until_us and not self.over:
            self.now_us, _, what, given = heapq.heappop(queue)
            self.events += 1
            what(*given)
        if not self.over:
            self.now_us = until_us

    def run_till(self, done: Callable[[], bool]) -> None:
        """Play events until this holds. Raises `StuckError` if it never will."""
        while not done():
            if not self._queue:
                raise StuckError(f"seed {self.seed} at {self.now_us / S:.6f} s: nothing is left to happen")
            self.now_us, _, what, given = heapq.heappop(self._queue)
            self.events += 1
            what(*given)

    def wall_us(self) -> int:
        """Unix time."""
        return WALL_US + self.now_us

    def stamp(self, number: int) -> None:
        """A turn of this process goes into the mark."""
        self.mark = zlib.crc32(b"%d %d" % (self.now_us, number), self.mark)

    def trace(self, who: str, what: str, *about: object) -> None:
        """A line of the trace: into the mark, and kept if traces are."""
        line = f"{self.now_us / S:10.6f} {who:<6} {what} {' '.join(str(one) for one in about)}"
        self.mark = zlib.crc32(line.encode(), self.mark)
        if self.lines is not None:
            self.lines.append(line)
