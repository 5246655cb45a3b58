"""Destinations' endpoints: calls take a while, take effect once they run, and answer, or not."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import Check
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, World

LATEST_US = 600 * MS  # after its first byte a call takes effect, if it does


class Outcome(Enum):
    """Of a call, as its caller hears it."""

    OK = "ok"
    REFUSED = "refused"  # it did not run
    DOWN = "down"  # nobody there


@dataclass(slots=True)
class Partners:
    """All of them. `down`: endpoints that nobody answers for."""

    world: World
    check: Check
    rng: random.Random
    refuse: float = 0.05
    silent: float = 0.05
    slow: float = 0.15
    down: set[str] = field(default_factory=set)

    def call(self, process: Process, endpoint: str, message: StoredMessage, heard: Callable[[Outcome], None]) -> None:
        """The first byte goes out now; `heard` may never be told."""
        rng = self.rng
        self.check.sent(process, endpoint, message)
        there = 300 + int(rng.random() * 2 * MS)
        if endpoint in self.down:
            self.world.after(there, self._unrun, process, message, heard, Outcome.DOWN)
            return
        if rng.random() < self.refuse:
            self.world.after(there + MS, self._unrun, process, message, heard, Outcome.REFUSED)
            return
        works = int(rng.random() * (LATEST_US - 10 * MS if rng.random() < self.slow else 30 * MS))
        self.world.after(there + works, self._effect, process, message)
        if rng.random() >= self.silent:
            self.world.after(there + works + MS, process.deliver, heard, Outcome.OK)

    def _effect(self, process: Process, message: StoredMessage) -> None:
        self.check.call_over(process, message)
        self.check.effect(message)

    def _unrun(self, process: Process, message: StoredMessage, heard: Callable[[Outcome], None],
               outcome: Outcome) -> None:
        self.check.call_over(process, message)
        process.deliver(heard, outcome)
