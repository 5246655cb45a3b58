"""For how long a courier has been within reach of a control machine that knows of a drain, without a break."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.control import Control
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.machine import Machine
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.world import World


def _runs(machine: Machine) -> bool:
    process = machine.process
    return process is not None and not process.stopped


@dataclass(slots=True)
class Reach:
    """`look` is to be called whenever a fault begins or ends."""

    world: World
    fabric: Fabric
    discovery: Discovery
    fleet: Sequence[Courier]
    controls: Sequence[Control]
    _since: dict[tuple[str, str], int] = field(default_factory=dict)

    def look(self) -> None:
        """Who reaches whom has changed, perhaps."""
        calm = not self.fabric.lose and not self.fabric.late
        for courier in self.fleet:
            for control in self.controls:
                pair = courier.name, control.name
                good = (calm and _runs(courier) and _runs(control) and not self.fabric.blocked(*pair)
                        and not self.fabric.blocked(control.name, courier.name) and pair not in self.fabric.slow)
                if not good:
                    self._since.pop(pair, None)
                else:
                    self._since.setdefault(pair, self.world.now_us)

    def late_us(self, courier: str, endpoint: str) -> int:
        """0 if it is on, or if the courier has not been told by anybody for so long."""
        seq = self.discovery.off_seq.get(endpoint)
        if seq is None:
            return 0
        late_us = 0
        for control in self.controls:
            had_us = self.discovery.had_us.get((control.name, seq))
            since_us = self._since.get((courier, control.name))
            if had_us is not None and since_us is not None:
                late_us = max(late_us, self.world.now_us - max(had_us, since_us))
        return late_us
