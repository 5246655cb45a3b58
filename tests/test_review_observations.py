"""Faults that the review saw beside its cases, each with the way in which it showed."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Sequence
from pathlib import Path

import pytest
from endpoint_clients import FakeOwner, item
from helpers import SAFE
from loopback import Call, Reply, run
from test_standalone import StandaloneProcess

from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.endpoints import Endpoints
from wheelstep.standalone.front import is_mirror_copy, mirror_name

S = 1_000_000
SETTINGS = api.Settings(classes=(SAFE,), slots=4, hold_limit=10)


def test_an_endpoint_sees_the_end_of_a_call_before_its_outcome_counts() -> None:
    """Guards against a settle period that begins before the connection is closed: a key was called 0.233 s after a call
    had broken, 0.25 s allowed (test_crossings_property, seed 4)."""
    class Owner(FakeOwner):
        peer: socket.socket
        closed_at_outcome = False

        def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
            self.peer.setblocking(False)
            try:
                self.closed_at_outcome = not self.peer.recv(1)
            except OSError as error:  # BlockingIOError: still open, and nothing to read
                self.closed_at_outcome = isinstance(error, ConnectionResetError)
            super().ended(endpoint, results)

    async def play() -> None:
        owner, loop = Owner(), asyncio.get_running_loop()
        client = EndpointClient(owner, S, 10 * S, ("x0", "x1"))
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            client.set_address("e0", Address(*listener.getsockname()))
            client.call("e0", [item("slow")], S // 5)
            owner.peer, _ = await loop.sock_accept(listener)
            owner.peer.setblocking(False)
            assert await loop.sock_recv(owner.peer, 65536)
            await owner.wait("slow")
            owner.peer.close()
        assert owner.closed_at_outcome
    run(play())


def test_a_wait_that_is_told_by_an_endpoint_which_has_left_binds_its_destination() -> None:
    """Guards against calls to a destination that asked to wait in answer to its last call of a replaced endpoint
    (FINDINGS 41)."""
    class Journal:
        marks: dict[str, object] = {}

    endpoints = Endpoints(SETTINGS, Journal(), lambda event: None)  # type: ignore[arg-type]
    for name in ("old", "new"):
        endpoints.add(api.EndpointInfo(name, 7))
    endpoints.remove("old")
    endpoints.apply_wait("old", 10.0, 2.0)
    assert not endpoints.may_write("new", 11.9) and endpoints.may_write("new", 12.0)
    endpoints.apply_wait("nobody", 20.0, 2.0)
    assert endpoints.may_write("new", 20.0)


def test_a_message_that_its_partner_calls_over_is_not_reported_as_delivered(tmp_path: Path) -> None:
    """Guards against a 410, after which a message has never run, told as a delivery and to nobody (FINDINGS 37)."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            async def over(call: Call) -> Reply:
                return 410, {}, b""
            s.alpha.reply = over
            assert await s.post("m1", "/a/1") == 202
            assert (await s.ask("GET", "/messages/m1?wait=20"))[1]["end"] == "failed"
            await s.stop(signal.SIGTERM)
    run(scenario())


def test_a_message_that_its_client_names_mirror_is_reported_to_it(tmp_path: Path) -> None:
    """Guards against a name of a client's that is taken for the name of a mirror's copy (FINDINGS 38)."""
    async def scenario() -> None:
        async with StandaloneProcess(tmp_path) as s:
            assert await s.post("mirror", "/b/1") == 202
            assert (await s.ask("GET", "/messages/mirror?wait=20"))[1]["end"] == "delivered"
            await s.stop(signal.SIGTERM)
    run(scenario())


@pytest.mark.parametrize("name", ["mirror", "one~mirror", "m", "one~m", "mirror~m"])
def test_no_name_of_a_message_is_that_of_a_copy(name: str) -> None:
    assert not is_mirror_copy(name) and is_mirror_copy(mirror_name(name))
    assert mirror_name("one~m") == "one~m~mirror"  # as partners have seen it so far
