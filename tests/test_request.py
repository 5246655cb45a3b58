"""The parser for clients' requests: input in pieces of any size, and invalid input."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheelstep.courier.request import MAX_BODY_BYTES, Request, RequestReader, format_response

HEAD = b"POST /api/k%2F1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\n"
GOOD = {
    "length": HEAD + b"Content-Length: 3\r\n\r\nabc",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    "nothing": b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n",
    "an upgrade that is not wanted": b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "an upgrade with a body": HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc",
}


def read(*pieces: bytes) -> tuple[list[Request], RequestReader]:
    """Feed the pieces to a new reader. Return the complete requests, and the reader."""
    reader, found = RequestReader(), []
    for piece in pieces:
        found += reader.feed(piece)
    return found, reader


@given(st.lists(st.sampled_from(sorted(GOOD)), min_size=1, max_size=5), st.randoms(use_true_random=False))
def test_requests_do_not_depend_on_how_input_is_split(names: list[str], rng: random.Random) -> None:
    """Guards against requests that are lost, merged or changed where a read ends within one."""
    data = b"".join(GOOD[name] for name in names)
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(12)))
    found, reader = read(*(data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)))
    assert reader.refusal is None and not reader.in_request
    assert [(r.method, r.body) for r in found] == [
        ("POST", b"abc") if b"POST" in GOOD[name] else ("GET", b"") for name in names]
    assert all(r.target == "/api/k%2F1" for r in found if r.method == "POST")


def test_requests_are_read_byte_by_byte() -> None:
    """Guards against a split at a place that the random test misses."""
    for name, data in GOOD.items():
        found, reader = read(*(data[at:at + 1] for at in range(len(data))))
        assert len(found) == 1 and reader.refusal is None, name


@pytest.mark.parametrize(("data", "status"), [
    (HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), 413),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n" + b"x" * 0x8000 + b"\r\n" + b"8001\r\n" + b"x" * 0x8001,
     413),
    (HEAD + b"X: " + b"x" * 40_000, 431), (HEAD + b"X: y\r\n" * 200, 431), (b"POST /" + b"x" * 9000, 414),
    (HEAD + b"Expect: tea\r\n\r\n", 417), (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 405),
    (HEAD.replace(b"1.1", b"2.0") + b"\r\n", 400),
    (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)])
def test_invalid_input_gets_its_status_and_nothing_after_it_is_read(data: bytes, status: int) -> None:
    """Guards against a request that is hidden in or after invalid input."""
    reader = RequestReader()
    before = reader.feed(GOOD["length"] + data + GOOD["length"])
    assert reader.refusal is not None and reader.refusal.status == status
    assert [r.body for r in before if r.method == "POST"] == [b"abc"]
    assert reader.feed(GOOD["length"]) == []


def test_a_client_that_expects_100_continue_gets_it() -> None:
    """curl sends `Expect: 100-continue` with larger bodies and waits a second for the response."""
    found, reader = read(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
    assert found == [] and reader.expects_continue
    assert [r.body for r in reader.feed(b"abc")] == [b"abc"] and not reader.expects_continue


def test_a_response_has_the_connection_header_of_its_version() -> None:
    """Guards against clients that wait for an end of the connection, or send on a closed one."""
    assert b"\r\nConnection: close\r\n" in format_response(400, "no\n", keep_alive=False)
    assert b"\r\nConnection: keep-alive\r\n" in format_response(202, version="1.0")
    assert b"Connection" not in format_response(202)
    assert format_response(503, "no\n", (("Retry-After", "1"),)).endswith(b"\r\nContent-Length: 3\r\n\r\nno\n")
