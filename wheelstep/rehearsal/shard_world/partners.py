"""The endpoints of simulated destinations: a call takes effect after some time, and is answered or not."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import InvariantChecker
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, World

MAX_EFFECT_DELAY_US = 600 * MS  # from a call's first byte until it takes effect


class Outcome(Enum):
    """The outcome of a call that its caller receives."""

    OK = "ok"
    REFUSED = "refused"  # the call did not run
    DOWN = "down"  # the endpoint is not there


@dataclass(slots=True)
class Partners:
    """All endpoints; those named in `down` can't be reached."""

    world: World
    check: InvariantChecker
    rng: random.Random
    refusal_probability: float = 0.05
    no_answer_probability: float = 0.05
    slow_probability: float = 0.15
    down: set[str] = field(default_factory=set)

    def call(self, process: Process, endpoint: str, message: StoredMessage,
             on_outcome: Callable[[Outcome], None]) -> None:
        """Send the first byte of a call now. `on_outcome` is not called if the answer is lost."""
        rng = self.rng
        self.check.on_call(process, endpoint, message)
        transit_us = 300 + int(rng.random() * 2 * MS)
        if endpoint in self.down:
            self.world.schedule_after(transit_us, self._report_not_run, process, message, on_outcome, Outcome.DOWN)
            return
        if rng.random() < self.refusal_probability:
            self.world.schedule_after(
                transit_us + MS, self._report_not_run, process, message, on_outcome, Outcome.REFUSED)
            return
        work_us = int(rng.random() * (
            MAX_EFFECT_DELAY_US - 10 * MS if rng.random() < self.slow_probability else 30 * MS))
        self.world.schedule_after(transit_us + work_us, self._take_effect, process, message)
        if rng.random() >= self.no_answer_probability:
            self.world.schedule_after(transit_us + work_us + MS, process.deliver, on_outcome, Outcome.OK)

    def _take_effect(self, process: Process, message: StoredMessage) -> None:
        self.check.on_call_over(process, message)
        self.check.on_effect(message)

    def _report_not_run(self, process: Process, message: StoredMessage, on_outcome: Callable[[Outcome], None],
               outcome: Outcome) -> None:
        self.check.on_call_over(process, message)
        process.deliver(on_outcome, outcome)
