"""A machine with one program, which can be started, killed, stopped and continued, and can lose its power."""

from __future__ import annotations

import random
from typing import Any

from wheelstep.rehearsal.shard_world.check import ERROR, Check
from wheelstep.rehearsal.shard_world.disk import Disk
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import World

FLEET_KEYS = (b"a key of the fleet, thirty bytes.",)
FLEET_NAME = "rehearsed"


class OrderedSet(dict[Any, None]):
    """A set that keeps the order of insertion.

    The code under test closes links and cancels tasks in the order of a set, which depends on memory addresses. Without
    this class two runs of one seed would differ.
    """

    def add(self, item: object) -> None:
        """Add an item, as `set.add` does."""
        self[item] = None

    def discard(self, item: object) -> None:
        """Remove an item if it is there, as `set.discard` does."""
        self.pop(item, None)


class Machine:
    """A machine in a zone. Its disk lasts across the runs of its process."""

    def __init__(self, world: World, fabric: Fabric, check: Check, name: str, zone: str, number: int) -> None:
        self.world, self.fabric, self.check = world, fabric, check
        self.name, self.zone, self.number = name, zone, number
        self.address = f"{name}:7000"
        self.disk = Disk()
        self.processes: list[Process] = []
        self.lost = False  # never started again
        self._rng = random.Random(f"{world.seed} {name}")
        fabric.zones[name] = zone

    @property
    def process(self) -> Process | None:
        """The running process; None while the machine or the process is down."""
        return self.processes[-1] if self.processes and self.processes[-1].alive else None

    async def main(self, process: Process) -> None:
        """The program: run by each new process. Subclasses override it."""

    def start(self) -> None:
        """Start a process if none runs and the machine is not lost."""
        if self.process is not None or self.lost:
            return
        self.disk.boot += 1
        if self.name in self.fabric.powered_off:
            self.fabric.powered_off.discard(self.name)
            self.fabric.resend_stalled()
        self.world.trace(self.name, "starts", self.disk.boot)
        process = Process(self.world, self.name, self.zone, self.number, self._on_failure)
        self.processes.append(process)
        process.start(self.main(process))

    def _on_failure(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.world.trace(self.name, "failed", context.get("message"), repr(error))
        if error is not None and not isinstance(error, OSError):
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            location = f"{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}" if frame is not None else "?"
            self.check.fail(ERROR, f"{self.name}: {error!r} at {location}")

    def kill(self, vanish: bool = False) -> None:
        """Kill the process by SIGKILL; with `vanish` the machine loses its power."""
        process = self.process
        if process is None:
            return
        self.world.trace(self.name, "vanishes" if vanish else "is killed")
        if vanish:
            self.fabric.powered_off.add(self.name)
            self.disk.lose_power(self._rng)
        process.kill(vanish)
        self.check.open_submissions.pop(self.name, None)

    def stop(self) -> None:
        """Stop the process by SIGSTOP."""
        if (process := self.process) is not None and not process.stopped:
            self.world.trace(self.name, "is stopped")
            process.stop()

    def resume(self) -> None:
        """Continue the process by SIGCONT."""
        if (process := self.process) is not None and process.stopped:
            self.world.trace(self.name, "wakes")
            process.resume()
