"""HTTP/1.1 on asyncio's protocols, parsed by httptools: exposes when bytes arrive, and neither retries nor pools."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

MAX_BODY_BYTES = 1 << 20  # of a request or an answer that a stand-in reads
_MAX_HEAD_BYTES = 64 * 1024
_REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found", 410: "Gone",
            413: "Too Large", 429: "Too Many Requests", 500: "Error", 503: "Unavailable", 504: "Timeout"}


@dataclass(slots=True)
class Request:
    """One complete request. Times are the event loop's, in seconds."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_byte_at: float
    last_byte_at: float


class _MessageReader:
    """Callbacks for httptools that collect one message at a time; subclasses add `on_message_complete`."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self._head_bytes = 0

    def on_message_begin(self) -> None:
        self.headers, self.body, self._head_bytes = {}, bytearray(), 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise ValueError("the head is too long")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError("the body is too long")


class Server(asyncio.Protocol, _MessageReader):
    """One served connection; subclasses implement `on_request`, and `on_connect` and `on_disconnect` if needed."""

    def __init__(self) -> None:
        _MessageReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self.first_byte_at: float | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = ""
        self.closed = False

    def on_request(self, request: Request) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """Handle the end of the connection, by either side."""

    def on_connect(self) -> None:
        """Handle the start of the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and call `on_connect`."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.on_connect()

    def data_received(self, data: bytes) -> None:
        """Parse received data; reset the connection if it is malformed."""
        if self.first_byte_at is None:
            self.first_byte_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.abort()

    def eof_received(self) -> bool:
        """Close the connection: a courier that stops sending has cancelled the call."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed and call `on_disconnect`."""
        self.closed = True
        self.on_disconnect()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        self._target += url.decode("latin-1")

    def on_message_complete(self) -> None:
        """Pass the request to `on_request` unless the connection has ended."""
        now = asyncio.get_running_loop().time()
        request = Request(self._parser.get_method().decode(), self._target, self.headers, bytes(self.body),
                          self.first_byte_at or now, now)
        self._target, self.first_byte_at = "", None
        if not self.closed:
            self.on_request(request)

    def answer(self, status: int, headers: Mapping[str, str] | None = None, body: bytes = b"",
               close: bool = False) -> None:
        """Send an answer unless the connection is closing; with `close` close it afterwards."""
        if self.transport is None or self.closed or self.transport.is_closing():
            return
        self.transport.write(render(status, {**(headers or {}), **({"Connection": "close"} if close else {})}, body))
        if close:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send raw bytes, which need not be valid HTTP."""
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None and not self.closed:
            with contextlib.suppress(OSError):  # SO_LINGER with timeout 0 makes the kernel send a reset
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()


def render(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return a complete answer as bytes."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Client(asyncio.Protocol, _MessageReader):
    """One client connection to a courier, with one request at a time."""

    def __init__(self) -> None:
        _MessageReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.used = 0  # number of answered requests
        self._answer: asyncio.Future[tuple[int, dict[str, str], bytes] | None] | None = None
        self._parser = httptools.HttpResponseParser(self)

    @classmethod
    async def dial(cls, host: str, port: int) -> Client:
        """Open a connection. Raises `OSError`."""
        _, made = await asyncio.get_running_loop().create_connection(cls, host, port)
        return made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if it is malformed."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as closed; a pending `exchange` returns None."""
        self.closed = True
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)

    def on_message_complete(self) -> None:
        """Pass the answer to the pending `exchange`; informational answers are ignored."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self.used += 1
        if not self._parser.should_keep_alive():
            self.closed = True
        if self._answer is not None and not self._answer.done():
            self._answer.set_result((status, self.headers, bytes(self.body)))

    async def exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request; return the answer's status, headers and body, None if the connection ends without one."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self._answer

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Port:
    """A port that stays bound when it doesn't listen; `factory` makes the protocol of each connection."""

    def __init__(self, make: Callable[[], asyncio.Protocol], host: str = "127.0.0.1") -> None:
        self.factory, self._host = make, host
        self._bound = self._bind(0)
        self.port: int = self._bound.getsockname()[1]
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{self._host}:{self.port}"

    def _bind(self, port: int) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self._host, port))
        bound.setblocking(False)
        return bound

    async def listen(self) -> None:
        """Accept connections."""
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: self.factory(), sock=self._bound, backlog=512)

    def refuse(self) -> None:
        """Refuse new connections and keep the port; open connections stay."""
        if self._server is not None:
            self._server.close()  # closes the socket
            self._server = None
        else:
            self._bound.close()
        self._bound = self._bind(self.port)

    def drop_connections(self) -> None:
        """Listen with an accept queue of one and accept nothing: once it is full, Linux ignores new connections."""
        self._bound.listen(0)

    def close(self) -> None:
        """Release the port."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._bound.close()
