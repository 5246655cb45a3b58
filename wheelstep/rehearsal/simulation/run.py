"""One run of a fleet from one seed: what it is made of, its faults, a quiet time, and the verdict.

Imports `wheelstep.channels.contracts` and its neighbours.
"""

from __future__ import annotations

import random
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.channels.contracts import part_of
from wheelstep.rehearsal.simulation import faults
from wheelstep.rehearsal.simulation.check import LIVE, Check, ViolationError
from wheelstep.rehearsal.simulation.clients import Client, clients
from wheelstep.rehearsal.simulation.content import SimContent
from wheelstep.rehearsal.simulation.disk import Disk
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import Partners
from wheelstep.rehearsal.simulation.ports import NodeLike
from wheelstep.rehearsal.simulation.world import MS, Clock, S, World


@dataclass(frozen=True, slots=True)
class Setup:
    """What a run is made of. Faults come until `faults_us`, and the verdict after `quiet_us` more."""

    couriers: int = 3
    voters: int = 3
    parts: int = 4
    channels: int = 6
    messages: int = 20  # a channel
    every_us: int = 700 * MS
    lease_us: int = 2 * S
    drift_ppm: int = 20_000
    faults_us: int = 18 * S
    quiet_us: int = 12 * S
    most_faults: int = 8

    def names(self) -> tuple[str, ...]:
        """Of the couriers; the first ones vote."""
        return tuple(f"c{number}" for number in range(1, self.couriers + 1))


def drawn(seed: int, couriers: int = 0) -> Setup:
    """Mostly small; `couriers` fixes their number."""
    rng = random.Random(seed ^ 0xD1CE)
    count = couriers or rng.choice((3, 3, 3, 3, 4, 5, 5, 7, 12))
    voters = 5 if count >= 5 and rng.random() < 0.5 else 3
    return Setup(couriers=count, voters=voters, parts=rng.choice((2, 4, 4, 8)), channels=rng.randint(3, 8))


@dataclass(slots=True)
class Result:
    """`text` says what was broken; empty if nothing."""

    seed: int
    text: str
    rule: str
    events: int
    boundaries: int
    count: Counter[str]
    lines: list[str]


Maker = Callable[[Machine, SimContent, Setup, dict[str, Machine]], NodeLike]


class Run:
    """`maker` builds the node of a machine that starts."""

    def __init__(self, seed: int, setup: Setup, maker: Maker, traced: bool = False) -> None:
        self.seed, self.setup, self._maker = seed, setup, maker
        self.world = world = World(seed, traced)
        self.check = Check(world)
        self.marks: dict[str, int] = {}
        self.fleet: dict[str, Machine] = {}
        self.partners = Partners(world, self.check, random.Random(seed ^ 0xCA11))
        drift = setup.drift_ppm
        for name in setup.names():
            clock = Clock(world.rng.randrange(10**12), world.rng.randint(-drift, drift), world.rng.randrange(10**15))
            Machine(name, world, clock, Disk(random.Random(world.rng.randrange(1 << 60))), self.fleet, self._make)
        machines = list(self.fleet.values())
        self.faults = faults.Faults(world, self.check, machines, Machine.start, drift, setup.names()[:setup.voters])
        for machine in machines:
            machine.on_end = self.faults.ended
            world.at(world.rng.randrange(300 * MS), machine.start)
        self.clients: list[Client] = clients(world, self.check, self.fleet, setup.channels, setup.parts,
                                             setup.messages, setup.every_us, seed)
        for client in self.clients:
            client.start()

    def _make(self, machine: Machine) -> tuple[NodeLike, SimContent]:
        content = SimContent(machine, self.setup.parts, self.check, self.partners)
        return self._maker(machine, content, self.setup, self.fleet), content

    def mark(self, name: str) -> None:
        """So many action boundaries were passed by now."""
        self.marks[name] = self.world.boundaries

    def play(self) -> Result:
        """To its end, or to the first violation or error."""
        setup, world, text, rule = self.setup, self.world, "", ""
        self.faults.play(faults.draw(self.seed, setup.couriers, setup.voters, setup.faults_us, setup.lease_us,
                                     setup.most_faults))
        for moment in range(0, setup.faults_us + setup.quiet_us, 250 * MS):
            world.at(moment, lambda: self.check.owners(self.owners()))
        try:
            world.run(setup.faults_us)
            self.faults.heal()
            world.run(setup.faults_us + setup.quiet_us)
            self.check.final(self.owners(), [one.channel for one in self.clients if not one.done])
        except ViolationError as error:
            text, rule = str(error), error.rule
        except Exception as error:  # a decision module that fails is a finding like any other
            where = traceback.extract_tb(error.__traceback__)[-1]
            rule = type(error).__name__
            text = f"seed {self.seed} at {world.now_us / S:.6f} s: {rule}: {error} ({where.filename}:{where.lineno})"
        world.trace("check", text)
        return Result(self.seed, text, rule, world.events, world.boundaries, self.check.count, world.lines or [])

    def owners(self) -> dict[int, list[str]]:
        """Who may send for each part right now, by themselves."""
        return {part: [machine.name for machine in self.fleet.values() if machine.alive and not machine.stopped
                       and machine.node.epoch(part, machine.own_us()) is not None]
                for part in range(self.setup.parts)}


CALM = Setup(parts=2, channels=4, messages=12, every_us=300 * MS, faults_us=6 * S, quiet_us=12 * S, most_faults=0)


def crash_point(seed: int, maker: Maker, crash_at: int, traced: bool = False) -> tuple[Run, Result]:
    """A courier leaves at 3 s; the process that passes this action boundary ends there (-1: none), at odd ones with its
    machine's power."""
    run = Run(seed, CALM, maker, traced)
    leaver = run.fleet[f"c{seed % CALM.couriers + 1}"]
    run.world.crash_at, run.world.crash_power = crash_at, bool(crash_at % 2)
    run.world.at(3 * S, run.mark, "began")
    run.world.at(3 * S, leaver.leave)
    leaver.on_left = lambda: run.mark("left")
    return run, run.play()


def crash_points(seed: int, maker: Maker, stride: int = 1) -> Result:
    """Each boundary from the leave's begin to its end, or one in `stride`. The sum, with what was broken first."""
    run, whole = crash_point(seed, maker, -1)
    whole.count["points"] = 0
    if not whole.text and "left" not in run.marks:
        whole.text, whole.rule = f"seed {seed}: the courier did not get its parts away", LIVE
    if whole.text:
        return whole
    for crash_at in range(run.marks["began"] + 1, run.marks["left"] + 1, stride):
        _, result = crash_point(seed, maker, crash_at)
        whole.count["points"] += 1
        whole.events += result.events
        if result.text and not whole.text:
            whole.text, whole.rule = f"{result.text} (--crash-at {crash_at})", result.rule
    return whole


def twice_over(seed: int, maker: Maker, traced: bool = False) -> Result:
    """The owner of a part dies at 5 s; who took it over dies at 10.8 s, right before the first one is back, and stays
    away for 7 s."""
    setup = Setup(parts=2, channels=4, messages=45, every_us=300 * MS, faults_us=20 * S, most_faults=0)
    run = Run(seed, setup, maker, traced)
    part = part_of(run.clients[0].channel, setup.parts)

    def end(down_us: int) -> None:
        for name in run.owners()[part]:
            run.faults.down_us[name] = down_us
            run.fleet[name].crash()
    run.world.at(5 * S, end, 5_800 * MS)
    run.world.at(10_800 * MS, end, 7 * S)
    return run.play()
