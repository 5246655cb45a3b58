"""What goes wrong in a run, and when: all drawn from the seed before it starts."""

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

KINDS = {"kill": 5, "vanish": 3, "for good": 1, "stop": 5, "cut": 4, "one way": 4, "alone": 3, "zone": 2, "regions": 2,
         "slow": 3, "strain": 4, "lossy": 3, "leave": 3, "weight": 2, "stall": 3, "control down": 3, "control stop": 4,
         "controls gone": 1, "control hang": 1, "discovery cut": 1, "control cut": 3, "partners": 2, "flap": 2}
Pairs = list[tuple[str, str]]
Row = tuple[int, str, int, int, int]


def draw(seed: int, begin_us: int, until_us: int, most: int) -> list[Row]:
    """When, which kind, whose number, how long, a number of its own."""
    rng = random.Random(seed ^ 0xFA17)
    return sorted(_row(rng, rng.choices(list(KINDS), list(KINDS.values()))[0], begin_us, until_us)
                  for _ in range(rng.randint(1, most)))


def pressed(seed: int, kinds: Sequence[str], count: int, begin_us: int, until_us: int) -> list[Row]:
    """So many of these kinds alone."""
    rng = random.Random(seed ^ 0xFA18)
    return sorted(_row(rng, rng.choice(kinds), begin_us, until_us) for _ in range(count))


def _row(rng: random.Random, kind: str, begin_us: int, until_us: int) -> Row:
    span_us = int(rng.choice((0.3, 1.0, 3.0, 8.0)) * S * (0.5 + rng.random()))
    if kind in ("stop", "stall"):
        span_us = int((2 + 18 * rng.random() ** 3) * S)
    elif kind.startswith("control"):
        span_us = int((2 + 16 * rng.random()) * S)
    if kind == "control hang":
        return begin_us + rng.randrange(2 * S), kind, rng.randrange(1 << 16), 16 * S, rng.randrange(1 << 30)
    return rng.randrange(begin_us, until_us), kind, rng.randrange(1 << 16), span_us, rng.randrange(1 << 30)


def both(one: Sequence[str], other: Sequence[str]) -> Pairs:
    """Both ways between two groups."""
    return [pair for a in one for b in other if a != b for pair in ((a, b), (b, a))]


