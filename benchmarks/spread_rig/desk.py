"""An endpoint's lanes and queue, by real or by virtual time alike, and two choices to compare with: at random, and
least calls with the truth known."""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from .plan import LANES, QUEUE, Arrival, Scene, Shape


@dataclass(frozen=True, slots=True)
class Call:
    """One call at an endpoint: its place on the list, when it came whole and when it is answered (seconds)."""

    destination: int
    place: int
    number: int
    came_s: float
    end_s: float | None  # None: refused


class Desk:
    """First come, first served, by some lanes. Calls that are given up run on."""

    def __init__(self, stall: tuple[float, float] | None = None) -> None:
        self._free = [0.0] * LANES
        self._ends: list[float] = []
        self._stall = stall

    def out(self, now_s: float) -> int:
        """Calls that wait or run."""
        while self._ends and self._ends[0] <= now_s:
            heapq.heappop(self._ends)
        return len(self._ends)

    def take(self, now_s: float, work_s: float) -> float | None:
        """When a call that comes now is answered; None where the queue is full."""
        if self.out(now_s) >= LANES + QUEUE:
            return None
        begin_s = max(now_s, self._free[0])
        if self._stall is not None:
            at_s, until_s = self._stall
            if at_s <= begin_s < until_s:
                begin_s = until_s
            elif begin_s < at_s < begin_s + work_s:
                work_s += until_s - at_s
        end_s = begin_s + work_s
        heapq.heapreplace(self._free, end_s)
        heapq.heappush(self._ends, end_s)
        return end_s


class Choice(StrEnum):
    """How the couriers would choose that we compare with."""

    RANDOM = "random"
    LEAST = "least calls"  # of all couriers, known at once


def virtual(seed: int, scene: Scene, shapes: Sequence[Shape], messages: Sequence[Arrival],
            choice: Choice) -> list[Call]:
    """The calls of the same messages at the same endpoints, with this choice, in virtual time."""
    rng = random.Random(f"{seed} {scene.fault} {choice}")
    by = {shape.destination: shape for shape in shapes}
    desks = {shape.destination: [Desk(scene.stall(place)) for place in range(shape.endpoints + 1)] for shape in shapes}
    calls = []
    for message in messages:
        places, row = scene.listed(by[message.destination], message.at_s), desks[message.destination]
        if choice is Choice.LEAST:
            _, _, place = min((row[one].out(message.at_s), rng.random(), one) for one in places)
        else:
            place = rng.choice(places)
        calls.append(Call(message.destination, place, message.number, message.at_s,
                          row[place].take(message.at_s, message.work_s)))
    return calls
