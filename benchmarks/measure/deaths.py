"""Measures the time until the death of a courier is known to all others, in virtual time: deaths one after another in
one fleet.

    python -m benchmarks.measure.deaths
"""

from __future__ import annotations

from benchmarks.measure.membership import SEED, SIZES, LongNamesWorld
from benchmarks.measure.result import Row, run_cases
from wheelstep.fleet.types import State

DEATHS = 9
WITHIN_S = 120


def measure_deaths(couriers: int) -> Row:
    """Let `DEATHS` couriers die and measure the median and the longest time until all know, how many deaths were not
    known to all within `WITHIN_S`, and how many living couriers were declared gone."""
    world = LongNamesWorld(couriers, SEED, sealed=False)
    world.form()
    world.run(10)
    took: list[float] = []
    for _ in range(DEATHS):
        victim = world.rng.choice(world.running())
        name = world.couriers[victim].me.name
        world.dead.add(victim)
        unaware = set(world.running())

        def all_know(unaware: set[str] = unaware, name: str = name) -> bool:
            unaware.difference_update([one for one in unaware if world.sees(one, name) is State.GONE])
            return not unaware

        seconds = world.run(WITHIN_S, all_know)
        took += [] if seconds is None else [seconds]
    took.sort()
    return {"deaths": DEATHS, "not_known": DEATHS - len(took), "median_s": took[len(took) // 2], "most_s": took[-1],
            "falsely": sum("declared gone" in text for _, _, text in world.notes
                           if not any(world.couriers[dead].me.name in text for dead in world.dead))}


if __name__ == "__main__":
    run_cases("before-deaths", "deaths", __doc__, [{"couriers": couriers} for couriers in SIZES],
              measure_deaths, {"deaths": DEATHS, "loss": 0.0}, SEED)
