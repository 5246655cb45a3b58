"""Calls to endpoints: each outcome depends on what was written and when."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from loopback import LIMIT_S, Call, Endpoint, Reply, run

from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.reuse import REST_S
from wheelstep.interface import Outcome

S = 1_000_000


class FakeOwner:
    """Stands in for the core."""

    syncs = False

    async def wait_durable(self) -> bool:
        return True

    def __init__(self) -> None:
        self.started: list[str] = []
        self.written_messages = 0
        self.waits: list[int] = []
        self.barred: set[str] = set()
        self.results: dict[str, Result] = {}
        self.probes: asyncio.Queue[Result] = asyncio.Queue()
        self._news = asyncio.Condition()

    async def wait_for_earlier(self, items: Sequence[Item]) -> None:
        pass

    def may_start(self, endpoint: str, item: Item) -> bool:
        return item.message not in self.barred

    def may_probe(self, endpoint: str) -> bool:
        return True

    def messages_written(self, messages: int) -> None:
        self.written_messages += messages

    def attempts_starting(self, endpoint: str, items: Sequence[Item]) -> None:
        self.started += [item.message for item in items]

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        self.waits.append(wait_us)

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        for item, result in results:
            assert item.message not in self.results
            self.results[item.message] = result
        self._wake = asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._news:
            self._news.notify_all()

    def probed(self, endpoint: str, result: Result) -> None:
        self.probes.put_nowait(result)

    async def wait(self, message: str) -> Result:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: message in self.results)
        return self.results[message]


def item(message: str, body: bytes = b"x") -> Item:
    return Item(message, 0, None, body)


async def connected_client(idle_us: int = 10 * S) -> tuple[FakeOwner, Endpoint, EndpointClient]:
    """Return an owner, a running endpoint, and a client that knows its address as `e0`."""
    owner, endpoint = FakeOwner(), Endpoint()
    client = EndpointClient(owner, S, idle_us, ("x0", "x1"))
    host, port = (await endpoint.start()).split(":")
    client.set_address("e0", Address(host, int(port)))
    return owner, endpoint, client


async def outcome_of(reply: Reply, *items: Item) -> list[Result]:
    owner, endpoint, client = await connected_client()
    async def answer(call: Call) -> Reply:
        return reply
    endpoint.reply = answer
    client.call("e0", items, 10 * S)
    return [await owner.wait(i.message) for i in items]


def test_answer_status_determines_the_outcome() -> None:
    """Guards against a status that is read as safe to repeat though the message may have run, or the reverse."""
    async def work() -> None:
        cases = [
            ((200, {}, b""), Outcome.OK, False, False), ((500, {}, b""), Outcome.ERROR, False, False),
            ((302, {}, b""), Outcome.ERROR, False, False),
            ((429, {"Retry-After": "0.25"}, b""), Outcome.FULL, False, False),
            ((503, {}, b""), Outcome.FULL, False, False),
            ((503, {"X-Line-Busy": "1"}, b""), Outcome.NOT_SENT, False, False),
            ((504, {}, b""), Outcome.NOT_SENT, False, True), ((410, {}, b""), Outcome.NOT_SENT, True, False)]
        for reply, outcome, over, exhausted in cases:
            (result,) = await outcome_of(reply, item("m"))
            assert (result.outcome, result.over, result.exhausted) == (outcome, over, exhausted), reply
    run(work())


def test_waits_and_load_reports_are_read_from_any_answer() -> None:
    """Guards against waits and load reports lost in other answers than 429, and against invalid values."""
    async def work() -> None:
        headers = {"Retry-After": "0.25", "X-Load": "x0=0.4,junk,x1=25,x2=nan"}
        (result,) = await outcome_of((200, headers, b""), item("m"))
        assert result.wait_us == 250_000 and result.limit == api.LimitReport(0.4, 25.0)
        results = await outcome_of((200, headers, b"a delivered\r\nb refused\r\n"), item("a"), item("b"))
        assert [r.wait_us for r in results] == [250_000, 250_000]
        (result,) = await outcome_of((429, {"Retry-After": "soon", "X-Load": "x0=inf"}, b""), item("m"))
        assert result.wait_us == 0 and result.limit is None
    run(work())


def test_bulk_answer_gives_each_message_its_own_outcome() -> None:
    """Guards against one outcome for all messages of a bulk call, or an unknown end taken as not run."""
    async def work() -> None:
        items = [item(name) for name in "abcdefghi"]
        body = (b"a delivered\r\nb failed\r\nc refused\r\nd over\r\ne spent\r\nf whatever\r\n"
                b"h refused\r\ni refused\r\nh delivered\r\ni refused\r\nh refused\r\n")
        results = await outcome_of((200, {}, body), *items)
        assert [r.outcome for r in results] == [
            Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.NOT_SENT, Outcome.NOT_SENT, Outcome.ERROR, Outcome.ERROR,
            Outcome.ERROR, Outcome.FULL]  # h: two different ends, so that it may have run; i: the same one twice
        assert results[3].over and results[4].exhausted
        assert {r.outcome for r in await outcome_of((503, {}, b""), *items)} == {Outcome.FULL}
    run(work())


def test_several_messages_are_sent_in_the_bulk_form() -> None:
    async def work() -> None:
        owner, endpoint, client = await connected_client()
        client.call("e0", [item("a", b"one\r\n"), Item("b", 0, "tok", b"")], 10 * S)
        call = (await endpoint.wait(1))[0]
        assert call.target == "/inbox/bulk"
        assert call.body == b"a - 5\r\none\r\n\r\nb tok 0\r\n\r\n"
    run(work())


def test_truncated_bulk_answer_is_an_error_for_every_message() -> None:
    """Guards against reading ends out of a bulk answer that broke off."""
    async def work() -> None:
        owner, client = FakeOwner(), None
        async def tear(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"b - 1\r\nx\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na delivered\r\nb deliv")
            await writer.drain()
            writer.close()
        server = await asyncio.start_server(tear, "127.0.0.1", 0)
        client = EndpointClient(owner, S, 10 * S, ())
        client.set_address("e0", Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        client.call("e0", [item("a"), item("b")], 10 * S)
        assert (await owner.wait("a")).outcome is Outcome.ERROR
        assert (await owner.wait("b")).outcome is Outcome.ERROR
    run(work())


class RawServer:
    """An endpoint that writes these bytes for each call, in pieces, and leaves the connection open."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces: tuple[bytes, ...] = pieces
        self.connections = self.ended = 0
        self.written = asyncio.Event()

    async def start(self, idle_us: int = 10 * S, most: int = 100) -> tuple[FakeOwner, EndpointClient]:
        """Start listening; return an owner and a client that knows the address as `e0`."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        owner = FakeOwner()
        client = EndpointClient(owner, S, idle_us, ("x0", "x1"), most)
        client.set_address("e0", Address("127.0.0.1", self.server.sockets[0].getsockname()[1]))
        return owner, client

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while b"\n" in await reader.read(65536):
                for piece in self.pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.01)
                self.written.set()
        except OSError:
            pass
        finally:
            self.ended += 1
            writer.transport.abort()


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
MALFORMED = {
    "noise": [b"\x00\xfe\x01 noise\r\n\r\n"], "noise without a line": [b"\x7f\x45\x4c\x46"],
    "unreadable head": [b"HTTP/1.1 %d Oh\r\nbad header\x00: \r\n\r\n"],
    "head without end": [b"HTTP/1.1 %d Oh\r\nX-More: x\r\n", *[b"X-More: x\r\n" * 500] * 20],
    "head that stops": [b"HTTP/1.1 %d Oh\r\nX-More: x\r\n"],
    "two lengths": [b"HTTP/1.1 %d Oh\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"],
    "negative length": [b"HTTP/1.1 %d Oh\r\nContent-Length: -1\r\n\r\nxx"],
    "short body": [b"HTTP/1.1 %d Oh\r\nContent-Length: 100\r\n\r\nxx"],
    "bad chunks": [b"HTTP/1.1 %d Oh\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"],
    "3 GB": [b"HTTP/1.1 %d Oh\r\nContent-Length: 3000000000\r\n\r\n", *[b"x" * 65536] * 50],
    "1xx for ever": [b"HTTP/1.1 100 Continue\r\n\r\n" * 1000],
}


def test_malformed_answer_counts_as_may_have_run_and_closes_its_connection() -> None:
    """Guards against a torn 503 read as not run, a bad 200 as a reset, and an endless head held until the time-out."""
    async def work() -> None:
        async def check(name: str, status: int, count: int) -> None:
            pieces = [piece.replace(b"%d", str(status).encode()) for piece in MALFORMED[name]]
            endpoint = RawServer(*pieces)
            owner, client = await endpoint.start()
            items = [item(str(n)) for n in range(count)]
            client.call("e0", items, 60 * S)
            results = [await owner.wait(i.message) for i in items]
            told = status == 200 and any(b" 200 " in piece for piece in pieces)
            expected = Outcome.OK if told and count == 1 else Outcome.ERROR
            assert {r.outcome for r in results} == {expected}, (name, status, count)
            async with asyncio.timeout(LIMIT_S):
                while not endpoint.ended:
                    await asyncio.sleep(0.01)
        async with asyncio.TaskGroup() as group:
            for name in MALFORMED:
                for status in (200, 503, 410):
                    for count in (1, 2):
                        group.create_task(check(name, status, count))
    run(work())


def test_bytes_after_an_answer_are_not_read_as_the_next_answer() -> None:
    """Guards against a second copy of an answer that is read as the next call's answer."""
    async def work() -> None:
        for pieces in ([GOOD + BUSY], [GOOD, BUSY], [GOOD + b"noise"], [GOOD, b"noise"]):
            endpoint = RawServer(*pieces)
            owner, client = await endpoint.start()
            for name in "abc":
                endpoint.written.clear()
                client.call("e0", [item(name)], 10 * S)
                assert (await owner.wait(name)).outcome is Outcome.OK
                await endpoint.written.wait()
            assert endpoint.connections == 3
    run(work())


