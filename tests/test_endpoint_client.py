"""Answers of endpoints: what they mean for each message of a call, and malformed or unrequested ones."""


from __future__ import annotations

import asyncio
import socket

from endpoint_clients import BUSY, GOOD, MALFORMED, FakeOwner, RawServer, S, connected_client, item, outcome_of
from loopback import LIMIT_S, run

from wheelstep import interface as api
from wheelstep.courier.call import Item
from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient
from wheelstep.courier.reuse import REST_S
from wheelstep.interface import Outcome


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
