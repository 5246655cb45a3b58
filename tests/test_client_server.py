"""Clients on loopback sockets: what can't be used is turned away, and takes nothing from the good ones."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping

import pytest
from loopback import LIMIT_S, run

from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address
from wheelstep.journal import Stored


class Owner:
    """Stands for the core."""

    ready, syncs = True, False

    def __init__(self) -> None:
        self.taken: dict[str, Stored] = {}
        self.begun: list[str] = []
        self.synced = asyncio.Event()

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return destination == 7

    def take(self, message: Stored) -> None:
        self.taken[message.id] = message

    def holds(self, message: str) -> bool:
        return message in self.taken

    def begin(self, name: str) -> None:
        self.begun.append(name)

    def handed_in(self, message: Stored, status: int) -> None:
        pass

    def settles(self, name: str) -> bool:
        return name in self.taken and name not in self.begun

    def durable(self) -> asyncio.Future[bool]:
        return asyncio.ensure_future(self.synced.wait())

    def withdraw(self, name: str) -> None:
        del self.taken[name]


class Scene:
    """A server of its own, and raw connections to it."""

    def __init__(self, most: int = 200) -> None:
        self.owner = Owner()
        self.server = ClientServer(self.owner, {"once": False}, most)

    async def __aenter__(self) -> Scene:
        self.port = await self.server.start(Address("127.0.0.1", 0))
        self._sweep = asyncio.create_task(self.server.sweep())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._sweep.cancel()
        await self.server.stop()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def say(self, data: bytes) -> bytes:
        """Send it and return all that comes until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        return await rest(reader)


async def rest(reader: asyncio.StreamReader) -> bytes:
    found = b""
    try:
        async with asyncio.timeout(LIMIT_S):
            while data := await reader.read(65536):
                found += data
    except ConnectionError:
        pass
    return found


def request(name: str, body: bytes = b"x", headers: Mapping[str, str] | None = None) -> bytes:
    given = {"Host": "h", "X-Request-Id": name, "X-Class": "once", "X-Deadline-Ms": "9000",
             "X-Consignee": "dest=7", "Content-Length": str(len(body)), **(headers or {})}
    return ("POST /api HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in given.items())
            + "\r\n").encode() + body


HIDDEN = request("hidden")
CHUNKED = {"Transfer-Encoding": "chunked"}
BAD = {
    "noise": b"\x00\xff\xfe\x16\x03\x01 noise\r\n\r\n",
    "tls": bytes.fromhex("16030100a5010000a10303") + bytes(160),
    "length and encoding": request("a", b"0\r\n\r\n" + HIDDEN, CHUNKED),
    "encoding and length": request("a", b"0\r\n\r\n" + HIDDEN, {**CHUNKED, "Content-Length": "5"}),
    "two lengths": request("a", b"", {"content-length": "40"}) + HIDDEN,
    "negative length": request("a", b"x", {"Content-Length": "-1"}),
    "huge length": request("a", b"x", {"Content-Length": "9" * 30}),
    "signed length": request("a", b"x", {"Content-Length": "+1"}),
    "odd encoding": request("a", b"x" + HIDDEN, {"Transfer-Encoding": "gzip, oddity"}),
    "chunk of bad size": request("a", b"zz\r\nx\r\n0\r\n\r\n", {**CHUNKED, "Content-Length": ""}),
    "long head line": b"POST /api HTTP/1.1\r\nX-Long: " + b"x" * 100_000,
    "endless head": b"POST /api HTTP/1.1\r\n" + b"X-More: x\r\n" * 100_000,
    "long path": b"POST /" + b"x" * 100_000,
    # Which of the two would be owed an end? (found from outside: answered 202)
    "two ids": request("a", headers={"x-request-id": "b"}),
    "two classes": request("a", headers={"x-class": "once"}),
    "two deadlines": request("a", headers={"x-deadline-ms": "9000"}),
    "two destinations": request("a", headers={"x-consignee": "dest=7"}),
    "two tokens": request("a", headers={"Idempotency-Key": "t", "idempotency-key": "u"}),
    "two marks of a retry": request("a", headers={"X-Retry": "1", "x-retry": "again"}),
    "an old version": request("a").replace(b"HTTP/1.1", b"HTTP/0.9"),
    "a later version": request("a").replace(b"HTTP/1.1", b"HTTP/2.0"),
    "too much": request("a", b"x" * 65537),
    "no such destination": request("a", b"x", {"X-Consignee": "dest=99"}),
    "no id": request(""),
    "no such path": b"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n",
    "tunnel": b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + HIDDEN,
    "bad host": b"POST http://[ HTTP/1.1\r\nHost: h\r\n\r\n",
    "silence": b"",
    "half a head": b"POST /api HTTP/1.1\r\nHost: h\r\n",
    "half a body": request("a", b"x", {"Content-Length": "100"}),
}


