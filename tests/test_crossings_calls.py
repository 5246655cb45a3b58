"""Two events of one call in the same turn of the loop, on real sockets: which outcome is told, and what is left of it.

The endpoint is a plain socket that the test itself reads and writes, in steps of the loop that it counts.
"""

from __future__ import annotations

import asyncio
import socket

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

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
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

    async def call(self, name: str) -> None:
        """It is written, and its task waits for the answer."""
        self.outlet.call("e0", [item(name)], 10 * S)
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
