"""The expiring table against a plain dictionary."""

from __future__ import annotations

import random

import pytest

from wheelstep.shards.expiring_table import NEVER_US, ExpiringTable


@pytest.mark.parametrize("seed", range(10))
def test_entries_expire_in_time_and_the_heap_stays_bounded(seed: int) -> None:
    """Replaced and removed entries leave stale heap items, which must neither expire anything nor pile up."""
    rng, table, held, now_us = random.Random(seed), ExpiringTable[int, int](), {}, 0
    for _ in range(3_000):
        key, until_us = rng.randrange(40), now_us + rng.randrange(1, 500)
        match rng.randrange(4):
            case 0 | 1:
                table.put(key, until_us, until_us)
                held[key] = until_us
            case 2:
                assert table.pop(key) == held.pop(key, None)
            case _:
                now_us += rng.randrange(60)
                ended = sorted((until, each) for each, until in held.items() if until <= now_us)
                assert sorted((until, each) for each, until in table.pop_expired(now_us)) == ended
                held = {each: until for each, until in held.items() if until > now_us}
        assert len(table) == len(held) and table.next_us() == min(held.values(), default=NEVER_US)
        assert len(table._heap) <= 2 * 40 + 65
