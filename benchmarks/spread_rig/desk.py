"""The model of an endpoint's lanes and queue, in real or virtual time, and two baseline policies to compare couriers
with: a random endpoint, and the one with the fewest outstanding calls of all couriers."""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from .plan import LANES, QUEUE, Arrival, Scene, Shape


@dataclass(frozen=True, slots=True)
class Call:
    """One call at an endpoint. `arrived_s` is when the whole request had arrived, `end_s` when it is answered, both in
    seconds from the scene's start."""

    destination: int
    position: int  # the endpoint's, in the destination's list
    number: int  # of the message
    arrived_s: float
    end_s: float | None  # None: rejected


class EndpointQueue:
    """The `LANES` parallel lanes of an endpoint and their queue, served in order of arrival.

    A call that its courier has cancelled still occupies its lane. From `stall[0]` to `stall[1]` the endpoint neither
    starts nor finishes a call.
    """

    def __init__(self, stall: tuple[float, float] | None = None) -> None:
        self._free = [0.0] * LANES
        self._ends: list[float] = []
        self._stall = stall

    def outstanding(self, now_s: float) -> int:
        """Return how many calls wait or run at `now_s`."""
        while self._ends and self._ends[0] <= now_s:
            heapq.heappop(self._ends)
        return len(self._ends)

    def accept(self, now_s: float, work_s: float) -> float | None:
        """Add a call that takes `work_s` and return when it is answered, or None if the queue is full."""
        if self.outstanding(now_s) >= LANES + QUEUE:
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


class BaselinePolicy(StrEnum):
    """How the couriers of a baseline choose an endpoint."""

    RANDOM = "random"
    LEAST = "least calls"  # outstanding at the endpoint, from all couriers, without delay


def simulate_calls(seed: int, scene: Scene, shapes: Sequence[Shape], messages: Sequence[Arrival],
                   policy: BaselinePolicy) -> list[Call]:
    """Return the calls of `messages` at the scene's endpoints under `policy`, one for each message, in virtual time."""
    rng = random.Random(f"{seed} {scene.fault} {policy}")
    by_destination = {shape.destination: shape for shape in shapes}
    queues = {shape.destination: [EndpointQueue(scene.stall(position)) for position in range(shape.endpoints + 1)]
              for shape in shapes}
    calls = []
    for message in messages:
        positions, endpoints = (scene.listed_positions(by_destination[message.destination], message.at_s),
                                queues[message.destination])
        if policy is BaselinePolicy.LEAST:
            _, _, position = min((endpoints[one].outstanding(message.at_s), rng.random(), one) for one in positions)
        else:
            position = rng.choice(positions)
        calls.append(Call(message.destination, position, message.number, message.at_s,
                          endpoints[position].accept(message.at_s, message.work_s)))
    return calls
