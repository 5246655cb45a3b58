"""Tracks for how long each courier has been able to reach a control machine that knows of a drain."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.control import SimControlMachine
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.machine import Machine
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.world import World


def _is_running(machine: Machine) -> bool:
    process = machine.process
    return process is not None and not process.paused


@dataclass(slots=True)
class ReachabilityTracker:
    """Tracks since when each courier and control machine can reach each other without a break: no loss and no added
    delay between them. `update` must be called whenever a fault begins or ends."""

    world: World
    fabric: Fabric
    discovery: Discovery
    couriers: Sequence[Courier]
    controls: Sequence[SimControlMachine]
    _reachable_since_us: dict[tuple[str, str], int] = field(default_factory=dict)

    def update(self) -> None:
        """Update the pairs that can reach each other now."""
        calm = not self.fabric.loss_probability and not self.fabric.long_delay_probability
        for courier in self.couriers:
            for control in self.controls:
                pair = courier.name, control.name
                reachable = (calm and _is_running(courier) and _is_running(control)
                             and not self.fabric.is_blocked(*pair)
                             and not self.fabric.is_blocked(control.name, courier.name)
                             and pair not in self.fabric.extra_delay_us)
                if not reachable:
                    self._reachable_since_us.pop(pair, None)
                else:
                    self._reachable_since_us.setdefault(pair, self.world.now_us)

    def drain_delay_us(self, courier: str, endpoint: str) -> int:
        """Return for how long a drained endpoint could have been known to the courier: the longest time in
        microseconds since a control machine knew of the drain and the two could reach each other. 0 if the endpoint
        serves, or if no such control machine is in reach."""
        seq = self.discovery.unavailable_since_seq.get(endpoint)
        if seq is None:
            return 0
        drain_delay_us = 0
        for control in self.controls:
            known_since_us = self.discovery.received_us.get((control.name, seq))
            reachable_since_us = self._reachable_since_us.get((courier, control.name))
            if known_since_us is not None and reachable_since_us is not None:
                drain_delay_us = max(drain_delay_us, self.world.now_us - max(known_since_us, reachable_since_us))
        return drain_delay_us
