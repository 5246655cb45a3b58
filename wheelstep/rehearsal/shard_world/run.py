"""One run of a sharded fleet from one seed: what it is made of, its faults, a quiet time, and the verdict."""

from __future__ import annotations

import gc
import logging
import random
import traceback
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world import clock, faults
from wheelstep.rehearsal.shard_world.check import ERROR, Check, ViolationError
from wheelstep.rehearsal.shard_world.clients import Client, Hand
from wheelstep.rehearsal.shard_world.control import Control
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import NAME as DISCOVERY
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.final import final
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.reach import Reach
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.types import ListRow

PROBE_US = 9 * S  # before the verdict; a guest that it makes is to be dropped by then


@dataclass(frozen=True, slots=True)
class Setup:
    """What a run is made of. Faults come from `calm_us` to `faults_us`, clients until then; the verdict after
    `quiet_us` more."""

    couriers: int = 4
    zones: tuple[str, ...] = ("r1/a", "r1/b")
    control: int = 2
    shards: int = 32
    destinations: int = 30
    clients: int = 6
    every_us: int = 350 * MS
    calm_us: int = 4 * S
    faults_us: int = 22 * S
    quiet_us: int = 22 * S
    most_faults: int = 7


def drawn(seed: int) -> Setup:
    """Mostly small."""
    rng = random.Random(seed ^ 0xD1CE)
    two = rng.random() < 0.35
    zones = ("r1/a", "r1/b", "r2/a") if two else rng.choice((("r1/a", "r1/b"), ("r1/a", "r1/b", "r1/c")))
    couriers = rng.choice((5, 6, 7, 9) if two else (3, 3, 4, 4, 5, 6))
    return Setup(couriers, zones, rng.choice((2, 2, 3)), rng.choice((16, 32, 32, 64)), rng.randint(16, 40),
                 rng.randint(4, 8))


@dataclass(slots=True)
class Result:
    """`text` says what was broken; empty if nothing. `mark` tells two runs apart."""

    seed: int
    text: str
    rule: str
    events: int
    mark: int
    count: Counter[str]
    lines: list[str]


