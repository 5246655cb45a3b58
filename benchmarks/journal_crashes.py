"""Crashes the journal at every operation of random histories, in numbers that CI has no time for.

    python benchmarks/journal_crashes.py [--points 100000] [--first-seed 0] [--jobs 4]

Each history runs three times: the process ends (`none`), the power is lost after each sync (`each`), or between
shared syncs (`group`); recoveries crash too. Stops at the first mismatch and prints its seed and crash point.
"""

from __future__ import annotations

import argparse
import itertools
import logging
import random
import time
from concurrent.futures import ProcessPoolExecutor

from wheelstep.journal.durability import SyncPolicy
from wheelstep.rehearsal.journal_model import crash_between_syncs, crash_everywhere, draw_history


def crash_history(seed: int) -> int:
    """Crash one random history under the three policies and return the number of crash points."""
    logging.disable(logging.CRITICAL)
    history = draw_history(random.Random(seed), 120)
    return (crash_between_syncs(history, seed)
            + sum(crash_everywhere(history, sync, seed) for sync in (SyncPolicy.NONE, SyncPolicy.EACH)))


def main() -> None:
    """Crash histories until there were enough crash points."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--points", type=int, default=100_000)
    options.add_argument("--first-seed", type=int, default=0)
    options.add_argument("--jobs", type=int, default=4)
    given = options.parse_args()
    began, points, histories = time.monotonic(), 0, 0
    with ProcessPoolExecutor(given.jobs) as pool:
        for first in itertools.count(given.first_seed, 64):
            for count in pool.map(crash_history, range(first, first + 64)):
                points, histories = points + count, histories + 1
            if points >= given.points:
                break
    print(f"{points} crash points in {histories} histories under three policies, no mismatch, "
          f"{time.monotonic() - began:.0f} s with {given.jobs} processes")


if __name__ == "__main__":
    main()
