"""A connection ends, or receives bytes, while it idles or is chosen for the next call.

Guards messages that must not be repeated: written to a connection that its endpoint has closed, they fail
needlessly.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import replace

import pytest
from endpoint_clients import item
from loopback import LIMIT_S, run
from test_crossings_calls import REPLY, ManualPeer, loop_turns

from wheelstep.courier.connection import Connection
from wheelstep.courier.pool import Host
from wheelstep.interface import Outcome

S = 1_000_000
MAX_IDLE_S = 8.5  # the endpoint closes after 10 s, less the pool's margin


class IdlePeer(ManualPeer):
    """An endpoint with one idle connection."""

    async def idle_after_call(self, name: str, for_s: float, once: bool = False) -> Connection:
        """Carry a call, after which its connection appears to have idled for `for_s`."""
        await self.complete_call(name, once)
        connection = self.host.idle[-1]
        connection.idle_since -= for_s
        return connection

    async def complete_call(self, name: str, once: bool = False, reply: bytes = REPLY) -> None:
        """Carry a call, on a new connection if the client opens one."""
        dials = self.client.dials
        self.client.call("e0", [replace(item(name), once=once)], 10 * S)
        await loop_turns(3)
        if self.client.dials > dials:
            await self.accept()
        await self.read_until()
        self.send_bytes(reply)
        assert (await self.owner.wait(name)).outcome is Outcome.OK

    @property
    def safe_idle_s(self) -> float:
        """How long a connection may idle before a message that must not be repeated."""
        return self.host.reuse.safe_idle_s(time.monotonic())

    @property
    def host(self) -> Host:
        """The pool's entry for the endpoint."""
        return self.client._hosts["e0"]

    def act(self, what: str) -> None:
        """End the connection, reset it, or send half a line, in this step."""
        assert self.accepted is not None
        if what == "half a line":
            self.send_bytes(REPLY[:9])
            return
        if what == "reset":
            self.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.accepted.close()


@pytest.mark.parametrize("turns", [0, 1, 2, 5])
@pytest.mark.parametrize("what", ["end", "reset", "half a line"])
def test_connection_with_an_unread_end_or_bytes_is_not_chosen(what: str, turns: int) -> None:
    """Guards against a call written to a connection that has ended or received unrequested bytes, whether or not
    the event loop has read that yet. An end also teaches how long one may idle."""
    async def work() -> None:
        peer = IdlePeer()
        await peer.idle_after_call("a", 1.0)
        peer.act(what)
        await loop_turns(turns)
        await peer.complete_call("b")
        assert peer.client.dials == 2
        assert len(peer.host.idle) == (0 if what == "half a line" else 1)  # bytes: one call for each connection
        assert (peer.safe_idle_s < 1.0) is (what != "half a line")
    run(work())


@pytest.mark.parametrize(("once", "idled_s", "learned_s", "dials"), [
    (True, 0.9, 0, 3), (True, 0.3, 0, 2), (False, 0.9, 0, 2), (True, 0.9, 10, 2), (True, 5, 100, 2), (True, 9, 100, 3)])
def test_early_end_limits_the_idle_time_of_connections_for_unrepeatable_messages(
        once: bool, idled_s: float, learned_s: float, dials: int) -> None:
    """Guards against unrepeatable messages on connections that the endpoint is about to close. The limit is half of
    the observed idle time (about 1 s) plus a tenth of the time since, at most the settings' 10 s less a margin."""
    async def work() -> None:
        peer = IdlePeer()
        await peer.idle_after_call("a", 1.0)
        peer.act("end")
        await loop_turns(3)
        await peer.idle_after_call("b", idled_s)
        peer.host.reuse._learned_at -= learned_s  # as if that time had passed
        await peer.idle_after_call("c", 0, once)
        assert peer.client.dials == dials
    run(work())


def test_end_after_an_answer_or_in_an_outage_does_not_limit_the_idle_time() -> None:
    """Guards against needless handshakes: a closure because of the last answer, or by an outage, says nothing about
    idle time."""
    async def work() -> None:
        peer = IdlePeer()
        (await peer.idle_after_call("a", 0)).last_call_s = 10.0
        peer.act("end")
        await loop_turns(3)
        await peer.idle_after_call("b", 1.0)
        assert peer.safe_idle_s == MAX_IDLE_S
        peer.act("reset")
        peer.listener.close()
        await loop_turns(3)
        peer.client.call("e0", [item("c")], 10 * S)
        assert (await peer.owner.wait("c")).outcome is Outcome.CONNECT_FAILED
        assert peer.safe_idle_s == MAX_IDLE_S
    run(work())


@pytest.mark.parametrize("what", ["end", "reset", "half a line"])
def test_connection_that_ends_during_the_journal_sync_is_not_written_to(what: str) -> None:
    """Guards against a call written to a connection that ended after it was chosen, during the journal's sync."""
    async def work() -> None:
        peer, asked, synced = IdlePeer(), asyncio.Event(), asyncio.Event()
        await peer.idle_after_call("a", 1.0)

        async def wait_durable() -> bool:
            asked.set()
            await synced.wait()
            return True
        peer.owner.syncs, peer.owner.wait_durable = True, wait_durable  # type: ignore[misc, method-assign]
        peer.client.call("e0", [replace(item("b"), once=True)], 10 * S)
        await asyncio.wait_for(asked.wait(), LIMIT_S)
        peer.act(what)
        synced.set()
        assert (await peer.owner.wait("b")).outcome is Outcome.NOT_SENT
        assert peer.owner.written_messages == 1
    run(work())


def test_connection_chosen_but_not_written_to_keeps_its_idle_time() -> None:
    """Guards against a connection that counts as just used though nothing was written, and so idles for longer than
    its endpoint allows."""
    async def work() -> None:
        peer = IdlePeer()
        connection = await peer.idle_after_call("a", 5.0)
        since = connection.idle_since
        peer.owner.barred.add("b")
        peer.client.call("e0", [item("b")], 10 * S)
        assert (await peer.owner.wait("b")).outcome is Outcome.NOT_SENT
        assert peer.host.idle == [connection] and connection.idle_since == since
    run(work())
