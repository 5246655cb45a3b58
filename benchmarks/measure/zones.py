"""What the number of zones in a region changes at a courier: the time to find who is next for its own shards, and the
loss of one zone.

    python -m benchmarks.measure.zones
"""

from __future__ import annotations

import time

from benchmarks.measure.result import Row, measure
from wheelstep.fleet.types import Member, State
from wheelstep.shards.homes import Homes

ZONES = (2, 3, 6, 12, 24)
COURIERS, SHARDS = 550, 16_384


def member(number: int, zones: int, state: State = State.ALIVE) -> Member:
    """Dealt out over the zones."""
    return Member(f"c{number:04d}", 1, state, f"@{number}", "", zone=f"north/z{number % zones}")


def case(zones: int) -> Row:
    """Milliseconds, moves, load after the loss."""
    me = member(0, zones)
    homes = Homes(me, SHARDS)
    homes.update_members(0, [member(number, zones) for number in range(COURIERS)])
    mine = sorted(homes.own_shards())
    began = time.process_time()
    for _ in range(20):
        for shard in mine:
            homes.successor(shard)
    next_us = (time.process_time() - began) / 20 / len(mine) * 1e6
    lost = [number for number in range(COURIERS) if number % zones == 1]
    least = sum(len(homes.ring.shards_of(f"c{number:04d}")) for number in lost)
    began = time.process_time()
    moved = homes.update_members(1, [member(number, zones, State.GONE) for number in lost])
    gone_s = time.process_time() - began
    loads = homes.ring.loads().values()
    return {"next_us": next_us, "zone_gone_ms": gone_s * 1e3, "moves": len(moved), "least": least,
            "moves_over_least": len(moved) / least, "busiest_over_mean": max(loads) * len(loads) / SHARDS}


if __name__ == "__main__":
    measure("zones", "zones", __doc__, [{"zones": zones} for zones in ZONES], case,
            {"couriers": COURIERS, "shards": SHARDS})
