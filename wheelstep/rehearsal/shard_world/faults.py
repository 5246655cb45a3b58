"""The faults of a run and their times, all drawn from the seed before the run starts."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.control import SimControlMachine
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import DISCOVERY_NAME, Discovery
from wheelstep.rehearsal.shard_world.machine import Machine
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.types import region_of

FAULT_WEIGHTS = {
    "kill": 5, "vanish": 3, "for good": 1, "stop": 5, "cut": 4, "one way": 4, "alone": 3, "zone": 2, "regions": 2,
    "slow": 3, "strain": 4, "lossy": 3, "leave": 3, "weight": 2, "stall": 3, "control down": 3, "control stop": 4,
    "controls gone": 1, "control hang": 1, "discovery cut": 1, "control cut": 3, "partners": 2, "flap": 2}
Links = list[tuple[str, str]]  # (sender, receiver)
FaultRow = tuple[int, str, int, int, int]  # true time in us, kind, machine's number, duration in us, fault's seed


def draw_plan(seed: int, begin_us: int, until_us: int, max_faults: int) -> list[FaultRow]:
    """Return 1 to `max_faults` faults of random kinds, in the order of time."""
    rng = random.Random(seed ^ 0xFA17)
    return sorted(_draw_row(rng, rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0], begin_us, until_us)
                  for _ in range(rng.randint(1, max_faults)))


def draw_plan_of_kinds(seed: int, kinds: Sequence[str], count: int, begin_us: int, until_us: int) -> list[FaultRow]:
    """Return `count` faults of the given kinds, in the order of time."""
    rng = random.Random(seed ^ 0xFA18)
    return sorted(_draw_row(rng, rng.choice(kinds), begin_us, until_us) for _ in range(count))


def _draw_row(rng: random.Random, kind: str, begin_us: int, until_us: int) -> FaultRow:
    duration_us = int(rng.choice((0.3, 1.0, 3.0, 8.0)) * S * (0.5 + rng.random()))
    if kind in ("stop", "stall"):
        duration_us = int((2 + 18 * rng.random() ** 3) * S)
    elif kind.startswith("control"):
        duration_us = int((2 + 16 * rng.random()) * S)
    if kind == "control hang":
        return begin_us + rng.randrange(2 * S), kind, rng.randrange(1 << 16), 16 * S, rng.randrange(1 << 30)
    return rng.randrange(begin_us, until_us), kind, rng.randrange(1 << 16), duration_us, rng.randrange(1 << 30)


def links_between(one: Sequence[str], other: Sequence[str]) -> Links:
    """Return the links in both directions between two groups of names."""
    return [pair for a in one for b in other if a != b for pair in ((a, b), (b, a))]


@dataclass(slots=True)
class FaultInjector:
    """Carries out a plan. `submit_burst` submits many messages, to one courier (True) or to all others (False);
    `on_change` is called after each begin or end of a fault."""

    world: World
    fabric: Fabric
    fleet: list[Courier]
    controls: list[SimControlMachine]
    discovery: Discovery
    partners: Partners
    submit_burst: Callable[[Courier, random.Random, bool], None]
    on_change: Callable[[], None]
    healed: bool = False
    removed_count: int = field(default=0)

    def schedule(self, rows: Sequence[FaultRow]) -> None:
        """Schedule each fault of a plan at its time."""
        for at_us, kind, machine_number, duration_us, fault_seed in rows:
            self.world.schedule_at(at_us, self._begin_fault, kind, machine_number, duration_us, fault_seed)

    def _begin_fault(self, kind: str, machine_number: int, duration_us: int, fault_seed: int) -> None:
        rng, courier = random.Random(fault_seed), self.fleet[machine_number % len(self.fleet)]
        control = self.controls[machine_number % len(self.controls)]
        self.world.trace("fault", kind, courier.name, control.name, duration_us)
        self.world.counts[f"fault {kind}"] += 1
        all_names = [one.name for one in (*self.fleet, *self.controls)]
        match kind:
            case "kill" | "vanish":
                courier.kill(kind == "vanish")
                self._start_after(courier, duration_us)
            case "flap":
                for _ in range(3):
                    self.world.schedule_after(rng.randrange(4 * S), self._kill_and_restart, courier)
            case "for good":
                region = region_of(courier.zone)
                left = [one for one in self.fleet if region_of(one.zone) == region and not one.removed]
                if len(left) > 2 and not self.removed_count:
                    self.removed_count += 1
                    courier.removed = True
                    courier.check.lost_couriers.add(courier.name)
                    self.world.counts["lost couriers"] += 1
                    courier.kill(rng.random() < 0.5)
            case "stop" | "stall":
                courier.pause()
                if kind == "stall":
                    self.submit_burst(courier, rng, False)
                self.world.schedule_after(duration_us, self._resume, courier)
            case "leave" | "weight":
                if kind == "weight":
                    courier.weight = rng.choice((0.5, 1.0, 2.0, 3.0))
                courier.leave()
                self._start_after(courier, 3 * S + duration_us)
            case "cut" | "one way":
                other = rng.choice(all_names)
                pairs = links_between([courier.name], [other])
                self._block_links(
                    pairs if kind == "cut" else pairs[:1] if rng.random() < 0.5 else pairs[1:], duration_us)
            case "alone":
                self._block_links(links_between([courier.name], all_names), duration_us)
            case "zone":
                inside = [one.name for one in (*self.fleet, *self.controls) if one.zone == courier.zone]
                self._block_links(
                    links_between(inside, [name for name in all_names if name not in inside]), duration_us)
            case "regions":
                region = region_of(courier.zone)
                inside = [one.name for one in (*self.fleet, *self.controls) if region_of(one.zone) == region]
                self._block_links(
                    links_between(inside, [name for name in all_names if name not in inside]), 2 * duration_us)
            case "slow":
                pairs = links_between([courier.name], all_names)
                self.fabric.extra_delay_us.update(dict.fromkeys(pairs, 50 * MS + rng.randrange(500 * MS)))
                self.world.schedule_after(duration_us, self._end_slowness, pairs)
            case "strain":  # slow links and a burst, then a kill while much is in flight
                pairs = links_between([courier.name], all_names)
                self.fabric.extra_delay_us.update(dict.fromkeys(pairs, 20 * MS + rng.randrange(120 * MS)))
                self.submit_burst(courier, rng, True)
                self.world.schedule_after(200 * MS + rng.randrange(S), self._kill_and_restart, courier)
                self.world.schedule_after(2 * S, self._end_slowness, pairs)
            case "lossy":
                self.fabric.loss_probability, self.fabric.duplicate_probability, self.fabric.long_delay_probability = (
                    0.2 * rng.random(), 0.05, 0.1)
                self.world.schedule_after(duration_us, self._end_loss)
            case "control down":
                control.kill(rng.random() < 0.6)
                self._start_after(control, duration_us)
            case "control stop" | "control hang":
                control.pause()
                self.world.schedule_after(duration_us, self._resume, control)
            case "controls gone":
                for one in self.controls:
                    one.kill(rng.random() < 0.5)
                    self._start_after(one, duration_us + rng.randrange(S))
            case "discovery cut":
                self._block_links(links_between([control.name], [DISCOVERY_NAME]), duration_us)
            case "control cut":
                self._block_links(links_between(
                    [control.name], [one.name for one in self.fleet if rng.random() < 0.7]), duration_us)
            case "partners":
                down = [host for host in sorted(self.discovery.rows) if rng.random() < 0.3]
                self.partners.down.update(down)
                self.world.schedule_after(duration_us, self.partners.down.difference_update, down)
        self.on_change()

    def _kill_and_restart(self, courier: Courier) -> None:
        if not self.healed:
            courier.kill()
            self._start_after(courier, 50 * MS + self.world.rng.randrange(300 * MS))
            self.on_change()

    def _start_after(self, machine: Machine, delay_us: int) -> None:
        def start() -> None:
            if not self.healed:
                machine.start()
                self.on_change()
        self.world.schedule_after(delay_us, start)

    def _resume(self, machine: Machine) -> None:
        machine.resume()
        self.on_change()

    def _block_links(self, pairs: Links, duration_us: int) -> None:
        def unblock() -> None:
            self.fabric.unblock(pairs)
            self.on_change()
        self.fabric.block(pairs)
        self.world.schedule_after(duration_us, unblock)

    def _end_slowness(self, pairs: Links) -> None:
        for pair in pairs:
            self.fabric.extra_delay_us.pop(pair, None)
        self.on_change()

    def _end_loss(self) -> None:
        self.fabric.loss_probability = self.fabric.duplicate_probability = self.fabric.long_delay_probability = 0.0
        self.on_change()

    def heal(self) -> None:
        """End all faults: restore links and endpoints, continue paused machines, and start those that are down."""
        self.healed = True
        self.world.trace("fault", "none from now on")
        self.fabric.extra_delay_us.clear()
        self._end_loss()
        self.partners.down.clear()
        self.fabric.unblock(list(self.fabric.blocked_links))
        for machine in (*self.fleet, *self.controls):
            machine.resume()
            machine.start()
            self.world.schedule_after(4 * S, machine.start)  # for a machine whose process is leaving now
        self.on_change()
