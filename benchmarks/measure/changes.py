"""Measures what changes of the list cost one control machine of seventeen: one minute at each rate of changes, with the
periodic messages to the couriers that follow the machine.

    python -m benchmarks.measure.changes
"""

from __future__ import annotations

import random
import time

from benchmarks.measure.list_server import COURIERS, MACHINES, REGIONS, SEED, SHARDS, encoded_bytes, list_row
from benchmarks.measure.result import Row, run_cases
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Follow

DESTINATIONS = 140_000
RATES = (0.043, 1.0, 4.0, 16.0, 64.0)  # the first: 3,700 a day
MINUTE_US = 60_000_000


def measure_case(changes_per_s: float) -> Row:
    """Measure the processor time and the bytes sent for each second."""
    server, rng = ListServer(SHARDS), random.Random(SEED)
    server.listed(0, 1, True, (list_row(number) for number in range(DESTINATIONS)))
    region = COURIERS // REGIONS
    for number in range(0, COURIERS, MACHINES):
        server.heard(0, f"c{number}", Follow(1, tuple((shard, server.digest(shard))
                                                      for shard in range(number % region, SHARDS, region))))
    for now_us in range(0, 1_000_000, 50_000):
        server.tick(now_us)
    now_us, end_us, seq, sent_bytes = 1_000_000, 1_000_000 + MINUTE_US, 2, 0
    change_us = now_us + round(1e6 / changes_per_s)
    began = time.process_time()
    while (now_us := min(change_us, server.next_us())) < end_us:
        if now_us == change_us:
            seq, change_us = seq + 1, now_us + round(1e6 / changes_per_s)
            health = rng.choice(("SERVING", "DRAINING"))
            sent_bytes += encoded_bytes(
                server.listed(now_us, seq, False, [list_row(rng.randrange(DESTINATIONS), health)]))
        sent_bytes += encoded_bytes(server.tick(now_us))
    seconds = MINUTE_US / 1e6
    return {"changes": seq - 2, "core_share": (time.process_time() - began) / seconds, "bytes_s": sent_bytes / seconds}


if __name__ == "__main__":
    run_cases("changes", "changes", __doc__, [{"changes_per_s": rate} for rate in RATES], measure_case,
              {"destinations": DESTINATIONS, "shards": SHARDS, "couriers": COURIERS, "machines": MACHINES}, SEED)
