"""How much membership's bytes differ from window to window, where all couriers started together: each looks into
another's whole table once in 60 periods, all within the same half second. A spell of a scale run is one such window.

    python -m benchmarks.measure.windows
"""

from __future__ import annotations

import gc

from benchmarks.measure.membership import SEED, Real
from benchmarks.measure.result import Row, measure
from wheelstep.fleet.membership import QUIET_ROLLS

SIZES = (100, 300, 1_100)
WINDOW_S, WINDOWS = 12, 6


def spread(couriers: int) -> Row:
    """Bytes a courier a second in six windows one after another."""
    world = Real(couriers, SEED)
    world.form()
    for courier in world.couriers.values():
        courier._quiet_rolls = QUIET_ROLLS
    gc.collect()
    gc.freeze()
    gc.disable()
    world.run(2)
    found = []
    for _ in range(WINDOWS):
        world.sizes.clear()
        world.run(WINDOW_S)
        found.append(sum(world.sizes.values()) / couriers / WINDOW_S)
    return {"least": min(found), "mean": sum(found) / len(found), "most": max(found)}


if __name__ == "__main__":
    measure("membership-windows", "membership windows", __doc__, [{"couriers": couriers} for couriers in SIZES],
            spread, {"window_s": WINDOW_S, "windows": WINDOWS}, SEED)
