"""A control machine: the real `ControlMachine`, with the endpoint list from `Discovery` instead of its own watch."""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.rehearsal.shard_world.discovery import Discovery
from wheelstep.rehearsal.shard_world.machine import FLEET_KEYS, FLEET_NAME, Machine, OrderedSet
from wheelstep.rehearsal.shard_world.net import SimNet
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.shards.control import ControlMachine
from wheelstep.shards.types import ListRow


class Control(Machine):
    """A control machine across its restarts."""

    discovery: Discovery
    shards: int

    async def main(self, process: Process) -> None:
        """Run the control machine in a process."""
        loop = process.loop
        machine = ControlMachine(self.name, FLEET_KEYS, FLEET_NAME, self.disk.boot, self.shards,
                                 SimNet(self.fabric, process), Address("discovery", 1), lambda: int(loop.time() * 1e6))
        watch = SimpleNamespace(seq=0, move=lambda address: None)
        machine.watch = cast(Any, watch)
        cast(Any, machine.streams)._links = OrderedSet()
        await machine.start(self.address)

        def on_list(seq: int, whole: bool, rows: Sequence[ListRow]) -> None:
            watch.seq = seq
            machine._listed(api.ListKind.WHOLE if whole else api.ListKind.CHANGES, [_raw(row) for row in rows])
        self.discovery.watch(process, on_list)
        await machine._load_lists()


def _raw(row: ListRow) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind,
                                            "block": row.block, "health": row.health, "share": row.share}))
