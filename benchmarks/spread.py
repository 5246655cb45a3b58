"""Simulates, in virtual time, how evenly many couriers that each see little traffic spread their calls over the
endpoints of one destination.

    python benchmarks/spread.py [--seeds 20] [--first 1] [--jobs 2] [--scenes "half|slow"]
    python benchmarks/spread.py --ways all [--seeds 6] [--scenes "half|slow"]

Without `--ways` the module is compared with a random choice and with the fewest outstanding calls of all couriers
(`least`), on the same arrivals, and missed aims are printed; with it, other strategies replace the module's.
Figures are means over the seeds: the largest and smallest share of an endpoint in any second over the mean, p99 of
the calls' round trips and from acceptance to delivery (ms), new connections for each message, and the part of an even
share that the endpoint with a fault gets from three seconds on.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from spread import SpreadRun  # noqa: E402
from spread_scenes import SCENES, Scene  # noqa: E402

from wheelstep.policy import dispatch  # noqa: E402
from wheelstep.policy.balancing import next_in_turn, relative_times  # noqa: E402
from wheelstep.policy.endpoint import Endpoint  # noqa: E402
from wheelstep.policy.messages import Destination  # noqa: E402

Strategy = Callable[[Destination, list[Endpoint], int, random.Random], Endpoint]
OWN, SUBSET_SIZE = "module", 6  # name of the strategy that the module uses; endpoints of each courier in `subset`


def calls(endpoint: Endpoint) -> int:
    """Return the courier's own outstanding calls to the endpoint, with the next one."""
    return len(endpoint.calls) + 1


def usual_time(endpoint: Endpoint, candidates: list[Endpoint]) -> float:
    """Return the smoothed round trip of the endpoint, or the mean of the others if it was never tried."""
    known = [other.usual_us for other in candidates if other.usual_us]
    return endpoint.usual_us or (sum(known) / len(known) if known else 1.0)


