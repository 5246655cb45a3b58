"""Measures how much membership's bytes differ between windows of time if all couriers started together: each requests
another one's whole table once in 60 periods, all within the same half second. A quiet spell of a scale run is one such
window.

    python -m benchmarks.measure.windows
"""

from __future__ import annotations

import gc

from benchmarks.measure.membership import SEED, LongNamesWorld
from benchmarks.measure.result import Row, run_cases
from wheelstep.fleet.membership import QUIET_ROLLS

SIZES = (100, 300, 1_100)
WINDOW_S, WINDOWS = 12, 6


def measure_windows(couriers: int) -> Row:
    """Measure the bytes of a courier in a second, in `WINDOWS` consecutive windows."""
    world = LongNamesWorld(couriers, SEED)
    world.form()
    for courier in world.couriers.values():
        courier._quiet_rolls = QUIET_ROLLS
    gc.collect()
    gc.freeze()
    gc.disable()
    world.run(2)
    bytes_per_s = []
    for _ in range(WINDOWS):
        world.sizes.clear()
        world.run(WINDOW_S)
        bytes_per_s.append(sum(world.sizes.values()) / couriers / WINDOW_S)
    return {"least": min(bytes_per_s), "mean": sum(bytes_per_s) / len(bytes_per_s), "most": max(bytes_per_s)}


if __name__ == "__main__":
    run_cases("membership-windows", "membership windows", __doc__, [{"couriers": couriers} for couriers in SIZES],
              measure_windows, {"window_s": WINDOW_S, "windows": WINDOWS}, SEED)
