"""What is played: destinations, thin and uneven arrivals, and the fault of each scene. From a seed alone."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from wheelstep.rehearsal.plan import lognormal

LANES, QUEUE = 4, 200  # of each endpoint
UNEVEN, MOST_WEIGHT = 1.2, 6.0  # couriers' parts of the traffic: their deviation, and the largest over the mean
AGAIN_S = 1.0  # a new endpoint counts so long after it was told, one that has stalled twice as long


class Fault(StrEnum):
    """What happens in a scene."""

    PLAIN = "plain"
    KILLED = "killed"  # a third of the couriers, SIGKILL at once, and started again
    REPLACED = "replaced"  # the first endpoint of each destination
    STALLED = "stalled"  # the second endpoint of each destination


@dataclass(frozen=True, slots=True)
class Shape:
    """A destination of equal endpoints, and which part of their capacity is asked for."""

    destination: int
    endpoints: int
    load: float

    def __str__(self) -> str:
        return f"{self.endpoints} at {self.load:g}"

    def mean_s(self, per_s: float) -> float:
        """A call's mean time at an endpoint that makes `per_s` messages this load."""
        return self.load * LANES * self.endpoints / per_s


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message: when it is handed in, and how long an endpoint has to work on it. Seconds from the scene's start."""

    number: int
    at_s: float
    courier: int
    destination: int
    work_s: float


@dataclass(frozen=True, slots=True)
class Scene:
    """One play of `length_s`. The fault begins at `at_s`; what comes before `at_s` does not count."""

    fault: Fault
    length_s: float
    at_s: float
    until_s: float  # a stall's end

    def listed(self, shape: Shape, now_s: float) -> range:
        """The endpoints' places on the list. The new one of a replacement has the place after the last."""
        if self.fault is Fault.REPLACED and now_s >= self.at_s:
            return range(1, shape.endpoints + 1)
        return range(shape.endpoints)

    def stall(self, place: int) -> tuple[float, float] | None:
        """When this endpoint stands still, if it does."""
        return (self.at_s, self.until_s) if self.fault is Fault.STALLED and place == 1 else None

    def counts(self, shape: Shape) -> dict[int, tuple[float, float]]:
        """From when to when each endpoint should get its part."""
        spans = dict.fromkeys(range(shape.endpoints), (0.0, self.length_s))
        if self.fault is Fault.REPLACED:
            spans[0] = (0.0, self.at_s)
            spans[shape.endpoints] = (self.at_s + AGAIN_S, self.length_s)
        elif self.fault is Fault.STALLED:
            spans[1] = (self.until_s + 2 * AGAIN_S, self.length_s)
        return spans


def weights(seed: int, couriers: int) -> list[float]:
    """Each courier's part of the traffic: some several times the mean, many far below it."""
    rng = random.Random(f"weights {seed}")
    return [min(MOST_WEIGHT, lognormal(rng, UNEVEN)) for _ in range(couriers)]


def arrivals(seed: int, scene: Scene, shapes: Sequence[Shape], per_s: float, parts: Sequence[float]) -> list[Arrival]:
    """A scene's messages, `per_s` a second in all, each destination the same part of them."""
    rng = random.Random(f"{seed} {scene.fault}")
    couriers, found, at_s = range(len(parts)), list[Arrival](), 0.0
    means = [shape.mean_s(per_s / len(shapes)) for shape in shapes]
    while (at_s := at_s + rng.expovariate(per_s)) < scene.length_s:
        which = rng.randrange(len(shapes))
        found.append(Arrival(len(found), at_s, rng.choices(couriers, parts)[0], shapes[which].destination,
                             rng.expovariate(1 / means[which])))
    return found
