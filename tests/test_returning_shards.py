"""Couriers that share destinations as shards: a destination that was out is not pushed over when it is back cold.

Three real couriers and a control machine; the destination's home makes its calls, also those of messages that clients
hand in elsewhere.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from collections import deque
from pathlib import Path
from typing import Any

import pytest
from returning_scene import S, worst_window

from wheelstep.rehearsal.scale.fleet import Fleet, reserve_base
from wheelstep.rehearsal.scale.nursery import ChildProcess
from wheelstep.rehearsal.scale.plan import Plan
from wheelstep.rehearsal.scale.play import raise_descriptor_limit, with_addresses
from wheelstep.rehearsal.scale.settings import courier_settings
from wheelstep.rehearsal.scale.standin import StandinPartners, open_listener
from wheelstep.rehearsal.standins.wire import Request, Server

DESTINATION, COURIERS, WAIT_S = 3, 3, 40.0
SERVERS, SERVICE_S, LOAD = 3, 0.15, 0.92
CAPACITY_PER_S, QUEUE = SERVERS / SERVICE_S, 8 * SERVERS
RULES = courier_settings(COURIERS)["rules"]
BEFORE_S, OUTAGE_S, AFTER_S = 6.0, 1.2, 8.0
PLAN = Plan(seed=7, hollow=0, real=COURIERS, destinations=8, regions=1, zones=1, control=1, shards=16, rate=0.0,
            hosts=1, base=16, epoch_s=0.0, boot=0, links="", probe_us=150_000, down_share=0.0, changes_per_s=0.0)


class SickPartner:
    """The partners; one has an outage of a kind and is cold after it. It serves some calls at once, and queues some."""

    def __init__(self, kind: str) -> None:
        self.kind, self.down = kind, False
        self.calls_at_s: list[float] = []
        self.back_s = 0.0
        self.rng = random.Random(1)
        self._free, self._waiting = SERVERS, deque[Connection]()

    def share(self, at_us: int) -> float:
        """Return the share of its capacity that it has so long after its return."""
        return min(1.0, RULES["cold_from"] + (1 - RULES["cold_from"]) * at_us / RULES["cold_us"])

    def call(self, connection: Connection) -> None:
        """Take a call."""
        self.calls_at_s.append(time.monotonic())
        if self.down and (self.kind != "most" or self.rng.random() < 0.75):
            if self.kind == "errors":
                connection.answer(500)
            else:
                connection.reset()
        elif self._free:
            self._serve(connection)
        elif len(self._waiting) < QUEUE:
            self._waiting.append(connection)
        else:
            connection.answer(503)

    def _serve(self, connection: Connection) -> None:
        self._free -= 1
        share = self.share(int((time.monotonic() - self.back_s) * S)) if self.back_s else 1.0
        delay_s = SERVICE_S * self.rng.uniform(0.7, 1.3) / share
        asyncio.get_running_loop().call_later(delay_s, self._served, connection)

    def _served(self, connection: Connection) -> None:
        self._free += 1
        connection.answer(200)
        if self._waiting:
            self._serve(self._waiting.popleft())


class Connection(Server):
    """A connection from a courier to one destination."""

    def __init__(self, partners: StandinPartners, sick: SickPartner) -> None:
        super().__init__()
        self._partners, self._sick = partners, sick
        self._destination = -1

    def on_connect(self) -> None:
        """Find the destination by the local address."""
        assert self.transport is not None
        self._destination = self._partners.destination(self.transport.get_extra_info("sockname")[0])

    def on_request(self, request: Request) -> None:
        """Answer as the destination does."""
        if self._destination == DESTINATION:
            self._sick.call(self)
        else:
            self.answer(200)

    def reset(self) -> None:
        """Reset the connection."""
        assert self.transport is not None
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class LocalPartners:
    """The partners in this process, in place of one of their own."""

    pid = 0

    def __init__(self, port: int) -> None:
        self._port = port

    async def read_answer(self) -> dict[str, Any]:
        """Return the port."""
        return {"port": self._port}

    async def stop(self, within_s: float = 0.0) -> None:
        """End nothing."""


class FleetWithPartners(Fleet):
    """A fleet whose partners are the test's."""

    partners: LocalPartners

    async def _start_child(self, module: str, *args: str) -> ChildProcess:
        if module == "standin":
            return self.partners  # type: ignore[return-value]
        return await super()._start_child(module, *args)


async def play(kind: str, folder: Path) -> SickPartner:
    """Start the fleet, play the outage, and return the partner with the calls that it got."""
    raise_descriptor_limit()
    base, lock = reserve_base()
    sick = SickPartner(kind)
    with lock:
        fleet = FleetWithPartners(with_addresses(PLAN, base, folder), folder)
        partners, listener = StandinPartners(fleet.plan), open_listener()
        server = await asyncio.get_running_loop().create_server(lambda: Connection(partners, sick), sock=listener)
        fleet.partners = LocalPartners(listener.getsockname()[1])
        try:
            await fleet.start_services()
            await fleet.start_couriers(WAIT_S)
            traffic = asyncio.create_task(submit_steadily(fleet))
            await asyncio.sleep(BEFORE_S)
            sick.down = True
            await asyncio.sleep(OUTAGE_S)
            sick.down, sick.back_s = False, time.monotonic()
            await asyncio.sleep(AFTER_S)
            traffic.cancel()
        finally:
            assert await fleet.close() == []
            server.close()
    return sick


async def submit_steadily(fleet: Fleet) -> None:
    """Submit messages for the destination at random couriers."""
    rng = random.Random(2)
    while True:
        fleet.clients.submit(DESTINATION)
        await asyncio.sleep(rng.expovariate(LOAD * CAPACITY_PER_S))


@pytest.mark.parametrize("kind", ["errors", "reset", "most"])
def test_the_home_of_a_destination_ramps_up_after_its_outage(kind: str, tmp_path: Path) -> None:
    """Guards against a home that takes an outage for bad luck, and sends what all couriers were handed at once."""
    sick = asyncio.run(asyncio.wait_for(play(kind, tmp_path), 120))
    calls = [(int((at_s - sick.back_s) * S), True) for at_s in sick.calls_at_s if at_s >= sick.back_s]
    before = [at_s for at_s in sick.calls_at_s if at_s < sick.back_s - OUTAGE_S]
    assert len(before) > BEFORE_S * CAPACITY_PER_S / 2, "the messages did not come to the destination"
    ratio, count, allowed, begin_s = worst_window(calls, 0, CAPACITY_PER_S, sick.share)
    assert calls, "nothing was sent after the return"
    assert ratio <= 1, f"{count} calls from {begin_s:.2f} s after the return, {allowed:.1f} allowed"
