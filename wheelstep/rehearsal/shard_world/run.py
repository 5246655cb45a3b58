"""One run of a sharded fleet from one seed: setup, faults, a quiet time, and the final checks."""

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
from wheelstep.rehearsal.shard_world.clients import Client, Submission
from wheelstep.rehearsal.shard_world.control import Control
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import NAME as DISCOVERY
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.final import check_final_state
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.reach import Reachability
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.types import ListRow

PROBE_US = 9 * S  # before the end, so that guests opened by probes are dropped by then


@dataclass(frozen=True, slots=True)
class Setup:
    """The size and times of a run. Faults occur from `calm_us` to `faults_us`, clients submit until then, and the final
    checks follow `quiet_us` later."""

    couriers: int = 4
    zones: tuple[str, ...] = ("r1/a", "r1/b")
    control: int = 2
    shards: int = 32
    destinations: int = 30
    clients: int = 6
    submit_interval_us: int = 350 * MS
    calm_us: int = 4 * S
    faults_us: int = 22 * S
    quiet_us: int = 22 * S
    max_faults: int = 7


def draw_setup(seed: int) -> Setup:
    """Draw a setup from a seed. Most are small."""
    rng = random.Random(seed ^ 0xD1CE)
    two_regions = rng.random() < 0.35
    zones = ("r1/a", "r1/b", "r2/a") if two_regions else rng.choice((("r1/a", "r1/b"), ("r1/a", "r1/b", "r1/c")))
    couriers = rng.choice((5, 6, 7, 9) if two_regions else (3, 3, 4, 4, 5, 6))
    return Setup(couriers, zones, rng.choice((2, 2, 3)), rng.choice((16, 32, 32, 64)), rng.randint(16, 40),
                 rng.randint(4, 8))


@dataclass(slots=True)
class Result:
    """The result of a run. `text` and `rule` are empty unless an invariant was violated."""

    seed: int
    text: str
    rule: str
    events: int
    fingerprint: int
    counts: Counter[str]
    trace_lines: list[str]


