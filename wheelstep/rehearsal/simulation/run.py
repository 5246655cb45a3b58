"""One simulated run of a fleet from one seed: its setup, a time with faults, a quiet time, and the final checks.

Imports `wheelstep.channels.contracts` and neighbouring modules.
"""

from __future__ import annotations

import random
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.channels.contracts import part_of
from wheelstep.rehearsal.simulation import faults
from wheelstep.rehearsal.simulation.check import LIVE, InvariantChecker, ViolationError
from wheelstep.rehearsal.simulation.clients import Client, make_clients
from wheelstep.rehearsal.simulation.content import SimContent
from wheelstep.rehearsal.simulation.disk import Disk
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import Partners
from wheelstep.rehearsal.simulation.ports import NodeLike
from wheelstep.rehearsal.simulation.world import MS, Clock, S, World


@dataclass(frozen=True, slots=True)
class Setup:
    """The parameters of a run. Faults come until `faults_us`; the final checks follow `quiet_us` later."""

    couriers: int = 3
    voters: int = 3
    parts: int = 4
    channels: int = 6
    messages: int = 20  # of each channel
    message_interval_us: int = 700 * MS
    lease_us: int = 2 * S
    drift_ppm: int = 20_000
    faults_us: int = 18 * S
    quiet_us: int = 12 * S
    max_faults: int = 8

    def names(self) -> tuple[str, ...]:
        """Return the couriers' names; the first `voters` of them vote."""
        return tuple(f"c{number}" for number in range(1, self.couriers + 1))


def draw_setup(seed: int, couriers: int = 0) -> Setup:
    """Return a setup drawn from a seed, mostly a small one. `couriers` fixes the fleet's size unless it is 0."""
    rng = random.Random(seed ^ 0xD1CE)
    count = couriers or rng.choice((3, 3, 3, 3, 4, 5, 5, 7, 12))
    voters = 5 if count >= 5 and rng.random() < 0.5 else 3
    return Setup(couriers=count, voters=voters, parts=rng.choice((2, 4, 4, 8)), channels=rng.randint(3, 8))


@dataclass(slots=True)
class Result:
    """The result of a run. `text` says which invariant was broken and how, `rule` names it; both are empty if none was.
    `trace_lines` is empty unless a trace was asked for."""

    seed: int
    text: str
    rule: str
    events: int
    boundaries: int
    counts: Counter[str]
    trace_lines: list[str]


NodeFactory = Callable[[Machine, SimContent, Setup, dict[str, Machine]], NodeLike]


class Run:
    """A fleet that is ready to run. `node_factory` builds the node of a machine that starts; `marks` holds the number
    of action boundaries passed when each named point was reached."""

    def __init__(self, seed: int, setup: Setup, node_factory: NodeFactory, traced: bool = False) -> None:
        self.seed, self.setup, self._node_factory = seed, setup, node_factory
        self.world = world = World(seed, traced)
        self.check = InvariantChecker(world)
        self.marks: dict[str, int] = {}
        self.fleet: dict[str, Machine] = {}
        self.partners = Partners(world, self.check, random.Random(seed ^ 0xCA11))
        drift = setup.drift_ppm
        for name in setup.names():
            clock = Clock(world.rng.randrange(10**12), world.rng.randint(-drift, drift), world.rng.randrange(10**15))
            Machine(name, world, clock, Disk(random.Random(world.rng.randrange(1 << 60))), self.fleet,
                    self._make_process)
        machines = list(self.fleet.values())
        self.faults = faults.FaultInjector(
            world, self.check, machines, Machine.start, drift, setup.names()[:setup.voters])
        for machine in machines:
            machine.on_end = self.faults.on_process_end
            world.schedule_at(world.rng.randrange(300 * MS), machine.start)
        self.clients: list[Client] = make_clients(
            world, self.check, self.fleet, setup.channels, setup.parts, setup.messages, setup.message_interval_us, seed)
        for client in self.clients:
            client.start()

    def _make_process(self, machine: Machine) -> tuple[NodeLike, SimContent]:
        content = SimContent(machine, self.setup.parts, self.check, self.partners)
        return self._node_factory(machine, content, self.setup, self.fleet), content

    def mark_boundary(self, name: str) -> None:
        """Store the number of action boundaries passed so far under a name."""
        self.marks[name] = self.world.boundaries

    def execute(self) -> Result:
        """Run to the end, or to the first violation or error; either becomes the result."""
        setup, world, text, rule = self.setup, self.world, "", ""
        self.faults.schedule(faults.draw_plan(
            self.seed, setup.couriers, setup.voters, setup.faults_us, setup.lease_us, setup.max_faults))
        for moment in range(0, setup.faults_us + setup.quiet_us, 250 * MS):
            world.schedule_at(moment, lambda: self.check.check_owners(self.current_owners()))
        try:
            world.run_until(setup.faults_us)
            self.faults.heal()
            world.run_until(setup.faults_us + setup.quiet_us)
            self.check.check_final(
                self.current_owners(), [client.channel for client in self.clients if not client.done])
        except ViolationError as error:
            text, rule = str(error), error.rule
        except Exception as error:  # an exception of a decision module is reported like a violation
            location = traceback.extract_tb(error.__traceback__)[-1]
            rule = type(error).__name__
            text = (f"seed {self.seed} at {world.now_us / S:.6f} s: {rule}: {error} "
                    f"({location.filename}:{location.lineno})")
        world.trace("check", text)
        return Result(self.seed, text, rule, world.events, world.boundaries, self.check.counts, world.trace_lines or [])

    def current_owners(self) -> dict[int, list[str]]:
        """Return, for each part, the running couriers whose nodes say that they may send for it now."""
        return {part: [machine.name for machine in self.fleet.values() if machine.alive and not machine.paused
                       and machine.node.epoch(part, machine.local_us()) is not None]
                for part in range(self.setup.parts)}


