"""The destinations: they see each call's first byte in true time, and answer, refuse, hang or lose the answer.

Imports its neighbours alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.rehearsal.simulation.check import Check
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.world import MS, S, World

OK, REFUSED = "ok", "refused"


@dataclass(slots=True)
class Partners:
    """One for all destinations. `then` hears an outcome unless the answer is lost; the caller has its own bound."""

    world: World
    check: Check
    rng: random.Random
    refuse: float = 0.05
    lose: float = 0.02
    hang: float = 0.01  # far longer than a caller waits
    ran: set[str] = field(default_factory=set)

    def call(self, machine: Machine, part: int, channel: str, number: int, epoch: int, message: str,
             then: Callable[[str], None]) -> None:
        """The first byte of an attempt is written now."""
        self.world.trace("partn", "first byte", machine.name, message, f"part {part} epoch {epoch}")
        self.check.first_byte(machine.name, part, epoch, channel, number, message)
        rng = self.rng
        delay = int((1 + rng.random() * 29) * MS)
        if rng.random() < self.hang:
            delay = int((2 + 4 * rng.random()) * S)
        answer = REFUSED if rng.random() < self.refuse else OK
        if answer == OK:
            self.ran.add(message)

        def arrive() -> None:
            if answer == REFUSED:
                self.check.refused(message)
            then(answer)
        if rng.random() >= self.lose:
            self.world.after(delay, machine.enter, machine.life, arrive)
