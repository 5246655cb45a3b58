"""How evenly many couriers that each see little spread over the endpoints of one destination, in virtual time.

    python benchmarks/spread.py [--seeds 20] [--first 1] [--jobs 2] [--scenes "half|slow"]
    python benchmarks/spread.py --ways all [--seeds 6] [--scenes "half|slow"]

Without `--ways` the module stands beside a choice at random and the least calls with the truth known, on the same
arrivals, and each aim is told as kept or missed; with it, other ways to choose stand in the module's place.
Figures are means over the seeds: the largest and smallest share of an endpoint in any second over the mean, p99 of
the calls' round trips and from taking to delivery (ms), new connections a message, and the part of an even share
that the endpoint in trouble gets from three seconds on.
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

Way = Callable[[Destination, list[Endpoint], int, random.Random], Endpoint]
OWN, NEAR = "module", 6


def calls(endpoint: Endpoint) -> int:
    """Own calls out, with the next one."""
    return len(endpoint.calls) + 1


def usual(endpoint: Endpoint, fits: list[Endpoint]) -> float:
    """Its smoothed round trip; one that was never tried takes what the others do."""
    known = [other.usual_us for other in fits if other.usual_us]
    return endpoint.usual_us or (sum(known) / len(known) if known else 1.0)


def as_before(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(fits, key=lambda e: calls(e) * max(e.usual_us, 1.0))


def before_ties(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(fits, key=lambda e: (calls(e) * max(e.usual_us, 1.0), rng.random()))


def untried_mean(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(fits, key=lambda e: calls(e) * usual(e, fits))


def untried_mean_ties(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(fits, key=lambda e: (calls(e) * usual(e, fits), rng.random()))


def shrunk(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    times = relative_times(destination, now_us)
    return min(fits, key=lambda e: calls(e) * times[e])


def shrunk_ties(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    times = relative_times(destination, now_us)
    return min(fits, key=lambda e: (calls(e) * times[e], rng.random()))


def own_calls(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(fits, key=lambda e: (calls(e), rng.random()))


def two_usual(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return min(rng.sample(fits, min(2, len(fits))), key=lambda e: calls(e) * usual(e, fits))


def two_shrunk(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    return shrunk(destination, rng.sample(fits, min(2, len(fits))), now_us, rng)


def drawn(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    times = relative_times(destination, now_us)
    return rng.choices(fits, [1 / (times[e] ** 2 * calls(e)) for e in fits])[0]


def subset(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Six of each courier's own, by rendezvous: highest hash of courier and endpoint."""
    salt = destination.__dict__.setdefault("salt", rng.random())
    ranked = sorted(fits, key=lambda e: random.Random(f"{salt} {e.info.endpoint}").random())
    return next_in_turn(destination, ranked[:NEAR], now_us, rng)


def in_turn_blind(destination: Destination, fits: list[Endpoint], now_us: int, rng: random.Random) -> Endpoint:
    """Turns that know no times."""
    for endpoint in fits:
        endpoint.recent_answers.value = endpoint.recent_time_us.value = 0.0
    return next_in_turn(destination, fits, now_us, rng)


WAYS: dict[str, tuple[str, Way]] = {
    "before": ("least calls times usual round trip, ties by the list (as it was)", as_before),
    "ties": ("the same, ties by the seed", before_ties),
    "untried": ("as it was, but one never tried costs the mean", untried_mean),
    "untried ties": ("the same, ties by the seed", untried_mean_ties),
    "shrunk": ("as it was, but few samples shrunk to the mean", shrunk),
    "shrunk ties": ("the same, ties by the seed", shrunk_ties),
    "own calls": ("least own calls out, ties by the seed", own_calls),
    "two": ("power of two, usual round trip", two_usual),
    "two shrunk": ("power of two, shrunk times", two_shrunk),
    "drawn": ("drawn by 1/time squared, shrunk", drawn),
    "subset": ("turns in six of each courier's own", subset),
    "blind": ("turns, times not known", in_turn_blind),
    OWN: ("turns by shrunk times (taken)", next_in_turn),
}


def play(job: tuple[Scene, int, str]) -> dict[str, float]:
    """The figures of one play."""
    scene, seed, way = job
    dispatch.next_in_turn = WAYS[way][1] if way in WAYS else next_in_turn  # type: ignore[attr-defined]
    return SpreadRun(scene, seed, OWN if way in WAYS else way).figures()


def line(name: str, figures: dict[str, float]) -> str:
    """One row."""
    return (f"  {name:13} high {figures['high']:5.2f}  low {figures['low']:.2f}  p99 {figures['p99']:5.0f}  "
            f"whole {figures['whole']:5.0f}  new {figures['conns']:.2f}  ill {figures['ill']:.2f}  "
            f"done {figures['done']:.3f}")


def aims(scene: Scene, mine: dict[str, float], plain: dict[str, float], truth: dict[str, float]) -> str:
    """What is missed."""
    missed = []
    if mine["high"] > 1.2 * plain["high"]:
        missed.append(f"largest share {mine['high'] / plain['high']:.2f} of random's")
    if mine["low"] < plain["low"] / 2:
        missed.append(f"smallest share {mine['low'] / plain['low']:.2f} of random's")
    if mine["p99"] > 1.01 * plain["p99"]:  # less is noise: an exponential's p99 from a few thousand calls
        missed.append(f"p99 {mine['p99'] / plain['p99']:.2f} of random's")
    if mine["p99"] > 1.3 * truth["p99"]:
        missed.append(f"p99 {mine['p99'] / truth['p99']:.2f} of the truth's")
    if scene.trouble == "slow" and mine["ill"] >= 0.5:
        missed.append(f"the slow one gets {mine['ill']:.2f} of its part")
    return "missed: " + "; ".join(missed) if missed else "aims kept"


def main() -> None:
    """The table."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seeds", type=int, default=20)
    options.add_argument("--first", type=int, default=1)
    options.add_argument("--jobs", type=int, default=2)
    options.add_argument("--scenes", default="")
    options.add_argument("--ways", default="", help=f"'all', or some of: {', '.join(WAYS)}")
    given = options.parse_args()
    wanted = given.scenes.split("|") if given.scenes else []
    ways = list(WAYS) if given.ways == "all" else given.ways.split(",") if given.ways else [OWN]
    seeds = range(given.first, given.first + given.seeds)
    print(f"seeds {seeds[0]} to {seeds[-1]}", flush=True)
    with ProcessPoolExecutor(given.jobs) as pool:
        for scene in SCENES:
            if wanted and scene.name not in wanted:
                continue
            jobs = [(scene, seed, way) for way in [*ways, "random", "least"] for seed in seeds]
            rows = iter(list(pool.map(play, jobs)))
            means = {}
            print(scene.name, flush=True)
            for way in [*ways, "random", "least"]:
                plays = [next(rows) for _ in seeds]
                means[way] = {name: sum(one[name] for one in plays) / len(plays) for name in plays[0]}
                print(line(way, means[way]), flush=True)
            if OWN in means:
                print(f"  {aims(scene, means[OWN], means['random'], means['least'])}", flush=True)


if __name__ == "__main__":
    main()
