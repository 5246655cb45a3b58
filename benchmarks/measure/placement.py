"""Measures what the placement of parts costs one courier: `assign` from nothing, `assign` with a sixth of the couriers
gone, and a plan, which a courier makes every tenth of a lease.

    python -m benchmarks.measure.placement
"""

from __future__ import annotations

import time

from benchmarks.measure.result import Row, run_cases
from wheelstep.fleet.assignment import Placement, assign
from wheelstep.fleet.types import Member, State

COURIERS = (100, 300, 600, 1_100)
PARTS = (256, 1_024, 4_096, 16_384)
PLAN_INTERVAL_S = 0.3  # a tenth of a lease of 3 s
PROBATION_US = 1_000_000
PLANS = 5  # of which the mean is taken


def measure_placement(parts: int, couriers: int) -> Row:
    """Measure the processor time of the three steps, and the share of a core that plans take at their rate."""
    weights = {f"c{one}": 1.0 for one in range(couriers)}
    began = time.process_time()
    owners = assign(parts, weights, {})
    row = {"assign_ms": (time.process_time() - began) * 1e3}
    remaining = dict(list(weights.items())[couriers // 6:])
    began = time.process_time()
    assign(parts, remaining, owners)
    row["sixth_gone_ms"] = (time.process_time() - began) * 1e3
    view = Placement(f"c{couriers // 2}", parts, 64, 0, PROBATION_US)
    for name in weights:
        view.record_member(0, Member(name, 1, State.ALIVE, "", ""))
    for part, owner in owners.items():
        view.record_owner(part, owner)
    view.plan(10 * PROBATION_US, ())
    began = time.process_time()
    for one in range(PLANS):
        view.plan(10 * PROBATION_US + round((one + 1) * PLAN_INTERVAL_S * 1e6), ())
    row["plan_ms"] = (time.process_time() - began) / PLANS * 1e3
    return {**row, "core_share": row["plan_ms"] / 1e3 / PLAN_INTERVAL_S}


if __name__ == "__main__":
    run_cases("before-placement", "placement", __doc__,
              [*({"couriers": couriers, "parts": parts} for couriers in COURIERS for parts in PARTS),
               {"couriers": 1_100, "parts": 131_072}],
              measure_placement, {"plan_every_s": PLAN_INTERVAL_S, "again": PLANS})
