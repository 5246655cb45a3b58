"""Simulates the fleet's decisions with a simulated network, clocks, disks and crashes, for more seeds than CI has time.

    python benchmarks/fleet_simulation.py [--seeds 0-1999] [--couriers N] [--jobs 8]
    python benchmarks/fleet_simulation.py --seed N [--couriers N] --trace
    python benchmarks/fleet_simulation.py --crash-points [--seeds 0-9] [--stride 1]
    python benchmarks/fleet_simulation.py --seed N --crash-at M --trace
    python benchmarks/fleet_simulation.py --twice-over [--seeds 0-9 | --seed N --trace]

Without `--couriers` each seed draws the size of its fleet, 3 to 12 and mostly small. Failing seeds are printed with the
invariant that was broken; `--seed` with `--trace` repeats one and prints its events. `--crash-points` repeats a move
and ends a process at one action boundary after another; `--twice-over` ends a part's owner, and then the courier that
took the part over.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheelstep.rehearsal.simulation.nodes import make_node
from wheelstep.rehearsal.simulation.run import (
    Result,
    Run,
    draw_setup,
    run_crash_point,
    run_crash_points,
    run_double_takeover,
)


def run_seed(seed: int, couriers: int = 0, traced: bool = False) -> Result:
    """Return the result of one seed."""
    return Run(seed, draw_setup(seed, couriers), make_node, traced).execute()


def main() -> None:
    """Run the seeds; exit with 1 if an invariant was broken in any."""
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
    arguments = options.parse_args()
    if arguments.seed is not None:
        result = run_double_takeover(arguments.seed, make_node, arguments.trace) if arguments.twice_over \
            else run_crash_point(arguments.seed, make_node, arguments.crash_at, arguments.trace)[1] \
            if arguments.crash_at \
            else run_seed(arguments.seed, arguments.couriers, arguments.trace)
        print("\n".join(result.trace_lines))
        print(result.text or f"seed {arguments.seed}: nothing broken; {result.events} events, {dict(result.counts)}")
        sys.exit(bool(result.text))
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    began, events, broken, counts = time.monotonic(), 0, Counter[str](), Counter[str]()
    with ProcessPoolExecutor(arguments.jobs) as pool:
        run_one = partial(run_double_takeover, node_factory=make_node) if arguments.twice_over \
            else partial(run_crash_points, node_factory=make_node, stride=arguments.stride) if arguments.crash_points \
            else partial(run_seed, couriers=arguments.couriers)
        for result in pool.map(run_one, seeds, chunksize=1 if arguments.crash_points else 4):
            events += result.events
            counts += result.counts
            if result.text:
                print(result.text, flush=True)
                broken[result.rule] += 1
    took = time.monotonic() - began
    print(f"{len(seeds)} seeds, {broken.total()} broken {dict(broken)}; {events} events in {took:.1f} s with "
          f"{arguments.jobs} processes, {events / took / arguments.jobs:.0f} a second and process; {dict(counts)}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
