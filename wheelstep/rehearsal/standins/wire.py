"""HTTP/1.1 on asyncio's protocols, parsed by httptools: which byte came when, and nothing behind one's back."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

MOST_BODY = 1 << 20  # of a request or an answer that a stand-in reads
_MOST_HEAD = 64 * 1024
_REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found", 410: "Gone",
            413: "Too Large", 429: "Too Many Requests", 500: "Error", 503: "Unavailable", 504: "Timeout"}


@dataclass(slots=True)
class Request:
    """One request whose last byte came. Times are the loop's, in seconds."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_at: float
    last_at: float


class _Reader:
    """Gathers one message at a time for httptools; subclasses say what happens when it is whole."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self._head_bytes = 0

    def on_message_begin(self) -> None:
        self.headers, self.body, self._head_bytes = {}, bytearray(), 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _MOST_HEAD:
            raise ValueError("the head is too long")
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > MOST_BODY:
            raise ValueError("the body is too long")


class Server(asyncio.Protocol, _Reader):
    """One connection that a stand-in serves. A subclass gives `requested` and may give `lost` and `began`."""

    def __init__(self) -> None:
        _Reader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self.first_at: float | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = ""
        self.gone = False

    # --- for subclasses ---

    def requested(self, request: Request) -> None:
        """A request came whole."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection has ended, whoever ended it."""

    def connected(self) -> None:
        """It is up."""

    # --- asyncio and httptools ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connected()

    def data_received(self, data: bytes) -> None:
        if self.first_at is None:
            self.first_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.abort()

    def eof_received(self) -> bool:
        return False  # a courier that ends its sending has given the call up

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.lost()

    def on_url(self, url: bytes) -> None:
        self._target += url.decode("latin-1")

    def on_message_complete(self) -> None:
        now = asyncio.get_running_loop().time()
        request = Request(self._parser.get_method().decode(), self._target, self.headers, bytes(self.body),
                          self.first_at or now, now)
        self._target, self.first_at = "", None
        if not self.gone:
            self.requested(request)

    # --- what one may do with it ---

    def answer(self, status: int, headers: Mapping[str, str] | None = None, body: bytes = b"",
               close: bool = False) -> None:
        """Write a whole answer, if there is still anyone to read it."""
        if self.transport is None or self.gone or self.transport.is_closing():
            return
        self.transport.write(render(status, {**(headers or {}), **({"Connection": "close"} if close else {})}, body))
        if close:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Write any bytes."""
        if self.transport is not None and not self.gone:
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None and not self.gone:
            with contextlib.suppress(OSError):  # lingering for no time makes the kernel send a reset
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()


def render(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """A whole answer."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Client(asyncio.Protocol, _Reader):
    """One connection to a courier: one request at a time, and the answer's status and headers."""

    def __init__(self) -> None:
        _Reader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self.gone = False
        self.used = 0  # requests that were answered
        self._answer: asyncio.Future[tuple[int, dict[str, str], bytes] | None] | None = None
        self._parser = httptools.HttpResponseParser(self)

    @classmethod
    async def dial(cls, host: str, port: int) -> Client:
        """A new connection; raises `OSError`."""
        _, made = await asyncio.get_running_loop().create_connection(cls, host, port)
        return made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(None)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        self.used += 1
        if not self._parser.should_keep_alive():
            self.gone = True
        if self._answer is not None and not self._answer.done():
            self._answer.set_result((status, self.headers, bytes(self.body)))

    async def ask(self, data: bytes) -> tuple[int, dict[str, str], bytes] | None:
        """Write a request and wait for its answer; None if the connection ends without one."""
        if self.gone or self.transport is None or self.transport.is_closing():
            return None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self._answer

    def close(self) -> None:
        """At once."""
        self.gone = True
        if self.transport is not None:
            self.transport.abort()


class Port:
    """A listening port that is held also while nothing listens there: then a connection is refused."""

    def __init__(self, make: Callable[[], asyncio.Protocol], host: str = "127.0.0.1") -> None:
        self.make, self._host = make, host
        self._bound = self._bind(0)
        self.port: int = self._bound.getsockname()[1]
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """host:port."""
        return f"{self._host}:{self.port}"

    def _bind(self, port: int) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self._host, port))
        bound.setblocking(False)
        return bound

    async def listen(self) -> None:
        """Take connections."""
        if self._server is None:
            self._server = await asyncio.get_running_loop().create_server(
                lambda: self.make(), sock=self._bound, backlog=512)

    def refuse(self) -> None:
        """Refuse connections from now on, and keep the port. Those that stand stay."""
        if self._server is not None:
            self._server.close()  # closes the socket
            self._server = None
        else:
            self._bound.close()
        self._bound = self._bind(self.port)

    def hush(self) -> None:
        """Listen with a queue of one that nobody empties: once it is full, what asks to connect is not answered."""
        self._bound.listen(0)

    def close(self) -> None:
        """Give the port back."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._bound.close()
