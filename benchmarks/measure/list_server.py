"""What the list by shard costs one control machine of seventeen: a whole list taken up, couriers that begin to follow,
that come over from a lost machine, and changes.

    python -m benchmarks.measure.list_server
"""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Iterable

import msgspec

from benchmarks.measure.result import Row, measure, resident
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Batch, Follow, Frame, ListRow

SIZES = (1_000, 4_000, 14_000, 50_000, 140_000)
SHARDS, COURIERS, REGIONS, MACHINES = 16_384, 1_100, 2, 17
CHANGES = 500
CURRENT_US = 2_000_000
SEED = 1


def row(number: int, health: str = "SERVING") -> ListRow:
    """One endpoint a destination."""
    return ListRow(f"s-{number:08x}", f"10.1.{number >> 8 & 255}.{number & 255}:7070", "a", "m2", number, health)


def bytes_of(tells: Iterable[tuple[str, Frame]]) -> int:
    """As batches, before they are sealed: one for each peer."""
    batches: dict[str, list[Frame]] = {}
    for peer, frame in tells:
        batches.setdefault(peer, []).append(frame)
    return sum(len(msgspec.msgpack.encode(Batch(tuple(frames)))) for frames in batches.values())


def case(destinations: int) -> Row:
    """Milliseconds and bytes of one machine, whose couriers are a seventeenth of all."""
    rows = [row(number) for number in range(destinations)]
    server, rng, steps = ListServer(SHARDS), random.Random(SEED), []
    gc.collect()
    base, now_us = resident(), 0
    left = iter(server.steps(now_us, 1, True, iter(rows)))
    while True:
        began = time.process_time()
        if next(left, None) is None:
            break
        steps.append(time.process_time() - began)
    memory = resident() - base
    region = COURIERS // REGIONS
    couriers = {f"c{number}": tuple(range(number % region, SHARDS, region)) for number in range(0, COURIERS, MACHINES)}
    began, told = time.process_time(), 0
    for name, shards in couriers.items():
        told += bytes_of(server.heard(now_us, name, Follow(0, tuple((shard, 0) for shard in shards))))
    while server.next_us() < CURRENT_US:
        now_us = server.next_us()
        told += bytes_of(server.tick(now_us))
    follow_s = time.process_time() - began
    for name in couriers:
        server.gone(name)
    began, again = time.process_time(), 0
    for name, shards in couriers.items():
        again += bytes_of(server.heard(now_us, name, Follow(1, tuple((shard, server.digest(shard))
                                                                      for shard in shards))))
    again_s = time.process_time() - began
    began, changed = time.process_time(), 0
    for number in range(CHANGES):
        now_us += 1_000
        changed += bytes_of(server.listed(now_us, 2 + number, False, [row(rng.randrange(destinations), "DRAINING")]))
    change_s = (time.process_time() - began) / CHANGES
    current = bytes_of(server.tick(now_us + 2 * CURRENT_US))
    each = len(couriers)
    return {"memory_mb": memory / 1e6, "whole_s": sum(steps), "longest_step_ms": max(steps) * 1e3,
            "follow_bytes": told / each, "follow_ms": follow_s / each * 1e3, "again_bytes": again / each,
            "again_ms": again_s / each * 1e3, "change_us": change_s * 1e6, "change_bytes": changed / CHANGES,
            "current_bytes_s": current / each / (CURRENT_US / 1e6)}


if __name__ == "__main__":
    measure("list_server", "list_server", __doc__, [{"destinations": count} for count in SIZES], case,
            {"shards": SHARDS, "couriers": COURIERS, "machines": MACHINES, "changes": CHANGES}, SEED)
