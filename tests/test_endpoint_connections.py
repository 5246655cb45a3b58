"""Connections to endpoints: how they are opened, break, are reused and closed, and when a call is written."""


from __future__ import annotations

import asyncio

from endpoint_clients import FakeOwner, S, connected_client, item
from loopback import LIMIT_S, Call, Reply, run

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.reuse import REST_S
from wheelstep.interface import Outcome


def test_refused_connection_is_reported_as_connect_failed() -> None:
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        endpoint.port.close()
        client.call("e0", [item("m")], 10 * S)
        assert (await owner.wait("m")).outcome is Outcome.CONNECT_FAILED
        assert owner.started == []
    run(work())


def test_broken_connection_counts_as_may_have_run_only_after_the_last_byte() -> None:
    """Guards against repeating a call whose last byte was written before the connection broke."""
    async def work() -> None:
        async def slam(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            data = await reader.read(1000)
            if b"big" in data:
                writer.transport.abort()  # with most of the body unread
            else:
                writer.close()
        owner = FakeOwner()
        server = await asyncio.start_server(slam, "127.0.0.1", 0, limit=1000)
        client = EndpointClient(owner, S, 10 * S, ())
        client.set_address("e0", Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        client.call("e0", [item("big", b"x" * (32 << 20))], 20 * S)
        assert (await owner.wait("big")).outcome is Outcome.CONNECT_FAILED
        client.call("e0", [item("small")], 10 * S)
        assert (await owner.wait("small")).outcome is Outcome.RESET
    run(work())


def test_timed_out_and_cancelled_calls_close_their_connections() -> None:
    async def work() -> None:
        async def hang(call: Call) -> None:
            return None
        owner, endpoint, client = await connected_client()
        endpoint.reply = hang
        client.call("e0", [item("late")], S // 5)
        assert (await owner.wait("late")).outcome is Outcome.TIMEOUT
        client.call("e0", [item("off")], 10 * S)
        await endpoint.wait(2)
        client.cancel("off", 0)
        assert (await owner.wait("off")).outcome is Outcome.CANCELLED
        async with asyncio.timeout(LIMIT_S):
            for call in endpoint.calls:
                await call.closed.wait()
    run(work())


def test_call_cancelled_before_its_first_step_is_reported_as_not_sent() -> None:
    """Guards against a lost message: a task cancelled before its first step reported nothing."""
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        client.call("e0", [item("a"), item("b")], 10 * S)
        client.cancel("a", 0)
        assert (await owner.wait("a")).outcome is Outcome.NOT_SENT
        assert (await owner.wait("b")).outcome is Outcome.NOT_SENT
        assert endpoint.calls == []
    run(work())


def test_connections_are_reused_and_carry_one_call_at_a_time() -> None:
    """Guards against a handshake for every call, and against two calls on one connection."""
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        for name in "abc":
            client.call("e0", [item(name)], 10 * S)
            await owner.wait(name)
            await asyncio.sleep(REST_S)
        assert endpoint.connections == 1
        gate = asyncio.Event()
        async def slow(call: Call) -> Reply:
            await gate.wait()
            return 200, {}, b""
        endpoint.reply = slow
        client.call("e0", [item("d")], 10 * S)
        client.call("e0", [item("e")], 10 * S)
        calls = await endpoint.wait(5)
        gate.set()
        await owner.wait("d")
        await owner.wait("e")
        assert calls[3].connection != calls[4].connection and endpoint.connections == 2
        client.close_idle("e0")
        async with asyncio.timeout(LIMIT_S):
            await calls[3].closed.wait()
            await calls[4].closed.wait()
    run(work())


def test_idle_connection_is_closed_before_its_endpoint_closes_it() -> None:
    """Guards against a call written to a connection that its endpoint is just closing."""
    async def work() -> None:
        owner, endpoint, client = await connected_client(idle_us=S // 2)
        sweep = asyncio.create_task(client.sweep())
        client.call("e0", [item("a")], 10 * S)
        await owner.wait("a")
        async with asyncio.timeout(LIMIT_S):
            await endpoint.calls[0].closed.wait()
        client.call("e0", [item("b")], 10 * S)
        assert (await owner.wait("b")).outcome is Outcome.OK
        sweep.cancel()
    run(work())


def test_message_barred_while_connecting_is_not_sent() -> None:
    """Guards against sending a message that was barred while the connection was opened."""
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        owner.barred = {"a", "c"}
        client.call("e0", [item("a"), item("b")], 10 * S)
        assert (await owner.wait("a")).outcome is Outcome.NOT_SENT
        assert (await owner.wait("b")).outcome is Outcome.OK
        await asyncio.sleep(REST_S)
        client.call("e0", [item("c")], 10 * S)
        assert (await owner.wait("c")).outcome is Outcome.NOT_SENT
        assert [call.headers["x-request-id"] for call in endpoint.calls] == ["b"]
        assert owner.started == ["b"] and endpoint.connections == 1
    run(work())


def test_probe_reports_its_status_and_the_load() -> None:
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        client.probe("e0", 10 * S)
        assert (await owner.probes.get()).outcome is Outcome.OK
        assert endpoint.calls[0].target == "/healthz"
        async def shut(call: Call) -> Reply:
            return 503, {"X-Load": "x0=0,x1=5"}, b""
        endpoint.reply = shut
        client.probe("e0", 10 * S)
        result = await owner.probes.get()
        assert result.outcome is Outcome.FULL and result.limit == api.LimitReport(0.0, 5.0)
    run(work())


def test_call_waits_until_its_attempt_is_durable_and_is_checked_again() -> None:
    """Guards against a first byte before the journal's sync, and against sending after a drain during it."""
    async def test() -> None:
        owner, endpoint, client = await connected_client()
        owner.syncs = True  # type: ignore[misc]
        synced = asyncio.Event()
        async def wait_durable() -> bool:
            await synced.wait()
            return True
        owner.wait_durable = wait_durable  # type: ignore[method-assign]
        client.call("e0", [Item("a", 0, None, b"x")], 5 * S)
        client.call("e0", [Item("b", 0, None, b"x")], 5 * S)
        async with asyncio.timeout(LIMIT_S):
            while len(owner.started) < 2:
                await asyncio.sleep(0.001)
        assert endpoint.calls == []
        owner.barred.add("b")
        synced.set()
        assert (await owner.wait("a")).outcome is Outcome.OK
        assert (await owner.wait("b")).outcome is Outcome.NOT_SENT
        assert [call.headers["x-request-id"] for call in endpoint.calls] == ["a"]
    run(test())
