"""A courier that leaves gives all its parts away: which one next, and to whom after a failure. No I/O.

What it still has and who may take it is told at each turn: the registers' truth counts, not a list of its own.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Pace:
    """How fast, and for how long at most."""

    at_once: int = 4
    pause_us: int = 1_000_000  # before a part whose move failed is tried again; doubles with each failure
    pause_most_us: int = 30_000_000
    bound_us: int = 600_000_000  # for all of it


@dataclass(frozen=True)
class Start:
    """Begin to move this part."""

    part: int
    to: str


@dataclass(frozen=True)
class Progress:
    """`estimated_us`: until all are gone at the pace so far, -1 while nothing has moved."""

    left: int
    moving: int
    moved: int
    failed: int
    estimated_us: int
    state: str  # "giving", "given", "stopping", "stopped" or "late"


@dataclass
class _Trouble:
    again_us: int = 0
    failures: int = 0
    tried: list[str] = field(default_factory=list)


class Swap:
    """All parts of one courier go. `cancel` goes back: moves that have begun end as they end, no more begin."""

    def __init__(self, pace: Pace, now_us: int) -> None:
        self._pace, self._since_us = pace, now_us
        self._moving: dict[int, str] = {}
        self._troubles: dict[int, _Trouble] = {}
        self._left = -1  # not told yet
        self._cancelled = False
        self.moved = 0
        self.failed = 0
        self.why: deque[str] = deque(maxlen=16)  # of the newest failures

    def tick(self, now_us: int, mine: Mapping[int, int], takers: Mapping[int, Sequence[str]]) -> list[Start]:
        """Moves to begin now. `mine`: the parts that this courier has still, with their pieces; `takers`: by part who
        may have it, the one who should first. The smallest part goes first: most channels are safe soonest."""
        self._left = len(mine)
        for part in [part for part in self._troubles if part not in mine]:
            del self._troubles[part]
        starts: list[Start] = []
        if self._cancelled or self._late(now_us):
            return starts
        for part in sorted(mine, key=lambda part: (mine[part], part)):
            if len(self._moving) >= self._pace.at_once:
                break
            trouble = self._troubles.get(part)
            if part in self._moving or not takers.get(part) or (trouble is not None and now_us < trouble.again_us):
                continue
            to = self._choose(takers[part], trouble)
            self._moving[part] = to
            starts.append(Start(part, to))
        return starts

    def _choose(self, takers: Sequence[str], trouble: _Trouble | None) -> str:
        """One that has not failed with this part; where all have, a new turn begins."""
        if trouble is None:
            return takers[0]
        fresh = [taker for taker in takers if taker not in trouble.tried]
        if not fresh:
            trouble.tried.clear()
        return (fresh or takers)[0]

    def ended(self, now_us: int, part: int, done: bool, why: str) -> None:
        """A move that was begun has ended. One that wasn't is none of this swap's."""
        to = self._moving.pop(part, None)
        if to is None:
            return
        if done:
            self.moved += 1
            self._left -= 1
            self._troubles.pop(part, None)
            return
        self.failed += 1
        self.why.append(f"part {part} to {to}: {why}")
        trouble = self._troubles.setdefault(part, _Trouble())
        pause_us = min(self._pace.pause_most_us, self._pace.pause_us << min(trouble.failures, 16))
        trouble.again_us, trouble.failures = now_us + pause_us, trouble.failures + 1
        trouble.tried.append(to)

    def cancel(self) -> None:
        """Stop half way: this courier stays, with what it has still."""
        self._cancelled = True

    def over(self, now_us: int) -> bool:
        """Nothing is moving, and nothing will be: all given, stopped, or out of time."""
        return self.progress(now_us).state in ("given", "stopped", "late")

    def progress(self, now_us: int) -> Progress:
        """For those who look on."""
        took_us = now_us - self._since_us
        estimated_us = took_us * max(self._left, 0) // self.moved if self.moved else -1
        if self._moving:
            state = "stopping" if self._cancelled else "giving"
        elif self._left == 0:
            state = "given"
        elif self._cancelled:
            state = "stopped"
        else:
            state = "late" if self._late(now_us) else "giving"
        return Progress(max(self._left, 0), len(self._moving), self.moved, self.failed,
                        0 if self._left == 0 else estimated_us, state)

    def _late(self, now_us: int) -> bool:
        return now_us - self._since_us >= self._pace.bound_us