class _Errors(logging.Handler):
    """What the code under test logs as an error."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world
        self.found = ""

    def emit(self, record: logging.LogRecord) -> None:
        self._world.trace(self._world.who, "logs", record.getMessage())
        self._world.count["errors logged"] += 1
        if record.exc_info and record.exc_info[1] is not None:
            where = traceback.extract_tb(record.exc_info[2])[-1]
            self.found = self.found or (f"{self._world.who} logs {record.getMessage()}: {record.exc_info[1]!r} at "
                                        f"{where.filename}:{where.lineno}")


class Run:
    """The whole of it."""

    def __init__(self, seed: int, setup: Setup, traced: bool = False, plan: list[faults.Row] | None = None) -> None:
        self.seed, self.setup = seed, setup
        self.world = world = World(seed, traced)
        self.check = check = Check(world)
        self.fabric = fabric = Fabric(world, random.Random(seed ^ 0x5EED))
        self.partners = Partners(world, check, random.Random(seed ^ 0xCA11))
        self.discovery = Discovery(world, fabric, random.Random(seed ^ 0xD15C))
        fabric.places[DISCOVERY] = "hub"
        self.fleet, self.controls = self._machines()
        self.reach = Reach(world, fabric, self.discovery, self.fleet, self.controls)
        check.late = self.reach.late_us
        check.disks = lambda: {one.name: set(one.disk.rows) for one in self.fleet}
        self.destinations = [world.rng.randrange(1, 100_000) for _ in range(setup.destinations)]
        self._list()
        self.faults = faults.Faults(world, fabric, self.fleet, self.controls, self.discovery, self.partners,
                                    self._burst, self.reach.look)
        self.faults.play(faults.draw(seed, setup.calm_us, setup.faults_us - S, setup.most_faults)
                         if plan is None else plan)
        for machine in (*self.controls, *self.fleet):
            world.at(world.rng.randrange(300 * MS), machine.start)
        world.at(301 * MS, self.reach.look)
        for number in range(setup.clients):
            Client(world, check, f"k{number}", random.Random(world.rng.randrange(1 << 60)), self.fleet,
                   self.destinations, setup.faults_us, setup.every_us).start()
        self._probes: list[tuple[str, str, int]] = []

    def _machines(self) -> tuple[list[Courier], list[Control]]:
        setup, given = self.setup, (self.world, self.fabric, self.check)
        fleet = [Courier(*given, f"c{number}", setup.zones[number % len(setup.zones)], number)
                 for number in range(1, setup.couriers + 1)]
        controls = [Control(*given, f"m{number}", setup.zones[number % len(setup.zones)], 100 + number)
                    for number in range(1, setup.control + 1)]
        settings = NodeSettings(shards=setup.shards, guests=8, guest_idle_us=4 * S)
        for courier in fleet:
            courier.partners, courier.settings = self.partners, settings
            courier.seeds = {one.name: one.address for one in fleet}
            courier.control = {one.name: one.address for one in controls}
        for control in controls:
            control.discovery, control.shards = self.discovery, setup.shards
        return fleet, controls

    # --- the list ---

    def _list(self) -> None:
        rng = random.Random(self.seed ^ 0x1157)
        for number, destination in enumerate(self.destinations):
            for place in range(rng.choice((1, 1, 2, 3))):
                self.discovery.change(ListRow(f"e{number}.{place}", f"127.0.0.1:{1_000 + 10 * number + place}", "r1",
                                              "", destination, "SERVING"))
        at_us = 3 * S
        while at_us < self.setup.faults_us + 2 * S:
            at_us += rng.randrange(800 * MS)
            self.world.at(at_us, self._relist, rng.randrange(1 << 30))

    def _relist(self, number: int) -> None:
        rng, rows = random.Random(number), self.discovery.rows
        host = rng.choice(sorted(rows))
        match rng.choice(("drain", "drain", "drain", "back", "back", "delete", "new")):
            case "drain" if rows[host].health == "SERVING" and self._others(host):
                self.discovery.turn(host, "DRAINING")
            case "delete" if self._others(host):
                self.discovery.turn(host, "DELETED")
            case "back":
                off = sorted(name for name, row in rows.items() if row.health == "DRAINING")
                if off:
                    self.discovery.turn(rng.choice(off), "SERVING")
            case "new":
                place = rng.randrange(3, 6)
                name = f"{host.partition('.')[0]}.{place}"
                self.discovery.change(ListRow(name, f"127.0.0.1:{2_000 + rng.randrange(60_000)}", "r1", "",
                                              rows[host].block, "SERVING"))

    def _others(self, host: str) -> bool:
        rows = self.discovery.rows
        return any(name != host and row.block == rows[host].block and row.health == "SERVING"
                   for name, row in rows.items())

    # --- messages beside the clients' ---

    def _burst(self, courier: Courier, rng: random.Random, at_it: bool) -> None:
        """Some hundreds within half a second, at this courier or at all the others."""
        others = [courier] if at_it else [one for one in self.fleet if one is not courier and not one.lost]
        for number in range(rng.randint(50, 150)):
            deadline_ms = (self.world.wall_us() + 6 * S) // MS
            message = StoredMessage(f"b{self.world.now_us}.{number}", rng.choice(("safe", "unsafe")),
                             rng.choice(self.destinations), deadline_ms)
            self.world.after(rng.randrange(S // 2), Hand(self.world, self.check, message, lambda status: None).at,
                             rng.choice(others), False)

    def _probe(self) -> None:
        """Each destination at some couriers, each courier with some destinations: all are to say 202."""
        rng = random.Random(self.seed ^ 0x9805)
        fleet = [one for one in self.fleet if not one.lost]
        for number, destination in enumerate(self.destinations):
            for courier in rng.sample(fleet, min(2, len(fleet))):
                message = StoredMessage(f"p{number}.{courier.name}", "safe", destination,
                                 (self.world.wall_us() + 2 * S) // MS)
                hand = Hand(self.world, self.check, message, lambda status, courier=courier, destination=destination:
                            self._probes.append((courier.name, str(destination), status)))  # type: ignore[misc]
                self.world.after(rng.randrange(S), hand.at, courier, False)

    # --- the whole ---

    def play(self) -> Result:
        """To its end, or to the first violation or error."""
        setup, world, check, text, rule = self.setup, self.world, self.check, "", ""
        errors, log = _Errors(world), logging.getLogger("wheelstep")
        before = log.propagate, log.level, gc.isenabled()
        log.addHandler(errors)
        log.propagate = False
        log.setLevel(logging.ERROR)
        gc.disable()
        try:
            with clock.virtual(world):
                for until_us, then in ((setup.faults_us, self.faults.heal),
                                       (setup.faults_us + setup.quiet_us - PROBE_US, self._probe),
                                       (setup.faults_us + setup.quiet_us, lambda: None)):
                    world.run(until_us)
                    if check.found is not None:
                        raise check.found
                    then()
                if errors.found:
                    check.fail(ERROR, errors.found)
                final(check, self.fleet, self._probes, setup.shards)
        except ViolationError as error:
            text, rule = str(error), error.rule
        except Exception as error:  # code under test that fails is a finding like any other
            where = traceback.extract_tb(error.__traceback__)[-1]
            rule = ERROR
            text = f"seed {self.seed} at {world.now_us / S:.6f} s: {error!r} ({where.filename}:{where.lineno})"
        finally:
            log.removeHandler(errors)
            log.propagate, log.level = before[0], before[1]
            for courier in self.fleet:
                courier.total()
            self.bury()
            if before[2]:
                gc.enable()
        world.trace("check", text)
        return Result(self.seed, text, rule, world.events, world.mark, world.count, world.lines or [])

    def bury(self) -> None:
        """After it: nothing of it runs on."""
        for machine in (*self.fleet, *self.controls):
            for process in machine.lives:
                process.loop.bury()


def play(seed: int, traced: bool = False) -> Result:
    """The run of this seed."""
    return Run(seed, drawn(seed), traced).play()


def press(seed: int, kinds: Sequence[str], count: int, traced: bool = False) -> Result:
    """The same fleet under so many faults of these kinds alone."""
    setup = drawn(seed)
    return Run(seed, setup, traced, faults.pressed(seed, kinds, count, setup.calm_us, setup.faults_us - S)).play()
