"""Clients' connections: two events that cross, forced on real sockets. docs/design/crossings.md has the table."""

from __future__ import annotations

import asyncio
import gc
import logging
import weakref
from collections.abc import Callable

import pytest
from client_sockets import CLOSE, HEALTH, Sockets, reset, rest
from loopback import run
from test_client_server import request

from wheelstep.courier.client_connection import MOST_THROWN
from wheelstep.courier.client_connections import LINGER_S
from wheelstep.courier.client_phases import Phase


@pytest.mark.parametrize("last", [request("m", headers=CLOSE), b"nonsense\r\n\r\n"], ids=["202", "400"])
def test_an_answer_on_its_way_outlasts_bytes_that_are_not_read(last: bytes) -> None:
    """The answers fill the buffers of both ends, so that the last ones are still here when more bytes arrive."""
    async def work() -> None:
        async with Sockets(send_buffer=4608) as s:
            client = s.client(receive_buffer=2304)
            client.sendall(HEALTH * 300 + last)
            await s.until(lambda: any(c.gone for c in s.all.all()))
            client.sendall(request("late") * 3)  # a close over these would be a reset
            await asyncio.sleep(0)
            answers = await rest(client)
            assert answers.count(b"HTTP/1.1 200") == 300
            assert answers.count(b"Connection: close") == 1
            assert "late" not in s.owner.taken
    run(work())


def at_sweep(s: Sockets) -> None:
    s.all.sweep()


def at_crowd(s: Sockets) -> None:
    while s.all._open() < s.all._limit:
        s.all._phases[Phase.HELD][object()] = None  # type: ignore[index]
    s.all._make_room()
    s.all._phases[Phase.HELD].clear()


def at_stop(s: Sockets) -> None:
    s.stopping = asyncio.create_task(s.server.stop())  # type: ignore[attr-defined]


@pytest.mark.parametrize("end", [at_sweep, at_crowd, at_stop])
@pytest.mark.parametrize("silent", [True, False])
def test_what_lies_in_the_kernel_when_a_connection_is_ended_is_answered(
        end: Callable[[Sockets], None], silent: bool) -> None:
    """A whole request is there, and the courier has not read it, when its time is up, room is needed, or it stops."""
    async def work() -> None:
        async with Sockets() as s:
            client = s.client() if silent else await s.idle("before")
            await s.until(s.all.all)
            s.age(Phase.SILENT)
            client.setblocking(True)
            client.sendall(request("m"))
            client.setblocking(False)
            end(s)
            answer = await rest(client)
            assert answer.startswith(b"HTTP/1.1 503" if end is at_stop else b"HTTP/1.1 202")
            assert answer.count(b"HTTP/1.1") == answer.count(b"Connection: close") == 1
            assert ("m" in s.owner.begun) == (end is not at_stop)
    run(work())


@pytest.mark.parametrize("end", [at_sweep, at_crowd])
def test_what_comes_between_the_last_read_and_the_half_close_is_answered(end: Callable[[Sockets], None]) -> None:
    """With hundreds to end, a turn of the loop is long: 2 requests were lost at one shutdown of two."""
    async def work() -> None:
        async with Sockets() as s:
            client = await s.idle("before")
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, client.send, request("m"))  # the loop polls, then this, then the half-close
            end(s)
            assert (await rest(client)).startswith(b"HTTP/1.1 202")
            assert "m" in s.owner.begun
    run(work())


