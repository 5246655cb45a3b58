"""Clients' requests as bytes: the same whatever the pieces, and nothing behind what can't be used."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheelstep.courier.request import MOST_BODY, Request, RequestReader, answer

HEAD = b"POST /api/k%2F1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\n"
GOOD = {
    "length": HEAD + b"Content-Length: 3\r\n\r\nabc",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    "nothing": b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
    "an upgrade that is not wanted": b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "an upgrade with a body": HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc",
}


def read(*pieces: bytes) -> tuple[list[Request], RequestReader]:
    reader, found = RequestReader(), []
    for piece in pieces:
        found += reader.feed(piece)
    return found, reader


@given(st.lists(st.sampled_from(sorted(GOOD)), min_size=1, max_size=5), st.randoms(use_true_random=False))
def test_requests_are_the_same_whatever_the_pieces(names: list[str], rng: random.Random) -> None:
    data = b"".join(GOOD[name] for name in names)
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(12)))
    found, reader = read(*(data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)))
    assert reader.refusal is None and not reader.inside
    assert [(r.method, r.body) for r in found] == [
        ("POST", b"abc") if b"POST" in GOOD[name] else ("GET", b"") for name in names]
    assert all(r.target == "/api/k%2F1" for r in found if r.method == "POST")


def test_every_byte_by_itself() -> None:
    for name, data in GOOD.items():
        found, reader = read(*(data[at:at + 1] for at in range(len(data))))
        assert len(found) == 1 and reader.refusal is None, name


@pytest.mark.parametrize(("data", "status"), [
    (HEAD + b"Content-Length: %d\r\n\r\n" % (MOST_BODY + 1), 413),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n" + b"x" * 0x8000 + b"\r\n" + b"8001\r\n" + b"x" * 0x8001,
     413),
    (HEAD + b"X: " + b"x" * 40_000, 431), (HEAD + b"X: y\r\n" * 200, 431), (b"POST /" + b"x" * 9000, 414),
    (HEAD + b"Expect: tea\r\n\r\n", 417), (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 405),
    (HEAD.replace(b"1.1", b"2.0") + b"\r\n", 400),
    (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)])
def test_nothing_is_read_behind_what_cannot_be_used(data: bytes, status: int) -> None:
    reader = RequestReader()
    before = reader.feed(GOOD["length"] + data + GOOD["length"])
    assert reader.refusal is not None and reader.refusal.status == status
    assert [r.body for r in before if r.method == "POST"] == [b"abc"]
    assert reader.feed(GOOD["length"]) == []


def test_a_client_that_waits_is_told_to_go_on() -> None:
    """curl sends `Expect: 100-continue` with larger bodies and waits a second for its answer."""
    found, reader = read(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
    assert found == [] and reader.wants_more
    assert [r.body for r in reader.feed(b"abc")] == [b"abc"] and not reader.wants_more


def test_what_an_answer_says_of_its_connection() -> None:
    assert b"\r\nConnection: close\r\n" in answer(400, "no\n", keep=False)
    assert b"\r\nConnection: keep-alive\r\n" in answer(202, version="1.0")
    assert b"Connection" not in answer(202)
    assert answer(503, "no\n", (("Retry-After", "1"),)).endswith(b"\r\nContent-Length: 3\r\n\r\nno\n")
