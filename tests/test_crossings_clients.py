"""Client connections: two events that cross, forced on real sockets. docs/design/crossings.md lists them."""

from __future__ import annotations

import asyncio
import gc
import logging
import weakref
from collections.abc import Callable

import pytest
from client_sockets import CLOSE, HEALTH, SocketScene, read_all, reset
from loopback import run
from test_client_server import request

from wheelstep.courier.client_connection import MAX_DISCARDED_BYTES
from wheelstep.courier.client_connections import LINGER_S
from wheelstep.courier.client_phases import Phase


@pytest.mark.parametrize("last", [request("m", headers=CLOSE), b"nonsense\r\n\r\n"], ids=["202", "400"])
def test_answers_on_their_way_are_not_lost_to_unread_input(last: bytes) -> None:
    """Answers fill the buffers of both ends, so the last ones are not sent yet when more input arrives. Closing with
    unread input would send a reset, which destroys them."""
    async def work() -> None:
        async with SocketScene(send_buffer=4608) as s:
            client = s.client(receive_buffer=2304)
            client.sendall(HEALTH * 300 + last)
            await s.until(lambda: any(c.write_closed for c in s.connections.all()))
            client.sendall(request("late") * 3)  # closing without reading these would send a reset
            await asyncio.sleep(0)
            answers = await read_all(client)
            assert answers.count(b"HTTP/1.1 200") == 300
            assert answers.count(b"Connection: close") == 1
            assert "late" not in s.admission.taken
    run(work())


def at_sweep(s: SocketScene) -> None:
    """End connections by the time limits."""
    s.connections.sweep()


def at_limit(s: SocketScene) -> None:
    """End a connection as a new one needs its place."""
    while s.connections._count_open() < s.connections._open_limit:
        s.connections._phases[Phase.HELD][object()] = None  # type: ignore[index]
    s.connections._make_room()
    s.connections._phases[Phase.HELD].clear()


def at_stop(s: SocketScene) -> None:
    """Stop the server."""
    s.stopping = asyncio.create_task(s.server.stop())  # type: ignore[attr-defined]


@pytest.mark.parametrize("end", [at_sweep, at_limit, at_stop])
@pytest.mark.parametrize("silent", [True, False])
def test_a_request_in_the_kernel_is_answered_when_its_connection_is_ended(
        end: Callable[[SocketScene], None], silent: bool) -> None:
    """A complete request has arrived and is not read yet when the connection's time is up, its place is needed, or the
    server stops."""
    async def work() -> None:
        async with SocketScene() as s:
            client = s.client() if silent else await s.idle("before")
            await s.until(s.connections.all)
            s.age(Phase.SILENT)
            client.setblocking(True)
            client.sendall(request("m"))
            client.setblocking(False)
            end(s)
            answer = await read_all(client)
            assert answer.startswith(b"HTTP/1.1 503" if end is at_stop else b"HTTP/1.1 202")
            assert answer.count(b"HTTP/1.1") == answer.count(b"Connection: close") == 1
            assert ("m" in s.admission.begun) == (end is not at_stop)
    run(work())


@pytest.mark.parametrize("end", [at_sweep, at_limit])
def test_a_request_between_the_last_read_and_the_half_close_is_answered(end: Callable[[SocketScene], None]) -> None:
    """With hundreds of connections to end, a turn of the loop is long: 2 requests were lost in one shutdown of two."""
    async def work() -> None:
        async with SocketScene() as s:
            client = await s.idle("before")
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, client.send, request("m"))  # the loop polls, then this, then the half-close
            end(s)
            assert (await read_all(client)).startswith(b"HTTP/1.1 202")
            assert "m" in s.admission.begun
    run(work())