def test_what_comes_behind_the_half_close_is_thrown_away_within_bounds(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def work() -> None:
        async with Sockets() as s:
            client = s.client(request("m", headers=CLOSE))
            assert b" 202 " in await rest(client)
            (connection,) = s.all.all()
            loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
            with pytest.raises(ConnectionError):
                sweep = asyncio.create_task(s.server.sweep())
                while True:  # it stands still while nothing is read, and is reset when its time is up
                    await asyncio.wait_for(loop.sock_sendall(client, request("late", b"x" * 60_000)), 10)
            assert loop.time() - began < LINGER_S + 2
            assert MOST_THROWN <= connection._thrown < MOST_THROWN + 2**18  # one read of asyncio's beyond
            assert list(s.owner.taken) == ["m"] and not s.all.all()
            s.all.report()
            sweep.cancel()
    run(work())
    assert caplog.text.count("cut 1 connections") == 1


def test_lingering_connections_are_bounded_in_number() -> None:
    async def work() -> None:
        async with Sockets(most=100) as s:
            clients = [s.client(request(f"m{n}", headers=CLOSE)) for n in range(70)]
            for client in clients:
                assert b" 202 " in await rest(client)
            assert len(s.all.all()) <= 20  # a fifth, though none of the 70 clients has closed
            s.all.sweep()
            s.age(Phase.ENDING)
            s.all.sweep()
            await s.until(lambda: not s.all.all())
    run(work())


@pytest.mark.parametrize("queued", [1, 16, 40])
def test_what_stands_in_the_queue_of_the_listener_at_the_end_is_answered(queued: int) -> None:
    """They have connected and asked; the loop has accepted none, or just the first, when the listener ends."""
    async def work() -> None:
        async with Sockets() as s:
            clients = [s.client(request(f"m{n}")) for n in range(queued)]
            if queued == 16:  # accepted in this very turn
                s.server._listener.accept()  # type: ignore[union-attr]
            stopping = asyncio.create_task(s.server.stop())
            for client in clients:
                answer = await rest(client)
                assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
                client.close()
            await stopping
            assert not s.owner.taken and not s.all.all()
            with pytest.raises(ConnectionRefusedError):
                s.client()
    run(work())


@pytest.mark.parametrize("late", [False, True])
def test_a_client_that_half_closes_gets_its_answer(late: bool) -> None:
    """Also where the answer waits for the disk; `late`: only then does its end come."""
    async def work() -> None:
        async with Sockets() as s:
            s.owner.syncs = True
            client = s.client(request("m"))
            if not late:
                client.shutdown(1)
            await s.until(lambda: "m" in s.owner.taken)
            if late:
                client.shutdown(1)
            await asyncio.sleep(0)
            s.owner.synced.set()
            assert (await rest(client)).startswith(b"HTTP/1.1 202")
            assert s.owner.begun == ["m"]
            await s.until(lambda: not s.all.all())
    run(work())


@pytest.mark.parametrize("end", [at_sweep, at_stop])
def test_a_message_that_waits_for_the_disk_when_its_time_is_up_is_refused_and_withdrawn(
        end: Callable[[Sockets], None]) -> None:
    async def work() -> None:
        async with Sockets() as s:
            s.owner.syncs = True
            client = s.client(request("m", headers=CLOSE if end is at_sweep else {}))
            await s.until(lambda: "m" in s.owner.taken)
            s.age(Phase.ASKING)
            end(s)
            assert (await rest(client)).startswith(b"HTTP/1.1 503")
            assert not s.owner.taken and not s.owner.begun
    run(work())


@pytest.mark.parametrize("syncs", [False, True])
def test_a_client_that_sends_much_at_once_and_goes_leaves_nothing(syncs: bool) -> None:
    """What was answered before its reset was seen is begun; what waited is withdrawn; what lies behind is not taken."""
    async def work() -> None:
        async with Sockets() as s:
            s.owner.syncs = syncs
            client = s.client()
            await s.until(s.all.all)
            gone = weakref.ref(s.all.all()[0])
            client.sendall(b"".join(request(f"m{n}") for n in range(200)))
            if syncs:
                await s.until(lambda: s.owner.taken)
            reset(client)
            s.age(Phase.ASKING)  # a connection that waits is not read: its end shows when its time is up
            s.all.sweep()
            await s.until(lambda: not s.all.all())
            assert list(s.owner.taken) == s.owner.begun and len(s.owner.begun) in ((0,) if syncs else (0, 200))
            gc.collect()
            assert gone() is None
    run(work())


def test_a_readiness_check_is_answered_in_a_flood_of_silent_connections() -> None:
    """The flood stands in the queue before and behind the check."""
    async def work() -> None:
        async with Sockets(most=85) as s:  # a third of 256 descriptors
            flood = [s.client() for _ in range(150)]
            check = s.client(HEALTH)
            flood += [s.client() for _ in range(150)]
            assert b" 200 " in await asyncio.wait_for(asyncio.get_running_loop().sock_recv(check, 4096), 2)
            assert len(s.all.all()) <= 85 + 32
    run(work())
