"""Moves of parts in a rolling swap beside the least possible, and what a plan costs.

    python -m benchmarks.placement [--seeds 3]

The fleet is replaced machine by machine, in waves, all couriers having one view. Two orders: the new machines of a wave
join before the old ones leave ("join"), or come in their place afterwards ("return"). The least possible, counted
apart from what was done: each part leaves its old machine once; where machines return, each gives away an even part
and gets one back.
"""

from __future__ import annotations

import argparse
import random
import time

from wheelstep.fleet.assignment import Placement, assign
from wheelstep.fleet.types import Member, State

PROBATION_US = 1_000_000


class Rig:
    """All couriers by one view that they share; each move is done as soon as it is planned."""

    def __init__(self, couriers: list[str], parts: int) -> None:
        self.now_us = 0
        self.moves = 0
        self.view = Placement("", parts, 64, 0, PROBATION_US)
        self.owners = assign(parts, dict.fromkeys(couriers, 1.0), {})
        for name in couriers:
            self.see(name, State.ALIVE)
        for part, owner in self.owners.items():
            self.view.record_owner(part, owner)
        self.now_us += 2 * PROBATION_US

    def see(self, name: str, state: State) -> None:
        """A member is in this state now."""
        self.view.record_member(self.now_us, Member(name, 1, state, "", ""))

    def settle(self) -> None:
        """Moves, until nobody wants any."""
        moved = True
        while moved:
            moved = False
            for name in sorted(set(self.owners.values())):
                self.view.me = name
                for part, to in self.view.plan(self.now_us, ()).away.items():
                    self.owners[part] = to
                    self.view.record_owner(part, to)
                    self.moves += 1
                    moved = True


def swap(couriers: int, parts: int, wave: int, join: bool, seed: int) -> tuple[int, int, int]:
    """Moves, the least possible, and the widest difference in parts at the end."""
    old = [f"old-{number}" for number in range(couriers)]
    random.Random(seed).shuffle(old)
    rig = Rig(sorted(old), parts)
    for at in range(0, couriers, wave):
        names = old[at:at + wave]
        for states in ((State.ALIVE, State.LEAVING) if join else (State.LEAVING, State.ALIVE)):
            for name in names:
                rig.see(name.replace("old", "new") if states is State.ALIVE else name, states)
            if states is State.ALIVE:
                rig.now_us += 2 * PROBATION_US
            if not join or states is State.LEAVING:
                rig.settle()  # machines that join are waited for: the wave's old ones give to them
        for name in names:
            rig.see(name, State.GONE)
    counts = [list(rig.owners.values()).count(f"new-{number}") for number in range(couriers)]
    return rig.moves, parts if join else max(parts, 2 * couriers * (parts // couriers)), max(counts) - min(counts)


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args().seeds
    print("couriers parts wave order   moves  least ratio  spread at the end (parts)")
    for couriers, parts, wave in [(5, 64, 1), (5, 1024, 1), (12, 64, 1), (12, 64, 3), (12, 1024, 3), (200, 64, 20),
                                  (200, 1024, 20)]:
        for join in (True, False):
            for seed in range(seeds if couriers < 200 else 1):
                moves, least, wide = swap(couriers, parts, wave, join, seed)
                print(f"{couriers:8} {parts:5} {wave:4} {'join' if join else 'return':7} {moves:5} {least:6} "
                      f"{moves / least:5.2f}  {wide}", flush=True)
    print("\nassign with 1,000 couriers: parts, milliseconds from nothing, with one courier gone")
    weights = {f"courier-{number}": 1.0 for number in range(1000)}
    for parts in (64, 1024):
        times = []
        owners: dict[int, str] = {}
        for _ in range(2):
            start = time.perf_counter()
            owners = assign(parts, weights, owners)
            times.append((time.perf_counter() - start) * 1000)
            weights.pop("courier-7", None)
        print(f"{parts:5} {times[0]:8.1f} {times[1]:8.1f}")
        weights["courier-7"] = 1.0


if __name__ == "__main__":
    main()
