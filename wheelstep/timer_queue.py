"""Timers in the order of their times."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

MAX_FIRED_AT_ONCE = 5_000  # timers that fire in one call; the others fire in the next ones
MIN_STALE = 4_096  # stale timers are dropped once they are more than this and than half of all


class Owner(Protocol):
    """What a timer may belong to. It must be reported to `mark_stale` when it is done before its timer has fired."""

    done: bool
    has_timer: bool


OwnerType = TypeVar("OwnerType", bound=Owner)


class TimerQueue(Generic[OwnerType]):
    """Callbacks at times in microseconds; those at the same time fire in the order in which they were added."""

    def __init__(self) -> None:
        self._timers: list[tuple[int, int, Callable[[], None], OwnerType | None]] = []
        self._count = self._stale = 0

    def add(self, when_us: float, callback: Callable[[], None], owner: OwnerType | None = None) -> None:
        """Call `callback` at `when_us`; the timer of an `owner` may be dropped once that is done."""
        self._count += 1
        heapq.heappush(self._timers, (math.ceil(when_us), self._count, callback, owner))

    def mark_stale(self) -> None:
        """Count the timer of an owner that is done before it has fired."""
        self._stale += 1

    def fire(self, now_us: int) -> None:
        """Fire the timers that are due, and those that are added meanwhile."""
        for _ in range(MAX_FIRED_AT_ONCE):
            if not self._timers or self._timers[0][0] > now_us:
                break
            _, _, callback, owner = heapq.heappop(self._timers)
            if owner is not None:
                self._stale -= owner.done
                owner.has_timer = False
            callback()

    def drop_stale(self) -> None:
        """Drop the timers of owners that are done, if there are many."""
        if self._stale > max(MIN_STALE, len(self._timers) // 2):
            self._timers = [timer for timer in self._timers if timer[3] is None or not timer[3].done]
            heapq.heapify(self._timers)
            self._stale = 0

    def next_us(self) -> float:
        """Return when the next timer is due; infinity if there is none."""
        return self._timers[0][0] if self._timers else math.inf