def least_time(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Choose the least product of own outstanding calls and smoothed round trip; the first in the list wins a tie."""
    return min(candidates, key=lambda e: calls(e) * max(e.usual_us, 1.0))


def least_time_random_ties(destination: Destination, candidates: list[Endpoint], now_us: int,
                           rng: random.Random) -> Endpoint:
    """Like `least_time`, with ties broken at random."""
    return min(candidates, key=lambda e: (calls(e) * max(e.usual_us, 1.0), rng.random()))


def untried_at_mean(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Like `least_time`, but an endpoint that was never tried counts with the mean time of the others."""
    return min(candidates, key=lambda e: calls(e) * usual_time(e, candidates))


def untried_at_mean_random_ties(destination: Destination, candidates: list[Endpoint], now_us: int,
                                rng: random.Random) -> Endpoint:
    """Like `untried_at_mean`, with ties broken at random."""
    return min(candidates, key=lambda e: (calls(e) * usual_time(e, candidates), rng.random()))


def shrunk_times(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Like `least_time`, but times from few samples are shrunk to the mean."""
    times = relative_times(destination, now_us)
    return min(candidates, key=lambda e: calls(e) * times[e])


def shrunk_times_random_ties(destination: Destination, candidates: list[Endpoint], now_us: int,
                             rng: random.Random) -> Endpoint:
    """Like `shrunk_times`, with ties broken at random."""
    times = relative_times(destination, now_us)
    return min(candidates, key=lambda e: (calls(e) * times[e], rng.random()))


def fewest_own_calls(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Choose the endpoint with the fewest own outstanding calls, with ties broken at random."""
    return min(candidates, key=lambda e: (calls(e), rng.random()))


def best_of_two(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Choose the better of two random endpoints, by own outstanding calls and smoothed round trip."""
    return min(rng.sample(candidates, min(2, len(candidates))), key=lambda e: calls(e) * usual_time(e, candidates))


def best_of_two_shrunk(destination: Destination, candidates: list[Endpoint], now_us: int,
                       rng: random.Random) -> Endpoint:
    """Choose the better of two random endpoints, by own outstanding calls and shrunk times."""
    return shrunk_times(destination, rng.sample(candidates, min(2, len(candidates))), now_us, rng)


def weighted_random(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Choose at random, weighted by the inverse of the squared shrunk time and of the own outstanding calls."""
    times = relative_times(destination, now_us)
    return rng.choices(candidates, [1 / (times[e] ** 2 * calls(e)) for e in candidates])[0]


def subset(destination: Destination, candidates: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Choose in turn from `SUBSET_SIZE` endpoints for each courier, selected by rendezvous hashing of courier and
    endpoint."""
    salt = destination.__dict__.setdefault("salt", rng.random())
    ranked = sorted(candidates, key=lambda e: random.Random(f"{salt} {e.info.endpoint}").random())
    return next_in_turn(destination, ranked[:SUBSET_SIZE], now_us, rng)


def in_turn_without_times(destination: Destination, candidates: list[Endpoint], now_us: int,
                          rng: random.Random) -> Endpoint:
    """Choose in turn as the module does, without the endpoints' times."""
    for endpoint in candidates:
        endpoint.recent_answers.value = endpoint.recent_time_us.value = 0.0
    return next_in_turn(destination, candidates, now_us, rng)


STRATEGIES: dict[str, tuple[str, Strategy]] = {  # value of --ways -> description, function
    "before": ("least outstanding calls times smoothed round trip, ties by position in the list", least_time),
    "ties": ("the same, ties at random", least_time_random_ties),
    "untried": ("like `before`, but an untried endpoint counts with the mean time", untried_at_mean),
    "untried ties": ("the same, ties at random", untried_at_mean_random_ties),
    "shrunk": ("like `before`, but times from few samples are shrunk to the mean", shrunk_times),
    "shrunk ties": ("the same, ties at random", shrunk_times_random_ties),
    "own calls": ("fewest own outstanding calls, ties at random", fewest_own_calls),
    "two": ("the better of two random endpoints, by smoothed round trip", best_of_two),
    "two shrunk": ("the better of two random endpoints, by shrunk times", best_of_two_shrunk),
    "drawn": ("random, weighted by 1/time squared, with shrunk times", weighted_random),
    "subset": ("in turn, from six endpoints for each courier", subset),
    "blind": ("in turn, without times", in_turn_without_times),
    OWN: ("in turn, by shrunk times: what the module does", next_in_turn),
}


def run_scene(job: tuple[Scene, int, str]) -> dict[str, float]:
    """Simulate a scene with a seed and a strategy, "random" or "least", and return its figures by name."""
    scene, seed, strategy = job
    dispatch.next_in_turn = (  # type: ignore[attr-defined]
        STRATEGIES[strategy][1] if strategy in STRATEGIES else next_in_turn)
    return SpreadRun(scene, seed, OWN if strategy in STRATEGIES else strategy).figures()


def format_row(name: str, figures: dict[str, float]) -> str:
    """Format the figures of a strategy as one line."""
    return (f"  {name:13} high {figures['high']:5.2f}  low {figures['low']:.2f}  p99 {figures['p99']:5.0f}  "
            f"whole {figures['whole']:5.0f}  new {figures['conns']:.2f}  ill {figures['ill']:.2f}  "
            f"done {figures['done']:.3f}")


def describe_aims(scene: Scene, own: dict[str, float], by_random: dict[str, float],
                  by_least: dict[str, float]) -> str:
    """Return the aims that the module's figures `own` miss, beside those of the two baselines."""
    missed = []
    if own["high"] > 1.2 * by_random["high"]:
        missed.append(f"largest share {own['high'] / by_random['high']:.2f} of random's")
    if own["low"] < by_random["low"] / 2:
        missed.append(f"smallest share {own['low'] / by_random['low']:.2f} of random's")
    if own["p99"] > 1.01 * by_random["p99"]:  # less is noise in the p99 of a few thousand exponential times
        missed.append(f"p99 {own['p99'] / by_random['p99']:.2f} of random's")
    if own["p99"] > 1.3 * by_least["p99"]:
        missed.append(f"p99 {own['p99'] / by_least['p99']:.2f} of least's")
    if scene.trouble == "slow" and own["ill"] >= 0.5:
        missed.append(f"the slow endpoint gets {own['ill']:.2f} of an even share")
    return "missed: " + "; ".join(missed) if missed else "aims kept"


def main() -> None:
    """Simulate the scenes and print the table."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seeds", type=int, default=20)
    options.add_argument("--first", type=int, default=1)
    options.add_argument("--jobs", type=int, default=2)
    options.add_argument("--scenes", default="")
    options.add_argument("--ways", default="", help=f"'all', or some of: {', '.join(STRATEGIES)}")
    given = options.parse_args()
    wanted = given.scenes.split("|") if given.scenes else []
    strategies = list(STRATEGIES) if given.ways == "all" else given.ways.split(",") if given.ways else [OWN]
    seeds = range(given.first, given.first + given.seeds)
    print(f"seeds {seeds[0]} to {seeds[-1]}", flush=True)
    with ProcessPoolExecutor(given.jobs) as pool:
        for scene in SCENES:
            if wanted and scene.name not in wanted:
                continue
            jobs = [(scene, seed, strategy) for strategy in [*strategies, "random", "least"] for seed in seeds]
            rows = iter(list(pool.map(run_scene, jobs)))
            means = {}
            print(scene.name, flush=True)
            for strategy in [*strategies, "random", "least"]:
                runs = [next(rows) for _ in seeds]
                means[strategy] = {name: sum(one[name] for one in runs) / len(runs) for name in runs[0]}
                print(format_row(strategy, means[strategy]), flush=True)
            if OWN in means:
                print(f"  {describe_aims(scene, means[OWN], means['random'], means['least'])}", flush=True)


if __name__ == "__main__":
    main()
