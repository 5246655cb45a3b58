"""Scenes with many decision modules at one destination, and the model of its endpoints."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

S, LANES = 1_000_000, 4


@dataclass(frozen=True)
class Scene:
    """One scene. `load` is a share of the capacity of all endpoints. A fault begins at `at_s`; `trouble` is one of ""
    (none), "restart" (of seven modules in ten), "list" (a quarter of the endpoints is replaced), "slow" (one endpoint
    takes three times as long), "hung" (one answers nothing for 3 s), "cold" (one refuses connections for 3 s, then has
    0.3 of its capacity, and all of it 6 s later) and "lull" (nothing arrives for 4 s)."""

    name: str
    modules: int = 200
    endpoints: int = 8
    load: float = 0.5
    unequal: bool = False
    uneven: bool = True
    trouble: str = ""
    span_s: int = 10
    at_s: int = 3


@dataclass
class Server:
    """One endpoint: its lanes, its queue and its current state."""

    name: str
    lanes: int = LANES
    factor: float = 1.0
    hung: bool = False
    down: bool = False
    back_us: int = -1
    busy: int = 0
    queue: deque[Any] = field(default_factory=deque)
    sent: list[int] = field(default_factory=list)  # when calls arrived

    def speed(self, now_us: int) -> float:
        """Return the current speed of a lane, 1.0 at best."""
        if self.back_us >= 0:
            return min(1.0, 0.3 + 0.7 * (now_us - self.back_us) / (6 * S))
        return self.factor

    def wait(self, now_us: int) -> float:
        """Return the actual load that one more call meets, by capacity."""
        if self.down or self.hung:
            return math.inf
        return (self.busy + len(self.queue) + 1) / self.lanes / self.speed(now_us)


BASE = Scene("half")
SCENES = [
    BASE,
    Scene("8 even", uneven=False),
    Scene("2 at half", endpoints=2),
    Scene("3 at 0.7", endpoints=3, load=0.7),
    Scene("20 at 0.3", endpoints=20, load=0.3),
    Scene("8 at 0.2", load=0.2),
    Scene("8 at 0.9", load=0.9),
    Scene("24 at 0.7, 600", modules=600, endpoints=24, load=0.7, span_s=6),
    Scene("8 at 0.2, 600", modules=600, load=0.2),
    Scene("3 at 0.9, 600", modules=600, endpoints=3, load=0.9),
    Scene("unequal", unequal=True, load=0.6),
    Scene("unequal, 600 at 0.3", modules=600, endpoints=12, unequal=True, load=0.3),
    Scene("restart", trouble="restart"),
    Scene("restart, 20 at 0.3", endpoints=20, load=0.3, trouble="restart"),
    Scene("list", trouble="list"),
    Scene("slow", trouble="slow", span_s=12),
    Scene("slow, 3 at 0.4", endpoints=3, load=0.4, trouble="slow", span_s=12),
    Scene("hung", trouble="hung", span_s=12),
    Scene("cold", trouble="cold", span_s=12),
    Scene("lull", trouble="lull", span_s=12),
]
