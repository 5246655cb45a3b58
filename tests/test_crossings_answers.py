"""Answers that never end, to one message and to several: bounded in time and bytes, and told by their first line."""

from __future__ import annotations

import asyncio

import pytest
from loopback import run
from test_outlet import Raw, item

from wheelstep.courier.answer import MOST_BODY, MOST_HEAD, AnswerReader, SpoiltError
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
def test_an_answer_that_trickles_has_its_end(count: int) -> None:
    """Some bytes every 10 ms; the call's own time is a minute."""
    async def work() -> None:
        async def play(name: str, status: int) -> None:
            owner, outlet = await Raw(*(piece.replace(b"%d", b"%d" % status) for piece in ENDLESS[name])).start()
            outlet._dial_s = 30  # all of them share this machine and this loop
            items = [item(f"m{n}") for n in range(count)]
            outlet.call("e0", items, 60 * S)
            results = [await owner.wait(i.message) for i in items]
            wanted = Outcome.OK if status == 200 and count == 1 else Outcome.ERROR
            assert {result.outcome for result in results} == {wanted}, (name, status)
            assert results[0].spent_us < 20 * S and outlet.links() <= 1
        async with asyncio.timeout(50), asyncio.TaskGroup() as group:
            for name in ENDLESS:
                for status in (200, 503):
                    group.create_task(play(name, status))
    run(work())


@pytest.mark.parametrize("more", [b"X-%d: y\r\n", b"X-%d: " + b"y" * 900 + b"\r\n"])
def test_trailers_have_a_bound_in_bytes(more: bytes) -> None:
    """Once, only time bounded them: a quick endpoint could fill the memory within that."""
    reader = AnswerReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    with pytest.raises(SpoiltError):
        for number in range(1_000_000):
            reader.feed(more % number)
    assert sum(map(len, reader.headers)) + sum(map(len, reader.headers.values())) <= 2 * MOST_BODY + MOST_HEAD
