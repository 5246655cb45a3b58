"""Clients' requests as bytes, and answers to them. No I/O: bytes in, requests out.

httptools' parser (llhttp) gives the framing and refuses what may hide another request: a length given twice, a length
beside an encoding, odd chunks.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus

import httptools

MOST_BODY = 64 * 1024
MOST_HEAD = 32 * 1024
_MOST_TARGET = 8 * 1024
_MOST_FIELDS = 128


@dataclass(slots=True)
class Request:
    """One whole request. `once` has each header's first value by its name in lower case, `twice` the names of those
    that were given more than once."""

    method: str = ""
    target: str = ""
    version: str = "1.1"
    once: dict[str, str] = field(default_factory=dict)
    twice: set[str] = field(default_factory=set)
    body: bytes = b""
    keep: bool = True  # may its connection go on?


@dataclass(frozen=True, slots=True)
class Refusal:
    """What came can't be used, and nothing behind it is read."""

    status: int
    text: str


class RequestReader:
    """One connection's bytes."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.inside = False  # a request has begun and is not whole
        self.wants_more = False  # its client waits to be told to go on (`Expect: 100-continue`)
        self._found: list[Request] = []
        self._begin()
        self._parser = httptools.HttpRequestParser(self)

    def _begin(self) -> None:
        self._now, self._target, self._body = Request(), b"", bytearray()
        self._head = self._fields = self._missing = 0
        self._in_head = True

    def feed(self, data: bytes) -> list[Request]:
        """The requests that are whole by now. Once `refusal` is set, nothing more is read."""
        self._found = []
        while data and self.refusal is None:
            if self._missing:
                data = self._fill(data)
                continue
            try:
                self._parser.feed_data(data)
                data = b""
            except httptools.HttpParserUpgrade as error:  # not wanted here: the request itself counts
                data = data[error.args[0]:]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                self._refuse(400, f"no HTTP that can be read: {error}")  # unless the callback has said why
            except httptools.HttpParserError as error:
                self._refuse(400, f"no HTTP that can be read: {error}")
            if self.inside and self._in_head:
                self._head += len(data) or 1
        if self.refusal is None and self.inside and self._in_head and self._held() > MOST_HEAD:
            self._refuse(431, "a head of more than 32 KiB")
        return self._found

    def _fill(self, data: bytes) -> bytes:
        """The parser takes what asks for another protocol to have no body. Guards against one that passes for a
        request of its own."""
        self._body += data[:self._missing]
        data, self._missing = data[self._missing:], max(0, self._missing - len(data))
        if not self._missing:
            self._complete()
        return data

    def _held(self) -> int:
        return len(self._target) + self._head

    def _refuse(self, status: int, text: str) -> None:
        if self.refusal is None:
            self.refusal = Refusal(status, text)

    def _stop(self, status: int, text: str) -> None:
        self._refuse(status, text)
        raise ValueError(text)

    # --- what httptools tells ---

    def on_message_begin(self) -> None:
        self._begin()
        self.inside = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > _MOST_TARGET:
            self._stop(414, "a target of more than 8 KiB")

    def on_header(self, name: bytes, value: bytes) -> None:
        now = self._now
        self._fields += 1
        self._head += len(name) + len(value)
        if self._fields > _MOST_FIELDS or self._head > MOST_HEAD:
            self._stop(431, "a head of more than 128 fields or 32 KiB")
        key = name.decode("latin-1").lower()
        if key in now.once:
            now.twice.add(key)
        else:
            now.once[key] = value.decode("utf-8", "surrogateescape")

    def on_headers_complete(self) -> None:
        now = self._now
        now.method, now.version = self._parser.get_method().decode("latin-1"), self._parser.get_http_version()
        now.target, now.keep = self._target.decode("utf-8", "surrogateescape"), self._parser.should_keep_alive()
        self._in_head = False
        if now.version not in ("1.0", "1.1"):
            self._stop(400, "this version of HTTP is not spoken here; expected 1.0 or 1.1")
        length = now.once.get("content-length", "0")
        if length.isdigit() and int(length[:20]) > MOST_BODY:
            self._stop(413, f"a body of {length[:20]} bytes; expected {MOST_BODY} at most")
        if (expected := now.once.get("expect")) is not None:
            if expected.lower() != "100-continue":
                self._stop(417, "only 100-continue can be expected here")
            self.wants_more = now.version == "1.1"

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MOST_BODY:
            self._stop(413, f"a body of more than {MOST_BODY} bytes")

    def on_message_complete(self) -> None:
        if self._parser.should_upgrade() and self._now.method != "CONNECT":
            if "transfer-encoding" in self._now.once:
                self._stop(400, "chunks and another protocol can't be asked for at once")
            self._missing = int(self._now.once.get("content-length", "0"))
        if not self._missing:
            self._complete()

    def _complete(self) -> None:
        self._now.body = bytes(self._body)
        self._found.append(self._now)
        self.inside = self.wants_more = False
        if self._now.method == "CONNECT":
            self._stop(405, "no tunnels here")


class _Dates:
    """The time of an answer, made once a second."""

    def __init__(self) -> None:
        self._second, self._text = 0, b""

    def line(self) -> bytes:
        now = int(time.time())
        if now != self._second:
            self._second, self._text = now, f"Date: {formatdate(now, usegmt=True)}\r\n".encode()
        return self._text


_dates = _Dates()
_STARTS = {status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus}


def answer(status: int, text: str = "", headers: Sequence[tuple[str, str]] = (), keep: bool = True,
           version: str = "1.1") -> bytes:
    """One answer, ready to be written."""
    parts = [_STARTS[status], _dates.line()]
    if not keep:
        parts.append(b"Connection: close\r\n")
    elif version == "1.0":
        parts.append(b"Connection: keep-alive\r\n")
    parts += [f"{name}: {value}\r\n".encode("latin-1") for name, value in headers]
    if text:
        body = text.encode("utf-8", "replace")
        if not any(name == "Content-Type" for name, _ in headers):
            parts.append(b"Content-Type: text/plain; charset=utf-8\r\n")
        parts.append(b"Content-Length: %d\r\n\r\n" % len(body) + body)
    else:
        parts.append(b"Content-Length: 0\r\n\r\n")
    return b"".join(parts)
