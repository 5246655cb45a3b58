"""Two events of one call in the same turn of the event loop, on real sockets: the reported outcome, and what
remains of the call.

The endpoint is a plain socket that the test itself reads and writes, in counted turns of the loop.
"""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from endpoint_clients import FakeOwner, item
from loopback import LIMIT_S, run

from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.reuse import REST_S
from wheelstep.interface import Outcome

S = 1_000_000
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class ManualPeer:
    """An endpoint that sends and receives bytes exactly when the test says so."""

    def __init__(self, receives: int = 0, backlog: int = 16) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        if receives:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
        self.listener.setblocking(False)
        self.owner = FakeOwner()
        self.client = EndpointClient(self.owner, S, 10 * S, ())
        self.client.set_address("e0", Address("127.0.0.1", self.listener.getsockname()[1]))
        self.accepted: socket.socket | None = None

    async def accept(self) -> None:
        """Accept the next connection."""
        self.accepted, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), LIMIT_S)

    async def read_until(self, end: bytes = b"\r\n\r\nx") -> bytes:
        """Read until the data ends with `end`."""
        assert self.accepted is not None
        data = b""
        while not data.endswith(end):
            more = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.accepted, 1 << 16), LIMIT_S)
            assert more, data
            data += more
        return data

    def send_bytes(self, data: bytes) -> None:
        """Send in this step of the event loop."""
        assert self.accepted is not None and self.accepted.send(data) == len(data)

    async def call(self, name: str, timeout_us: int = 10 * S) -> None:
        """Start a call, and return once it is written and its task waits for the answer."""
        self.client.call("e0", [item(name)], timeout_us)
        if self.accepted is None:
            await self.accept()
        await self.read_until()
        await asyncio.sleep(0)


async def loop_turns(count: int) -> None:
    """Let the event loop run this many turns."""
    for _ in range(count):
        await asyncio.sleep(0)


@pytest.mark.parametrize("turns", [1, 2])
def test_connection_is_reused_after_a_cancel_that_coincides_with_the_answer(turns: int) -> None:
    """Guards against a connection left in its cancelled state, so that the next call on it ends at once.

    1: cancelled in the turn that reads the answer, before the read; 2: after it, before the call's task has woken
    up.
    """
    async def work() -> None:
        peer = ManualPeer()
        await peer.call("a")
        peer.send_bytes(REPLY)
        await loop_turns(turns)
        peer.client.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
        peer.client._hosts["e0"].idle[-1].idle_since -= REST_S
        peer.client.call("e0", [item("b")], 10 * S)
        await peer.read_until()
        await loop_turns(3)
        peer.send_bytes(REPLY)
        assert (await peer.owner.wait("b")).outcome is Outcome.OK
        assert peer.client.dials == 1
    run(work())


@pytest.mark.parametrize("turns", [0, 1, 2, 3])
@pytest.mark.parametrize("how", ["cancel", "time-out"])
def test_answer_in_the_kernel_is_read_before_a_call_is_cancelled_or_timed_out(how: str, turns: int) -> None:
    """Guards against losing an answer that the kernel has received already.

    0: the event loop had no turn since; for a time-out it is blocked from before the answer until after.
    """
    async def work() -> None:
        peer = ManualPeer()
        await peer.call("a", S // 20 if how == "time-out" else 10 * S)
        peer.send_bytes(REPLY)
        if how == "time-out":
            time.sleep(0.06)
        await loop_turns(turns)
        peer.client.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.OK
    run(work())


@pytest.mark.parametrize(("said", "names", "outcome"), [
    (REPLY[:20], "a", Outcome.OK), (REPLY[:11], "a", Outcome.CANCELLED), (REPLY[:20], "ab", Outcome.CANCELLED),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + REPLY[:20], "a", Outcome.OK), (b"HTTP/1.1 503 No\r\n", "a", Outcome.CANCELLED)])
def test_partial_answer_delivers_only_a_single_cancelled_message(said: bytes, names: str, outcome: Outcome) -> None:
    """Guards against a delivery that is repeated, or assumed, after half an answer: a single message is delivered
    by a first line that says so, several by the whole answer only; all else may have run."""
    async def work() -> None:
        peer = ManualPeer()
        peer.client.call("e0", [item(name) for name in names], 10 * S)
        await peer.accept()
        await peer.read_until(b"x" if len(names) < 2 else b"x\r\n")
        peer.send_bytes(said)
        await loop_turns(5)
        peer.client.cancel("a", 0)
        assert {(await peer.owner.wait(name)).outcome for name in names} == {outcome}
    run(work())


def test_unsent_bytes_of_a_cancelled_call_are_discarded() -> None:
    """Guards against a cancelled call that takes effect later: its last byte is written, but stays in this
    machine's kernel while the endpoint reads nothing."""
    async def work() -> None:
        peer = ManualPeer(receives=4096)
        peer.client.call("e0", [item("a", b"y" * (64 << 10) + b"z")], 10 * S)
        await peer.accept()
        async with asyncio.timeout(LIMIT_S):
            while not peer.owner.written_messages:
                await asyncio.sleep(0)
        peer.client.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is Outcome.CANCELLED
        with pytest.raises(ConnectionResetError):
            await peer.read_until(b"z")
    run(work())


@pytest.mark.parametrize(("size", "outcome"), [(16 << 20, Outcome.NOT_SENT), (64 << 10, Outcome.RESET)])
def test_cancelled_call_to_a_half_closed_endpoint_is_not_written_further(size: int, outcome: Outcome) -> None:
    """Guards against a cancelled call that is still delivered: if its peer has half-closed, asyncio closes a
    transport only after its buffer is written, and the kernel goes on after that."""
    async def work() -> None:
        peer = ManualPeer(receives=4096)
        peer.client.call("e0", [item("a", b"y" * size + b"z")], 10 * S)
        await peer.accept()
        await loop_turns(20)
        assert peer.accepted is not None and peer.owner.written_messages == (outcome is Outcome.RESET)
        peer.accepted.shutdown(socket.SHUT_WR)
        await loop_turns(20)
        peer.client.cancel("a", 0)
        assert (await peer.owner.wait("a")).outcome is outcome
        with pytest.raises(ConnectionResetError):
            await peer.read_until(b"z")
    run(work())
