"""Moves all parts away from a courier that leaves: the order of the parts and the choice of takers. No I/O.

The parts still owned and the possible takers are passed in at each tick: the registers are authoritative, so no list
is kept here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EvacuationLimits:
    """Limits on the rate and duration of an evacuation."""

    max_moves: int = 4  # moves in progress at the same time
    pause_us: int = 1_000_000  # before a part whose move failed is tried again; doubles with each failure
    max_pause_us: int = 30_000_000
    timeout_us: int = 600_000_000  # for the whole evacuation; after it no move begins


@dataclass(frozen=True)
class StartMove:
    """Begin to move `part` to courier `to`."""

    part: int
    to: str


@dataclass(frozen=True)
class Progress:
    """Progress of an evacuation. `estimated_us`: time until all parts are moved at the rate so far, -1 if none is
    moved."""

    left: int  # parts still owned, with those in progress; 0 before the first tick
    moving: int  # moves in progress
    moved: int
    failed: int  # failed moves; a part may have several
    estimated_us: int
    state: str  # "giving", "given", "stopping", "stopped" or "late"


@dataclass
class _FailedMoves:
    """The failed moves of one part and the takers that were tried."""

    again_us: int = 0
    failure_count: int = 0
    tried: list[str] = field(default_factory=list)


class Evacuation:
    """Moves all parts of one courier away. After `cancel`, moves in progress run to their end and no more begin."""

    def __init__(self, limits: EvacuationLimits, now_us: int) -> None:
        self._limits, self._started_us = limits, now_us
        self._moving: dict[int, str] = {}
        self._failed_moves: dict[int, _FailedMoves] = {}
        self._left = -1  # unknown until the first tick
        self._cancelled = False
        self.moved = 0
        self.failed = 0
        self.why: deque[str] = deque(maxlen=16)  # reasons of the newest failures

    def tick(self, now_us: int, owned: Mapping[int, int], takers: Mapping[int, Sequence[str]]) -> list[StartMove]:
        """Return the moves to begin now. `owned` maps each part still owned to its approximate number of pieces,
        `takers` each part to its possible takers, the preferred one first. The smallest part goes first: most channels
        are safe early."""
        self._left = len(owned)
        for part in [part for part in self._failed_moves if part not in owned]:
            del self._failed_moves[part]
        starts: list[StartMove] = []
        if self._cancelled or self._out_of_time(now_us):
            return starts
        for part in sorted(owned, key=lambda part: (owned[part], part)):
            if len(self._moving) >= self._limits.max_moves:
                break
            earlier = self._failed_moves.get(part)
            if part in self._moving or not takers.get(part) or (earlier is not None and now_us < earlier.again_us):
                continue
            to = self._choose_taker(takers[part], earlier)
            self._moving[part] = to
            starts.append(StartMove(part, to))
        return starts

    def _choose_taker(self, takers: Sequence[str], earlier: _FailedMoves | None) -> str:
        """Return the first taker not yet tried for this part; once all have failed, start over."""
        if earlier is None:
            return takers[0]
        untried = [taker for taker in takers if taker not in earlier.tried]
        if not untried:
            earlier.tried.clear()
        return (untried or takers)[0]

    def ended(self, now_us: int, part: int, done: bool, why: str) -> None:
        """Record the end of a move; moves that this evacuation did not begin are ignored."""
        to = self._moving.pop(part, None)
        if to is None:
            return
        if done:
            self.moved += 1
            self._left -= 1
            self._failed_moves.pop(part, None)
            return
        self.failed += 1
        self.why.append(f"part {part} to {to}: {why}")
        earlier = self._failed_moves.setdefault(part, _FailedMoves())
        pause_us = min(self._limits.max_pause_us, self._limits.pause_us << min(earlier.failure_count, 16))
        earlier.again_us, earlier.failure_count = now_us + pause_us, earlier.failure_count + 1
        earlier.tried.append(to)

    def cancel(self) -> None:
        """Begin no more moves: the courier keeps the parts it still owns."""
        self._cancelled = True

    def over(self, now_us: int) -> bool:
        """Return whether no move is in progress and none will begin: all given, cancelled, or out of time."""
        return self.progress(now_us).state in ("given", "stopped", "late")

    def progress(self, now_us: int) -> Progress:
        """Return counts, estimate and state for operators."""
        took_us = now_us - self._started_us
        estimated_us = took_us * max(self._left, 0) // self.moved if self.moved else -1
        if self._moving:
            state = "stopping" if self._cancelled else "giving"
        elif self._left == 0:
            state = "given"
        elif self._cancelled:
            state = "stopped"
        else:
            state = "late" if self._out_of_time(now_us) else "giving"
        return Progress(max(self._left, 0), len(self._moving), self.moved, self.failed,
                        0 if self._left == 0 else estimated_us, state)

    def _out_of_time(self, now_us: int) -> bool:
        return now_us - self._started_us >= self._limits.timeout_us
