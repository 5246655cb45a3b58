"""One run of a sharded fleet from one seed: its setup, a time with faults, a quiet time, and the final checks."""

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
from wheelstep.rehearsal.shard_world.check import ERROR, InvariantChecker, ViolationError
from wheelstep.rehearsal.shard_world.clients import Client, Submission
from wheelstep.rehearsal.shard_world.control import SimControlMachine
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import DISCOVERY_NAME, Discovery
from wheelstep.rehearsal.shard_world.final import check_final_state
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.reach import ReachabilityTracker
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.types import ListRow

PROBE_LEAD_US = 9 * S  # from the probes to the final checks: guest shards that a probe opens must be dropped by then


@dataclass(frozen=True, slots=True)
class Setup:
    """The parameters of a run. Faults come from `faults_begin_us` to `faults_end_us`, clients submit until then, and
    the final checks follow `quiet_us` later."""

    couriers: int = 4
    zones: tuple[str, ...] = ("r1/a", "r1/b")
    control_machines: int = 2
    shards: int = 32
    destinations: int = 30
    clients: int = 6
    message_interval_us: int = 350 * MS
    faults_begin_us: int = 4 * S
    faults_end_us: int = 22 * S
    quiet_us: int = 22 * S
    max_faults: int = 7


def draw_setup(seed: int) -> Setup:
    """Return a setup drawn from a seed, mostly a small one."""
    rng = random.Random(seed ^ 0xD1CE)
    two = rng.random() < 0.35
    zones = ("r1/a", "r1/b", "r2/a") if two else rng.choice((("r1/a", "r1/b"), ("r1/a", "r1/b", "r1/c")))
    couriers = rng.choice((5, 6, 7, 9) if two else (3, 3, 4, 4, 5, 6))
    return Setup(couriers, zones, rng.choice((2, 2, 3)), rng.choice((16, 32, 32, 64)), rng.randint(16, 40),
                 rng.randint(4, 8))


@dataclass(slots=True)
class Result:
    """The result of a run. `text` says which invariant was broken and how, `rule` names it; both are empty if none was.
    Runs with the same `digest` went the same way."""

    seed: int
    text: str
    rule: str
    events: int
    digest: int
    counts: Counter[str]
    trace_lines: list[str]


