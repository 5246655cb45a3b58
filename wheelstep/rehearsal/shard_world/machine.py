"""A simulated machine with one program, which can be started, killed, paused, lost with its power, and restarted."""

from __future__ import annotations

import random
from typing import Any

from wheelstep.rehearsal.shard_world.check import ERROR, InvariantChecker
from wheelstep.rehearsal.shard_world.disk import Disk
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import World

FLEET_KEYS = (b"a key of the fleet, thirty bytes.",)
FLEET_NAME = "rehearsed"


class OrderedSet(dict[Any, None]):
    """A set in the order of insertion. The code under test ends links and tasks in the order of its sets, which depends
    on memory addresses and would differ between runs."""

    def add(self, item: object) -> None:
        """Add an item, as `set.add` does."""
        self[item] = None

    def discard(self, item: object) -> None:
        """Remove an item if it is there, as `set.discard` does."""
        self.pop(item, None)


class Machine:
    """A named machine in a zone ("region/zone"). `number` distinguishes its process in the run's digest."""

    def __init__(self, world: World, fabric: Fabric, check: InvariantChecker, name: str, zone: str,
                 number: int) -> None:
        self.world, self.fabric, self.check = world, fabric, check
        self.name, self.zone, self.number = name, zone, number
        self.address = f"{name}:7000"
        self.disk = Disk()
        self.processes: list[Process] = []
        self.removed = False  # it never starts again
        self._rng = random.Random(f"{world.seed} {name}")
        fabric.zones[name] = zone

    @property
    def process(self) -> Process | None:
        """The running process, None if the machine is down."""
        return self.processes[-1] if self.processes and self.processes[-1].alive else None

    async def main(self, process: Process) -> None:
        """The program that the machine runs."""

    def start(self) -> None:
        """Start a process, unless one runs or the machine is removed."""
        if self.process is not None or self.removed:
            return
        self.disk.boot += 1
        if self.name in self.fabric.machines_down:
            self.fabric.machines_down.discard(self.name)
            self.fabric.retransmit()
        self.world.trace(self.name, "starts", self.disk.boot)
        process = Process(self.world, self.name, self.zone, self.number, self._on_unhandled)
        self.processes.append(process)
        process.start(self.main(process))

    def _on_unhandled(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.world.trace(self.name, "failed", context.get("message"), repr(error))
        if error is not None and not isinstance(error, OSError):
            traceback_entry = error.__traceback__
            while traceback_entry is not None and traceback_entry.tb_next is not None:
                traceback_entry = traceback_entry.tb_next
            location = f"{traceback_entry.tb_frame.f_code.co_filename}:{traceback_entry.tb_lineno}" \
                if traceback_entry is not None else "?"
            self.check.fail(ERROR, f"{self.name}: {error!r} at {location}")

    def kill(self, machine_lost: bool = False) -> None:
        """End the process as SIGKILL does; with `machine_lost` the machine loses its power."""
        process = self.process
        if process is None:
            return
        self.world.trace(self.name, "vanishes" if machine_lost else "is killed")
        if machine_lost:
            self.fabric.machines_down.add(self.name)
            self.disk.lose_unsynced(self._rng)
        process.kill(machine_lost)
        self.check.open_submissions.pop(self.name, None)

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        if (process := self.process) is not None and not process.paused:
            self.world.trace(self.name, "is stopped")
            process.pause()

    def resume(self) -> None:
        """Continue the process, as SIGCONT does."""
        if (process := self.process) is not None and process.paused:
            self.world.trace(self.name, "wakes")
            process.resume()
