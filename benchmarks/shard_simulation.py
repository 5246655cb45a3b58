"""Couriers that divide destinations, in a simulation of network, clocks, disks and crashes, in numbers that CI has no
time for.

    python benchmarks/shard_simulation.py [--seeds 0-1999] [--jobs 4] [--broken NAME]
    python benchmarks/shard_simulation.py --seed N [--trace] [--broken NAME]

Failing seeds are printed with the invariant that was broken; `--seed` with `--trace` plays one again, event by event.
`--broken` plays a variant of the code that is wrong on purpose: its seeds are to fail. Exit 1 if anything was broken.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheelstep.rehearsal.shard_world import broken
from wheelstep.rehearsal.shard_world.run import Result, play


def one(seed: int, variant: str = "", traced: bool = False) -> Result:
    """One run, of the code as it is or of a broken variant."""
    with broken.variant(variant):
        return play(seed, traced)


def main() -> None:
    """Play, and exit with 1 if anything was broken."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seeds", default="0-1999")
    options.add_argument("--seed", type=int)
    options.add_argument("--jobs", type=int, default=min(os.cpu_count() or 1, 4))
    options.add_argument("--trace", action="store_true")
    options.add_argument("--broken", default="", choices=("", *broken.VARIANTS))
    given = options.parse_args()
    if given.seed is not None:
        result = one(given.seed, given.broken, given.trace)
        print("\n".join(result.lines))
        print(result.text or f"seed {given.seed}: nothing broken; {result.events} events, mark {result.mark:08x}, "
              f"{dict(sorted(result.count.items()))}")
        sys.exit(bool(result.text))
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    began, events, rules, count = time.perf_counter(), 0, Counter[str](), Counter[str]()
    with ProcessPoolExecutor(given.jobs) as pool:
        for result in pool.map(partial(one, variant=given.broken), seeds, chunksize=4):
            events += result.events
            count += result.count
            if result.text:
                print(result.text, flush=True)
                rules[result.rule] += 1
    took = time.perf_counter() - began
    print(f"{len(seeds)} seeds, {rules.total()} broken {dict(rules)}; {events} events in {took:.1f} s with "
          f"{given.jobs} processes, {took * given.jobs / len(seeds):.2f} s of one a seed")
    print("\n".join(f"  {number:>9} {name}" for name, number in sorted(count.items())))
    sys.exit(bool(rules))


if __name__ == "__main__":
    main()