class _ErrorLog(logging.Handler):
    """Collects errors that the code under test logs; `first_error` is the first one with an exception."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world
        self.first_error = ""

    def emit(self, record: logging.LogRecord) -> None:
        self._world.trace(self._world.current_process, "logs", record.getMessage())
        self._world.counts["errors logged"] += 1
        if record.exc_info and record.exc_info[1] is not None:
            location = traceback.extract_tb(record.exc_info[2])[-1]
            self.first_error = self.first_error or (
                f"{self._world.current_process} logs {record.getMessage()}: {record.exc_info[1]!r} at "
                f"{location.filename}:{location.lineno}")


class Run:
    """A fleet that is ready to run. `plan` replaces the faults drawn from the seed."""

    def __init__(self, seed: int, setup: Setup, traced: bool = False,
                 plan: list[faults.FaultRow] | None = None) -> None:
        self.seed, self.setup = seed, setup
        self.world = world = World(seed, traced)
        self.check = check = InvariantChecker(world)
        self.fabric = fabric = Fabric(world, random.Random(seed ^ 0x5EED))
        self.partners = Partners(world, check, random.Random(seed ^ 0xCA11))
        self.discovery = Discovery(world, fabric, random.Random(seed ^ 0xD15C))
        fabric.zones[DISCOVERY_NAME] = "hub"
        self.fleet, self.controls = self._machines()
        self.reachability = ReachabilityTracker(world, fabric, self.discovery, self.fleet, self.controls)
        check.drain_delay_us = self.reachability.drain_delay_us
        check.disk_contents = lambda: {one.name: set(one.disk.records) for one in self.fleet}
        self.destinations = [world.rng.randrange(1, 100_000) for _ in range(setup.destinations)]
        self._fill_list()
        self.faults = faults.FaultInjector(world, fabric, self.fleet, self.controls, self.discovery, self.partners,
                                           self._submit_burst, self.reachability.update)
        self.faults.schedule(faults.draw_plan(seed, setup.faults_begin_us, setup.faults_end_us - S, setup.max_faults)
                             if plan is None else plan)
        for machine in (*self.controls, *self.fleet):
            world.schedule_at(world.rng.randrange(300 * MS), machine.start)
        world.schedule_at(301 * MS, self.reachability.update)
        for number in range(setup.clients):
            Client(world, check, f"k{number}", random.Random(world.rng.randrange(1 << 60)), self.fleet,
                   self.destinations, setup.faults_end_us, setup.message_interval_us).start()
        self._probes: list[tuple[str, str, int]] = []

    def _machines(self) -> tuple[list[Courier], list[SimControlMachine]]:
        setup, shared = self.setup, (self.world, self.fabric, self.check)
        fleet = [Courier(*shared, f"c{number}", setup.zones[number % len(setup.zones)], number)
                 for number in range(1, setup.couriers + 1)]
        controls = [SimControlMachine(*shared, f"m{number}", setup.zones[number % len(setup.zones)], 100 + number)
                    for number in range(1, setup.control_machines + 1)]
        settings = NodeSettings(shards=setup.shards, guests=8, guest_idle_us=4 * S)
        for courier in fleet:
            courier.partners, courier.settings = self.partners, settings
            courier.seeds = {one.name: one.address for one in fleet}
            courier.control_addresses = {one.name: one.address for one in controls}
        for control in controls:
            control.discovery, control.shards = self.discovery, setup.shards
        return fleet, controls

    def _fill_list(self) -> None:
        rng = random.Random(self.seed ^ 0x1157)
        for number, destination in enumerate(self.destinations):
            for place in range(rng.choice((1, 1, 2, 3))):
                self.discovery.apply_change(ListRow(f"e{number}.{place}", f"127.0.0.1:{1_000 + 10 * number + place}",
                                                    "r1", "", destination, "SERVING"))
        at_us = 3 * S
        while at_us < self.setup.faults_end_us + 2 * S:
            at_us += rng.randrange(800 * MS)
            self.world.schedule_at(at_us, self._change_list, rng.randrange(1 << 30))

    def _change_list(self, number: int) -> None:
        rng, rows = random.Random(number), self.discovery.rows
        host = rng.choice(sorted(rows))
        match rng.choice(("drain", "drain", "drain", "back", "back", "delete", "new")):
            case "drain" if rows[host].health == "SERVING" and self._has_other_serving(host):
                self.discovery.set_health(host, "DRAINING")
            case "delete" if self._has_other_serving(host):
                self.discovery.set_health(host, "DELETED")
            case "back":
                off = sorted(name for name, row in rows.items() if row.health == "DRAINING")
                if off:
                    self.discovery.set_health(rng.choice(off), "SERVING")
            case "new":
                place = rng.randrange(3, 6)
                name = f"{host.partition('.')[0]}.{place}"
                self.discovery.apply_change(ListRow(name, f"127.0.0.1:{2_000 + rng.randrange(60_000)}", "r1", "",
                                                    rows[host].block, "SERVING"))

    def _has_other_serving(self, host: str) -> bool:
        rows = self.discovery.rows
        return any(name != host and row.block == rows[host].block and row.health == "SERVING"
                   for name, row in rows.items())

    def _submit_burst(self, courier: Courier, rng: random.Random, at_courier: bool) -> None:
        """Submit 50 to 150 messages within half a second, to a courier (`at_courier`) or to all others."""
        others = [courier] if at_courier else [one for one in self.fleet if one is not courier and not one.removed]
        for number in range(rng.randint(50, 150)):
            deadline_ms = (self.world.wall_us() + 6 * S) // MS
            message = StoredMessage(f"b{self.world.now_us}.{number}", rng.choice(("safe", "unsafe")),
                             rng.choice(self.destinations), deadline_ms)
            self.world.schedule_after(
                rng.randrange(S // 2), Submission(self.world, self.check, message, lambda status: None).submit_to,
                rng.choice(others), False)

    def _submit_probes(self) -> None:
        """Submit a message of each destination to two couriers; `check_final_state` expects 202 for each."""
        rng = random.Random(self.seed ^ 0x9805)
        fleet = [one for one in self.fleet if not one.removed]
        for number, destination in enumerate(self.destinations):
            for courier in rng.sample(fleet, min(2, len(fleet))):
                message = StoredMessage(f"p{number}.{courier.name}", "safe", destination,
                                 (self.world.wall_us() + 2 * S) // MS)
                submission = Submission(
                    self.world, self.check, message, lambda status, courier=courier, destination=destination:
                    self._probes.append((courier.name, str(destination), status)))  # type: ignore[misc]
                self.world.schedule_after(rng.randrange(S), submission.submit_to, courier, False)

    def execute(self) -> Result:
        """Run to the end, or to the first violation or error; either becomes the result."""
        setup, world, check, text, rule = self.setup, self.world, self.check, "", ""
        error_log, log = _ErrorLog(world), logging.getLogger("wheelstep")
        logging_before = log.propagate, log.level, gc.isenabled()
        log.addHandler(error_log)
        log.propagate = False
        log.setLevel(logging.ERROR)
        gc.disable()
        try:
            with clock.virtual_time(world):
                for until_us, action in ((setup.faults_end_us, self.faults.heal),
                                           (setup.faults_end_us + setup.quiet_us - PROBE_LEAD_US, self._submit_probes),
                                           (setup.faults_end_us + setup.quiet_us, lambda: None)):
                    world.run_until(until_us)
                    if check.violation is not None:
                        raise check.violation
                    action()
                if error_log.first_error:
                    check.fail(ERROR, error_log.first_error)
                check_final_state(check, self.fleet, self._probes, setup.shards)
        except ViolationError as error:
            text, rule = str(error), error.rule
        except Exception as error:  # an exception of the code under test is reported like a violation
            location = traceback.extract_tb(error.__traceback__)[-1]
            rule = ERROR
            text = f"seed {self.seed} at {world.now_us / S:.6f} s: {error!r} ({location.filename}:{location.lineno})"
        finally:
            log.removeHandler(error_log)
            log.propagate, log.level = logging_before[0], logging_before[1]
            for courier in self.fleet:
                courier.add_counts()
            self.dispose()
            if logging_before[2]:
                gc.enable()
        world.trace("check", text)
        return Result(self.seed, text, rule, world.events, world.digest, world.counts, world.trace_lines or [])

    def dispose(self) -> None:
        """Close the loops of all processes after the run."""
        for machine in (*self.fleet, *self.controls):
            for process in machine.processes:
                process.loop.dispose()


def run_seed(seed: int, traced: bool = False) -> Result:
    """Run the setup and the faults of a seed."""
    return Run(seed, draw_setup(seed), traced).execute()


def run_fault_kinds(seed: int, kinds: Sequence[str], count: int, traced: bool = False) -> Result:
    """Run the setup of a seed with `count` faults of the given kinds only."""
    setup = draw_setup(seed)
    return Run(seed, setup, traced, faults.draw_plan_of_kinds(
        seed, kinds, count, setup.faults_begin_us, setup.faults_end_us - S)).execute()
