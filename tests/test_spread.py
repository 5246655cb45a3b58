"""Calls of many couriers to discovery: spread from the first one on, and fewer while they are turned away."""

from __future__ import annotations

import asyncio
import random

import aiohttp
from loopback import Call, Endpoint, Reply, run

from wheelstep.courier.config import Address, Names
from wheelstep.courier.platform import Watch
from wheelstep.courier.spread import AGAIN_S, CALL_S, FIRST_MOST_S, STEPS, wait_s

FLEET = 40


def test_forty_couriers_that_start_at_one_moment_never_call_in_one_second() -> None:
    for seed in range(20):
        first = [wait_s(FLEET, 0, random.Random(f"{seed} {courier}")) for courier in range(FLEET)]
        assert max(first) <= FIRST_MOST_S
        for second in range(5):
            assert sum(second <= at < second + 1 for at in first) <= FLEET * 0.55


def test_while_calls_are_turned_away_a_fleet_makes_less_than_a_tenth_of_what_each_at_once_would() -> None:
    for seed in range(20):
        rng, calls, span_s = random.Random(seed), 0, 30.0
        for _ in range(FLEET):
            at_s, failures = wait_s(FLEET, 0, rng), 0
            while at_s < span_s:
                calls, failures = calls + 1, failures + 1
                at_s += wait_s(FLEET, failures, rng)
        assert calls < 0.1 * FLEET * span_s / AGAIN_S
        assert calls > FLEET  # and goes on asking


def test_one_courier_alone_begins_at_once_and_asks_again_within_a_second() -> None:
    rng = random.Random(1)
    assert wait_s(1, 0, rng) == wait_s(0, 0, rng) == 0.0
    assert all(AGAIN_S <= wait_s(1, failures, rng) <= AGAIN_S * 2 ** STEPS for failures in range(1, 100))
    assert max(wait_s(3, 0, rng) for _ in range(100)) <= 2 * CALL_S


def test_a_watch_that_is_turned_away_waits_longer_from_time_to_time() -> None:
    async def scene() -> None:
        discovery, calls = Endpoint(), []

        async def full(call: Call) -> Reply:
            calls.append(asyncio.get_running_loop().time())
            return 503, {}, b""
        discovery.reply = full
        address = Address.parse(await discovery.start())
        async with aiohttp.ClientSession() as http:
            watch = Watch(http, address, Names((), (), (), ()), 0, lambda kind, rows: None, couriers=1, seed=5)
            running = asyncio.create_task(watch.run())
            await discovery.wait(4)
            running.cancel()
        gaps = [after - before for before, after in zip(calls, calls[1:], strict=False)]
        assert gaps[1] >= AGAIN_S and gaps[2] >= 1.9 * AGAIN_S
    run(scene())
