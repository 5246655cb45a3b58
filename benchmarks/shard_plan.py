"""Measures what planning shards costs, and how many it moves, beside `fleet.assignment.assign` on the same sizes.

    python -m benchmarks.shard_plan [--json FILE] [--deaths 40] [--seed 1]

All couriers are in one region, as the ring sees them, of weight 1. `least` is the least possible number of moves: the
shards of the couriers that left, or the shards that the new courier got. For a second table a tenth of the couriers
leave one after another, with the caps of the module, and with caps by the total weight rounded up to a power of 1.05.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import platform
import random
import subprocess
import time
import tracemalloc
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from wheelstep.fleet.assignment import assign
from wheelstep.shards.ring import HashRing
from wheelstep.shards.shares import Caps

COURIERS = (100, 300, 550, 1_100)
SHARDS = (1_024, 4_096, 16_384, 65_536)
LOAD = 1.25  # cap of a courier's shards, over the mean
LOG_STEP = math.log(1.05)


class GridCaps(Caps):
    """Caps by the total weight rounded up to a power of 1.05, an alternative to those of the module."""

    def of(self, weights: Mapping[str, float]) -> dict[str, int]:
        """Return the cap of each courier; couriers of one weight get the same."""
        total = math.exp(math.ceil(math.log(math.fsum(weights.values())) / LOG_STEP) * LOG_STEP)
        return {name: math.ceil(LOAD * self._shards * weight / total) for name, weight in weights.items()}


def timed(function: Callable[[], Any]) -> tuple[float, Any]:
    """Call the function and return the milliseconds that took, and its result."""
    start = time.perf_counter()
    result = function()
    return (time.perf_counter() - start) * 1_000, result


def measure_size(couriers: int, shards: int, deaths: int, rng: random.Random) -> dict[str, Any]:
    """Measure one number of couriers and shards and return a row of the first table."""
    names = [f"courier-{number}" for number in range(couriers)]
    rng.shuffle(names)
    weights = dict.fromkeys(names, 1.0)
    tracemalloc.start()
    ring = HashRing(shards, LOAD)
    ring.update(weights)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    ring = HashRing(shards, LOAD)
    row: dict[str, Any] = {"couriers": couriers, "shards": shards, "bytes": size}
    row["build_ms"] = timed(lambda: ring.update(weights))[0]
    row["busiest_over_mean"] = max(ring.loads().values()) * couriers / shards
    took: dict[str, list[float]] = {"death": [], "arrival": []}
    moved, least = 0, 0
    for name in names[:deaths]:
        least += len(ring.shards_of(name))
        for change, weight in (("death", 0.0), ("arrival", 1.0)):
            ms, changed = timed(lambda name=name, weight=weight: ring.update({name: weight}))
            took[change].append(ms)
            moved += len(changed) if change == "death" else 0  # an arrival undoes the death before it
    for change, times_ms in took.items():
        row[f"{change}_longest_ms"], row[f"{change}_median_ms"] = max(times_ms), sorted(times_ms)[len(times_ms) // 2]
    row["one_moves_over_least"] = moved / least
    zone = dict.fromkeys(names[:couriers // 6], 0.0)
    least = sum(len(ring.shards_of(name)) for name in zone)
    row["sixth_gone_ms"], changed = timed(lambda: ring.update(zone))
    row["sixth_moves_over_least"] = len(changed) / least
    row["sixth_gone_busiest_over_mean"] = max(ring.loads().values()) * (couriers - len(zone)) / shards
    row["sixth_back_ms"] = timed(lambda: ring.update(dict.fromkeys(zone, 1.0)))[0]
    row["assign_build_ms"], owners = timed(lambda: assign(shards, weights, {}))
    del weights[names[0]]
    row["assign_death_ms"] = timed(lambda: assign(shards, weights, owners))[0]
    return row


def measure_deaths_in_a_row(couriers: int, shards: int, rule: type[Caps]) -> dict[str, Any]:
    """Let a tenth of the couriers leave one after another, with this rule for caps, and return a row of the second
    table."""
    names = [f"courier-{number}" for number in range(couriers)]
    ring = HashRing(shards, LOAD)
    ring._rule = rule(shards, LOAD)
    ring.update(dict.fromkeys(names, 1.0))
    deaths = []
    for name in names[:couriers // 10]:
        held = len(ring.shards_of(name))
        caps = dict(ring._caps)
        moves = len(ring.update({name: 0.0}))
        deaths.append((moves / held, moves, held, sum(caps[other] != cap for other, cap in ring._caps.items())))
    most = max(deaths)
    return {"couriers": couriers, "shards": shards, "caps": rule.__name__, "deaths": len(deaths),
            "median_over_least": sorted(deaths)[len(deaths) // 2][0], "most_over_least": most[0],
            "most_moves": most[1], "most_least": most[2], "most_caps_changed": most[3],
            "all_over_least": sum(one[1] for one in deaths) / sum(one[2] for one in deaths)}


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print the rows as a table with the keys of the first one as its header."""
    names = [*rows[0]]
    print("  ".join(names))
    for row in rows:
        print("  ".join(f"{f'{row[name]:.2f}' if isinstance(row[name], float) else row[name]:>{len(name)}}"
                        for name in names))


def main() -> None:
    """Measure all sizes, print both tables, and write the result file if wanted."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--deaths", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    rows = [measure_size(couriers, shards, options.deaths, rng) for shards in SHARDS for couriers in COURIERS]
    print_table(rows)
    rules = [measure_deaths_in_a_row(couriers, shards, rule)
             for shards in (16_384, 65_536) for couriers in COURIERS for rule in (Caps, GridCaps)]
    print_table(rules)
    if options.json:
        commit = subprocess.run(["git", "describe", "--always", "--dirty"], capture_output=True, text=True,
                                check=True).stdout.strip()
        machine = {"cores": os.cpu_count(), "system": platform.platform(), "python": platform.python_version()}
        options.json.write_text(json.dumps({
            "what": "shard_plan", "commit": commit, "machine": machine, "seed": options.seed,
            "parameters": {"load": LOAD, "points": 64, "deaths": options.deaths}, "rows": rows,
            "deaths_in_a_row": rules}, indent=1) + "\n")


if __name__ == "__main__":
    main()
