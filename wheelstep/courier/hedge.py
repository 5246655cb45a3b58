"""Decides when a watch is opened and which open watch counts. No I/O, no clock.

Hedged requests: a silent watch stays open beside its successor until one of them receives something. So one is
always open when an outage ends. At most two are open; opening a third ends the oldest.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from wheelstep.courier.spread import ANSWER_S, MOVE_LIMIT_S, NEWS_LIMIT_S, silence_limit_s, wait_s

_MAX_OPEN = 2


@dataclass(slots=True)
class _OpenWatch:
    opened_s: float
    received: bool = False


class Hedge:
    """The watches of one courier, numbered in the order of their opening. `next_open_s` is when the next one is
    opened."""

    def __init__(self, couriers: int, rng: random.Random, now_s: float, max_s: float = math.inf) -> None:
        self._couriers, self._rng, self._most_s = couriers, rng, max_s
        self._open: dict[int, _OpenWatch] = {}
        self._count = self._failures = 0  # all calls; consecutive calls that received nothing
        self.next_open_s = now_s + wait_s(couriers, 0, rng)

    def __contains__(self, number: int) -> bool:
        return number in self._open

    def open_next(self, now_s: float) -> tuple[int, list[int]]:
        """Open the next watch: return its number and the watches that end for it."""
        before = self._open.get(self._count)
        if before is not None and not before.received:
            self._failures += 1
        self._count += 1
        self._open[self._count] = _OpenWatch(now_s)
        ended = list(self._open)[:-_MAX_OPEN]
        for number in ended:
            del self._open[number]
        # If all couriers call discovery, it may be slow as all of them start: a first answer gets more time then.
        prompt = before.received if before is not None else self._couriers <= 1 and not self._failures
        self.next_open_s = now_s + self._silence_limit_s(prompt)
        return self._count, ended

    def received(self, number: int, now_s: float) -> list[int]:
        """Note a complete line or object on this watch: return the others, which have to end."""
        ended = [other for other in self._open if other != number]
        for other in ended:
            del self._open[other]
        self._open[number].received = True
        self._failures = 0
        self.next_open_s = now_s + self._silence_limit_s()
        return ended

    def ended(self, number: int, now_s: float) -> None:
        """Note that a watch's connection ended, never opened, or carried something other than a list. For a watch
        that waits beside its successor nothing changes."""
        if (one := self._open.pop(number, None)) is None or number != self._count:
            return
        lasted_s = now_s - one.opened_s
        # If all couriers call discovery, a watch that worked for long was perhaps lost by all at once, which is no
        # failed call.
        if self._couriers <= 1 or not one.received or lasted_s < NEWS_LIMIT_S:
            self._failures += 1
        self.next_open_s = now_s + wait_s(self._couriers, self._failures, self._rng, lasted_s, self._most_s)

    def move(self, now_s: float) -> list[int]:
        """Note that discovery has moved: schedule as at a start, and return all watches, which have to end."""
        ended = list(self._open)
        self._open.clear()
        self._failures = 0
        self.next_open_s = now_s + wait_s(self._couriers, 0, self._rng, max_s=MOVE_LIMIT_S - ANSWER_S)
        return ended

    def _silence_limit_s(self, prompt: bool = False) -> float:
        return silence_limit_s(self._couriers, self._failures, prompt, self._rng, self._most_s)
