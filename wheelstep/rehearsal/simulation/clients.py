"""A client for each channel. It submits numbered messages one after another, follows the channel's owner, and retries.

Imports neighbouring modules.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.channels.contracts import part_of
from wheelstep.rehearsal.simulation.check import InvariantChecker
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.world import MS, S, World

ANSWER_TIMEOUT_US = 2 * S
LOSS_PROBABILITY = 0.01  # of a request, and of an answer
CONTRACT_NAMES = ("orders", "skips", "wide", "last", "once")  # channels take them in turn


@dataclass(slots=True)
class Client:
    """The client of one channel: submits `message_count` messages, one about every `message_interval_us`. `number` is
    the next message's, `courier` where it goes; `conflicts` counts answers of 409."""

    world: World
    check: InvariantChecker
    rng: random.Random
    fleet: dict[str, Machine]
    channel: str
    parts: int
    message_count: int
    message_interval_us: int
    number: int = 1
    courier: str = ""
    conflicts: int = 0
    _current_attempt: int = 0
    _done: bool = False

    @property
    def done(self) -> bool:
        """Whether every message has been accepted, has ended, or was rejected for good."""
        return self.number > self.message_count

    def start(self) -> None:
        """Schedule the first message, at a random time within the first interval."""
        self.world.schedule_after(int(self.rng.random() * self.message_interval_us) + 1, self._submit)

    def _submit(self) -> None:
        while f"{self.channel}#{self.number}" in self.check.ends:
            self.number += 1  # its end was reported: no need to submit it again
        if self.done:
            return
        self._current_attempt += 1
        running = [name for name, machine in self.fleet.items() if machine.alive]
        if self.courier not in running:
            self.courier = self.rng.choice(running) if running else ""
        self.world.schedule_after(ANSWER_TIMEOUT_US, self._on_timeout, self._current_attempt)
        if not self.courier or self.rng.random() < LOSS_PROBABILITY:
            return
        machine, message, attempt = self.fleet[self.courier], f"{self.channel}#{self.number}", self._current_attempt
        number = self.number

        def deliver() -> None:
            machine.content.submit(self.channel, number, message,
                                    lambda status, next_number, owner: self._send_answer(
                                        machine, attempt, status, next_number, owner))
        self.world.schedule_after(self._delay(), machine.run_event, machine.generation, deliver)

    def _delay(self) -> int:
        return int((0.2 + self.rng.random() * 3) * MS)

    def _send_answer(self, machine: Machine, attempt: int, status: int, next_number: int, owner: str) -> None:
        if self.rng.random() >= LOSS_PROBABILITY:
            self.world.schedule_after(self._delay(), self._on_answer, machine.name, attempt, status, next_number, owner)

    def _on_answer(self, courier: str, attempt: int, status: int, next_number: int, owner: str) -> None:
        if attempt != self._current_attempt:
            return  # the attempt has timed out meanwhile
        self.world.trace("clien", str(status), courier, f"{self.channel}#{self.number}", next_number, owner)
        self._current_attempt += 1
        if status == 503:
            self.courier = owner
            self.world.schedule_after(int((20 + self.rng.random() * 200) * MS), self._submit)
            return
        part = part_of(self.channel, self.parts)
        if status == 202:
            self.check.on_accepted(
                courier, part, self.channel, self.number, f"{self.channel}#{self.number}", next_number)
        else:
            self.check.on_position(courier, self.channel, next_number)
            self.conflicts += status == 409
        if status != 409 or next_number > self.number:
            self.number = max(next_number, self.number + 1)
        self.world.schedule_after(int((0.5 + self.rng.random()) * self.message_interval_us), self._submit)

    def _on_timeout(self, attempt: int) -> None:
        if attempt == self._current_attempt:
            self.courier = ""
            self._submit()


def make_clients(world: World, check: InvariantChecker, fleet: dict[str, Machine], channels: int, parts: int,
                 message_count: int, message_interval_us: int, seed: int) -> list[Client]:
    """Return one client for each of `channels` channels, each with a random generator of its own."""
    make_rng: Callable[[int], random.Random] = lambda number: random.Random(seed * 1000 + number)  # noqa: E731
    return [Client(world, check, make_rng(index), fleet, f"{CONTRACT_NAMES[index % len(CONTRACT_NAMES)]}/{index}/k",
                   parts, message_count, message_interval_us) for index in range(channels)]
