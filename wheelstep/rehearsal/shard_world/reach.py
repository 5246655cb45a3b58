"""How long a courier has been able to reach a control machine that knows of a drain, without interruption."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.control import Control
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.machine import Machine
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.world import World


def _is_running(machine: Machine) -> bool:
    process = machine.process
    return process is not None and not process.stopped


@dataclass(slots=True)
class Reachability:
    """Since when couriers and control machines reach each other. Call `update` whenever a fault begins or ends."""

    world: World
    fabric: Fabric
    discovery: Discovery
    fleet: Sequence[Courier]
    controls: Sequence[Control]
    _since: dict[tuple[str, str], int] = field(default_factory=dict)

    def update(self) -> None:
        """Note which couriers and control machines reach each other from now on."""
        lossless = not self.fabric.loss_rate and not self.fabric.delay_rate
        for courier in self.fleet:
            for control in self.controls:
                pair = courier.name, control.name
                reachable = (lossless and _is_running(courier) and _is_running(control)
                             and not self.fabric.blocked(*pair)
                             and not self.fabric.blocked(control.name, courier.name)
                             and pair not in self.fabric.extra_delay_us)
                if not reachable:
                    self._since.pop(pair, None)
                else:
                    self._since.setdefault(pair, self.world.now_us)

    def late_us(self, courier: str, endpoint: str) -> int:
        """Return for how long a courier could have known that an endpoint takes no messages, in microseconds.

        0 if the endpoint takes messages, or if no control machine that knows otherwise is within reach.
        """
        seq = self.discovery.not_serving_since.get(endpoint)
        if seq is None:
            return 0
        late_us = 0
        for control in self.controls:
            had_us = self.discovery.received_us.get((control.name, seq))
            since_us = self._since.get((courier, control.name))
            if had_us is not None and since_us is not None:
                late_us = max(late_us, self.world.now_us - max(had_us, since_us))
        return late_us
