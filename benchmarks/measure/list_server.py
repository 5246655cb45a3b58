"""Measures what the list by shard costs one control machine of seventeen: reading a whole list, couriers that begin to
follow, couriers that come from a lost control machine, and changes.

    python -m benchmarks.measure.list_server
"""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Iterable

import msgspec

from benchmarks.measure.result import Row, resident_bytes, run_cases
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Batch, Follow, Frame, ListRow

SIZES = (1_000, 4_000, 14_000, 50_000, 140_000)
SHARDS, COURIERS, REGIONS, MACHINES = 16_384, 1_100, 2, 17
CHANGES = 500
CURRENT_US = 2_000_000  # interval of the messages that tell a courier that its rows are current
SEED = 1


def list_row(number: int, health: str = "SERVING") -> ListRow:
    """Return the list's row of the one endpoint of a destination."""
    return ListRow(f"s-{number:08x}", f"10.1.{number >> 8 & 255}.{number & 255}:7070", "a", "m2", number, health)


def encoded_bytes(outgoing: Iterable[tuple[str, Frame]]) -> int:
    """Return the size of these frames for peers, encoded as one batch for each peer, before sealing."""
    batches: dict[str, list[Frame]] = {}
    for peer, frame in outgoing:
        batches.setdefault(peer, []).append(frame)
    return sum(len(msgspec.msgpack.encode(Batch(tuple(frames)))) for frames in batches.values())


def measure_case(destinations: int) -> Row:
    """Measure one control machine, whose couriers are a seventeenth of all."""
    rows = [list_row(number) for number in range(destinations)]
    server, rng, steps_s = ListServer(SHARDS), random.Random(SEED), []
    gc.collect()
    base, now_us = resident_bytes(), 0
    steps = iter(server.steps(now_us, 1, True, iter(rows)))
    while True:
        began = time.process_time()
        if next(steps, None) is None:
            break
        steps_s.append(time.process_time() - began)
    memory = resident_bytes() - base
    region = COURIERS // REGIONS
    couriers = {f"c{number}": tuple(range(number % region, SHARDS, region)) for number in range(0, COURIERS, MACHINES)}
    began, follow_bytes = time.process_time(), 0
    for name, shards in couriers.items():
        follow_bytes += encoded_bytes(server.heard(now_us, name, Follow(0, tuple((shard, 0) for shard in shards))))
    while server.next_us() < CURRENT_US:
        now_us = server.next_us()
        follow_bytes += encoded_bytes(server.tick(now_us))
    follow_s = time.process_time() - began
    for name in couriers:
        server.gone(name)
    began, again_bytes = time.process_time(), 0
    for name, shards in couriers.items():
        again_bytes += encoded_bytes(server.heard(now_us, name, Follow(1, tuple((shard, server.digest(shard))
                                                                                for shard in shards))))
    again_s = time.process_time() - began
    began, change_bytes = time.process_time(), 0
    for number in range(CHANGES):
        now_us += 1_000
        change_bytes += encoded_bytes(server.listed(now_us, 2 + number, False,
                                                    [list_row(rng.randrange(destinations), "DRAINING")]))
    change_s = (time.process_time() - began) / CHANGES
    current_bytes = encoded_bytes(server.tick(now_us + 2 * CURRENT_US))
    count = len(couriers)
    return {"memory_mb": memory / 1e6, "whole_s": sum(steps_s), "longest_step_ms": max(steps_s) * 1e3,
            "follow_bytes": follow_bytes / count, "follow_ms": follow_s / count * 1e3,
            "again_bytes": again_bytes / count, "again_ms": again_s / count * 1e3, "change_us": change_s * 1e6,
            "change_bytes": change_bytes / CHANGES, "current_bytes_s": current_bytes / count / (CURRENT_US / 1e6)}


if __name__ == "__main__":
    run_cases("list_server", "list_server", __doc__, [{"destinations": count} for count in SIZES], measure_case,
              {"shards": SHARDS, "couriers": COURIERS, "machines": MACHINES, "changes": CHANGES}, SEED)