@dataclass(slots=True)
class Faults:
    """Plays a plan. `burst` hands hundreds of messages in: at all but this courier, or at it."""

    world: World
    fabric: Fabric
    fleet: list[Courier]
    controls: list[Control]
    discovery: Discovery
    partners: Partners
    burst: Callable[[Courier, random.Random, bool], None]
    changed: Callable[[], None]
    over: bool = False
    gone: int = field(default=0)

    def play(self, rows: Sequence[Row]) -> None:
        """Each at its time."""
        for at_us, kind, number, span_us, own in rows:
            self.world.at(at_us, self._begin, kind, number, span_us, own)

    def _begin(self, kind: str, number: int, span_us: int, own: int) -> None:
        rng, courier = random.Random(own), self.fleet[number % len(self.fleet)]
        control = self.controls[number % len(self.controls)]
        self.world.trace("fault", kind, courier.name, control.name, span_us)
        self.world.count[f"fault {kind}"] += 1
        everybody = [one.name for one in (*self.fleet, *self.controls)]
        match kind:
            case "kill" | "vanish":
                courier.kill(kind == "vanish")
                self._back(courier, span_us)
            case "flap":
                for _ in range(3):
                    self.world.after(rng.randrange(4 * S), self._flap, courier)
            case "for good":
                region = region_of(courier.place)
                left = [one for one in self.fleet if region_of(one.place) == region and not one.lost]
                if len(left) > 2 and not self.gone:
                    self.gone += 1
                    courier.lost = True
                    courier.check.lost.add(courier.name)
                    self.world.count["lost couriers"] += 1
                    courier.kill(rng.random() < 0.5)
            case "stop" | "stall":
                courier.stop()
                if kind == "stall":
                    self.burst(courier, rng, False)
                self.world.after(span_us, self._wake, courier)
            case "leave" | "weight":
                if kind == "weight":
                    courier.weight = rng.choice((0.5, 1.0, 2.0, 3.0))
                courier.leave()
                self._back(courier, 3 * S + span_us)
            case "cut" | "one way":
                other = rng.choice(everybody)
                pairs = both([courier.name], [other])
                self._cut(pairs if kind == "cut" else pairs[:1] if rng.random() < 0.5 else pairs[1:], span_us)
            case "alone":
                self._cut(both([courier.name], everybody), span_us)
            case "zone":
                inside = [one.name for one in (*self.fleet, *self.controls) if one.place == courier.place]
                self._cut(both(inside, [name for name in everybody if name not in inside]), span_us)
            case "regions":
                region = region_of(courier.place)
                inside = [one.name for one in (*self.fleet, *self.controls) if region_of(one.place) == region]
                self._cut(both(inside, [name for name in everybody if name not in inside]), 2 * span_us)
            case "slow":
                pairs = both([courier.name], everybody)
                self.fabric.slow.update(dict.fromkeys(pairs, 50 * MS + rng.randrange(500 * MS)))
                self.world.after(span_us, self._fast, pairs)
            case "strain":  # slow, and then it dies with much under way
                pairs = both([courier.name], everybody)
                self.fabric.slow.update(dict.fromkeys(pairs, 20 * MS + rng.randrange(120 * MS)))
                self.burst(courier, rng, True)
                self.world.after(200 * MS + rng.randrange(S), self._flap, courier)
                self.world.after(2 * S, self._fast, pairs)
            case "lossy":
                self.fabric.lose, self.fabric.double, self.fabric.late = 0.2 * rng.random(), 0.05, 0.1
                self.world.after(span_us, self._clear)
            case "control down":
                control.kill(rng.random() < 0.6)
                self._back(control, span_us)
            case "control stop" | "control hang":
                control.stop()
                self.world.after(span_us, self._wake, control)
            case "controls gone":
                for one in self.controls:
                    one.kill(rng.random() < 0.5)
                    self._back(one, span_us + rng.randrange(S))
            case "discovery cut":
                self._cut(both([control.name], [DISCOVERY]), span_us)
            case "control cut":
                self._cut(both([control.name], [one.name for one in self.fleet if rng.random() < 0.7]), span_us)
            case "partners":
                down = [host for host in sorted(self.discovery.rows) if rng.random() < 0.3]
                self.partners.down.update(down)
                self.world.after(span_us, self.partners.down.difference_update, down)
        self.changed()

    def _flap(self, courier: Courier) -> None:
        if not self.over:
            courier.kill()
            self._back(courier, 50 * MS + self.world.rng.randrange(300 * MS))
            self.changed()

    def _back(self, machine: Machine, in_us: int) -> None:
        def back() -> None:
            if not self.over:
                machine.start()
                self.changed()
        self.world.after(in_us, back)

    def _wake(self, machine: Machine) -> None:
        machine.wake()
        self.changed()

    def _cut(self, pairs: Pairs, span_us: int) -> None:
        def join() -> None:
            self.fabric.join(pairs)
            self.changed()
        self.fabric.cut(pairs)
        self.world.after(span_us, join)

    def _fast(self, pairs: Pairs) -> None:
        for pair in pairs:
            self.fabric.slow.pop(pair, None)
        self.changed()

    def _clear(self) -> None:
        self.fabric.lose = self.fabric.double = self.fabric.late = 0.0
        self.changed()

    def heal(self) -> None:
        """No more faults: all is whole again and runs."""
        self.over = True
        self.world.trace("fault", "none from now on")
        self.fabric.slow.clear()
        self._clear()
        self.partners.down.clear()
        self.fabric.join(list(self.fabric.cuts))
        for machine in (*self.fleet, *self.controls):
            machine.wake()
            machine.start()
            self.world.after(4 * S, machine.start)  # one that is just leaving
        self.changed()
