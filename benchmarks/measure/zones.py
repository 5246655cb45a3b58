"""Measures how the number of zones in a region affects a courier: the time to find the successor for its own shards,
and the loss of one zone.

    python -m benchmarks.measure.zones
"""

from __future__ import annotations

import time

from benchmarks.measure.result import Row, run_cases
from wheelstep.fleet.types import Member, State
from wheelstep.shards.homes import Homes

ZONES = (2, 3, 6, 12, 24)
COURIERS, SHARDS = 550, 16_384


def member(number: int, zones: int, state: State = State.ALIVE) -> Member:
    """Return the member with this number; members are distributed evenly over the zones."""
    return Member(f"c{number:04d}", 1, state, f"@{number}", "", zone=f"north/z{number % zones}")


def measure_case(zones: int) -> Row:
    """Measure the time to find a successor, and the time, moves and load after the loss of a zone."""
    me = member(0, zones)
    homes = Homes(me, SHARDS)
    homes.update_members(0, [member(number, zones) for number in range(COURIERS)])
    own_shards = sorted(homes.own_shards())
    began = time.process_time()
    for _ in range(20):
        for shard in own_shards:
            homes.successor(shard)
    next_us = (time.process_time() - began) / 20 / len(own_shards) * 1e6
    lost = [number for number in range(COURIERS) if number % zones == 1]
    least = sum(len(homes.ring.shards_of(f"c{number:04d}")) for number in lost)
    began = time.process_time()
    moved = homes.update_members(1, [member(number, zones, State.GONE) for number in lost])
    gone_s = time.process_time() - began
    loads = homes.ring.loads().values()
    return {"next_us": next_us, "zone_gone_ms": gone_s * 1e3, "moves": len(moved), "least": least,
            "moves_over_least": len(moved) / least, "busiest_over_mean": max(loads) * len(loads) / SHARDS}


if __name__ == "__main__":
    run_cases("zones", "zones", __doc__, [{"zones": zones} for zones in ZONES], measure_case,
              {"couriers": COURIERS, "shards": SHARDS})
