"""A returning destination is not pushed over, whatever its outage was like and whatever else happened in it.

The scenes of one process are played in virtual time by seed; `World.worst` counts as the rule does, in each span of
`overload_for_us` after the return. The last tests play a courier's process.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import SETTINGS, Courier, run
from loopback_peers import Call, Reply, host
from restart import Client, PlatformWithEndpoints
from returning_scene import COLD_FROM, COLD_US, MULTIPLE, WINDOW_US, Trouble, worst_window
from returning_world import S, World

from wheelstep.policy.outage import MIN_SPAN_US, OutageEvidence

SEEDS = (100, 101, 102)
KINDS = ("refused", "reset", "errors", "silent", "hung", "shut", "most")
EVENTS = ("kill", "stop", "upgrade", "reload", "relist", "rename", "drain")


def check(trouble: Trouble, *seeds: int, **scene: Any) -> None:
    """Play a scene with some seeds, and require that the endpoint is never overloaded."""
    for seed in seeds:
        ratio, calls, allowed, begin_s = World(seed, trouble, **scene).run().worst()
        assert ratio <= 1, f"seed {seed}: {calls} calls from {begin_s:.2f} s after the return, {allowed:.1f} allowed"


@pytest.mark.parametrize("seconds", [0.5, 1, 2, 3, 4.5, 6, 20])
@pytest.mark.parametrize("kind", KINDS)
def test_a_destination_that_was_out_returns_by_a_ramp(kind: str, seconds: float) -> None:
    """Guards against an outage of less than two promises that passes for bad luck, so that all goes out at once."""
    check(Trouble(kind, seconds), *SEEDS)


@pytest.mark.parametrize("seconds", [0.5, 1, 3])
@pytest.mark.parametrize("kind", ["refused", "reset"])
@pytest.mark.parametrize("scene", [
    {"queue": 8}, {"queue": 8, "servers": 12, "slots": 240}, {"endpoints": 3, "slots": 180, "queue": 8}])
def test_no_endpoint_of_a_large_destination_gets_what_is_held_back(
        kind: str, seconds: float, scene: dict[str, Any]) -> None:
    """Guards against a backlog that goes out at the end of the ramp, or to the endpoint with the fewest failures."""
    check(Trouble(kind, seconds), *SEEDS, **scene)


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("kind", ["refused", "silent"])
def test_what_happens_in_an_outage_does_not_end_it(kind: str, event: str) -> None:
    """Guards against a new process, new settings, or an endpoint listed anew that knows nothing of the outage."""
    for seconds, event_at in ((1, 0.8), (3, 0.5), (6, 0.9)):
        check(Trouble(kind, seconds, event=event, event_at=event_at), *SEEDS, queue=8)


@pytest.mark.parametrize("event", ["relist", "rename"])
def test_a_destination_that_is_listed_anew_in_its_outage_ramps_up(event: str) -> None:
    """Guards against an endpoint that leaves the list in an outage, and returns, maybe under another name, as well."""
    for seconds in (3, 6, 10):
        check(Trouble("silent", seconds, event=event, event_at=0.8), *SEEDS, servers=12, slots=240, queue=8)


@pytest.mark.parametrize("scene", [{"senders": 3, "slots": 20}, {"senders": 40, "servers": 30, "slots": 20}])
def test_several_senders_together_do_not_push_it_over(scene: dict[str, Any]) -> None:
    """Guards against senders that each see few failures."""
    for seconds in (3, 6):
        check(Trouble("refused", seconds), *SEEDS, queue=8, **scene)


def test_a_large_fleet_ramps_up_after_a_destination_was_shut() -> None:
    """Guards against couriers that take a shut destination for one with a full table, and return to it all at once."""
    for seconds in (10, 20):
        check(Trouble("shut", seconds), *SEEDS, senders=200, servers=30, slots=10, queue=8)


def test_one_endpoint_of_many_ramps_up_alone() -> None:
    """Guards against a ramp for all where one was out."""
    trouble = Trouble("reset", 3, one_endpoint=True)
    check(trouble, *SEEDS, endpoints=3, slots=180)
    world = World(SEEDS[0], trouble, endpoints=3, slots=180, load=0.6).run()
    assert world.delivered() > 0.95 * world.offered


@pytest.mark.parametrize("scene", [{}, {"servers": 12, "slots": 240}, {"endpoints": 3, "slots": 180}])
def test_an_endpoint_that_resets_one_call_in_ten_is_not_ramped_up(scene: dict[str, Any]) -> None:
    """Guards against a slow start after failures that are bad luck."""
    for seed in SEEDS:
        world = World(seed, Trouble("unlucky", 20, share=0.1), queue=8, load=0.75, **scene)
        world.run()
        assert world.ramps == 0 and world.delivered() > 0.97 * world.offered


def test_an_endpoint_that_resets_three_calls_in_ten_keeps_its_traffic() -> None:
    """Guards against failures of a minority of calls that pass for an outage, which means that most calls fail."""
    delivered = offered = 0
    for seed in range(100, 110):
        world = World(seed, Trouble("unlucky", 20, share=0.3), queue=8, load=0.75).run()
        delivered += world.delivered()
        offered += world.offered
    assert delivered > 0.9 * offered


@pytest.mark.parametrize("scene", [{}, {"servers": 12, "slots": 240}, {"endpoints": 3, "slots": 180}])
def test_connections_that_are_lost_at_one_moment_are_no_outage(scene: dict[str, Any]) -> None:
    """Guards against a slow start of an endpoint that answers all calls but those that were out at one moment."""
    for seed in SEEDS:
        world = World(seed, Trouble("dropped", 1), queue=8, **scene)
        world.run()
        assert world.ramps == 0


@pytest.mark.parametrize("kind,scene", [("hung", {"servers": 9, "slots": 120}),
                                        ("hung", {"servers": 9, "slots": 40, "senders": 3}),
                                        ("silent", {"servers": 12, "slots": 240})])
def test_an_endpoint_whose_calls_are_overdue_together_ramps_up(kind: str, scene: dict[str, Any]) -> None:
    """Guards against silence that passes for calls lost at one moment, since all are found overdue at once."""
    for seed in SEEDS:
        world = World(seed, Trouble(kind, 3), queue=8, **scene)
        world.run()
        assert world.ramps >= len(world.owners)


def test_one_slow_answer_is_no_outage() -> None:
    """Guards against a slow start after a call that merely took long, whether or not others were out."""
    for load in (0.05, 0.75):
        world = World(1, Trouble("unlucky", 20, share=0.0), load=load, slow_us=4 * S)
        world.run()
        assert world.ramps == 0


def test_four_failures_in_a_row_show_an_outage_and_one_in_ten_does_not() -> None:
    evidence = OutageEvidence()
    for number in range(400):
        if number % 10:
            evidence.record_success()
        else:
            evidence.record_failures(number * S)
        assert not evidence.conclusive
    fresh = OutageEvidence()
    for number in range(4):
        assert not fresh.conclusive
        fresh.record_failures(number * S)
    assert fresh.conclusive


def test_failures_show_an_outage_only_once_they_span_some_time() -> None:
    evidence = OutageEvidence()
    evidence.record_failures(S, 20)
    assert not evidence.conclusive
    evidence.record_failures(S + MIN_SPAN_US - 1)
    assert not evidence.conclusive
    evidence.record_failures(S + MIN_SPAN_US)
    assert evidence.conclusive


LOAD_PER_S, CAPACITY_PER_S, OUTAGE_S = 18.0, 20.0, 1.2
RULES = {"cold_us": COLD_US, "cold_from": COLD_FROM, "fall_multiple": MULTIPLE, "overload_for_us": WINDOW_US}


class ReturningPlatform(PlatformWithEndpoints):
    """The platform with one endpoint, which answers 500 while it is `down`."""

    def __init__(self) -> None:
        super().__init__(1)
        self.down = False
        self.calls_at: list[float] = []

    async def _reply(self, number: int, call: Call) -> Reply | None:
        self.calls_at.append(time.monotonic())
        return (500, {}, b"") if self.down else await super()._reply(number, call)


async def kill(courier: Courier, platform: ReturningPlatform) -> None:
    """Kill and restart the courier."""
    await courier.kill()
    await courier.start()


async def terminate(courier: Courier, platform: ReturningPlatform) -> None:
    """Restart the courier in order, without its 3 s of shutting down: the outage would be over."""
    courier.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    await kill(courier, platform)


async def reload(courier: Courier, platform: ReturningPlatform) -> None:
    """Have the courier read its settings again."""
    courier.process.send_signal(signal.SIGHUP)


async def relist(courier: Courier, platform: ReturningPlatform) -> None:
    """Take the endpoint from the list, and list it under another name."""
    address = platform.endpoints[0].address
    platform.push(host("e0", address, health="DELETED"), host("e0-new", address))


@pytest.mark.parametrize("event", [kill, terminate, reload, relist])
def test_a_courier_ramps_up_whatever_crosses_the_outage(
        tmp_path: Path, event: Callable[[Courier, ReturningPlatform], Awaitable[None]]) -> None:
    """Guards against a short outage that a process, its settings or the list leave behind."""
    async def scene() -> None:
        async with ReturningPlatform() as platform:
            platform.set_health("SERVING")
            caps = {**SETTINGS["caps"], "open_cap": 300}
            settings = {**SETTINGS, "caps": caps, "rules": {**SETTINGS["rules"], **RULES},
                        "specifics": {**SETTINGS["specifics"], "per_call": [1], "calls_out": 40}}
            courier = Courier(tmp_path, platform, settings)
            await courier.start()
            traffic = asyncio.create_task(hand_in_steadily(courier))
            await asyncio.sleep(4.0)
            platform.down = True
            await asyncio.sleep(OUTAGE_S / 2)
            await event(courier, platform)
            await asyncio.sleep(OUTAGE_S / 2)
            platform.down = False
            back = time.monotonic()
            await asyncio.sleep(5.0)
            traffic.cancel()
            await courier.kill()
        calls = [(int((at - back) * S), True) for at in platform.calls_at if at >= back]
        ratio, count, allowed, begin_s = worst_window(calls, 0, CAPACITY_PER_S, share)
        assert calls, "nothing was sent after the return"
        assert ratio <= 1, f"{count} calls from {begin_s:.2f} s after the return, {allowed:.1f} allowed"
    run(scene())


def share(at_us: int) -> float:
    """Return the share of its capacity that the endpoint has so long after its return."""
    return min(1.0, COLD_FROM + (1 - COLD_FROM) * at_us / COLD_US)


async def hand_in_steadily(courier: Courier) -> None:
    """Hand messages in at an even rate, on a new connection after each that fails."""
    client, number = Client(courier, 20_000, classes=("ordered",)), 0
    while True:
        number += 1
        try:
            await client.hand_in(f"m{number}")
        except (OSError, asyncio.IncompleteReadError):
            client = Client(courier, 20_000, classes=("ordered",))
        await asyncio.sleep(1 / LOAD_PER_S)
