"""The endpoints of destinations. A call takes effect after some time, unless it is refused, and may stay unanswered."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import Check
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, World

MAX_EFFECT_DELAY_US = 600 * MS  # from a call's first byte


class Outcome(Enum):
    """The outcome of a call, as its caller sees it."""

    OK = "ok"
    REFUSED = "refused"  # it did not run
    DOWN = "down"  # nothing listens at the endpoint


@dataclass(slots=True)
class Partners:
    """All endpoints. Rates are probabilities for each call; `down` holds the endpoints at which nothing listens."""

    world: World
    check: Check
    rng: random.Random
    refuse_rate: float = 0.05
    silent_rate: float = 0.05
    slow_rate: float = 0.15
    down: set[str] = field(default_factory=set)

    def call(self, process: Process, endpoint: str, message: StoredMessage,
             on_outcome: Callable[[Outcome], None]) -> None:
        """Send the first byte of a call now. `on_outcome` may never be called."""
        rng = self.rng
        self.check.on_call_started(process, endpoint, message)
        travel_us = 300 + int(rng.random() * 2 * MS)
        if endpoint in self.down:
            self.world.call_after(travel_us, self._end_without_effect, process, message, on_outcome, Outcome.DOWN)
            return
        if rng.random() < self.refuse_rate:
            self.world.call_after(travel_us + MS, self._end_without_effect, process, message, on_outcome,
                                  Outcome.REFUSED)
            return
        work_us = int(rng.random() * (MAX_EFFECT_DELAY_US - 10 * MS if rng.random() < self.slow_rate else 30 * MS))
        self.world.call_after(travel_us + work_us, self._effect, process, message)
        if rng.random() >= self.silent_rate:
            self.world.call_after(travel_us + work_us + MS, process.deliver, on_outcome, Outcome.OK)

    def _effect(self, process: Process, message: StoredMessage) -> None:
        self.check.on_call_ended(process, message)
        self.check.on_effect(message)

    def _end_without_effect(self, process: Process, message: StoredMessage, on_outcome: Callable[[Outcome], None],
                            outcome: Outcome) -> None:
        self.check.on_call_ended(process, message)
        process.deliver(on_outcome, outcome)
