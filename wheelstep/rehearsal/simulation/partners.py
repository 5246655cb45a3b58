"""The simulated destinations. They see the first byte of each call at once, and accept it, refuse it, hang, or lose
the answer.

Imports neighbouring modules only.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.rehearsal.simulation.check import InvariantChecker
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.world import MS, S, World

OK, REFUSED = "ok", "refused"


@dataclass(slots=True)
class Partners:
    """All destinations together. `ran` holds the messages that took effect."""

    world: World
    check: InvariantChecker
    rng: random.Random
    refusal_probability: float = 0.05
    lost_answer_probability: float = 0.02
    hang_probability: float = 0.01  # of an answer after 2 to 6 s, longer than a caller waits
    ran: set[str] = field(default_factory=set)

    def call(self, machine: Machine, part: int, channel: str, number: int, epoch: int, message: str,
             on_outcome: Callable[[str], None]) -> None:
        """Receive the first byte of an attempt. `on_outcome` gets `OK` or `REFUSED`, unless the answer is lost or the
        caller's process has ended; a lost answer needs a timeout of the caller's own."""
        self.world.trace("partn", "first byte", machine.name, message, f"part {part} epoch {epoch}")
        self.check.on_first_byte(machine.name, part, epoch, channel, number, message)
        rng = self.rng
        delay = int((1 + rng.random() * 29) * MS)
        if rng.random() < self.hang_probability:
            delay = int((2 + 4 * rng.random()) * S)
        answer = REFUSED if rng.random() < self.refusal_probability else OK
        if answer == OK:
            self.ran.add(message)

        def deliver_answer() -> None:
            if answer == REFUSED:
                self.check.on_refused(message)
            on_outcome(answer)
        if rng.random() >= self.lost_answer_probability:
            self.world.schedule_after(delay, machine.run_event, machine.generation, deliver_answer)
