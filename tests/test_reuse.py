"""Which connection carries the next call: the rules alone, then a client with an endpoint on loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest
from loopback import run
from test_crossings_calls import REPLY
from test_crossings_connections import IdlePeer

from wheelstep.courier.connection import Connection
from wheelstep.courier.reuse import LONG_REST_S, REST_S, SINGLE_USE_S, RestPeriod, ReuseRules

MAX_IDLE_S = 8.0
NOW_S = 1_000.0


def chosen(idled_s: Sequence[float], calls: int = 1, once: bool = False, rules: ReuseRules | None = None) -> int | None:
    """Return the index of the chosen one of connections that have idled for so long, None for a new connection."""
    async def choose() -> int | None:
        idle = [Connection() for _ in idled_s]
        for connection, for_s in zip(idle, idled_s, strict=True):
            connection.calls, connection.idle_since = calls, NOW_S - for_s
        found = (rules or ReuseRules(MAX_IDLE_S, RestPeriod())).choose(idle, once, NOW_S)
        return None if found is None else idle.index(found)
    return asyncio.run(choose())


@pytest.mark.parametrize(("idled_s", "index"), [
    ([3.0, REST_S, REST_S - 0.001, 0.0], 1), ([REST_S - 0.001, 0.0], None), ([], None), ([7.0, 5.0], 1)])
def test_connection_rests_after_an_answer(idled_s: list[float], index: int | None) -> None:
    """Guards against an answer's second copy that is read as the answer to the next call."""
    assert chosen(idled_s) == index


def test_connection_without_calls_needs_no_rest() -> None:
    """Guards against needless handshakes: without an answer there is no second copy of one."""
    assert chosen([0.0], calls=0) == 0


def test_early_ends_bind_messages_that_must_not_be_sent_again() -> None:
    """Guards against such a message on a connection that its endpoint is about to close."""
    rules = ReuseRules(MAX_IDLE_S, RestPeriod())
    rules.ended_early(1.0, NOW_S)
    assert chosen([0.6], once=True, rules=rules) is None
    assert chosen([0.4], once=True, rules=rules) == chosen([0.6], rules=rules) == 0
    rules.refused()
    assert chosen([0.6], once=True, rules=rules) == 0


def test_connections_carry_one_call_each_for_a_while_after_unrequested_bytes() -> None:
    """Guards against copies that come later than the rest lasts, at an endpoint that has sent one."""
    rules = ReuseRules(MAX_IDLE_S, RestPeriod())
    assert not rules.single_use(NOW_S)
    rules.unrequested_bytes(NOW_S)
    assert rules.single_use(NOW_S + SINGLE_USE_S - 1) and not rules.single_use(NOW_S + SINGLE_USE_S)


def test_connections_to_all_endpoints_rest_longer_after_unrequested_bytes_from_one() -> None:
    """Guards against late copies at the other endpoints behind the same proxy."""
    rest = RestPeriod()
    other = ReuseRules(MAX_IDLE_S, rest)
    ReuseRules(MAX_IDLE_S, rest).unrequested_bytes(NOW_S - 1)
    assert not other.single_use(NOW_S)
    assert chosen([LONG_REST_S, LONG_REST_S - 0.001], rules=other) == 0
    assert chosen([LONG_REST_S - 0.001], rules=other) is None
    ReuseRules(MAX_IDLE_S, rest).unrequested_bytes(NOW_S - SINGLE_USE_S)
    assert chosen([REST_S], rules=other) == 0


@pytest.mark.parametrize("when", ["with the answer", "behind it", "after a while"])
def test_copy_of_an_answer_ends_the_reuse_of_connections(when: str) -> None:
    """Guards against reuse at an endpoint that has sent an answer twice, however the copy arrived."""
    async def work() -> None:
        peer = IdlePeer()
        await peer.idle_after_call("a", 1.0)
        if when == "with the answer":
            await peer.complete_call("b", reply=REPLY + REPLY)
        else:
            await peer.complete_call("b")
            await asyncio.sleep(0.05 if when == "after a while" else 0)
            peer.send_bytes(REPLY)
            await asyncio.sleep(0.05)  # until the client has read it
        assert peer.client.unrequested == 1
        await peer.complete_call("c")
        await peer.complete_call("d")
        assert peer.client.dials == 3 and not peer.host.idle
    run(work())


def test_408_on_an_idle_connection_is_its_end_and_no_copy() -> None:
    """Guards against one call for each connection at endpoints that tell the end of idle connections with 408."""
    async def work() -> None:
        peer = IdlePeer()
        await peer.idle_after_call("a", 1.0)
        peer.send_bytes(b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(0.05)  # until the client has read it
        await peer.idle_after_call("b", 1.0)
        await peer.complete_call("c")
        assert peer.client.dials == 2 and peer.client.unrequested == 0
    run(work())
