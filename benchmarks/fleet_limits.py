"""Simulates forty senders at one destination with a rate limit, in virtual time, and measures how well they use the
limit and how many calls it rejects.

    python benchmarks/fleet_limits.py [--seeds 20] [--senders 40]

Prints minimum, median and maximum over the seeds. To measure another version, run it with that version's `wheelstep`
first on PYTHONPATH.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from fleet import Fleet, S, limit_below_senders, limit_halved, mass_restart, near_limit  # noqa: E402


def start_together(seed: int, senders: int) -> Fleet:
    """Simulate 15 seconds of senders that all start at once, with load reports."""
    return near_limit(seed, senders).run(15 * S)


def without_reports(seed: int, senders: int) -> Fleet:
    """Simulate the same as `start_together`, without load reports."""
    return near_limit(seed, senders, reports=False).run(15 * S)


Figure = tuple[str, Callable[[Fleet], float]]
SCENES: Sequence[tuple[str, Callable[[int, int], Fleet], Sequence[Figure]]] = (
    ("start together, 130/s in calls of up to 5, limit 48", start_together, (
        ("calls in the first second", lambda f: f.rate(0, 1)), ("rejected, 0 to 2 s", lambda f: f.refused_share(0, 2)),
        ("rejected, 3 to 15 s", lambda f: f.refused_share(3, 15)), ("served a second", lambda f: f.rate(3, 15, True)),
        ("largest share over median", Fleet.unfairness))),
    ("limit halved from 8 to 17 s, 190/s", limit_halved, (
        ("rejected, 8 to 17 s", lambda f: f.refused_share(8, 17)),
        ("served a second, 8 to 17 s", lambda f: f.rate(8, 17, True)),
        ("seconds to 85% of the limit restored", lambda f: f.seconds_until(0.85, 48, 17)))),
    ("three of four restart at 8 s", mass_restart, (
        ("rejected, 8 to 11 s", lambda f: f.refused_share(8, 11)), ("served a second", lambda f: f.rate(9, 16, True)))),
    ("limit 20, smaller than the senders", limit_below_senders, (
        ("rejected", lambda f: f.refused_share(3, 15)), ("served a second", lambda f: f.rate(3, 15, True)))),
    ("no reports, limit 48", without_reports, (
        ("rejected, 0 to 3 s", lambda f: f.refused_share(0, 3)), ("served a second", lambda f: f.rate(3, 15, True)))),
)


def main() -> None:
    """Simulate each scene with each seed and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--senders", type=int, default=40)
    given = parser.parse_args()
    for name, scene, figures in SCENES:
        print(name)
        fleets = [scene(seed, given.senders) for seed in range(given.seeds)]
        for label, figure in figures:
            values = [figure(fleet) for fleet in fleets]
            print(f"  {label:38} {min(values):8.2f} {median(values):8.2f} {max(values):8.2f}")


if __name__ == "__main__":
    main()
