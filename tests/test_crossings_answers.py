"""Answers that never end, to one message and to several: bounded in time and bytes, and judged by their first line."""

from __future__ import annotations

import asyncio

import pytest
from endpoint_clients import RawServer, item
from loopback import run

from wheelstep.courier.answer import MAX_BODY, MAX_HEAD, AnswerReader, MalformedError
from wheelstep.interface import Outcome

S = 1_000_000
ENDLESS = {
    "a body by bytes": [b"HTTP/1.1 %d Oh\r\nContent-Length: 90000\r\n\r\n", *[b"x"] * 3000],
    "a body without a length": [b"HTTP/1.1 %d Oh\r\n\r\n", *[b"m delivered\r\n"] * 3000],
    "chunks": [b"HTTP/1.1 %d Oh\r\nTransfer-Encoding: chunked\r\n\r\n", *[b"1\r\nx\r\n"] * 3000],
    "one chunk's extension": [b"HTTP/1.1 %d Oh\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", *[b"yyyy"] * 3000],
    "trailers": [b"HTTP/1.1 %d Oh\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", *[b"X: y\r\n"] * 3000],
    "a head by bytes": [b"HTTP/1.1 %d Oh\r\nX: ", *[b"x"] * 3000],
    "a first line by bytes": [b"HTTP/1.1 %d ", *[b"x"] * 3000],
}


@pytest.mark.parametrize("count", [1, 3])
def test_slowly_dripping_answer_is_cut_off(count: int) -> None:
    """Guards against an answer that occupies a slot by sending a few bytes every 10 ms: the call's own time-out is
    a minute."""
    async def work() -> None:
        async def check(name: str, status: int) -> None:
            owner, client = await RawServer(*(piece.replace(b"%d", b"%d" % status) for piece in ENDLESS[name])).start()
            client._dial_timeout_s = 30  # all cases share this machine and this event loop
            items = [item(f"m{n}") for n in range(count)]
            client.call("e0", items, 60 * S)
            results = [await owner.wait(i.message) for i in items]
            wanted = Outcome.OK if status == 200 and count == 1 else Outcome.ERROR
            assert {result.outcome for result in results} == {wanted}, (name, status)
            assert results[0].spent_us < 20 * S and client.connection_count() <= 1
        async with asyncio.timeout(50), asyncio.TaskGroup() as group:
            for name in ENDLESS:
                for status in (200, 503):
                    group.create_task(check(name, status))
    run(work())


@pytest.mark.parametrize("more", [b"X-%d: y\r\n", b"X-%d: " + b"y" * 900 + b"\r\n"])
def test_oversized_trailers_are_rejected(more: bytes) -> None:
    """Guards against trailers that fill the memory: they were bounded by time alone, which a fast endpoint does not
    reach."""
    reader = AnswerReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    with pytest.raises(MalformedError):
        for number in range(1_000_000):
            reader.feed(more % number)
    assert sum(map(len, reader.headers)) + sum(map(len, reader.headers.values())) <= 2 * MAX_BODY + MAX_HEAD
