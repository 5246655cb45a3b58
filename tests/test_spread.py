"""The calls of many couriers to discovery are spread from the first one on, and become rarer while they are refused."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

import pytest
from loopback import SETTINGS, Call, Courier, Endpoint, Platform, Reply, host, run

from wheelstep import Settings
from wheelstep import interface as api
from wheelstep.courier import hedge
from wheelstep.courier.config import Address, Names
from wheelstep.courier.spread import MAX_DOUBLINGS, MAX_FIRST_WAIT_S, RETRY_S, SPACING_S, calling_couriers, wait_s
from wheelstep.courier.watch import Watch

FLEET = 40


def test_first_calls_of_forty_couriers_that_start_together_are_spread_over_seconds() -> None:
    for seed in range(20):
        first = [wait_s(FLEET, 0, random.Random(f"{seed} {courier}")) for courier in range(FLEET)]
        assert max(first) <= MAX_FIRST_WAIT_S
        for second in range(5):
            assert sum(second <= at < second + 1 for at in first) <= FLEET * 0.55


def test_a_fleet_whose_calls_are_refused_makes_under_a_tenth_of_the_calls_without_backoff() -> None:
    for seed in range(20):
        rng, calls, span_s = random.Random(seed), 0, 30.0
        for _ in range(FLEET):
            at_s, failures = wait_s(FLEET, 0, rng), 0
            while at_s < span_s:
                calls, failures = calls + 1, failures + 1
                at_s += wait_s(FLEET, failures, rng)
        assert calls < 0.1 * FLEET * span_s / RETRY_S
        assert calls > FLEET  # and continues to ask


def test_a_single_courier_calls_at_once_and_again_within_a_second() -> None:
    rng = random.Random(1)
    assert wait_s(1, 0, rng) == wait_s(0, 0, rng) == 0.0
    assert all(RETRY_S <= wait_s(1, failures, rng) <= RETRY_S * 2 ** MAX_DOUBLINGS for failures in range(1, 100))
    assert max(wait_s(3, 0, rng) for _ in range(100)) <= 2 * SPACING_S


def test_a_watch_that_is_refused_waits_longer_each_time() -> None:
    async def scene() -> None:
        discovery, calls = Endpoint(), []

        async def full(call: Call) -> Reply:
            calls.append(asyncio.get_running_loop().time())
            return 503, {}, b""
        discovery.reply = full
        address = Address.parse(await discovery.start())
        watch = Watch(address, Names((), (), (), ()), 0, lambda kind, rows: None, couriers=1, seed=5)
        running = asyncio.create_task(watch.run())
        await discovery.wait(4)
        running.cancel()
        gaps = [after - before for before, after in zip(calls, calls[1:], strict=False)]
        assert gaps[1] >= RETRY_S and gaps[2] >= 1.9 * RETRY_S
    run(scene())


def test_only_where_each_courier_asks_for_the_list_are_the_calls_of_all_spread() -> None:
    """An agent that sends changes by itself counts a change as known at once: a watch that begins 5 s late breaks the
    rule."""
    classes = (api.MessageClass(2_000_000, 20_000_000, api.Effect.SAFE),)
    asking, told = (Settings(classes=classes, slots=4, senders=200, ask_for_list=asks) for asks in (True, False))
    assert calling_couriers(asking) == 200 and calling_couriers(told) == 1
    rng = random.Random(3)
    assert wait_s(1, 0, rng) == 0.0  # at a start
    assert wait_s(1, 1, rng, lasted_s=30.0) == 0.0  # a watch that broke after a long time
    assert wait_s(1, 1, rng, lasted_s=0.1) == RETRY_S - 0.1  # one that ends at once must not become a busy loop


def test_a_watch_that_moves_begins_as_at_a_start_not_as_after_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        asked = []

        def wait(couriers: int, failures: int, rng: random.Random, lasted_s: float = 0.0,
                 max_s: float = 0.0) -> float:
            asked.append(failures)
            return 0.0
        monkeypatch.setattr(hedge, "wait_s", wait)
        first, second = Platform(), Platform()
        address = Address.parse(await first.start())
        watch = Watch(address, Names((), (), (), ()), 0, lambda kind, rows: None, couriers=1, seed=5)
        running = asyncio.create_task(watch.run())
        await first.wait_watches(1)
        watch.move(Address.parse(await second.start()))
        await second.wait_watches(1)
        running.cancel()
        assert asked == [0, 0]
        await first.stop()
        await second.stop()
    run(scene())


class _OldList(Courier):
    """A courier whose configuration holds an old list."""

    old: tuple[dict[str, object], ...] = ()

    def config(self, platform: Platform) -> str:
        data = json.loads(super().config(platform))
        return json.dumps({**data, "known": {"seq": 0, "whole": True, "hosts": self.old or data["known"]["hosts"]}})


def test_messages_restored_after_a_restart_are_sent_by_the_current_list(tmp_path: Path) -> None:
    async def scene() -> None:
        discovery, gone, there = Platform(), Endpoint(), Endpoint()
        await discovery.start()
        at = await gone.start()
        discovery.list(host("e0", at, health="DRAINING"))
        courier = _OldList(tmp_path, discovery, {**SETTINGS, "discovery": "automatic", "tick_us": 1})
        await courier.start()
        assert await courier.hand_in("m1") == 202  # held: a draining endpoint gets no new message
        await courier.kill()
        courier.old = (host("e0", at),)
        discovery.seq += 1
        discovery.list(host("e1", await there.start()))
        await courier.start()
        await there.wait(1)
        assert gone.calls == []
        await courier.kill()
        await discovery.stop()
    run(scene())
