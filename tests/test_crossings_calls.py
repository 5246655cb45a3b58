"""Two events of one call in the same turn of the loop, on real sockets: which outcome is told, and what is left of it.

The endpoint is a plain socket that the test itself reads and writes, in steps of the loop that it counts.
"""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from loopback import LIMIT_S, run
from test_outlet import Owner, item

from wheelstep.courier.config import Address
from wheelstep.courier.outlet import Outlet
from wheelstep.interface import Outcome

S = 1_000_000
FINE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """An endpoint whose bytes go out and come in just when the test says so."""

    def __init__(self, receives: int = 0, backlog: int = 16) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        if receives:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
        self.listener.setblocking(False)
        self.owner = Owner()
        self.outlet = Outlet(self.owner, S, 10 * S, ())
        self.outlet.list("e0", Address("127.0.0.1", self.listener.getsockname()[1]))
        self.link: socket.socket | None = None

    async def accept(self) -> None:
        self.link, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), LIMIT_S)

    async def reads(self, end: bytes = b"\r\n\r\nx") -> bytes:
        assert self.link is not None
        data = b""
        while not data.endswith(end):
            more = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.link, 1 << 16), LIMIT_S)
            assert more, data
            data += more
        return data

    def says(self, data: bytes) -> None:
        """In this very step."""
        assert self.link is not None and self.link.send(data) == len(data)

    async def call(self, name: str, timeout_us: int = 10 * S) -> None:
        """It is written, and its task waits for the answer."""
        self.outlet.call("e0", [item(name)], timeout_us)
        if self.link is None:
            await self.accept()
        await self.reads()
        await asyncio.sleep(0)


async def steps(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


@pytest.mark.parametrize("turns", [1, 2])
def test_a_connection_whose_call_was_given_up_as_its_answer_came_carries_the_next(turns: int) -> None:
    """1: given up in the turn that reads the answer, before that; 2: after that, before the call's task has woken."""
    async def work() -> None:
        peer = Peer()
        await peer.call("a")
        peer.says(FINE)
        await steps(turns)
        peer.outlet.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
        peer.outlet.call("e0", [item("b")], 10 * S)
        await peer.reads()
        await steps(3)
        peer.says(FINE)
        assert (await peer.owner.wait("b")).outcome is Outcome.OK
        assert peer.outlet.dials == 1
    run(work())


@pytest.mark.parametrize("turns", [0, 1, 2, 3])
@pytest.mark.parametrize("how", ["cancel", "time-out"])
def test_an_answer_that_the_system_has_got_is_read_before_a_call_is_given_up(how: str, turns: int) -> None:
    """0: the loop has had no turn since; for a time-out it stands still from before the answer until after."""
    async def work() -> None:
        peer = Peer()
        await peer.call("a", S // 20 if how == "time-out" else 10 * S)
        peer.says(FINE)
        if how == "time-out":
            time.sleep(0.06)
        await steps(turns)
        peer.outlet.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
    run(work())


@pytest.mark.parametrize(("said", "names", "outcome"), [
    (FINE[:20], "a", Outcome.OK), (FINE[:11], "a", Outcome.CANCELLED), (FINE[:20], "ab", Outcome.CANCELLED),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + FINE[:20], "a", Outcome.OK), (b"HTTP/1.1 503 No\r\n", "a", Outcome.CANCELLED)])
def test_half_an_answer_of_a_call_that_is_given_up(said: bytes, names: str, outcome: Outcome) -> None:
    """A message alone is delivered by a first line that says so, several by the whole answer; all else may have run."""
    async def work() -> None:
        peer = Peer()
        peer.outlet.call("e0", [item(name) for name in names], 10 * S)
        await peer.accept()
        await peer.reads(b"x" if len(names) < 2 else b"x\r\n")
        peer.says(said)
        await steps(5)
        peer.outlet.cancel("a", 0)
        assert {(await peer.owner.wait(name)).outcome for name in names} == {outcome}
    run(work())


def test_what_the_system_still_holds_of_a_call_given_up_never_comes() -> None:
    """Its last byte is written, and stays on this side while the endpoint reads nothing."""
    async def work() -> None:
        peer = Peer(receives=4096)
        peer.outlet.call("e0", [item("a", b"y" * (64 << 10) + b"z")], 10 * S)
        await peer.accept()
        async with asyncio.timeout(LIMIT_S):
            while not peer.owner.whole:
                await asyncio.sleep(0)
        peer.outlet.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.CANCELLED
        with pytest.raises(ConnectionResetError):
            await peer.reads(b"z")
    run(work())


@pytest.mark.parametrize(("size", "outcome"), [(16 << 20, Outcome.NOT_SENT), (64 << 10, Outcome.RESET)])
def test_a_call_whose_endpoint_stops_sending_is_not_written_on_once_it_is_given_up(size: int, outcome: Outcome) -> None:
    """At its peer's end asyncio closes a transport only once its buffer is written; the system goes on after that."""
    async def work() -> None:
        peer = Peer(receives=4096)
        peer.outlet.call("e0", [item("a", b"y" * size + b"z")], 10 * S)
        await peer.accept()
        await steps(20)
        assert peer.link is not None and peer.owner.whole == (outcome is Outcome.RESET)
        peer.link.shutdown(socket.SHUT_WR)
        await steps(20)
        peer.outlet.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is outcome
        with pytest.raises(ConnectionResetError):
            await peer.reads(b"z")
    run(work())
