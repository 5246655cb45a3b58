"""Parses clients' requests and formats the answers to them. No I/O: bytes in, requests out.

httptools' parser (llhttp) does the framing and refuses input that may hide another request: a length given twice, a
length beside a transfer encoding, malformed chunks.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus

import httptools

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
_MAX_TARGET_BYTES = 8 * 1024
_MAX_HEADERS = 128


@dataclass(slots=True)
class Request:
    """A complete request. `headers` maps each header's name in lower case to its first value;
    `repeated_headers` holds the names of those that were given more than once."""

    method: str = ""
    target: str = ""
    version: str = "1.1"
    headers: dict[str, str] = field(default_factory=dict)
    repeated_headers: set[str] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = True  # whether its connection may stay open
    arrived_s: float | None = None  # monotonic: when its last byte may have arrived at the earliest; None: just now


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status and text of the answer to input that is no valid request; nothing after that input is read."""

    status: int
    text: str


class RequestReader:
    """Parser for the input of one connection."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.in_request = False  # a request has begun and is not complete
        self.expects_continue = False  # the client waits for `100 Continue` before it sends the body
        self._complete: list[Request] = []
        self._reset()
        self._parser = httptools.HttpRequestParser(self)

    def _reset(self) -> None:
        self._request, self._target, self._body = Request(), b"", bytearray()
        self._head_bytes = self._header_count = self._body_bytes_left = 0
        self._in_head = True

    def feed(self, data: bytes) -> list[Request]:
        """Parse more input and return the requests that it completes. Once `refusal` is set, nothing more is read; a
        CONNECT request is returned and also refused."""
        self._complete = []
        while data and self.refusal is None:
            if self._body_bytes_left:
                data = self._read_body(data)
                continue
            try:
                self._parser.feed_data(data)
                data = b""
            except httptools.HttpParserUpgrade as error:  # upgrades are not supported: the request itself is served
                data = data[error.args[0]:]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                self._refuse(400, f"no HTTP that can be read: {error}")  # unless the callback has refused it already
            except httptools.HttpParserError as error:
                self._refuse(400, f"no HTTP that can be read: {error}")
            if self.in_request and self._in_head:
                self._head_bytes += len(data) or 1
        if self.refusal is None and self.in_request and self._in_head and self._head_size() > MAX_HEAD_BYTES:
            self._refuse(431, "a head of more than 32 KiB")
        return self._complete

    def _read_body(self, data: bytes) -> bytes:
        """Read the body of a request for an upgrade and return the rest. The parser takes such a request to have no
        body; this guards against parsing the body as another request."""
        self._body += data[:self._body_bytes_left]
        data, self._body_bytes_left = data[self._body_bytes_left:], max(0, self._body_bytes_left - len(data))
        if not self._body_bytes_left:
            self._finish()
        return data

    def _head_size(self) -> int:
        return len(self._target) + self._head_bytes

    def _refuse(self, status: int, text: str) -> None:
        if self.refusal is None:
            self.refusal = Refusal(status, text)

    def _abort(self, status: int, text: str) -> None:
        self._refuse(status, text)
        raise ValueError(text)

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self.in_request = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the target."""
        self._target += url
        if len(self._target) > _MAX_TARGET_BYTES:
            self._abort(414, "a target of more than 8 KiB")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        request = self._request
        self._header_count += 1
        self._head_bytes += len(name) + len(value)
        if self._header_count > _MAX_HEADERS or self._head_bytes > MAX_HEAD_BYTES:
            self._abort(431, "a head of more than 128 fields or 32 KiB")
        key = name.decode("latin-1").lower()
        if key in request.headers:
            request.repeated_headers.add(key)
        else:
            request.headers[key] = value.decode("utf-8", "surrogateescape")

    def on_headers_complete(self) -> None:
        """Check the head, and refuse a body that is declared too large before any of it is read."""
        request = self._request
        request.method, request.version = self._parser.get_method().decode("latin-1"), self._parser.get_http_version()
        request.target, request.keep_alive = (self._target.decode("utf-8", "surrogateescape"),
                                              self._parser.should_keep_alive())
        self._in_head = False
        if request.version not in ("1.0", "1.1"):
            self._abort(400, "this version of HTTP is not spoken here; expected 1.0 or 1.1")
        length = request.headers.get("content-length", "0")
        if length.isdigit() and int(length[:20]) > MAX_BODY_BYTES:
            self._abort(413, f"a body of {length[:20]} bytes; expected {MAX_BODY_BYTES} at most")
        if (expected := request.headers.get("expect")) is not None:
            if expected.lower() != "100-continue":
                self._abort(417, "only 100-continue can be expected here")
            self.expects_continue = request.version == "1.1"

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._abort(413, f"a body of more than {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Finish the request, unless the body of a request for an upgrade is still to be read."""
        if self._parser.should_upgrade() and self._request.method != "CONNECT":
            if "transfer-encoding" in self._request.headers:
                self._abort(400, "chunks and another protocol can't be asked for at once")
            self._body_bytes_left = int(self._request.headers.get("content-length", "0"))
        if not self._body_bytes_left:
            self._finish()

    def _finish(self) -> None:
        self._request.body = bytes(self._body)
        self._complete.append(self._request)
        self.in_request = self.expects_continue = False
        if self._request.method == "CONNECT":
            self._abort(405, "no tunnels here")


class _DateHeader:
    """The Date header, formatted once a second."""

    def __init__(self) -> None:
        self._second, self._line = 0, b""

    def line(self) -> bytes:
        now = int(time.time())
        if now != self._second:
            self._second, self._line = now, f"Date: {formatdate(now, usegmt=True)}\r\n".encode()
        return self._line


_date_header = _DateHeader()
_STATUS_LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus}


def format_response(status: int, text: str = "", headers: Sequence[tuple[str, str]] = (), keep_alive: bool = True,
                    version: str = "1.1") -> bytes:
    """Return the bytes of a response. `status` must be in `HTTPStatus`, headers must be Latin-1; `version` is that of
    the request."""
    parts = [_STATUS_LINES[status], _date_header.line()]
    if not keep_alive:
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
