"""Simulates couriers that divide destinations, with faults of network, clocks, disks and processes, at more seeds than
CI has time for.

    python benchmarks/shard_simulation.py [--seeds 0-1999] [--jobs 4] [--broken NAME]
    python benchmarks/shard_simulation.py --seed N [--trace] [--broken NAME]

It prints failing seeds with the violated invariant; `--seed` with `--trace` runs one seed again and prints each event.
`--broken` runs a variant of the code with a deliberate fault, whose seeds should fail. The exit code is 1 if any did.
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
    """Run one seed with the code as it is, or with a broken variant."""
    with broken.apply_variant(variant):
        return run_seed(seed, traced)


def main() -> None:
    """Run the seeds, and exit with 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="0-1999")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--jobs", type=int, default=min(os.cpu_count() or 1, 4))
    parser.add_argument("--trace", action="store_true")
    parser.add_argument("--broken", default="", choices=("", *broken.VARIANTS))
    options = parser.parse_args()
    if options.seed is not None:
        result = run_one(options.seed, options.broken, options.trace)
        print("\n".join(result.trace_lines))
        print(result.text or f"seed {options.seed}: nothing broken; {result.events} events, "
              f"mark {result.fingerprint:08x}, {dict(sorted(result.counts.items()))}")
        sys.exit(bool(result.text))
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    start_s, events, rules, counts = time.perf_counter(), 0, Counter[str](), Counter[str]()
    with ProcessPoolExecutor(options.jobs) as pool:
        for result in pool.map(partial(run_one, variant=options.broken), seeds, chunksize=4):
            events += result.events
            counts += result.counts
            if result.text:
                print(result.text, flush=True)
                rules[result.rule] += 1
    duration_s = time.perf_counter() - start_s
    print(f"{len(seeds)} seeds, {rules.total()} broken {dict(rules)}; {events} events in {duration_s:.1f} s with "
          f"{options.jobs} processes, {duration_s * options.jobs / len(seeds):.2f} s of one a seed")
    print("\n".join(f"  {number:>9} {name}" for name, number in sorted(counts.items())))
    sys.exit(bool(rules))


if __name__ == "__main__":
    main()
