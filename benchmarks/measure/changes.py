"""What a rate of changes of the list costs one control machine of seventeen: a minute with so many changes a second,
and its signs of life to the couriers that follow there.

    python -m benchmarks.measure.changes
"""

from __future__ import annotations

import random
import time

from benchmarks.measure.list_server import COURIERS, MACHINES, REGIONS, SEED, SHARDS, bytes_of, row
from benchmarks.measure.result import Row, measure
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Follow

DESTINATIONS = 140_000
RATES = (0.043, 1.0, 4.0, 16.0, 64.0)  # the first: 3,700 a day
MINUTE_US = 60_000_000


def case(changes_per_s: float) -> Row:
    """Processor time and bytes told, a second."""
    server, rng = ListServer(SHARDS), random.Random(SEED)
    server.listed(0, 1, True, (row(number) for number in range(DESTINATIONS)))
    region = COURIERS // REGIONS
    for number in range(0, COURIERS, MACHINES):
        server.heard(0, f"c{number}", Follow(1, tuple((shard, server.digest(shard))
                                                      for shard in range(number % region, SHARDS, region))))
    for now_us in range(0, 1_000_000, 50_000):
        server.tick(now_us)
    now_us, end_us, seq, told = 1_000_000, 1_000_000 + MINUTE_US, 2, 0
    change_us = now_us + round(1e6 / changes_per_s)
    began = time.process_time()
    while (now_us := min(change_us, server.next_us())) < end_us:
        if now_us == change_us:
            seq, change_us = seq + 1, now_us + round(1e6 / changes_per_s)
            health = rng.choice(("SERVING", "DRAINING"))
            told += bytes_of(server.listed(now_us, seq, False, [row(rng.randrange(DESTINATIONS), health)]))
        told += bytes_of(server.tick(now_us))
    seconds = MINUTE_US / 1e6
    return {"changes": seq - 2, "core_share": (time.process_time() - began) / seconds, "bytes_s": told / seconds}


if __name__ == "__main__":
    measure("changes", "changes", __doc__, [{"changes_per_s": rate} for rate in RATES], case,
            {"destinations": DESTINATIONS, "shards": SHARDS, "couriers": COURIERS, "machines": MACHINES}, SEED)
