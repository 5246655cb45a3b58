"""A courier of the fleet: the real `ShardNode` with a simulated store, network and client interface."""

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
from wheelstep.rehearsal.shard_world.shelf import SimStore
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings

LEAVE_DELAY_S = 1.0  # before it refuses messages, and again before its process ends


class Courier(Machine):
    """A courier across its restarts, with its name and disk."""

    partners: Partners
    settings: NodeSettings
    seeds: Mapping[str, str]
    control: Mapping[str, str]
    weight = 1.0
    node: ShardNode | None = None
    store: SimStore | None = None
    client_server: SimClientServer | None = None

    async def main(self, process: Process) -> None:
        """Run the courier in a process; it serves clients once the node is ready."""
        boot = self.disk.boot
        rng = random.Random(f"{self.world.seed} {self.name} {boot}")
        store = SimStore(process, self.disk, self.partners, self.check, self.settings.shards, rng)
        member = Member(self.name, boot, State.ALIVE, self.address, self.address, self.weight, self.zone)
        seeds = {name: address for name, address in self.seeds.items() if name != self.name}
        node = ShardNode(member, self.settings, seeds, self.control, FLEET_KEYS, FLEET_NAME, boot, store,
                         SimNet(self.fabric, process), parse_row,
                         random.Random(f"{self.world.seed} {self.name} {boot} node"),
                         lambda text: self.world.trace(self.name, "notes", text))
        cast(Any, node.streams)._links, cast(Any, node.links)._tasks = OrderedSet(), OrderedSet()
        make_client = node.client
        cast(Any, node).client = lambda courier: _RecordingForwardClient(make_client(courier), self, courier)
        self.node, self.store, self.client_server = node, store, None
        await node.start(self.address)
        while not node.ready:
            await asyncio.sleep(0.01)
        self.world.trace(self.name, "is ready")
        self.client_server = SimClientServer(process, boot, store, node.desk, self.check)

    def kill(self, vanish: bool = False) -> None:
        """Kill the process by SIGKILL; with `vanish` the machine loses its power."""
        if self.process is not None:
            self.add_counts()
        super().kill(vanish)
        self.client_server = None

    def add_counts(self) -> None:
        """Add the counts of the current process to the run's."""
        node, store = self.node, self.store
        if node is None or store is None:
            return
        self.node = None
        for name, count in (*node.router.counts.items(), *((f"list {reason}", count) for reason, count
                                                            in node.lifecycles.list_client.refused.items())):
            self.world.counts[name] += count
        self.world.counts["healths adopted"] += store.adopted

    def leave(self) -> None:
        """End the process by SIGTERM: other couriers become home of its shards first."""
        process = self.process
        if process is not None and not process.stopped and self.node is not None:
            self.world.trace(self.name, "leaves")
            process.start(self._leave(process, self.node))

    async def _leave(self, process: Process, node: ShardNode) -> None:
        await node.leave()
        await asyncio.sleep(LEAVE_DELAY_S)
        if self.client_server is not None:
            self.client_server.server.refuse_messages()
        await asyncio.sleep(LEAVE_DELAY_S)
        self.client_server = None
        await node.close()
        await asyncio.sleep(0.005)
        self.world.call_after(0, self._kill_if_current, process)

    def _kill_if_current(self, process: Process) -> None:
        if self.process is process:
            self.kill()


class _RecordingForwardClient:
    """A `ForwardClient` that reports each forwarded message to the check."""

    def __init__(self, inner: ForwardClient, courier: Courier, to: str) -> None:
        self._inner, self._courier, self._to = inner, courier, to

    def ask(self, admission: Any, message: Any) -> asyncio.Future[None]:
        """Report the message and forward it."""
        self._courier.check.on_forwarded(self._courier.name, self._to, message.id)
        return self._inner.ask(admission, message)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)
