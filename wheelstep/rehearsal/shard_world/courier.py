"""A courier of the fleet: a real `ShardNode` with a simulated courier port, network and client server."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any, cast

from wheelstep.fleet.types import Member, State
from wheelstep.forwarding.client import ForwardClient
from wheelstep.rehearsal.shard_world.discovery import parse_row
from wheelstep.rehearsal.shard_world.door import SimClientServer
from wheelstep.rehearsal.shard_world.machine import FLEET_KEYS, FLEET_NAME, Machine, OrderedSet
from wheelstep.rehearsal.shard_world.net import SimNet
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.shelf import SimCourierPort
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings

SHUTDOWN_STEP_S = 1.0  # from the end of a departure until clients are refused, and from then until the process ends


class Courier(Machine):
    """A courier over all its starts. Its name and disk stay; `node`, `courier_port` and `client_server` belong to the
    present start."""

    partners: Partners
    settings: NodeSettings
    seeds: Mapping[str, str]
    control_addresses: Mapping[str, str]
    weight = 1.0
    node: ShardNode | None = None
    courier_port: SimCourierPort | None = None
    client_server: SimClientServer | None = None

    async def main(self, process: Process) -> None:
        """Start the node, and accept clients once it is ready."""
        boot = self.disk.boot
        rng = random.Random(f"{self.world.seed} {self.name} {boot}")
        courier_port = SimCourierPort(process, self.disk, self.partners, self.check, self.settings.shards, rng)
        me = Member(self.name, boot, State.ALIVE, self.address, self.address, self.weight, self.zone)
        seeds = {name: address for name, address in self.seeds.items() if name != self.name}
        node = ShardNode(me, self.settings, seeds, self.control_addresses, FLEET_KEYS, FLEET_NAME, boot, courier_port,
                         SimNet(self.fabric, process), parse_row,
                         random.Random(f"{self.world.seed} {self.name} {boot} node"),
                         lambda text: self.world.trace(self.name, "notes", text))
        cast(Any, node.streams)._links, cast(Any, node.links)._tasks = OrderedSet(), OrderedSet()
        make_client = node.client
        cast(Any, node).client = lambda courier: _RecordingClient(make_client(courier), self, courier)
        self.node, self.courier_port, self.client_server = node, courier_port, None
        await node.start(self.address)
        while not node.ready:
            await asyncio.sleep(0.01)
        self.world.trace(self.name, "is ready")
        self.client_server = SimClientServer(process, boot, courier_port, node.desk, self.check)

    def kill(self, machine_lost: bool = False) -> None:
        """End the process as SIGKILL does; with `machine_lost` the machine loses its power."""
        if self.process is not None:
            self.add_counts()
        super().kill(machine_lost)
        self.client_server = None

    def add_counts(self) -> None:
        """Add this process's counters to the run's."""
        node, courier_port = self.node, self.courier_port
        if node is None or courier_port is None:
            return
        self.node = None
        for name, number in (*node.router.counts.items(), *((f"list {one}", number) for one, number
                                                            in node.lifecycles.list_client.refused.items())):
            self.world.counts[name] += number
        self.world.counts["healths adopted"] += courier_port.adopted_count

    def leave(self) -> None:
        """Start a departure, as SIGTERM does: others become home, then the process ends."""
        process = self.process
        if process is not None and not process.paused and self.node is not None:
            self.world.trace(self.name, "leaves")
            process.start(self._leave(process, self.node))

    async def _leave(self, process: Process, node: ShardNode) -> None:
        await node.leave()
        await asyncio.sleep(SHUTDOWN_STEP_S)
        if self.client_server is not None:
            self.client_server.server.refuse_messages()
        await asyncio.sleep(SHUTDOWN_STEP_S)
        self.client_server = None
        await node.close()
        await asyncio.sleep(0.005)
        self.world.schedule_after(0, self._end, process)

    def _end(self, process: Process) -> None:
        if self.process is process:
            self.kill()


class _RecordingClient:
    """A `ForwardClient` whose requests the invariant checker sees."""

    def __init__(self, inner: ForwardClient, courier: Courier, receiver: str) -> None:
        self._inner, self._courier, self._to = inner, courier, receiver

    def ask(self, admission: Any, message: Any) -> asyncio.Future[None]:
        self._courier.check.on_forwarded(self._courier.name, self._to, message.id)
        return self._inner.ask(admission, message)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)
