"""The faults of a run and their times, all drawn from the seed before the run starts.

Voters lose data on their disks only as often as the design tolerates: one of three, or two of five, in a run, and the
second only after the first has had time to learn the state again. Imports neighbouring modules.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.rehearsal.simulation.check import InvariantChecker
from wheelstep.rehearsal.simulation.disk import RecordFile, is_held
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.store import Store
from wheelstep.rehearsal.simulation.world import MS, S, World

FAULT_WEIGHTS = {"crash": 6, "power": 3, "freeze": 4, "one way": 3, "halves": 2, "alone": 3, "lossy": 2, "stall": 2,
         "lie": 1, "older": 1, "lose": 1, "full": 1, "pace": 2, "leave": 3, "dark": 1}
DISK_LOSS_FAULTS = ("lie", "older", "lose")


@dataclass(slots=True)
class Plan:
    """Faults in the order of time: rows of (true time in us, kind, machine's index, duration in us, fault's seed)."""

    rows: list[tuple[int, str, int, int, int]] = field(default_factory=list)


def draw_plan(seed: int, couriers: int, voters: int, until_us: int, lease_us: int, max_faults: int = 8) -> Plan:
    """Return a plan for `couriers` couriers, the first `voters` of which vote. No fault comes before one and a half
    times the lease, or after `until_us`."""
    rng = random.Random(seed ^ 0xFA17)
    plan = Plan()
    disk_losses_us: list[int] = []
    for _ in range(rng.randint(0, max_faults)):
        at_us = rng.randrange(3 * lease_us // 2, until_us)
        kind = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        machine_index = rng.randrange(couriers)
        duration_us = int(rng.choice((0.1, 0.5, 1.2, 2.5)) * lease_us * (0.5 + rng.random()))
        if kind in DISK_LOSS_FAULTS and machine_index < voters:
            if len(disk_losses_us) >= voters // 2 or any(abs(at_us - other) < 4 * lease_us for other in disk_losses_us):
                continue
            disk_losses_us.append(at_us)
        plan.rows.append((at_us, kind, machine_index, duration_us, rng.randrange(1 << 30)))
    plan.rows.sort()
    return plan


@dataclass(slots=True)
class FaultInjector:
    """Carries out a plan. `restart` starts a machine whose process has ended."""

    world: World
    check: InvariantChecker
    machines: list[Machine]
    restart: Callable[[Machine], None]
    drift_ppm: int
    voters: tuple[str, ...]
    downtime_us: dict[str, int] = field(default_factory=dict)  # machine -> until the start after its next end
    # machine -> log and journal at its next start; "copy MACHINE" -> the backup for a coming fault "older"
    disks_at_next_start: dict[str, tuple[RecordFile, RecordFile]] = field(default_factory=dict)
    healed: bool = False

    def schedule(self, plan: Plan) -> None:
        """Schedule each fault of a plan at its time, and the backup of the disk that a fault "older" restores."""
        for at_us, kind, machine_index, duration_us, fault_seed in plan.rows:
            self.world.schedule_at(
                at_us, self._begin_fault, kind, self.machines[machine_index], duration_us, fault_seed)
            if kind == "older":
                self.world.schedule_at(
                    max(at_us - duration_us - S, 0), self._back_up_disk, self.machines[machine_index])

    def _back_up_disk(self, machine: Machine) -> None:
        self.disks_at_next_start.setdefault("copy " + machine.name, machine.disk.copy_synced())

    def _begin_fault(self, kind: str, machine: Machine, duration_us: int, fault_seed: int) -> None:
        self.world.trace("fault", kind, machine.name, duration_us, fault_seed)
        self.check.counts[kind] += 1
        net, rng, name = self.world.net, random.Random(fault_seed), machine.name
        others = [one.name for one in self.machines if one is not machine]
        match kind:
            case "crash" | "power":
                self._crash_soon(machine, kind == "power", duration_us, rng.randint(1, 60))
            case "dark":
                for one in self.machines:
                    self._crash_soon(one, True, duration_us, rng.randint(1, 60))
            case "freeze":
                machine.set_paused(True)
                self.world.schedule_after(duration_us, machine.set_paused, False)
            case "one way":
                pairs = [(name, one) for one in others if rng.random() < 0.5]
                self._block_links(
                    [(other, sender) for sender, other in pairs] if rng.random() < 0.5 else pairs, duration_us)
            case "alone":
                self._block_links([(name, one) for one in others] + [(one, name) for one in others], duration_us)
            case "halves":
                half = [one for one in [*others, name] if rng.random() < 0.5]
                other_half = [one for one in [*others, name] if one not in half]
                self._block_links([pair for one in half for other in other_half
                                   for pair in ((one, other), (other, one))], duration_us)
            case "stall":
                pairs = [(name, one) for one in others] + [(one, name) for one in others]
                net.extra_delay_us.update(dict.fromkeys(pairs, 400 * MS + fault_seed % (800 * MS)))
                self.world.schedule_after(duration_us, self._end_stall, pairs)
            case "lossy":
                net.loss_probability, net.duplicate_probability, net.long_delay_probability = 0.25, 0.05, 0.1
                self.world.schedule_after(duration_us, self._end_loss)
            case "lie":
                machine.disk.drops_syncs = True
                self.world.schedule_after(duration_us, self._crash_with_disk_loss, machine, duration_us)
            case "older":
                self.disks_at_next_start[name] = self.disks_at_next_start.pop("copy " + name)
                self._crash_with_disk_loss(machine, duration_us)
            case "lose":
                self.disks_at_next_start[name] = RecordFile(), RecordFile()
                self._crash_with_disk_loss(machine, duration_us)
            case "full":
                machine.disk.full = True
                self.world.schedule_after(duration_us, setattr, machine.disk, "full", False)
            case "pace":
                machine.clock.set_drift(self.world.now_us, rng.randint(-self.drift_ppm, self.drift_ppm))
                machine.clock.wall_offset_us += rng.randint(-60, 60) * S
            case "leave":
                self.downtime_us[name] = duration_us
                machine.leave()

    def _end_stall(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.world.net.extra_delay_us.pop(pair, None)

    def _end_loss(self) -> None:
        net = self.world.net
        net.loss_probability = net.duplicate_probability = net.long_delay_probability = 0.0

    def _block_links(self, pairs: list[tuple[str, str]], duration_us: int) -> None:
        blocked = self.world.net.blocked_links
        blocked.update(pairs)
        self.world.schedule_after(duration_us, blocked.difference_update, pairs)

    def _crash_with_disk_loss(self, machine: Machine, downtime_us: int) -> None:
        """Cause a power loss after which synced data are missing from the disk; none if the machine is down or all
        faults have ended."""
        if machine.alive and not self.healed:
            self.downtime_us[machine.name] = downtime_us
            machine.crash(True)
        else:
            machine.disk.drops_syncs = False
            self.disks_at_next_start.pop(machine.name, None)

    def _crash_soon(self, machine: Machine, power_loss: bool, downtime_us: int, boundaries: int) -> None:
        """End a process at one of its next action boundaries, or after 200 ms if it passes too few until then."""
        if not machine.alive:
            return
        self.downtime_us[machine.name] = downtime_us
        machine.power_loss, machine.crash_countdown = power_loss, boundaries
        self.world.schedule_after(200 * MS, self._crash_if_running, machine, machine.generation, power_loss)

    def _crash_if_running(self, machine: Machine, generation: int, power_loss: bool) -> None:
        if machine.generation == generation and not self.healed:
            machine.crash(power_loss)

    def on_process_end(self, machine: Machine, left: bool) -> None:
        """Handle the end of a process: change its disk as the fault demands, and schedule the restart."""
        restored_files = self.disks_at_next_start.pop(machine.name, None)
        if restored_files is not None:
            machine.disk.restore(restored_files)
        elif left and not machine.content.store.messages and machine.name not in self.voters:
            machine.disk.restore((RecordFile(), RecordFile()))  # a new machine takes the old one's name
        if restored_files is not None or machine.disk.drops_syncs:
            before = machine.content.store
            after = Store(machine.disk.journal, before.parts, before.now_ms, lambda: None)
            self.check.on_disk_replaced(
                before.channels() + after.channels(), before.messages.keys() ^ after.messages.keys(),
                lambda message: is_held((one.disk for one in self.machines), message))
        machine.disk.drops_syncs = False
        if not self.healed:
            self.world.schedule_after(self.downtime_us.pop(machine.name, 300 * MS) + 100 * MS, self.restart, machine)

    def heal(self) -> None:
        """End all faults: restore links and disks, continue paused processes, and start the machines that are down."""
        self.healed = True
        self.world.net.blocked_links.clear()
        self.world.net.extra_delay_us.clear()
        self._end_loss()
        for machine in self.machines:
            machine.disk.full, machine.disk.drops_syncs, machine.crash_countdown = False, False, 0
            machine.set_paused(False)
            if not machine.alive:
                self.restart(machine)
