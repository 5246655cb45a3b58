"""An HTTP/1.1 request to the platform's agent whose answer is read piece by piece, however long it stays open.

httptools does the framing. What has come and is not read yet is bounded: the socket is not read meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httptools

from wheelstep.courier.config import Address
from wheelstep.courier.dialling import connect

_MAX_HEAD_BYTES = 64 * 1024  # of an answer, and of a trailer
_MAX_UNREAD_BYTES = 64 * 1024  # of a body; beyond that the socket is not read


class StreamError(Exception):
    """The answer can't be read, or its connection ended before it was complete."""


class HttpStream(asyncio.Protocol):
    """One request on a connection of its own, and its answer."""

    def __init__(self) -> None:
        self.status = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._changed = asyncio.Event()
        self._unread = bytearray()
        self._unreported_bytes = 0  # given to the parser since it last called back
        self._head_bytes = 0
        self._has_head = self._complete = self._ended = False
        self._ends_with_connection = True
        self._error: StreamError | None = None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse further bytes of the answer."""
        if self._complete or self._error is not None:
            return
        self._unreported_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                self._fail(f"the answer is malformed: {error!s:.200}")
        if self._head_bytes + self._unreported_bytes > _MAX_HEAD_BYTES:
            self._fail(f"a head, or a field, of more than {_MAX_HEAD_BYTES} bytes")
        if len(self._unread) > _MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nothing more will come."""
        self._ended = True
        self._changed.set()

    def _fail(self, text: str) -> None:
        self._error = self._error or StreamError(text)

    # --- callbacks of httptools ---

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note how the body ends, and bound the head."""
        self._unreported_bytes = 0
        self._head_bytes += len(name) + len(value)
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._ends_with_connection = False

    def on_headers_complete(self) -> None:
        """Note the status, unless the answer is an interim one."""
        self._unreported_bytes = self._head_bytes = 0
        status = self._parser.get_status_code()
        if status >= 200:
            self.status, self._has_head = status, True

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body until it is read."""
        self._unreported_bytes = 0
        self._unread += data

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        self._complete = self._has_head

    # --- for the caller ---

    def send(self, request: bytes) -> None:
        """Write the request."""
        assert self._transport is not None
        self._transport.write(request)

    async def read_head(self) -> int:
        """Wait for the answer's head and return its status. Raises `StreamError`."""
        while not self._has_head:
            await self._wait()
        return self.status

    async def read(self) -> bytes:
        """Return the next piece of the body, none once it is complete. Raises `StreamError`."""
        while not self._unread and not self._complete:
            await self._wait()
        data = bytes(self._unread)
        self._unread.clear()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    async def _wait(self) -> None:
        """Wait for something new. Raises `StreamError` if nothing more can come."""
        if self._error is not None:
            raise self._error
        if self._ended:
            if not (self._has_head and self._ends_with_connection):
                raise StreamError("the connection ended before the answer was complete")
            self._complete = True
            return
        self._changed.clear()
        await self._changed.wait()

    def close(self) -> None:
        """Close the connection. The parser and its callbacks refer to each other, so it is released here."""
        if self._transport is not None:
            self._transport.abort()
        self._complete = True
        del self._parser


@asynccontextmanager
async def request_stream(address: Address, method: str, path: str, body: bytes = b"") -> AsyncIterator[HttpStream]:
    """Context of one request, whose connection is closed at the end. Raises `OSError` where no connection can be
    opened; there is no time limit."""
    head = [f"{method} {path} HTTP/1.1", f"Host: {address.host}:{address.port}", "Accept: */*"]
    if body:
        head += ["Content-Type: application/octet-stream", f"Content-Length: {len(body)}"]
    stream = await connect(address, HttpStream)
    try:
        stream.send("\r\n".join([*head, "Connection: close", "", ""]).encode() + body)
        yield stream
    finally:
        stream.close()