class _Errors(logging.Handler):
    """Keeps the first exception that the code under test logs as an error."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world
        self.error_text = ""

    def emit(self, record: logging.LogRecord) -> None:
        """Trace and count an error, and keep its text if it is the first with an exception."""
        self._world.trace(self._world.current_name, "logs", record.getMessage())
        self._world.counts["errors logged"] += 1
        if record.exc_info and record.exc_info[1] is not None:
            where = traceback.extract_tb(record.exc_info[2])[-1]
            self.error_text = self.error_text or (
                f"{self._world.current_name} logs {record.getMessage()}: {record.exc_info[1]!r} at "
                f"{where.filename}:{where.lineno}")


class Run:
    """A run, set up but not started. `plan` replaces the faults drawn from the seed."""

    def __init__(self, seed: int, setup: Setup, traced: bool = False,
                 plan: list[faults.FaultRow] | None = None) -> None:
        self.seed, self.setup = seed, setup
        self.world = world = World(seed, traced)
        self.check = check = Check(world)
        self.fabric = fabric = Fabric(world, random.Random(seed ^ 0x5EED))
        self.partners = Partners(world, check, random.Random(seed ^ 0xCA11))
        self.discovery = Discovery(world, fabric, random.Random(seed ^ 0xD15C))
        fabric.zones[DISCOVERY] = "hub"
        self.fleet, self.controls = self._machines()
        self.reachability = Reachability(world, fabric, self.discovery, self.fleet, self.controls)
        check.late_us = self.reachability.late_us
        check.held_on_disk = lambda: {courier.name: set(courier.disk.rows) for courier in self.fleet}
        self.destinations = [world.rng.randrange(1, 100_000) for _ in range(setup.destinations)]
        self._create_list()
        self.faults = faults.Faults(world, fabric, self.fleet, self.controls, self.discovery, self.partners,
                                    self._burst, self.reachability.update)
        self.faults.schedule(faults.draw(seed, setup.calm_us, setup.faults_us - S, setup.max_faults)
                         if plan is None else plan)
        for machine in (*self.controls, *self.fleet):
            world.call_at(world.rng.randrange(300 * MS), machine.start)
        world.call_at(301 * MS, self.reachability.update)
        for number in range(setup.clients):
            Client(world, check, f"k{number}", random.Random(world.rng.randrange(1 << 60)), self.fleet,
                   self.destinations, setup.faults_us, setup.submit_interval_us).start()
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
            courier.seeds = {member.name: member.address for member in fleet}
            courier.control = {machine.name: machine.address for machine in controls}
        for control in controls:
            control.discovery, control.shards = self.discovery, setup.shards
        return fleet, controls

    def _create_list(self) -> None:
        rng = random.Random(self.seed ^ 0x1157)
        for number, destination in enumerate(self.destinations):
            for index in range(rng.choice((1, 1, 2, 3))):
                self.discovery.change(ListRow(f"e{number}.{index}", f"127.0.0.1:{1_000 + 10 * number + index}", "r1",
                                              "", destination, "SERVING"))
        at_us = 3 * S
        while at_us < self.setup.faults_us + 2 * S:
            at_us += rng.randrange(800 * MS)
            self.world.call_at(at_us, self._change_list, rng.randrange(1 << 30))

    def _change_list(self, number: int) -> None:
        rng, rows = random.Random(number), self.discovery.rows
        host = rng.choice(sorted(rows))
        match rng.choice(("drain", "drain", "drain", "back", "back", "delete", "new")):
            case "drain" if rows[host].health == "SERVING" and self._has_other_endpoint(host):
                self.discovery.set_health(host, "DRAINING")
            case "delete" if self._has_other_endpoint(host):
                self.discovery.set_health(host, "DELETED")
            case "back":
                off = sorted(name for name, row in rows.items() if row.health == "DRAINING")
                if off:
                    self.discovery.set_health(rng.choice(off), "SERVING")
            case "new":
                index = rng.randrange(3, 6)
                name = f"{host.partition('.')[0]}.{index}"
                self.discovery.change(ListRow(name, f"127.0.0.1:{2_000 + rng.randrange(60_000)}", "r1", "",
                                              rows[host].block, "SERVING"))

    def _has_other_endpoint(self, host: str) -> bool:
        rows = self.discovery.rows
        return any(name != host and row.block == rows[host].block and row.health == "SERVING"
                   for name, row in rows.items())

    def _burst(self, courier: Courier, rng: random.Random, at_it: bool) -> None:
        """Submit 50 to 150 messages within half a second, at this courier or at all others."""
        others = [courier] if at_it else [member for member in self.fleet if member is not courier and not member.lost]
        for number in range(rng.randint(50, 150)):
            deadline_ms = (self.world.wall_us() + 6 * S) // MS
            message = StoredMessage(f"b{self.world.now_us}.{number}", rng.choice(("safe", "unsafe")),
                             rng.choice(self.destinations), deadline_ms)
            self.world.call_after(rng.randrange(S // 2),
                                  Submission(self.world, self.check, message, lambda status: None).send,
                                  rng.choice(others), False)

    def _probe(self) -> None:
        """Submit a message for each destination at up to two couriers. Each must be answered 202."""
        rng = random.Random(self.seed ^ 0x9805)
        fleet = [member for member in self.fleet if not member.lost]
        for number, destination in enumerate(self.destinations):
            for courier in rng.sample(fleet, min(2, len(fleet))):
                message = StoredMessage(f"p{number}.{courier.name}", "safe", destination,
                                 (self.world.wall_us() + 2 * S) // MS)
                submission = Submission(
                    self.world, self.check, message, lambda status, courier=courier, destination=destination:
                    self._probes.append((courier.name, str(destination), status)))  # type: ignore[misc]
                self.world.call_after(rng.randrange(S), submission.send, courier, False)

    def execute(self) -> Result:
        """Run to the end, or to the first violation or error."""
        setup, world, check, text, rule = self.setup, self.world, self.check, "", ""
        errors, log = _Errors(world), logging.getLogger("wheelstep")
        previous = log.propagate, log.level, gc.isenabled()
        log.addHandler(errors)
        log.propagate = False
        log.setLevel(logging.ERROR)
        gc.disable()
        try:
            with clock.virtual(world):
                for until_us, action in ((setup.faults_us, self.faults.heal),
                                       (setup.faults_us + setup.quiet_us - PROBE_US, self._probe),
                                       (setup.faults_us + setup.quiet_us, lambda: None)):
                    world.run(until_us)
                    if check.violation is not None:
                        raise check.violation
                    action()
                if errors.error_text:
                    check.fail(ERROR, errors.error_text)
                check_final_state(check, self.fleet, self._probes, setup.shards)
        except ViolationError as error:
            text, rule = str(error), error.rule
        except Exception as error:  # an exception of the code under test is a finding like any other
            where = traceback.extract_tb(error.__traceback__)[-1]
            rule = ERROR
            text = f"seed {self.seed} at {world.now_us / S:.6f} s: {error!r} ({where.filename}:{where.lineno})"
        finally:
            log.removeHandler(errors)
            log.propagate, log.level = previous[0], previous[1]
            for courier in self.fleet:
                courier.add_counts()
            self.dispose()
            if previous[2]:
                gc.enable()
        world.trace("check", text)
        return Result(self.seed, text, rule, world.events, world.fingerprint, world.counts, world.trace_lines or [])

    def dispose(self) -> None:
        """Dispose of all event loops after the run."""
        for machine in (*self.fleet, *self.controls):
            for process in machine.processes:
                process.loop.dispose()


def run_seed(seed: int, traced: bool = False) -> Result:
    """Run a seed with the setup and the faults drawn from it."""
    return Run(seed, draw_setup(seed), traced).execute()


def run_with_faults(seed: int, kinds: Sequence[str], count: int, traced: bool = False) -> Result:
    """Run a seed with `count` faults of these kinds only."""
    setup = draw_setup(seed)
    return Run(seed, setup, traced,
               faults.draw_of_kinds(seed, kinds, count, setup.calm_us, setup.faults_us - S)).execute()
