"""Calls to endpoints: each outcome hangs on what was written and when."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from loopback import LIMIT_S, Call, Endpoint, Reply, run

from wheelstep import interface as api
from wheelstep.courier.call import Item, Result
from wheelstep.courier.config import Address
from wheelstep.courier.outlet import Outlet
from wheelstep.interface import Outcome

S = 1_000_000


class Owner:
    """Stands for the core."""

    syncs = False

    async def safe(self) -> bool:
        return True

    def __init__(self) -> None:
        self.started: list[str] = []
        self.whole = 0
        self.waits: list[int] = []
        self.barred: set[str] = set()
        self.results: dict[str, Result] = {}
        self.probes: asyncio.Queue[Result] = asyncio.Queue()
        self._news = asyncio.Condition()

    async def settled(self, items: Sequence[Item]) -> None:
        pass

    def may_start(self, endpoint: str, item: Item) -> bool:
        return item.message not in self.barred

    def may_probe(self, endpoint: str) -> bool:
        return True

    def written(self, messages: int) -> None:
        self.whole += messages

    def starting(self, endpoint: str, items: Sequence[Item]) -> None:
        self.started += [item.message for item in items]

    def told_to_wait(self, endpoint: str, wait_us: int) -> None:
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


async def scene(idle_us: int = 10 * S) -> tuple[Owner, Endpoint, Outlet]:
    owner, endpoint = Owner(), Endpoint()
    outlet = Outlet(owner, S, idle_us, ("x0", "x1"))
    host, port = (await endpoint.start()).split(":")
    outlet.list("e0", Address(host, int(port)))
    return owner, endpoint, outlet


async def outcome_of(reply: Reply, *items: Item) -> list[Result]:
    owner, endpoint, outlet = await scene()

    async def answer(call: Call) -> Reply:
        return reply
    endpoint.reply = answer
    outlet.call("e0", items, 10 * S)
    return [await owner.wait(i.message) for i in items]


def test_what_an_answer_means() -> None:
    async def work() -> None:
        cases = [
            ((200, {}, b""), Outcome.OK, False, False),
            ((500, {}, b""), Outcome.ERROR, False, False),
            ((302, {}, b""), Outcome.ERROR, False, False),
            ((429, {"Retry-After": "0.25"}, b""), Outcome.FULL, False, False),
            ((503, {}, b""), Outcome.FULL, False, False),
            ((503, {"X-Line-Busy": "1"}, b""), Outcome.NOT_SENT, False, False),
            ((504, {}, b""), Outcome.NOT_SENT, False, True),
            ((410, {}, b""), Outcome.NOT_SENT, True, False)]
        for reply, outcome, over, exhausted in cases:
            (result,) = await outcome_of(reply, item("m"))
            assert (result.outcome, result.over, result.exhausted) == (outcome, over, exhausted), reply
    run(work())


def test_waits_and_reports_bind_in_any_answer() -> None:
    async def work() -> None:
        headers = {"Retry-After": "0.25", "X-Load": "x0=0.4,junk,x1=25,x2=nan"}
        (result,) = await outcome_of((200, headers, b""), item("m"))
        assert result.wait_us == 250_000 and result.limit == api.LimitReport(0.4, 25.0)
        results = await outcome_of((200, headers, b"a delivered\r\nb refused\r\n"), item("a"), item("b"))
        assert [r.wait_us for r in results] == [250_000, 250_000]
        (result,) = await outcome_of((429, {"Retry-After": "soon", "X-Load": "x0=inf"}, b""), item("m"))
        assert result.wait_us == 0 and result.limit is None
    run(work())


def test_messages_of_a_bulk_call_fare_differently() -> None:
    async def work() -> None:
        items = [item(name) for name in "abcdefg"]
        body = b"a delivered\r\nb failed\r\nc refused\r\nd over\r\ne spent\r\nf whatever\r\n"
        results = await outcome_of((200, {}, body), *items)
        assert [r.outcome for r in results] == [
            Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.NOT_SENT, Outcome.NOT_SENT, Outcome.ERROR,
            Outcome.ERROR]
        assert results[3].over and results[4].exhausted
        assert {r.outcome for r in await outcome_of((503, {}, b""), *items)} == {Outcome.FULL}
    run(work())


def test_the_bulk_form() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        outlet.call("e0", [item("a", b"one\r\n"), Item("b", 0, "tok", b"")], 10 * S)
        call = (await endpoint.wait(1))[0]
        assert call.target == "/inbox/bulk"
        assert call.body == b"a - 5\r\none\r\n\r\nb tok 0\r\n\r\n"
    run(work())


def test_a_torn_bulk_answer_may_mean_anything() -> None:
    async def work() -> None:
        owner, outlet = Owner(), None

        async def tear(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"b - 1\r\nx\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\na delivered\r\nb deliv")
            await writer.drain()
            writer.close()
        server = await asyncio.start_server(tear, "127.0.0.1", 0)
        outlet = Outlet(owner, S, 10 * S, ())
        outlet.list("e0", Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        outlet.call("e0", [item("a"), item("b")], 10 * S)
        assert (await owner.wait("a")).outcome is Outcome.ERROR
        assert (await owner.wait("b")).outcome is Outcome.ERROR
    run(work())


class Raw:
    """An endpoint that writes just these bytes for each call, in pieces, and leaves the connection open."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces: tuple[bytes, ...] = pieces
        self.connections = self.ended = 0
        self.written = asyncio.Event()

    async def start(self, idle_us: int = 10 * S, most: int = 100) -> tuple[Owner, Outlet]:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        owner = Owner()
        outlet = Outlet(owner, S, idle_us, ("x0", "x1"), most)
        outlet.list("e0", Address("127.0.0.1", self.server.sockets[0].getsockname()[1]))
        return owner, outlet

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
SPOILT = {
    "noise": [b"\x00\xfe\x01 noise\r\n\r\n"],
    "noise without a line": [b"\x7f\x45\x4c\x46"],
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


def test_a_spoilt_answer_may_have_run_and_ends_its_connection() -> None:
    """Once, a torn 503 counted as never run, an unreadable 200 as a reset, and a head without end held its
    slot for the whole time-out."""
    async def work() -> None:
        async def play(name: str, status: int, count: int) -> None:
            pieces = [piece.replace(b"%d", str(status).encode()) for piece in SPOILT[name]]
            endpoint = Raw(*pieces)
            owner, outlet = await endpoint.start()
            items = [item(str(n)) for n in range(count)]
            outlet.call("e0", items, 60 * S)
            results = [await owner.wait(i.message) for i in items]
            told = status == 200 and any(b" 200 " in piece for piece in pieces)
            expected = Outcome.OK if told and count == 1 else Outcome.ERROR
            assert {r.outcome for r in results} == {expected}, (name, status, count)
            async with asyncio.timeout(LIMIT_S):
                while not endpoint.ended:
                    await asyncio.sleep(0.01)
        async with asyncio.TaskGroup() as group:
            for name in SPOILT:
                for status in (200, 503, 410):
                    for count in (1, 2):
                        group.create_task(play(name, status, count))
    run(work())


def test_what_comes_behind_an_answer_is_nobodys() -> None:
    """Once, a second copy stayed in the reader, and the next call took it for its own answer."""
    async def work() -> None:
        for pieces in ([GOOD + BUSY], [GOOD, BUSY], [GOOD + b"noise"], [GOOD, b"noise"]):
            endpoint = Raw(*pieces)
            owner, outlet = await endpoint.start()
            for name in "abc":
                endpoint.written.clear()
                outlet.call("e0", [item(name)], 10 * S)
                assert (await owner.wait(name)).outcome is Outcome.OK
                await endpoint.written.wait()
            assert endpoint.connections == 3
    run(work())


def test_what_came_while_the_loop_was_busy_is_nobodys_either() -> None:
    """The copy is in the kernel's buffer, not yet read, when the next call begins."""
    async def work() -> None:
        server = socket.create_server(("127.0.0.1", 0))
        owner = Owner()
        outlet = Outlet(owner, S, 10 * S, ())
        outlet.list("e0", Address(*server.getsockname()))
        outlet.call("e0", [item("a")], 10 * S)
        loop = asyncio.get_running_loop()
        first, _ = await loop.run_in_executor(None, server.accept)
        await loop.run_in_executor(None, first.recv, 65536)
        first.sendall(GOOD)
        await owner.wait("a")
        outlet.call("e0", [item("b")], 10 * S)
        first.sendall(BUSY)  # before the loop runs again
        second, _ = await loop.run_in_executor(None, server.accept)
        await loop.run_in_executor(None, second.recv, 65536)
        second.sendall(GOOD)
        assert (await owner.wait("b")).outcome is Outcome.OK
        for each in (first, second, server):
            each.close()
    run(work())


def test_good_answers_that_look_odd() -> None:
    async def work() -> None:
        ahead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
        report = b"HTTP/1.1 503 Busy\r\nX-Load: \xff=;,x0=,x1=1e999\r\nContent-Length: 0\r\n\r\n"
        for pieces, outcome in (([ahead + BUSY], Outcome.FULL), ([ahead, BUSY], Outcome.FULL),
                                ([report], Outcome.FULL), ([GOOD[:3], GOOD[3:30], GOOD[30:]], Outcome.OK)):
            endpoint = Raw(*pieces)
            owner, outlet = await endpoint.start()
            for name in "ab":
                outlet.call("e0", [item(name)], 10 * S)
                result = await owner.wait(name)
                assert result.outcome is outcome and result.limit is None
            assert endpoint.connections == 1
    run(work())


def test_connections_have_a_bound_in_total() -> None:
    """Guards the descriptors: an idle connection makes room, and a call too many is not sent."""
    async def work() -> None:
        silent, good = Raw(), Raw(GOOD)
        owner, outlet = await silent.start(most=3)
        await good.start()
        outlet.list("e1", Address("127.0.0.1", good.server.sockets[0].getsockname()[1]))
        outlet.call("e1", [item("idle")], 10 * S)
        await owner.wait("idle")
        for name in "abc":
            outlet.call("e0", [item(name)], 10 * S)
        async with asyncio.timeout(LIMIT_S):
            while not (good.ended and silent.connections == 3):
                await asyncio.sleep(0.01)
        outlet.call("e0", [item("d")], 10 * S)
        assert (await owner.wait("d")).outcome is Outcome.NOT_SENT
        assert silent.connections == 3
    run(work())


def test_no_listener_means_connect_failed() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        endpoint.port.close()
        outlet.call("e0", [item("m")], 10 * S)
        assert (await owner.wait("m")).outcome is Outcome.CONNECT_FAILED
        assert owner.started == []
    run(work())


def test_a_break_before_the_last_byte_never_ran_and_after_it_may_have() -> None:
    async def work() -> None:
        async def slam(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            data = await reader.read(1000)
            if b"big" in data:
                writer.transport.abort()  # with most of the body unread
            else:
                writer.close()
        owner = Owner()
        server = await asyncio.start_server(slam, "127.0.0.1", 0, limit=1000)
        outlet = Outlet(owner, S, 10 * S, ())
        outlet.list("e0", Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        outlet.call("e0", [item("big", b"x" * (32 << 20))], 20 * S)
        assert (await owner.wait("big")).outcome is Outcome.CONNECT_FAILED
        outlet.call("e0", [item("small")], 10 * S)
        assert (await owner.wait("small")).outcome is Outcome.RESET
    run(work())


def test_a_time_out_and_a_cancel_close_the_connection() -> None:
    async def work() -> None:
        async def hang(call: Call) -> None:
            return None
        owner, endpoint, outlet = await scene()
        endpoint.reply = hang
        outlet.call("e0", [item("late")], S // 5)
        assert (await owner.wait("late")).outcome is Outcome.TIMEOUT
        outlet.call("e0", [item("off")], 10 * S)
        await endpoint.wait(2)
        outlet.cancel("off", 0)
        assert (await owner.wait("off")).outcome is Outcome.CANCELLED
        async with asyncio.timeout(LIMIT_S):
            for call in endpoint.calls:
                await call.closed.wait()
    run(work())


def test_a_call_cancelled_at_once_has_its_outcome_too() -> None:
    """Once, a task that was cancelled before its first step told nothing, and its message was lost."""
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        outlet.call("e0", [item("a"), item("b")], 10 * S)
        outlet.cancel("a", 0)
        assert (await owner.wait("a")).outcome is Outcome.NOT_SENT
        assert (await owner.wait("b")).outcome is Outcome.NOT_SENT
        assert endpoint.calls == []
    run(work())


def test_connections_are_kept_and_carry_one_call_at_a_time() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        for name in "abc":
            outlet.call("e0", [item(name)], 10 * S)
            await owner.wait(name)
        assert endpoint.connections == 1
        gate = asyncio.Event()

        async def slow(call: Call) -> Reply:
            await gate.wait()
            return 200, {}, b""
        endpoint.reply = slow
        outlet.call("e0", [item("d")], 10 * S)
        outlet.call("e0", [item("e")], 10 * S)
        calls = await endpoint.wait(5)
        gate.set()
        await owner.wait("d")
        await owner.wait("e")
        assert calls[3].connection != calls[4].connection and endpoint.connections == 2
        outlet.close_idle("e0")
        async with asyncio.timeout(LIMIT_S):
            await calls[3].closed.wait()
            await calls[4].closed.wait()
    run(work())


def test_an_idle_connection_is_given_up_before_its_endpoint_would() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene(idle_us=S // 2)
        sweep = asyncio.create_task(outlet.sweep())
        outlet.call("e0", [item("a")], 10 * S)
        await owner.wait("a")
        async with asyncio.timeout(LIMIT_S):
            await endpoint.calls[0].closed.wait()
        outlet.call("e0", [item("b")], 10 * S)
        assert (await owner.wait("b")).outcome is Outcome.OK
        sweep.cancel()
    run(work())


def test_what_became_wrong_while_dialling_is_not_sent() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        owner.barred = {"a", "c"}
        outlet.call("e0", [item("a"), item("b")], 10 * S)
        assert (await owner.wait("a")).outcome is Outcome.NOT_SENT
        assert (await owner.wait("b")).outcome is Outcome.OK
        outlet.call("e0", [item("c")], 10 * S)
        assert (await owner.wait("c")).outcome is Outcome.NOT_SENT
        assert [call.headers["x-request-id"] for call in endpoint.calls] == ["b"]
        assert owner.started == ["b"] and endpoint.connections == 1
    run(work())


def test_a_probe() -> None:
    async def work() -> None:
        owner, endpoint, outlet = await scene()
        outlet.probe("e0", 10 * S)
        assert (await owner.probes.get()).outcome is Outcome.OK
        assert endpoint.calls[0].target == "/healthz"

        async def shut(call: Call) -> Reply:
            return 503, {"X-Load": "x0=0,x1=5"}, b""
        endpoint.reply = shut
        outlet.probe("e0", 10 * S)
        result = await owner.probes.get()
        assert result.outcome is Outcome.FULL and result.limit == api.LimitReport(0.0, 5.0)
    run(work())


def test_a_call_waits_for_its_attempt_to_be_safe_and_is_looked_at_once_more() -> None:
    """With a sync policy the first byte comes after the sync; what drained meanwhile is not sent."""
    async def test() -> None:
        owner, endpoint, outlet = await scene()
        owner.syncs = True  # type: ignore[misc]
        synced = asyncio.Event()

        async def safe() -> bool:
            await synced.wait()
            return True

        owner.safe = safe  # type: ignore[method-assign]
        outlet.call("e0", [Item("a", 0, None, b"x")], 5 * S)
        outlet.call("e0", [Item("b", 0, None, b"x")], 5 * S)
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
