"""When a watch is opened anew, and which of those that are open counts. Decisions only: no I/O, no clock.

Hedged requests: a watch that says nothing stays open beside its successor until one of the two says something. So
there is always one that waits where an outage ends. Two at most are open; what opens a third ends the oldest."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from wheelstep.courier.spread import ANSWER_S, MOVED_S, TOLD_S, silent_s, wait_s

_MOST_OPEN = 2


@dataclass(slots=True)
class _Opened:
    at_s: float
    spoke: bool = False


class Hedge:
    """The watches of one courier, by number in the order of their opening. `due_s` is when the next one is opened."""

    def __init__(self, couriers: int, rng: random.Random, now_s: float, most_s: float = math.inf) -> None:
        self._couriers, self._rng, self._most_s = couriers, rng, most_s
        self._open: dict[int, _Opened] = {}
        self._count = self._failures = 0  # calls in all; those in a row that brought nothing
        self.due_s = now_s + wait_s(couriers, 0, rng)

    def __contains__(self, number: int) -> bool:
        return number in self._open

    def begin(self, now_s: float) -> tuple[int, list[int]]:
        """One is opened now: its number, and which has to end for it."""
        before = self._open.get(self._count)
        if before is not None and not before.spoke:
            self._failures += 1
        self._count += 1
        self._open[self._count] = _Opened(now_s)
        ended = list(self._open)[:-_MOST_OPEN]
        for number in ended:
            del self._open[number]
        # Where all ask, a start may meet a place that is slow since all start: there an answer is given longer.
        prompt = before.spoke if before is not None else self._couriers <= 1 and not self._failures
        self.due_s = now_s + self._silent_s(prompt)
        return self._count, ended

    def spoke(self, number: int, now_s: float) -> list[int]:
        """A whole line or object came on that one: the others have to end."""
        ended = [other for other in self._open if other != number]
        for other in ended:
            del self._open[other]
        self._open[number].spoke = True
        self._failures = 0
        self.due_s = now_s + self._silent_s()
        return ended

    def ended(self, number: int, now_s: float) -> None:
        """Its connection ended, or never came up, or brought what is no list. That of one that waits beside its
        successor changes nothing."""
        if (one := self._open.pop(number, None)) is None or number != self._count:
            return
        lasted_s = now_s - one.at_s
        # Where all ask, one that was well and long open was lost, maybe with all others: it is no call that failed.
        if self._couriers <= 1 or not one.spoke or lasted_s < TOLD_S:
            self._failures += 1
        self.due_s = now_s + wait_s(self._couriers, self._failures, self._rng, lasted_s, self._most_s)

    def move(self, now_s: float) -> list[int]:
        """Discovery is elsewhere: as at a start, and all have to end."""
        ended = list(self._open)
        self._open.clear()
        self._failures = 0
        self.due_s = now_s + wait_s(self._couriers, 0, self._rng, most_s=MOVED_S - ANSWER_S)
        return ended

    def _silent_s(self, prompt: bool = False) -> float:
        return silent_s(self._couriers, self._failures, prompt, self._rng, self._most_s)
