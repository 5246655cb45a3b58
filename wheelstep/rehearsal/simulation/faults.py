"""What goes wrong in a run, and when: all drawn from the seed before it starts.

What the voters may forget is bounded by what the design bears: one of three at a time, two of five, and the next only
after the time to learn again. Imports its neighbours `machine` and `world`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.rehearsal.simulation.check import Check
from wheelstep.rehearsal.simulation.disk import File, held
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.store import Store
from wheelstep.rehearsal.simulation.world import MS, S, World

KINDS = {"crash": 6, "power": 3, "freeze": 4, "one way": 3, "halves": 2, "alone": 3, "lossy": 2, "stall": 2,
         "lie": 1, "older": 1, "lose": 1, "full": 1, "pace": 2, "leave": 3, "dark": 1}
FORGETS = ("lie", "older", "lose")


@dataclass(slots=True)
class Plan:
    """Faults by moment: (true time, kind, machine's number, how long, a number of its own)."""

    rows: list[tuple[int, str, int, int, int]] = field(default_factory=list)


def draw(seed: int, couriers: int, voters: int, until_us: int, lease_us: int, most: int = 8) -> Plan:
    """A plan for so many couriers, the first `voters` of which vote. Nothing happens in the first lease and a half."""
    rng = random.Random(seed ^ 0xFA17)
    plan = Plan()
    forgot: list[int] = []
    for _ in range(rng.randint(0, most)):
        at_us = rng.randrange(3 * lease_us // 2, until_us)
        kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
        who = rng.randrange(couriers)
        span_us = int(rng.choice((0.1, 0.5, 1.2, 2.5)) * lease_us * (0.5 + rng.random()))
        if kind in FORGETS and who < voters:
            if len(forgot) >= voters // 2 or any(abs(at_us - other) < 4 * lease_us for other in forgot):
                continue
            forgot.append(at_us)
        plan.rows.append((at_us, kind, who, span_us, rng.randrange(1 << 30)))
    plan.rows.sort()
    return plan


@dataclass(slots=True)
class Faults:
    """Plays a plan. `restart` starts a machine again."""

    world: World
    check: Check
    machines: list[Machine]
    restart: Callable[[Machine], None]
    drift_ppm: int
    voters: tuple[str, ...]
    down_us: dict[str, int] = field(default_factory=dict)  # how long the next end of a machine lasts
    put_back: dict[str, tuple[File, File]] = field(default_factory=dict)  # what its disk is at the next start
    over: bool = False

    def play(self, plan: Plan) -> None:
        """Each at its time."""
        for at_us, kind, who, span_us, number in plan.rows:
            self.world.at(at_us, self._begin, kind, self.machines[who], span_us, number)
            if kind == "older":
                self.world.at(max(at_us - span_us - S, 0), self._copy, self.machines[who])

    def _copy(self, machine: Machine) -> None:
        self.put_back.setdefault("copy " + machine.name, machine.disk.copy())

    def _begin(self, kind: str, machine: Machine, span_us: int, number: int) -> None:
        self.world.trace("fault", kind, machine.name, span_us, number)
        self.check.count[kind] += 1
        net, rng, name = self.world.net, random.Random(number), machine.name
        others = [one.name for one in self.machines if one is not machine]
        match kind:
            case "crash" | "power":
                self._end(machine, kind == "power", span_us, rng.randint(1, 60))
            case "dark":
                for one in self.machines:
                    self._end(one, True, span_us, rng.randint(1, 60))
            case "freeze":
                machine.stop(True)
                self.world.after(span_us, machine.stop, False)
            case "one way":
                pairs = [(name, one) for one in others if rng.random() < 0.5]
                self._cut([(to, sender) for sender, to in pairs] if rng.random() < 0.5 else pairs, span_us)
            case "alone":
                self._cut([(name, one) for one in others] + [(one, name) for one in others], span_us)
            case "halves":
                half = [one for one in [*others, name] if rng.random() < 0.5]
                rest = [one for one in [*others, name] if one not in half]
                self._cut([pair for one in half for to in rest for pair in ((one, to), (to, one))], span_us)
            case "stall":
                pairs = [(name, one) for one in others] + [(one, name) for one in others]
                net.slow.update(dict.fromkeys(pairs, 400 * MS + number % (800 * MS)))
                self.world.after(span_us, self._unstall, pairs)
            case "lossy":
                net.lose, net.double, net.late = 0.25, 0.05, 0.1
                self.world.after(span_us, self._clear)
            case "lie":
                machine.disk.lies = True
                self.world.after(span_us, self._forget, machine, span_us)
            case "older":
                self.put_back[name] = self.put_back.pop("copy " + name)
                self._forget(machine, span_us)
            case "lose":
                self.put_back[name] = File(), File()
                self._forget(machine, span_us)
            case "full":
                machine.disk.full = True
                self.world.after(span_us, setattr, machine.disk, "full", False)
            case "pace":
                machine.clock.pace(self.world.now_us, rng.randint(-self.drift_ppm, self.drift_ppm))
                machine.clock.wall_off_us += rng.randint(-60, 60) * S
            case "leave":
                self.down_us[name] = span_us
                machine.leave()

    def _unstall(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.world.net.slow.pop(pair, None)

    def _clear(self) -> None:
        net = self.world.net
        net.lose = net.double = net.late = 0.0

    def _cut(self, pairs: list[tuple[str, str]], span_us: int) -> None:
        cuts = self.world.net.cuts
        cuts.update(pairs)
        self.world.after(span_us, cuts.difference_update, pairs)

    def _forget(self, machine: Machine, down_us: int) -> None:
        """A power loss after which the disk is not what was said."""
        if machine.alive and not self.over:
            self.down_us[machine.name] = down_us
            machine.crash(True)
        else:
            machine.disk.lies = False
            self.put_back.pop(machine.name, None)

    def _end(self, machine: Machine, power: bool, down_us: int, boundaries: int) -> None:
        """At a boundary soon; a process that does nothing meanwhile ends as well."""
        if not machine.alive:
            return
        self.down_us[machine.name] = down_us
        machine.power, machine.crash_in = power, boundaries
        self.world.after(200 * MS, self._surely, machine, machine.life, power)

    def _surely(self, machine: Machine, life: int, power: bool) -> None:
        if machine.life == life and not self.over:
            machine.crash(power)

    def ended(self, machine: Machine, left: bool) -> None:
        """A process has ended: what becomes of its disk, and when it starts again."""
        files = self.put_back.pop(machine.name, None)
        if files is not None:
            machine.disk.put_back(files)
        elif left and not machine.content.store.messages and machine.name not in self.voters:
            machine.disk.put_back((File(), File()))  # new hardware under the old name
        if files is not None or machine.disk.lies:
            before = machine.content.store
            after = Store(machine.disk.journal, before.parts, before.now_ms, lambda: None)
            self.check.forgotten(before.channels() + after.channels(), before.messages.keys() ^ after.messages.keys(),
                                 lambda message: held((one.disk for one in self.machines), message))
        machine.disk.lies = False
        if not self.over:
            self.world.after(self.down_us.pop(machine.name, 300 * MS) + 100 * MS, self.restart, machine)

    def heal(self) -> None:
        """No more faults: all is whole again and runs."""
        self.over = True
        self.world.net.cuts.clear()
        self.world.net.slow.clear()
        self._clear()
        for machine in self.machines:
            machine.disk.full, machine.disk.lies, machine.crash_in = False, False, 0
            machine.stop(False)
            if not machine.alive:
                self.restart(machine)