FAULT_FREE = Setup(parts=2, channels=4, messages=12, message_interval_us=300 * MS, faults_us=6 * S, quiet_us=12 * S,
                   max_faults=0)


def run_crash_point(seed: int, node_factory: NodeFactory, crash_at: int, traced: bool = False) -> tuple[Run, Result]:
    """Run a fleet that a courier leaves at 3 s. The process that passes action boundary `crash_at` ends there (-1:
    none does), with a power loss of its machine if the number is odd."""
    run = Run(seed, FAULT_FREE, node_factory, traced)
    leaving_machine = run.fleet[f"c{seed % FAULT_FREE.couriers + 1}"]
    run.world.crash_boundary, run.world.crash_is_power_loss = crash_at, bool(crash_at % 2)
    run.world.schedule_at(3 * S, run.mark_boundary, "began")
    run.world.schedule_at(3 * S, leaving_machine.leave)
    leaving_machine.on_left = lambda: run.mark_boundary("left")
    return run, run.execute()


def run_crash_points(seed: int, node_factory: NodeFactory, stride: int = 1) -> Result:
    """Run a departure once without a crash, and then once for every `stride`-th action boundary from its begin to its
    end, with a crash there. Return the result of the first run, with the events of all, the number of crash points in
    `counts["points"]`, and the first violation."""
    run, whole = run_crash_point(seed, node_factory, -1)
    whole.counts["points"] = 0
    if not whole.text and "left" not in run.marks:
        whole.text, whole.rule = f"seed {seed}: the courier's departure did not end", LIVE
    if whole.text:
        return whole
    for crash_at in range(run.marks["began"] + 1, run.marks["left"] + 1, stride):
        _, result = run_crash_point(seed, node_factory, crash_at)
        whole.counts["points"] += 1
        whole.events += result.events
        if result.text and not whole.text:
            whole.text, whole.rule = f"{result.text} (--crash-at {crash_at})", result.rule
    return whole


def run_double_takeover(seed: int, node_factory: NodeFactory, traced: bool = False) -> Result:
    """Run a fleet in which the owner of a part crashes at 5 s. The courier that took the part over crashes at 10.8 s,
    right before the first owner is back, and stays down for 7 s."""
    setup = Setup(parts=2, channels=4, messages=45, message_interval_us=300 * MS, faults_us=20 * S, max_faults=0)
    run = Run(seed, setup, node_factory, traced)
    part = part_of(run.clients[0].channel, setup.parts)

    def crash_owner(downtime_us: int) -> None:
        for name in run.current_owners()[part]:
            run.faults.downtime_us[name] = downtime_us
            run.fleet[name].crash()
    run.world.schedule_at(5 * S, crash_owner, 5_800 * MS)
    run.world.schedule_at(10_800 * MS, crash_owner, 7 * S)
    return run.execute()
