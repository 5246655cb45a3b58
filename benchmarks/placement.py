"""Counts the moves of parts in a rolling replacement of all couriers, beside the least possible number, and measures
what a plan costs.

    python -m benchmarks.placement [--seeds 3]

The fleet is replaced machine by machine, in waves; all couriers have the same view. There are two orders: the new
machines of a wave join before the old ones leave ("join"), or replace them afterwards ("return"). The least possible
number of moves is computed independently: each part leaves its old machine once; with "return", each machine gives
away an even share of the parts and gets one back.
"""

from __future__ import annotations

import argparse
import random
import time

from wheelstep.fleet.assignment import Placement, assign
from wheelstep.fleet.types import Member, State

PROBATION_US = 1_000_000


class SharedViewFleet:
    """All couriers of a fleet with one view that they share; each move is done as soon as it is planned."""

    def __init__(self, couriers: list[str], parts: int) -> None:
        self.now_us = 0
        self.moves = 0
        self.view = Placement("", parts, 64, 0, PROBATION_US)
        self.owners = assign(parts, dict.fromkeys(couriers, 1.0), {})
        for name in couriers:
            self.set_state(name, State.ALIVE)
        for part, owner in self.owners.items():
            self.view.record_owner(part, owner)
        self.now_us += 2 * PROBATION_US

    def set_state(self, name: str, state: State) -> None:
        """Record that a member is in this state from now on."""
        self.view.record_member(self.now_us, Member(name, 1, state, "", ""))

    def settle(self) -> None:
        """Do planned moves until no courier plans one."""
        moved = True
        while moved:
            moved = False
            for name in sorted(set(self.owners.values())):
                self.view.me = name
                for part, target in self.view.plan(self.now_us, ()).away.items():
                    self.owners[part] = target
                    self.view.record_owner(part, target)
                    self.moves += 1
                    moved = True


def replace_all(couriers: int, parts: int, wave: int, join: bool, seed: int) -> tuple[int, int, int]:
    """Replace all couriers, `wave` at a time, in the order "join" or "return". Returns the moves, the least possible
    number of moves, and the largest difference between couriers' parts at the end."""
    old = [f"old-{number}" for number in range(couriers)]
    random.Random(seed).shuffle(old)
    fleet = SharedViewFleet(sorted(old), parts)
    for at in range(0, couriers, wave):
        names = old[at:at + wave]
        for states in ((State.ALIVE, State.LEAVING) if join else (State.LEAVING, State.ALIVE)):
            for name in names:
                fleet.set_state(name.replace("old", "new") if states is State.ALIVE else name, states)
            if states is State.ALIVE:
                fleet.now_us += 2 * PROBATION_US
            # With "join", nothing moves before the wave's old machines leave: by then the new ones are past their
            # probation and take over the parts directly.
            if not join or states is State.LEAVING:
                fleet.settle()
        for name in names:
            fleet.set_state(name, State.GONE)
    counts = [list(fleet.owners.values()).count(f"new-{number}") for number in range(couriers)]
    return fleet.moves, parts if join else max(parts, 2 * couriers * (parts // couriers)), max(counts) - min(counts)


def main() -> None:
    """Print the table of moves and the table of planning times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = parser.parse_args().seeds
    print("couriers parts wave order   moves  least ratio  spread at the end (parts)")
    for couriers, parts, wave in [(5, 64, 1), (5, 1024, 1), (12, 64, 1), (12, 64, 3), (12, 1024, 3), (200, 64, 20),
                                  (200, 1024, 20)]:
        for join in (True, False):
            for seed in range(seeds if couriers < 200 else 1):
                moves, least, difference = replace_all(couriers, parts, wave, join, seed)
                print(f"{couriers:8} {parts:5} {wave:4} {'join' if join else 'return':7} {moves:5} {least:6} "
                      f"{moves / least:5.2f}  {difference}", flush=True)
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