def test_input_after_the_half_close_is_discarded_up_to_a_limit(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a client that goes on sending after its last answer, without end."""
    caplog.set_level(logging.INFO)

    async def work() -> None:
        async with SocketScene() as s:
            client = s.client(request("m", headers=CLOSE))
            assert b" 202 " in await read_all(client)
            (connection,) = s.connections.all()
            loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
            with pytest.raises(ConnectionError):
                sweep = asyncio.create_task(s.server.sweep())
                while True:  # blocks while nothing is read; reset at the time limit
                    await asyncio.wait_for(loop.sock_sendall(client, request("late", b"x" * 60_000)), 10)
            assert loop.time() - began < LINGER_S + 2
            assert MAX_DISCARDED_BYTES <= connection._discarded_bytes < MAX_DISCARDED_BYTES + 2**18  # plus one read
            assert list(s.admission.taken) == ["m"] and not s.connections.all()
            s.connections.report()
            sweep.cancel()
    run(work())
    assert caplog.text.count("cut 1 connections") == 1


def test_lingering_connections_are_limited_in_number() -> None:
    """Guards against clients that never close after their last answer and so use up the descriptors."""
    async def work() -> None:
        async with SocketScene(max_connections=100) as s:
            clients = [s.client(request(f"m{n}", headers=CLOSE)) for n in range(70)]
            for client in clients:
                assert b" 202 " in await read_all(client)
            assert len(s.connections.all()) <= 20  # a fifth of the limit, though none of the 70 clients has closed
            s.connections.sweep()
            s.age(Phase.ENDING)
            s.connections.sweep()
            await s.until(lambda: not s.connections.all())
    run(work())


@pytest.mark.parametrize("queued", [1, 16, 40])
def test_requests_in_the_queue_of_the_listener_are_answered_at_shutdown(queued: int) -> None:
    """Clients have connected and sent requests; the loop has accepted none or the first when the server stops."""
    async def work() -> None:
        async with SocketScene() as s:
            clients = [s.client(request(f"m{n}")) for n in range(queued)]
            if queued == 16:  # accepted in the same turn of the loop
                s.server._listener.accept()  # type: ignore[union-attr]
            stopping = asyncio.create_task(s.server.stop())
            for client in clients:
                answer = await read_all(client)
                assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
                client.close()
            await stopping
            assert not s.admission.taken and not s.connections.all()
            with pytest.raises(ConnectionRefusedError):
                s.client()
    run(work())


@pytest.mark.parametrize("late", [False, True])
def test_a_client_that_half_closes_gets_its_answer(late: bool) -> None:
    """Also when the answer waits for the disk. `late`: the client half-closes only during that wait."""
    async def work() -> None:
        async with SocketScene() as s:
            s.admission.syncs = True
            client = s.client(request("m"))
            if not late:
                client.shutdown(1)
            await s.until(lambda: "m" in s.admission.taken)
            if late:
                client.shutdown(1)
            await asyncio.sleep(0)
            s.admission.synced.set()
            assert (await read_all(client)).startswith(b"HTTP/1.1 202")
            assert s.admission.begun == ["m"]
            await s.until(lambda: not s.connections.all())
    run(work())


@pytest.mark.parametrize("end", [at_sweep, at_stop])
def test_a_message_that_waits_for_the_disk_at_its_time_limit_is_refused_and_withdrawn(
        end: Callable[[SocketScene], None]) -> None:
    """Guards against a message that is delivered though its client was told to hand it in again."""
    async def work() -> None:
        async with SocketScene() as s:
            s.admission.syncs = True
            client = s.client(request("m", headers=CLOSE if end is at_sweep else {}))
            await s.until(lambda: "m" in s.admission.taken)
            s.age(Phase.ASKING)
            end(s)
            assert (await read_all(client)).startswith(b"HTTP/1.1 503")
            assert not s.admission.taken and not s.admission.begun
    run(work())


@pytest.mark.parametrize("syncs", [False, True])
def test_a_client_that_pipelines_requests_and_resets_leaves_no_undecided_message(syncs: bool) -> None:
    """Messages answered before the reset is seen are begun, one that waits is withdrawn, later ones are not taken."""
    async def work() -> None:
        async with SocketScene() as s:
            s.admission.syncs = syncs
            client = s.client()
            await s.until(s.connections.all)
            gone = weakref.ref(s.connections.all()[0])
            client.sendall(b"".join(request(f"m{n}") for n in range(200)))
            if syncs:
                await s.until(lambda: s.admission.taken)
            reset(client)
            s.age(Phase.ASKING)  # a connection that waits is not read: its end is seen at the time limit
            s.connections.sweep()
            await s.until(lambda: not s.connections.all())
            assert list(s.admission.taken) == s.admission.begun and len(s.admission.begun) in (
                (0,) if syncs else (0, 200))
            gc.collect()
            assert gone() is None
    run(work())


def test_a_readiness_check_is_answered_among_hundreds_of_silent_connections() -> None:
    """Silent connections are in the listener's queue before and after the check."""
    async def work() -> None:
        async with SocketScene(max_connections=85) as s:  # a third of 256 descriptors
            silent = [s.client() for _ in range(150)]
            check = s.client(HEALTH)
            silent += [s.client() for _ in range(150)]
            assert b" 200 " in await asyncio.wait_for(asyncio.get_running_loop().sock_recv(check, 4096), 2)
            assert len(s.connections.all()) <= 85 + 32
    run(work())