def test_what_is_bad_gets_an_error_or_a_close_in_time(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against what it costs in descriptors and memory, hidden requests, and tracebacks in the log."""
    async def work() -> None:
        async with Scene() as s:
            loop = asyncio.get_running_loop()

            async def play(name: str) -> None:
                began = loop.time()
                answer = await s.say(BAD[name])
                assert not answer or answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4")), (name, answer)
                assert answer.count(b"HTTP/1.") <= 1, (name, answer)
                assert loop.time() - began < 10, name
            async with asyncio.TaskGroup() as group:
                for name in BAD:
                    group.create_task(play(name))
            assert s.owner.taken == {} and s.owner.begun == []
            assert b" 202 " in await s.say(request("good", b"x", {"Connection": "close"}))
    run(work())
    assert "Traceback" not in caplog.text


def test_a_body_without_end_is_not_read() -> None:
    """Once, aiohttp went on reading a refused body for 10 s."""
    async def work() -> None:
        async with Scene() as s:
            for headers in ({"Content-Length": str(60 << 20)}, {"Content-Length": "", **CHUNKED}):
                head = request("a", b"", headers)
                if not headers["Content-Length"]:
                    head = head.replace(b"Content-Length: \r\n", b"")
                reader, writer = await s.connect()
                writer.write(head)
                with pytest.raises(ConnectionError):
                    for _ in range(960):
                        writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                        await writer.drain()
                writer.transport.abort()
            assert s.owner.taken == {}
    run(work())


def test_a_client_that_breaks_off_leaves_nothing(caplog: pytest.LogCaptureFixture) -> None:
    async def work() -> None:
        async with Scene() as s:
            for data in (b"POST /api HT", request("a", b"x", {"Content-Length": "100"})):
                reader, writer = await s.connect()
                writer.write(data)
                await writer.drain()
                writer.write_eof()
                assert not (await rest(reader)).startswith(b"HTTP/1.1 2")
                reader, writer = await s.connect()
                writer.write(data)
                await writer.drain()
                writer.transport.abort()
            assert b" 202 " in await s.say(request("good", b"x", {"Connection": "close"}))
            assert list(s.owner.taken) == ["good"]
    run(work())
    assert "Traceback" not in caplog.text


def test_encoded_bodies_pass_unchanged() -> None:
    """Once, aiohttp unpacked them: another body, and any size in memory."""
    async def work() -> None:
        async with Scene() as s:
            body = b"\x1f\x8b no gzip at all"
            headers = {"Content-Encoding": "gzip", "Connection": "close"}
            assert b" 202 " in await s.say(request("m", body, headers))
            assert s.owner.taken["m"].body == body
    run(work())


def test_requests_sent_at_once_are_answered_in_turn() -> None:
    async def work() -> None:
        async with Scene() as s:
            data = b"".join(request(f"m{n}") for n in range(300))
            answer = await s.say(data + request("last", b"x", {"Connection": "close"}))
            assert answer.count(b"HTTP/1.1 202") == 301
            assert s.owner.begun == [*(f"m{n}" for n in range(300)), "last"]
    run(work())


def test_a_silent_crowd_does_not_keep_good_clients_out() -> None:
    """Once, nothing bounded clients' connections, and the descriptors ran out for everyone."""
    async def work() -> None:
        async with Scene(most=48) as s:
            crowd = [await s.connect() for _ in range(200)]
            for number in range(20):
                answer = await s.say(request(f"m{number}", b"x", {"Connection": "close"}))
                assert b" 202 " in answer
                crowd.append(await s.connect())
            # All but as many as may stay were ended without waiting for their time.
            ended = [asyncio.create_task(rest(reader)) for reader, _ in crowd]
            left = set(ended)
            async with asyncio.timeout(LIMIT_S):
                while len(left) > 48:
                    _, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
                await asyncio.wait(ended)  # and the others in their time
    run(work())


def test_a_used_connection_is_kept_and_idle_ones_make_room() -> None:
    """Guards against clients that ask once and keep their connection for good."""
    async def work() -> None:
        async with Scene(most=48) as s:
            reader, writer = await s.connect()
            for name in ("a", "b"):
                writer.write(request(name))
                assert b" 202 " in await reader.readuntil(b"\r\n\r\n")
            idle = []
            for number in range(100):
                idle.append(await s.connect())
                idle[-1][1].write(request(f"i{number}"))
                answer = b""
                while b" 202 " not in answer:  # turned away while those before are too young to go
                    answer = await idle[-1][0].read(1000)
                    if not answer:
                        await asyncio.sleep(0.1)
                        idle[-1] = await s.connect()
                        idle[-1][1].write(request(f"i{number}"))
            assert len(s.owner.begun) == 102
    run(work())


def test_a_connection_that_opens_in_a_pause_is_passed_on_unread() -> None:
    """The loop had accepted it before, and its transport came after. Once, it was read: its message was answered 202 by
    a process whose journal another one had by then."""
    async def work() -> None:
        owner = Owner()
        server = ClientServer(owner, {"once": False}, 200, keep=True)
        await server.start(Address("127.0.0.1", 0))
        spare = await server.pause()
        client, accepted = socket.socketpair()
        client.sendall(b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Class: once\r\nX-Deadline-Ms: 900\r\n"
                       b"X-Consignee: dest=7\r\nContent-Length: 0\r\n\r\n")
        await server.adopt(accepted, False, b"")  # what the loop does with one that it has accepted
        for _ in range(20):
            await asyncio.sleep(0)
        ((_, idle, raw),) = server.connections()
        assert (owner.taken, idle, raw) == ({}, False, b"")
        await server.resume()
        async with asyncio.timeout(LIMIT_S):
            while not owner.begun:
                await asyncio.sleep(0.01)
        client.close()
        await server.stop()
        spare.close()
    run(work())


def test_no_202_for_what_another_client_may_still_take_back() -> None:
    """With syncs on, the second heard 202 at once; the first went before the sync, and the message was forgotten."""
    async def work() -> None:
        async with Scene() as s:
            s.owner.syncs = True
            _, first = await s.connect()
            first.write(request("m"))
            async with asyncio.timeout(LIMIT_S):
                while "m" not in s.owner.taken:
                    await asyncio.sleep(0.005)
                assert await s.say(request("m")) == b""
                first.transport.abort()
                while "m" in s.owner.taken:
                    await asyncio.sleep(0.005)
            s.owner.synced.set()
            reader, writer = await s.connect()
            writer.write(request("m"))
            assert (await reader.readline()).startswith(b"HTTP/1.1 202")
            writer.close()
            assert s.owner.begun == ["m"]
    run(work())
