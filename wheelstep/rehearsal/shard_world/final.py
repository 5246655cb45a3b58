"""The invariants at the end of a run, after the faults and a quiet time."""

from __future__ import annotations

from collections.abc import Sequence

from wheelstep.rehearsal.shard_world.check import AGREED, GUESTS, OWN_ROWS, REACHABLE, Check
from wheelstep.rehearsal.shard_world.courier import Courier
from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.types import region_of, shard_of


def check_final_state(check: Check, fleet: Sequence[Courier], probes: Sequence[tuple[str, str, int]],
                      shards: int) -> None:
    """Check outcomes, homes, guests and rows, and the answers to the probes (courier, destination, status).

    Raises `ViolationError`.
    """
    check.check_outcomes()
    present = [member for member in fleet if not member.lost]
    for courier in present:
        if courier.client_server is None:
            check.fail(REACHABLE, f"{courier.name} is not ready")
    for shard in range(shards):
        _check_homes(check, present, shard)
    for courier in present:
        _check_own_state(check, courier, shards)
    for name, destination, status in probes:
        if status != 202:
            check.fail(REACHABLE, f"{destination} handed in at {name} is answered {status}")


def _check_homes(check: Check, fleet: Sequence[Courier], shard: int) -> None:
    homes: dict[str, dict[str | None, list[str]]] = {}
    for courier in fleet:
        assert courier.node is not None
        couriers_by_home = homes.setdefault(region_of(courier.zone), {})
        couriers_by_home.setdefault(courier.node.homes.home(shard), []).append(courier.name)
    for region, couriers_by_home in homes.items():
        if len(couriers_by_home) != 1:
            check.fail(AGREED, f"shard {shard} in {region}: {couriers_by_home}")
    for courier in fleet:
        assert courier.node is not None
        home, phase = courier.node.homes.home(shard), courier.node.hosting.phase(shard)
        if (home == courier.name) is not (phase is ShardPhase.HOME):
            check.fail(AGREED, f"shard {shard} is {phase} at {courier.name}, and {home} is home of it")


def _check_own_state(check: Check, courier: Courier, shards: int) -> None:
    node, store = courier.node, courier.store
    assert node is not None and store is not None
    for phase in (ShardPhase.GUEST, ShardPhase.LEAVING, ShardPhase.OPENING):
        if shards_left := node.hosting.shards_in(phase):
            check.fail(GUESTS, f"{courier.name} still has shards {shards_left}, {phase.value}")
    own_shards = set(node.homes.own_shards())
    for endpoint, info in store.rows.items():
        if shard_of(info.destination, shards) not in own_shards:
            check.fail(OWN_ROWS, f"{courier.name} keeps {endpoint} of shard {shard_of(info.destination, shards)}")
    for shard in range(shards):
        if shard not in own_shards and node.lifecycles.list_client.knows(shard):
            check.fail(OWN_ROWS, f"{courier.name} follows shard {shard}")
