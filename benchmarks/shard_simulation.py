"""Simulates a sharded fleet with a simulated network, clocks, disks and crashes, for more seeds than CI has time for.

    python benchmarks/shard_simulation.py [--seeds 0-1999] [--jobs 4] [--broken NAME]
    python benchmarks/shard_simulation.py --seed N [--trace] [--broken NAME]

Failing seeds are printed with the invariant that was broken; `--seed` with `--trace` repeats one and prints its events.
`--broken` runs a deliberately broken variant of the code, whose seeds should fail. Exit status 1 if any seed failed.
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
from wheelstep.rehearsal.shard_world.run import Result, run_seed


def run_one(seed: int, variant: str = "", traced: bool = False) -> Result:
    """Return the result of one seed, for the unpatched code or a broken variant."""
    with broken.apply_variant(variant):
        return run_seed(seed, traced)


def main() -> None:
    """Run the seeds; exit with 1 if an invariant was broken in any."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seeds", default="0-1999")
    options.add_argument("--seed", type=int)
    options.add_argument("--jobs", type=int, default=min(os.cpu_count() or 1, 4))
    options.add_argument("--trace", action="store_true")
    options.add_argument("--broken", default="", choices=("", *broken.VARIANTS))
    arguments = options.parse_args()
    if arguments.seed is not None:
        result = run_one(arguments.seed, arguments.broken, arguments.trace)
        print("\n".join(result.trace_lines))
        print(result.text or f"seed {arguments.seed}: nothing broken; {result.events} events, "
              f"mark {result.digest:08x}, {dict(sorted(result.counts.items()))}")
        sys.exit(bool(result.text))
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    began, events, rules, counts = time.perf_counter(), 0, Counter[str](), Counter[str]()
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(partial(run_one, variant=arguments.broken), seeds, chunksize=4):
            events += result.events
            counts += result.counts
            if result.text:
                print(result.text, flush=True)
                rules[result.rule] += 1
    took = time.perf_counter() - began
    print(f"{len(seeds)} seeds, {rules.total()} broken {dict(rules)}; {events} events in {took:.1f} s with "
          f"{arguments.jobs} processes, {took * arguments.jobs / len(seeds):.2f} s of one a seed")
    print("\n".join(f"  {number:>9} {name}" for name, number in sorted(counts.items())))
    sys.exit(bool(rules))


if __name__ == "__main__":
    main()