def test_unread_bytes_in_the_kernel_are_not_read_as_the_next_answer() -> None:
    """Guards against a copy in the kernel's buffer, unread when the next call begins, that becomes its answer."""
    async def work() -> None:
        server = socket.create_server(("127.0.0.1", 0))
        owner = FakeOwner()
        client = EndpointClient(owner, S, 10 * S, ())
        client.set_address("e0", Address(*server.getsockname()))
        client.call("e0", [item("a")], 10 * S)
        loop = asyncio.get_running_loop()
        first, _ = await loop.run_in_executor(None, server.accept)
        await loop.run_in_executor(None, first.recv, 65536)
        first.sendall(GOOD)
        await owner.wait("a")
        client.call("e0", [item("b")], 10 * S)
        first.sendall(BUSY)  # before the loop runs again
        second, _ = await loop.run_in_executor(None, server.accept)
        await loop.run_in_executor(None, second.recv, 65536)
        second.sendall(GOOD)
        assert (await owner.wait("b")).outcome is Outcome.OK
        for each in (first, second, server):
            each.close()
    run(work())


def test_unusual_valid_answers_are_accepted_and_their_connection_reused() -> None:
    """Guards against rejecting interim answers, invalid load reports, and answers in pieces."""
    async def work() -> None:
        ahead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
        report = b"HTTP/1.1 503 Busy\r\nX-Load: \xff=;,x0=,x1=1e999\r\nContent-Length: 0\r\n\r\n"
        for pieces, outcome in (([ahead + BUSY], Outcome.FULL), ([ahead, BUSY], Outcome.FULL),
                                ([report], Outcome.FULL), ([GOOD[:3], GOOD[3:30], GOOD[30:]], Outcome.OK)):
            endpoint = RawServer(*pieces)
            owner, client = await endpoint.start()
            for name in "ab":
                client.call("e0", [item(name)], 10 * S)
                result = await owner.wait(name)
                assert result.outcome is outcome and result.limit is None
                await asyncio.sleep(REST_S)
            assert endpoint.connections == 1
    run(work())


def test_calls_above_the_connection_limit_are_not_sent() -> None:
    """Guards the file descriptors: an idle connection makes room, and a call above the limit is not sent."""
    async def work() -> None:
        silent, good = RawServer(), RawServer(GOOD)
        owner, client = await silent.start(most=3)
        await good.start()
        client.set_address("e1", Address("127.0.0.1", good.server.sockets[0].getsockname()[1]))
        client.call("e1", [item("idle")], 10 * S)
        await owner.wait("idle")
        for name in "abc":
            client.call("e0", [item(name)], 10 * S)
        async with asyncio.timeout(LIMIT_S):
            while not (good.ended and silent.connections == 3):
                await asyncio.sleep(0.01)
        client.call("e0", [item("d")], 10 * S)
        assert (await owner.wait("d")).outcome is Outcome.NOT_SENT
        assert silent.connections == 3
    run(work())


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
