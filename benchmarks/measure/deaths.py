"""Time until the death of a courier is known to all others, in virtual time: deaths one after another in one fleet.

    python -m benchmarks.measure.deaths
"""

from __future__ import annotations

from benchmarks.measure.membership import SEED, SIZES, Real
from benchmarks.measure.result import Row, measure
from wheelstep.fleet.types import State

DEATHS = 9
WITHIN_S = 120


def known(couriers: int) -> Row:
    """Seconds until all know: the middle one and the longest of nine deaths, and how many were not known in 120 s."""
    world = Real(couriers, SEED, sealed=False)
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
    measure("before-deaths", "deaths", __doc__, [{"couriers": couriers} for couriers in SIZES], known,
            {"deaths": DEATHS, "loss": 0.0}, SEED)
