"""A courier of the fleet: the real `ShardNode` between a simulated shelf, net and door."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Any, cast

from wheelstep.fleet.types import Member, State
from wheelstep.forwarding.client import ForwardClient
from wheelstep.rehearsal.shard_world.discovery import read
from wheelstep.rehearsal.shard_world.door import Door
from wheelstep.rehearsal.shard_world.machine import FLEET, KEYS, Machine, Ordered
from wheelstep.rehearsal.shard_world.net import SimNet
from wheelstep.rehearsal.shard_world.partners import Partners
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.shelf import SimShelf
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings

END_S = 1.0  # from the last message taken to the end of its process


class Courier(Machine):
    """Over its lives; its disk and name stay."""

    partners: Partners
    settings: NodeSettings
    seeds: Mapping[str, str]
    control: Mapping[str, str]
    weight = 1.0
    node: ShardNode | None = None
    shelf: SimShelf | None = None
    door: Door | None = None

    async def main(self, process: Process) -> None:
        boot = self.disk.boot
        rng = random.Random(f"{self.world.seed} {self.name} {boot}")
        shelf = SimShelf(process, self.disk, self.partners, self.check, self.settings.shards, rng)
        me = Member(self.name, boot, State.ALIVE, self.address, self.address, self.weight, self.place)
        seeds = {name: address for name, address in self.seeds.items() if name != self.name}
        node = ShardNode(me, self.settings, seeds, self.control, KEYS, FLEET, boot, shelf,
                         SimNet(self.fabric, process), read,
                         random.Random(f"{self.world.seed} {self.name} {boot} node"),
                         lambda text: self.world.trace(self.name, "notes", text))
        cast(Any, node.streams)._links, cast(Any, node.links)._tasks = Ordered(), Ordered()
        ways = node.client
        cast(Any, node).client = lambda courier: _Watched(ways(courier), self, courier)
        self.node, self.shelf, self.door = node, shelf, None
        await node.start(self.address)
        while not node.ready:
            await asyncio.sleep(0.01)
        self.world.trace(self.name, "is ready")
        self.door = Door(process, boot, shelf, node.desk, self.check)

    def kill(self, vanish: bool = False) -> None:
        if self.process is not None:
            self.total()
        super().kill(vanish)
        self.door = None

    def total(self) -> None:
        """Add this life's figures to the run's."""
        node, shelf = self.node, self.shelf
        if node is None or shelf is None:
            return
        self.node = None
        for name, number in (*node.router.counts.items(), *((f"list {one}", number) for one, number
                                                            in node.lifecycles.list_client.refused.items())):
            self.world.count[name] += number
        self.world.count["healths adopted"] += shelf.adopted

    def leave(self) -> None:
        """SIGTERM: others become home, then the process ends."""
        process = self.process
        if process is not None and not process.stopped and self.node is not None:
            self.world.trace(self.name, "leaves")
            process.start(self._leave(process, self.node))

    async def _leave(self, process: Process, node: ShardNode) -> None:
        await node.leave()
        await asyncio.sleep(END_S)
        if self.door is not None:
            self.door.server.refuse_messages()
        await asyncio.sleep(END_S)
        self.door = None
        await node.close()
        await asyncio.sleep(0.005)
        self.world.after(0, self._end, process)

    def _end(self, process: Process) -> None:
        if self.process is process:
            self.kill()


class _Watched:
    """A `ForwardClient` whose asks are seen."""

    def __init__(self, inner: ForwardClient, courier: Courier, to: str) -> None:
        self._inner, self._courier, self._to = inner, courier, to

    def ask(self, admission: Any, message: Any) -> asyncio.Future[None]:
        self._courier.check.asked(self._courier.name, self._to, message.id)
        return self._inner.ask(admission, message)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)
