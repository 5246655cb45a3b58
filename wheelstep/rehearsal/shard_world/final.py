"""What has to hold after the faults and a quiet time."""

from __future__ import annotations

from collections.abc import Sequence

from wheelstep.rehearsal.shard_world.check import AGREED, GUESTS, OWN_ROWS, REACHABLE, Check
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.types import region_of, shard_of


def final(check: Check, fleet: Sequence[Courier], probes: Sequence[tuple[str, str, int]], shards: int) -> None:
    """Ends, homes, guests, rows, and what the probes heard (courier, destination, status)."""
    check.final()
    there = [one for one in fleet if not one.lost]
    for courier in there:
        if courier.door is None:
            check.fail(REACHABLE, f"{courier.name} is not ready")
    for shard in range(shards):
        _home(check, there, shard)
    for courier in there:
        _own(check, courier, shards)
    for name, destination, status in probes:
        if status != 202:
            check.fail(REACHABLE, f"{destination} handed in at {name} is answered {status}")


def _home(check: Check, fleet: Sequence[Courier], shard: int) -> None:
    homes: dict[str, dict[str | None, list[str]]] = {}
    for courier in fleet:
        assert courier.node is not None
        by = homes.setdefault(region_of(courier.place), {})
        by.setdefault(courier.node.homes.home(shard), []).append(courier.name)
    for region, by in homes.items():
        if len(by) != 1:
            check.fail(AGREED, f"shard {shard} in {region}: {by}")
    for courier in fleet:
        assert courier.node is not None
        home, phase = courier.node.homes.home(shard), courier.node.hosting.phase(shard)
        if (home == courier.name) is not (phase is ShardPhase.HOME):
            check.fail(AGREED, f"shard {shard} is {phase} at {courier.name}, and {home} is home of it")


def _own(check: Check, courier: Courier, shards: int) -> None:
    node, shelf = courier.node, courier.shelf
    assert node is not None and shelf is not None
    for phase in (ShardPhase.GUEST, ShardPhase.LEAVING, ShardPhase.OPENING):
        if kept := node.hosting.shards_in(phase):
            check.fail(GUESTS, f"{courier.name} still has shards {kept}, {phase.value}")
    mine = set(node.homes.own_shards())
    for endpoint, info in shelf.rows.items():
        if shard_of(info.destination, shards) not in mine:
            check.fail(OWN_ROWS, f"{courier.name} keeps {endpoint} of shard {shard_of(info.destination, shards)}")
    for shard in range(shards):
        if shard not in mine and node.lifecycles.list_client.knows(shard):
            check.fail(OWN_ROWS, f"{courier.name} follows shard {shard}")
