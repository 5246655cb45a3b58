"""Parses clients' requests. No I/O: bytes in, requests out.

httptools' parser (llhttp) does the framing and refuses input that may hide another request: a length given twice, a
length beside a transfer encoding, malformed chunks.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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


_SEPARATOR = b"\0"  # behind each name and value: llhttp refuses a head with this byte
_FRAMING_FIELDS = {len(name): name for name in (b"content-length", b"expect")}  # by their length


class RequestHead:
    """The fields of a head that is not complete, as the bytes that came: as strings in a dictionary, short fields would
    take forty times the memory."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.count = 0
        self.framing: dict[str, str] = {}
        """The first values of the fields that are needed before the body comes, by name in lower case."""

    @property
    def size_bytes(self) -> int:
        """The bytes that are kept."""
        return len(self._data)

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        self._data += name + _SEPARATOR + value + _SEPARATOR
        self.count += 1
        if name.lower() == _FRAMING_FIELDS.get(len(name)):
            self.framing.setdefault(name.lower().decode(), value.decode("utf-8", "surrogateescape"))

    def parsed(self) -> tuple[dict[str, str], set[str]]:
        """Return the first value of each name in lower case, and the names that were given more than once."""
        headers: dict[str, str] = {}
        repeated: set[str] = set()
        parts = bytes(self._data).split(_SEPARATOR)
        for name, value in zip(parts[::2], parts[1::2], strict=False):  # the last part is empty
            key = name.decode("latin-1").lower()
            if key in headers:
                repeated.add(key)
            else:
                headers[key] = value.decode("utf-8", "surrogateescape")
        return headers, repeated


class RequestReader:
    """Parser for the input of one connection. What it keeps of an incomplete request is bounded in bytes, whatever the
    parser has reported of it: llhttp collects a header until its end."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.in_request = False  # a request has begun and is not complete
        self.expects_continue = False  # the client waits for `100 Continue` before it sends the body
        self._complete: list[Request] = []
        self._reset()
        self._parser = httptools.HttpRequestParser(self)

    def _reset(self) -> None:
        self._request, self._target, self._body, self._head = Request(), b"", bytearray(), RequestHead()
        self._content_length = self._body_bytes_left = 0
        self._unreported_bytes = 0  # given to the parser since it last called back
        self._in_head = True

    def close(self) -> None:
        """Release what is kept. Nothing may be fed any more. The parser and its callbacks refer to each other: without
        this, they would stay until a full garbage collection."""
        self._reset()
        del self._parser

    def feed(self, data: bytes) -> list[Request]:
        """Parse more input and return the requests that it completes. Once `refusal` is set, nothing more is read; a
        CONNECT request is returned and also refused."""
        self._complete = []
        while data and self.refusal is None:
            if self._body_bytes_left:
                data = self._read_body(data)
                continue
            self._unreported_bytes += len(data)
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
        if self.refusal is None and self.in_request and self._head_size() > MAX_HEAD_BYTES:
            self._refuse(431, "a head, or a trailer, of more than 32 KiB")
        return self._complete

    def _read_body(self, data: bytes) -> bytes:
        """Read the body of a request for an upgrade and return the rest. The parser takes such a request to have no
        body; this guards against parsing the body as another request."""
        self._body += data[:self._body_bytes_left]
        data, self._body_bytes_left = data[self._body_bytes_left:], max(0, self._body_bytes_left - len(data))
        if not self._body_bytes_left:
            self._finish()
        return data

    @property
    def body_bytes_left(self) -> int:
        """The bytes that are still to come of a body whose length is known, else 0."""
        if self._in_head or not self.in_request:
            return 0
        return self._body_bytes_left or max(0, self._content_length - len(self._body))

    @property
    def size_bytes(self) -> int:
        """The bytes that are kept of an incomplete request."""
        return self._head_size() + len(self._body) if self.in_request else 0

    def _head_size(self) -> int:
        return len(self._target) + self._head.size_bytes + self._unreported_bytes

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
        self._unreported_bytes = 0
        self._target += url
        if len(self._target) > _MAX_TARGET_BYTES:
            self._abort(414, "a target of more than 8 KiB")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or a field of the trailer."""
        self._unreported_bytes = 0
        self._head.add(name, value)
        if self._head.count > _MAX_HEADERS or self._head.size_bytes > MAX_HEAD_BYTES:
            self._abort(431, "a head of more than 128 fields or 32 KiB")

    def on_headers_complete(self) -> None:
        """Check the head, and refuse a body that is declared too large before any of it is read."""
        self._unreported_bytes = 0
        request = self._request
        request.method, request.version = self._parser.get_method().decode("latin-1"), self._parser.get_http_version()
        request.target, request.keep_alive = (self._target.decode("utf-8", "surrogateescape"),
                                              self._parser.should_keep_alive())
        self._in_head = False
        if request.version not in ("1.0", "1.1"):
            self._abort(400, "this version of HTTP is not spoken here; expected 1.0 or 1.1")
        headers = self._head.framing
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length[:20]) > MAX_BODY_BYTES:
            self._abort(413, f"a body of {length[:20]} bytes; expected {MAX_BODY_BYTES} at most")
        self._content_length = int(length) if length.isascii() and length.isdigit() else 0
        if (expected := headers.get("expect")) is not None:
            if expected.lower() != "100-continue":
                self._abort(417, "only 100-continue can be expected here")
            self.expects_continue = request.version == "1.1"

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        self._unreported_bytes = 0
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._abort(413, f"a body of more than {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Finish the request, unless the body of a request for an upgrade is still to be read."""
        self._request.headers, self._request.repeated_headers = self._head.parsed()
        if self._parser.should_upgrade() and self._request.method != "CONNECT":
            if "transfer-encoding" in self._request.headers:
                self._abort(400, "chunks and another protocol can't be asked for at once")
            self._body_bytes_left = self._content_length
        if not self._body_bytes_left:
            self._finish()

    def _finish(self) -> None:
        self._request.body = bytes(self._body)
        self._complete.append(self._request)
        self.in_request = self.expects_continue = False
        if self._request.method == "CONNECT":
            self._abort(405, "no tunnels here")
