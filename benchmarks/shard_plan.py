"""What the plan of shards costs and moves, beside `fleet.assignment.assign` on the same sizes.

    python -m benchmarks.shard_plan [--json FILE] [--deaths 40] [--seed 1]

All couriers are in one region, as the ring sees them, of weight 1. `least` is the least possible number of moves: what
those that went had, or what the one that came was given. A second table kills a tenth of the couriers one after
another, with caps as they are and with caps by the total rounded up to powers of 1.05 for all.
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
LOAD = 1.25
GRID = math.log(1.05)


class GridCaps(Caps):
    """By the total weight rounded up to a power of 1.05: the other way that was weighed."""

    def of(self, weights: Mapping[str, float]) -> dict[str, int]:
        """Alike for couriers of one weight."""
        total = math.exp(math.ceil(math.log(math.fsum(weights.values())) / GRID) * GRID)
        return {name: math.ceil(LOAD * self._shards * weight / total) for name, weight in weights.items()}


def timed(what: Callable[[], Any]) -> tuple[float, Any]:
    """Milliseconds, and what came of it."""
    start = time.perf_counter()
    result = what()
    return (time.perf_counter() - start) * 1_000, result


def one_size(couriers: int, shards: int, deaths: int, rng: random.Random) -> dict[str, Any]:
    """A row of the first table."""
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
        for what, weight in (("death", 0.0), ("arrival", 1.0)):
            ms, changed = timed(lambda name=name, weight=weight: ring.update({name: weight}))
            took[what].append(ms)
            moved += len(changed) if what == "death" else 0  # an arrival undoes the death before it
    for what, each in took.items():
        row[f"{what}_longest_ms"], row[f"{what}_median_ms"] = max(each), sorted(each)[len(each) // 2]
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


def in_a_row(couriers: int, shards: int, rule: type[Caps]) -> dict[str, Any]:
    """A row of the second table."""
    names = [f"courier-{number}" for number in range(couriers)]
    ring = HashRing(shards, LOAD)
    ring._rule = rule(shards, LOAD)
    ring.update(dict.fromkeys(names, 1.0))
    each = []
    for name in names[:couriers // 10]:
        had = len(ring.shards_of(name))
        caps = dict(ring._caps)
        moves = len(ring.update({name: 0.0}))
        each.append((moves / had, moves, had, sum(caps[other] != cap for other, cap in ring._caps.items())))
    most = max(each)
    return {"couriers": couriers, "shards": shards, "caps": rule.__name__, "deaths": len(each),
            "median_over_least": sorted(each)[len(each) // 2][0], "most_over_least": most[0], "most_moves": most[1],
            "most_least": most[2], "most_caps_changed": most[3],
            "all_over_least": sum(one[1] for one in each) / sum(one[2] for one in each)}


def printed(rows: list[dict[str, Any]]) -> None:
    """As a table."""
    names = [*rows[0]]
    print("  ".join(names))
    for row in rows:
        print("  ".join(f"{f'{row[name]:.2f}' if isinstance(row[name], float) else row[name]:>{len(name)}}"
                        for name in names))


def main() -> None:
    """Measure, print, and write the file."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--deaths", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    rng = random.Random(asked.seed)
    rows = [one_size(couriers, shards, asked.deaths, rng) for shards in SHARDS for couriers in COURIERS]
    printed(rows)
    rules = [in_a_row(couriers, shards, rule) for shards in (16_384, 65_536) for couriers in COURIERS
             for rule in (Caps, GridCaps)]
    printed(rules)
    if asked.json:
        commit = subprocess.run(["git", "describe", "--always", "--dirty"], capture_output=True, text=True,
                                check=True).stdout.strip()
        machine = {"cores": os.cpu_count(), "system": platform.platform(), "python": platform.python_version()}
        asked.json.write_text(json.dumps({
            "what": "shard_plan", "commit": commit, "machine": machine, "seed": asked.seed,
            "parameters": {"load": LOAD, "points": 64, "deaths": asked.deaths}, "rows": rows, "deaths_in_a_row": rules,
        }, indent=1) + "\n")


if __name__ == "__main__":
    main()
