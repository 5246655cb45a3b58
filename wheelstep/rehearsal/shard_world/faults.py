"""The faults of a run and their times, all drawn from the seed before the run starts."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.control import Control
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import NAME as DISCOVERY
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.machine import Machine
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.types import region_of

# Kinds of faults and their weights.
KINDS = {"kill": 5, "vanish": 3, "for good": 1, "stop": 5, "cut": 4, "one way": 4, "alone": 3, "zone": 2, "regions": 2,
         "slow": 3, "strain": 4, "lossy": 3, "leave": 3, "weight": 2, "stall": 3, "control down": 3, "control stop": 4,
         "controls gone": 1, "control hang": 1, "discovery cut": 1, "control cut": 3, "partners": 2, "flap": 2}
Pairs = list[tuple[str, str]]
FaultRow = tuple[int, str, int, int, int]


def draw(seed: int, begin_us: int, until_us: int, max_count: int) -> list[FaultRow]:
    """Draw up to `max_count` faults of all kinds. A row is time, kind, number of the machine, duration and seed."""
    rng = random.Random(seed ^ 0xFA17)
    return sorted(_row(rng, rng.choices(list(KINDS), list(KINDS.values()))[0], begin_us, until_us)
                  for _ in range(rng.randint(1, max_count)))


def draw_of_kinds(seed: int, kinds: Sequence[str], count: int, begin_us: int, until_us: int) -> list[FaultRow]:
    """Draw `count` faults of these kinds only."""
    rng = random.Random(seed ^ 0xFA18)
    return sorted(_row(rng, rng.choice(kinds), begin_us, until_us) for _ in range(count))


def _row(rng: random.Random, kind: str, begin_us: int, until_us: int) -> FaultRow:
    span_us = int(rng.choice((0.3, 1.0, 3.0, 8.0)) * S * (0.5 + rng.random()))
    if kind in ("stop", "stall"):
        span_us = int((2 + 18 * rng.random() ** 3) * S)
    elif kind.startswith("control"):
        span_us = int((2 + 16 * rng.random()) * S)
    if kind == "control hang":
        return begin_us + rng.randrange(2 * S), kind, rng.randrange(1 << 16), 16 * S, rng.randrange(1 << 30)
    return rng.randrange(begin_us, until_us), kind, rng.randrange(1 << 16), span_us, rng.randrange(1 << 30)


def both_directions(first: Sequence[str], second: Sequence[str]) -> Pairs:
    """Return the directed links between two groups, in both directions."""
    return [pair for a in first for b in second if a != b for pair in ((a, b), (b, a))]


@dataclass(slots=True)
class Faults:
    """Injects the planned faults.

    `burst` submits many messages, at the given courier or at all others. `on_change` is called after each begin and
    end.
    """

    world: World
    fabric: Fabric
    fleet: list[Courier]
    controls: list[Control]
    discovery: Discovery
    partners: Partners
    burst: Callable[[Courier, random.Random, bool], None]
    on_change: Callable[[], None]
    healed: bool = False
    lost_count: int = field(default=0)

    def schedule(self, rows: Sequence[FaultRow]) -> None:
        """Schedule each fault at its time."""
        for at_us, kind, number, span_us, own_seed in rows:
            self.world.call_at(at_us, self._begin, kind, number, span_us, own_seed)

    def _begin(self, kind: str, number: int, span_us: int, own_seed: int) -> None:
        rng, courier = random.Random(own_seed), self.fleet[number % len(self.fleet)]
        control = self.controls[number % len(self.controls)]
        self.world.trace("fault", kind, courier.name, control.name, span_us)
        self.world.counts[f"fault {kind}"] += 1
        everybody = [machine.name for machine in (*self.fleet, *self.controls)]
        match kind:
            case "kill" | "vanish":
                courier.kill(kind == "vanish")
                self._restart_after(courier, span_us)
            case "flap":
                for _ in range(3):
                    self.world.call_after(rng.randrange(4 * S), self._kill_briefly, courier)
            case "for good":
                region = region_of(courier.zone)
                left = [machine for machine in self.fleet if region_of(machine.zone) == region and not machine.lost]
                if len(left) > 2 and not self.lost_count:
                    self.lost_count += 1
                    courier.lost = True
                    courier.check.lost_couriers.add(courier.name)
                    self.world.counts["lost couriers"] += 1
                    courier.kill(rng.random() < 0.5)
            case "stop" | "stall":
                courier.stop()
                if kind == "stall":
                    self.burst(courier, rng, False)
                self.world.call_after(span_us, self._resume, courier)
            case "leave" | "weight":
                if kind == "weight":
                    courier.weight = rng.choice((0.5, 1.0, 2.0, 3.0))
                courier.leave()
                self._restart_after(courier, 3 * S + span_us)
            case "cut" | "one way":
                peer = rng.choice(everybody)
                pairs = both_directions([courier.name], [peer])
                self._cut(pairs if kind == "cut" else pairs[:1] if rng.random() < 0.5 else pairs[1:], span_us)
            case "alone":
                self._cut(both_directions([courier.name], everybody), span_us)
            case "zone":
                inside = [machine.name for machine in (*self.fleet, *self.controls) if machine.zone == courier.zone]
                self._cut(both_directions(inside, [name for name in everybody if name not in inside]), span_us)
            case "regions":
                region = region_of(courier.zone)
                inside = [machine.name for machine in (*self.fleet, *self.controls)
                          if region_of(machine.zone) == region]
                self._cut(both_directions(inside, [name for name in everybody if name not in inside]), 2 * span_us)
            case "slow":
                pairs = both_directions([courier.name], everybody)
                self.fabric.extra_delay_us.update(dict.fromkeys(pairs, 50 * MS + rng.randrange(500 * MS)))
                self.world.call_after(span_us, self._end_slow, pairs)
            case "strain":  # slow, then killed with many messages in flight
                pairs = both_directions([courier.name], everybody)
                self.fabric.extra_delay_us.update(dict.fromkeys(pairs, 20 * MS + rng.randrange(120 * MS)))
                self.burst(courier, rng, True)
                self.world.call_after(200 * MS + rng.randrange(S), self._kill_briefly, courier)
                self.world.call_after(2 * S, self._end_slow, pairs)
            case "lossy":
                self.fabric.loss_rate, self.fabric.duplicate_rate, self.fabric.delay_rate = (
                    0.2 * rng.random(), 0.05, 0.1)
                self.world.call_after(span_us, self._end_loss)
            case "control down":
                control.kill(rng.random() < 0.6)
                self._restart_after(control, span_us)
            case "control stop" | "control hang":
                control.stop()
                self.world.call_after(span_us, self._resume, control)
            case "controls gone":
                for machine in self.controls:
                    machine.kill(rng.random() < 0.5)
                    self._restart_after(machine, span_us + rng.randrange(S))
            case "discovery cut":
                self._cut(both_directions([control.name], [DISCOVERY]), span_us)
            case "control cut":
                self._cut(both_directions([control.name],
                                          [machine.name for machine in self.fleet if rng.random() < 0.7]), span_us)
            case "partners":
                down = [host for host in sorted(self.discovery.rows) if rng.random() < 0.3]
                self.partners.down.update(down)
                self.world.call_after(span_us, self.partners.down.difference_update, down)
        self.on_change()

    def _kill_briefly(self, courier: Courier) -> None:
        if not self.healed:
            courier.kill()
            self._restart_after(courier, 50 * MS + self.world.rng.randrange(300 * MS))
            self.on_change()

    def _restart_after(self, machine: Machine, in_us: int) -> None:
        def back() -> None:
            if not self.healed:
                machine.start()
                self.on_change()
        self.world.call_after(in_us, back)

    def _resume(self, machine: Machine) -> None:
        machine.resume()
        self.on_change()

    def _cut(self, pairs: Pairs, span_us: int) -> None:
        def join() -> None:
            self.fabric.restore(pairs)
            self.on_change()
        self.fabric.cut(pairs)
        self.world.call_after(span_us, join)

    def _end_slow(self, pairs: Pairs) -> None:
        for pair in pairs:
            self.fabric.extra_delay_us.pop(pair, None)
        self.on_change()

    def _end_loss(self) -> None:
        self.fabric.loss_rate = self.fabric.duplicate_rate = self.fabric.delay_rate = 0.0
        self.on_change()

    def heal(self) -> None:
        """End all faults and start or continue every machine."""
        self.healed = True
        self.world.trace("fault", "none from now on")
        self.fabric.extra_delay_us.clear()
        self._end_loss()
        self.partners.down.clear()
        self.fabric.restore(list(self.fabric.cuts))
        for machine in (*self.fleet, *self.controls):
            machine.resume()
            machine.start()
            self.world.call_after(4 * S, machine.start)  # a courier that is leaving now
        self.on_change()
