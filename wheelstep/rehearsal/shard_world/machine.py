"""A machine with one program on it: started, killed, stopped, gone with all its power, and started again."""

from __future__ import annotations

import random
from typing import Any

from wheelstep.rehearsal.shard_world.check import ERROR, Check
from wheelstep.rehearsal.shard_world.disk import Disk
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import World

KEYS = (b"a key of the fleet, thirty bytes.",)
FLEET = "rehearsed"


class Ordered(dict[Any, None]):
    """A set that keeps the order in which things came. The code under test ends links and tasks in the order of sets,
    which is that of their places in memory: no two runs would be the same."""

    def add(self, one: object) -> None:
        """As a set's."""
        self[one] = None

    def discard(self, one: object) -> None:
        """As a set's."""
        self.pop(one, None)


class Machine:
    """`name` in the zone `place`."""

    def __init__(self, world: World, fabric: Fabric, check: Check, name: str, place: str, number: int) -> None:
        self.world, self.fabric, self.check = world, fabric, check
        self.name, self.place, self.number = name, place, number
        self.address = f"{name}:7000"
        self.disk = Disk()
        self.lives: list[Process] = []
        self.lost = False  # for good
        self._rng = random.Random(f"{world.seed} {name}")
        fabric.places[name] = place

    @property
    def process(self) -> Process | None:
        """The present life, if it has one."""
        return self.lives[-1] if self.lives and self.lives[-1].alive else None

    async def main(self, process: Process) -> None:
        """The program."""

    def start(self) -> None:
        """If it is down."""
        if self.process is not None or self.lost:
            return
        self.disk.boot += 1
        if self.name in self.fabric.gone:
            self.fabric.gone.discard(self.name)
            self.fabric.flow()
        self.world.trace(self.name, "starts", self.disk.boot)
        process = Process(self.world, self.name, self.place, self.number, self._failed)
        self.lives.append(process)
        process.start(self.main(process))

    def _failed(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self.world.trace(self.name, "failed", context.get("message"), repr(error))
        if error is not None and not isinstance(error, OSError):
            where = error.__traceback__
            while where is not None and where.tb_next is not None:
                where = where.tb_next
            place = f"{where.tb_frame.f_code.co_filename}:{where.tb_lineno}" if where is not None else "?"
            self.check.fail(ERROR, f"{self.name}: {error!r} at {place}")

    def kill(self, vanish: bool = False) -> None:
        """SIGKILL; with `vanish` the machine's power."""
        process = self.process
        if process is None:
            return
        self.world.trace(self.name, "vanishes" if vanish else "is killed")
        if vanish:
            self.fabric.gone.add(self.name)
            self.disk.power_lost(self._rng)
        process.kill(vanish)
        self.check.handing.pop(self.name, None)

    def stop(self) -> None:
        """SIGSTOP."""
        if (process := self.process) is not None and not process.stopped:
            self.world.trace(self.name, "is stopped")
            process.stop()

    def wake(self) -> None:
        """SIGCONT."""
        if (process := self.process) is not None and process.stopped:
            self.world.trace(self.name, "wakes")
            process.wake()
