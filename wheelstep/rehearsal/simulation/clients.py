"""A client for each channel: hands in numbered messages one after another, follows the owner, and comes again.

Imports its neighbours.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.channels.contracts import part_of
from wheelstep.rehearsal.simulation.check import Check
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.world import MS, S, World

WAIT_US = 2 * S  # for an answer
LOSE = 0.01
KINDS = ("orders", "skips", "wide", "last", "once")  # contracts, one for each channel in turn


@dataclass(slots=True)
class Client:
    """Of one channel: `total` messages, one in `every_us` or so."""

    world: World
    check: Check
    rng: random.Random
    fleet: dict[str, Machine]
    channel: str
    parts: int
    total: int
    every_us: int
    number: int = 1
    courier: str = ""
    given_up: int = 0
    _try: int = 0
    _done: bool = False

    @property
    def done(self) -> bool:
        """All have been taken, or refused for good."""
        return self.number > self.total

    def start(self) -> None:
        """At a moment of its own."""
        self.world.after(int(self.rng.random() * self.every_us) + 1, self._hand_in)

    def _hand_in(self) -> None:
        while f"{self.channel}#{self.number}" in self.check.ends:
            self.number += 1  # its end was told: no need to ask again
        if self.done:
            return
        self._try += 1
        up = [name for name, machine in self.fleet.items() if machine.alive]
        if self.courier not in up:
            self.courier = self.rng.choice(up) if up else ""
        self.world.after(WAIT_US, self._silent, self._try)
        if not self.courier or self.rng.random() < LOSE:
            return
        machine, message, attempt = self.fleet[self.courier], f"{self.channel}#{self.number}", self._try
        number = self.number

        def arrive() -> None:
            machine.content.hand_in(self.channel, number, message,
                                    lambda status, then, owner: self._reply(machine, attempt, status, then, owner))
        self.world.after(self._delay(), machine.enter, machine.life, arrive)

    def _delay(self) -> int:
        return int((0.2 + self.rng.random() * 3) * MS)

    def _reply(self, machine: Machine, attempt: int, status: int, then: int, owner: str) -> None:
        if self.rng.random() >= LOSE:
            self.world.after(self._delay(), self._answer, machine.name, attempt, status, then, owner)

    def _answer(self, courier: str, attempt: int, status: int, then: int, owner: str) -> None:
        if attempt != self._try:
            return  # given up meanwhile: to the client it is as if nothing had come
        self.world.trace("clien", str(status), courier, f"{self.channel}#{self.number}", then, owner)
        self._try += 1
        if status == 503:
            self.courier = owner
            self.world.after(int((20 + self.rng.random() * 200) * MS), self._hand_in)
            return
        part = part_of(self.channel, self.parts)
        if status == 202:
            self.check.accepted(courier, part, self.channel, self.number, f"{self.channel}#{self.number}", then)
        else:
            self.check.position(courier, self.channel, then)
            self.given_up += status == 409
        if status != 409 or then > self.number:
            self.number = max(then, self.number + 1)
        self.world.after(int((0.5 + self.rng.random()) * self.every_us), self._hand_in)

    def _silent(self, attempt: int) -> None:
        if attempt == self._try:
            self.courier = ""
            self._hand_in()


def clients(world: World, check: Check, fleet: dict[str, Machine], channels: int, parts: int, total: int,
            every_us: int, seed: int) -> list[Client]:
    """One a channel."""
    make: Callable[[int], random.Random] = lambda number: random.Random(seed * 1000 + number)  # noqa: E731
    return [Client(world, check, make(one), fleet, f"{KINDS[one % len(KINDS)]}/{one}/k", parts, total, every_us)
            for one in range(channels)]
