"""A connection ends, or says something, while it idles or is chosen for the next call.

Guards messages that may not be repeated: written to a connection that its endpoint has given up, they fail for nothing.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import replace

import pytest
from loopback import LIMIT_S, run
from test_crossings_calls import FINE, Peer, steps
from test_outlet import item

from wheelstep.courier.connection import Connection
from wheelstep.courier.pool import Host
from wheelstep.interface import Outcome

S = 1_000_000


class Resting(Peer):
    """An endpoint to which one connection rests."""

    async def rest(self, name: str, for_s: float, once: bool = False) -> Connection:
        """Carry a call; its connection then has idled for so long."""
        dials = self.outlet.dials
        self.outlet.call("e0", [replace(item(name), once=once)], 10 * S)
        await steps(3)
        if self.outlet.dials > dials:
            await self.accept()
        await self.reads()
        self.says(FINE)
        assert (await self.owner.wait(name)).outcome is Outcome.OK
        link = self.host.idle[-1]
        link.idle_since -= for_s
        return link

    @property
    def host(self) -> Host:
        return self.outlet._hosts["e0"]

    def does(self, what: str) -> None:
        assert self.link is not None
        if what == "half a line":
            self.says(FINE[:9])
            return
        if what == "reset":
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.link.close()


@pytest.mark.parametrize("turns", [0, 1, 2, 5])
@pytest.mark.parametrize("what", ["end", "reset", "half a line"])
def test_what_lies_in_the_system_when_a_connection_is_chosen(what: str, turns: int) -> None:
    """Whether the loop has read it or not: the call goes out on a new one. An end teaches how long one may idle."""
    async def work() -> None:
        peer = Resting()
        await peer.rest("a", 1.0)
        peer.does(what)
        await steps(turns)
        await peer.rest("b", 0)
        assert peer.outlet.dials == 2 and len(peer.host.idle) == 1
        assert (peer.host.safe_s < 1.0) is (what != "half a line")
    run(work())


@pytest.mark.parametrize(("once", "idled_s", "learned_s", "dials"), [
    (True, 0.9, 0, 3), (True, 0.1, 0, 2), (False, 0.9, 0, 2), (True, 0.9, 10, 2), (True, 5, 100, 2), (True, 9, 100, 3)])
def test_an_early_end_lowers_the_age_up_to_which_what_may_not_be_repeated_is_written(
        once: bool, idled_s: float, learned_s: float, dials: int) -> None:
    """Half of what was seen (about 1 s), and a tenth of the time since; the settings' 10 s less a margin at most."""
    async def work() -> None:
        peer = Resting()
        await peer.rest("a", 1.0)
        peer.does("end")
        await steps(3)
        await peer.rest("b", idled_s)
        peer.host.learned_s -= learned_s
        await peer.rest("c", 0, once)
        assert peer.outlet.dials == dials
    run(work())


def test_an_end_that_belongs_to_an_answer_or_to_an_outage_teaches_nothing() -> None:
    async def work() -> None:
        peer = Resting()
        (await peer.rest("a", 0)).spent_s = 10.0
        peer.does("end")
        await steps(3)
        await peer.rest("b", 1.0)
        assert peer.host.safe_s > 10
        peer.does("reset")
        peer.listener.close()
        await steps(3)
        peer.outlet.call("e0", [item("c")], 10 * S)
        assert (await peer.owner.wait("c")).outcome is Outcome.CONNECT_FAILED
        assert peer.host.safe_s > 10
    run(work())


@pytest.mark.parametrize("what", ["end", "reset", "half a line"])
def test_a_connection_that_ends_while_an_attempt_is_made_safe_is_not_written_to(what: str) -> None:
    async def work() -> None:
        peer, asked, synced = Resting(), asyncio.Event(), asyncio.Event()
        await peer.rest("a", 1.0)

        async def safe() -> bool:
            asked.set()
            await synced.wait()
            return True
        peer.owner.syncs, peer.owner.safe = True, safe  # type: ignore[misc, method-assign]
        peer.outlet.call("e0", [replace(item("b"), once=True)], 10 * S)
        await asyncio.wait_for(asked.wait(), LIMIT_S)
        peer.does(what)
        synced.set()
        assert (await peer.owner.wait("b")).outcome is Outcome.NOT_SENT
        assert peer.owner.whole == 1
    run(work())


def test_a_connection_that_was_chosen_and_not_written_to_goes_on_idling() -> None:
    """Once, it counted as used: it could outlive its endpoint's patience."""
    async def work() -> None:
        peer = Resting()
        link = await peer.rest("a", 5.0)
        since = link.idle_since
        peer.owner.barred.add("b")
        peer.outlet.call("e0", [item("b")], 10 * S)
        assert (await peer.owner.wait("b")).outcome is Outcome.NOT_SENT
        assert peer.host.idle == [link] and link.idle_since == since
    run(work())
