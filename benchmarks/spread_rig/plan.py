"""What a run consists of: destinations, uneven arrivals and the fault of each scene, all from a seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wheelstep.rehearsal.plan import lognormal

LANES, QUEUE = 4, 200  # of each endpoint: calls that run at a time, and calls that wait
WEIGHT_SIGMA, MAX_WEIGHT = 1.2, 6.0  # of the lognormal distribution of the couriers' traffic, and its upper bound
RECOVERY_S = 1.0  # from the listing of a new endpoint until it counts; twice as long from the end of a stall


class Fault(StrEnum):
    """The fault of a scene."""

    PLAIN = "plain"
    KILLED = "killed"  # a third of the couriers get SIGKILL at the same time and are started again
    REPLACED = "replaced"  # the first endpoint of each destination drains and a new one is listed
    STALLED = "stalled"  # the second endpoint of each destination starts and finishes no calls for a while


@dataclass(frozen=True, slots=True)
class Shape:
    """A destination with `endpoints` equal endpoints, and the share of their capacity that its messages use (`load`, 0
    to 1)."""

    destination: int
    endpoints: int
    load: float

    def __str__(self) -> str:
        return f"{self.endpoints} at {self.load:g}"

    def mean_s(self, per_s: float) -> float:
        """Return the mean time of a call, in seconds, for which `per_s` messages a second are this load."""
        return self.load * LANES * self.endpoints / per_s


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message: it is submitted `at_s` seconds after the scene's start, and an endpoint works on it for `work_s`
    seconds."""

    number: int
    at_s: float
    courier: int  # index of the courier to which it is submitted first
    destination: int
    work_s: float


@dataclass(frozen=True, slots=True)
class Scene:
    """Traffic for `length_s` seconds with one fault, which begins at `at_s`. What comes before `at_s` is not
    counted."""

    fault: Fault
    length_s: float
    at_s: float
    until_s: float  # end of the stall

    def listed_positions(self, shape: Shape, now_s: float) -> range:
        """Return the positions of the destination's listed endpoints. An endpoint that replaces another one gets the
        position after the last."""
        if self.fault is Fault.REPLACED and now_s >= self.at_s:
            return range(1, shape.endpoints + 1)
        return range(shape.endpoints)

    def stall(self, position: int) -> tuple[float, float] | None:
        """Return the begin and the end of the stall of the endpoint at `position`, or None if it doesn't stall."""
        return (self.at_s, self.until_s) if self.fault is Fault.STALLED and position == 1 else None

    def counted_spans(self, shape: Shape) -> dict[int, tuple[float, float]]:
        """Return from when to when each endpoint, by position, should get its part of the calls."""
        spans = dict.fromkeys(range(shape.endpoints), (0.0, self.length_s))
        if self.fault is Fault.REPLACED:
            spans[0] = (0.0, self.at_s)
            spans[shape.endpoints] = (self.at_s + RECOVERY_S, self.length_s)
        elif self.fault is Fault.STALLED:
            spans[1] = (self.until_s + 2 * RECOVERY_S, self.length_s)
        return spans


def weights(seed: int, couriers: int) -> list[float]:
    """Return each courier's weight in the traffic: some several times the mean, many far below it."""
    rng = random.Random(f"weights {seed}")
    return [min(MAX_WEIGHT, lognormal(rng, WEIGHT_SIGMA)) for _ in range(couriers)]


def arrivals(seed: int, scene: Scene, shapes: Sequence[Shape], per_s: float,
             courier_weights: Sequence[float]) -> list[Arrival]:
    """Return a scene's messages in order of time: `per_s` a second in all, on average the same for each destination."""
    rng = random.Random(f"{seed} {scene.fault}")
    couriers, found, at_s = range(len(courier_weights)), list[Arrival](), 0.0
    means = [shape.mean_s(per_s / len(shapes)) for shape in shapes]
    while (at_s := at_s + rng.expovariate(per_s)) < scene.length_s:
        which = rng.randrange(len(shapes))
        found.append(Arrival(len(found), at_s, rng.choices(couriers, courier_weights)[0], shapes[which].destination,
                             rng.expovariate(1 / means[which])))
    return found
