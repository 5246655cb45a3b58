"""The fleet's decisions in a simulation of network, clocks, disks and crashes, in numbers that CI has no time for.

    python benchmarks/fleet_simulation.py [--seeds 0-1999] [--couriers N] [--jobs 8]
    python benchmarks/fleet_simulation.py --seed N [--couriers N] --trace
    python benchmarks/fleet_simulation.py --crash-points [--seeds 0-9] [--stride 1]
    python benchmarks/fleet_simulation.py --seed N --crash-at M --trace
    python benchmarks/fleet_simulation.py --twice-over [--seeds 0-9 | --seed N --trace]

Without `--couriers` each seed draws its fleet: 3 to 12, mostly small. Failing seeds are printed with the invariant that
was broken; `--seed` with `--trace` plays one again, event by event. `--crash-points` ends a process at each action
boundary of a move, one after another; `--twice-over` ends a part's owner and then who took it over.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheelstep.rehearsal.simulation.nodes import real
from wheelstep.rehearsal.simulation.run import Result, Run, crash_point, crash_points, drawn, twice_over


def one(seed: int, couriers: int = 0, traced: bool = False) -> Result:
    """One run."""
    return Run(seed, drawn(seed, couriers), real, traced).play()


def main() -> None:
    """Play, and exit with 1 if anything was broken."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seeds", default="0-1999")
    options.add_argument("--seed", type=int)
    options.add_argument("--couriers", type=int, default=0)
    options.add_argument("--jobs", type=int, default=min(os.cpu_count() or 1, 8))
    options.add_argument("--trace", action="store_true")
    options.add_argument("--crash-points", action="store_true")
    options.add_argument("--crash-at", type=int, default=0)
    options.add_argument("--twice-over", action="store_true")
    options.add_argument("--stride", type=int, default=1)
    given = options.parse_args()
    if given.seed is not None:
        result = twice_over(given.seed, real, given.trace) if given.twice_over \
            else crash_point(given.seed, real, given.crash_at, given.trace)[1] if given.crash_at \
            else one(given.seed, given.couriers, given.trace)
        print("\n".join(result.lines))
        print(result.text or f"seed {given.seed}: nothing broken; {result.events} events, {dict(result.count)}")
        sys.exit(bool(result.text))
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    began, events, broken, count = time.monotonic(), 0, Counter[str](), Counter[str]()
    with ProcessPoolExecutor(given.jobs) as pool:
        play = partial(twice_over, maker=real) if given.twice_over \
            else partial(crash_points, maker=real, stride=given.stride) if given.crash_points \
            else partial(one, couriers=given.couriers)
        for result in pool.map(play, seeds, chunksize=1 if given.crash_points else 4):
            events += result.events
            count += result.count
            if result.text:
                print(result.text, flush=True)
                broken[result.rule] += 1
    took = time.monotonic() - began
    print(f"{len(seeds)} seeds, {broken.total()} broken {dict(broken)}; {events} events in {took:.1f} s with "
          f"{given.jobs} processes, {events / took / given.jobs:.0f} a second and process; {dict(count)}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
