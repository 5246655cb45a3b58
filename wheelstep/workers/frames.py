"""Frames between the processes of one courier: a head in JSON and a body of raw bytes.

A frame is the lengths of head and body (4 bytes each, network order), the head, the body.
"""

from __future__ import annotations

import asyncio
import json
import logging
import struct
from collections.abc import Callable
from typing import Any

_LENGTHS = struct.Struct(">II")
MAX_FRAME_BYTES = 16 << 20  # a list of 10,000 endpoints has about 1 MB
_MAX_BUFFERED_BYTES = 4 << 20  # of frames that wait to be written

log = logging.getLogger(__name__)


def pack(head: dict[str, Any], body: bytes = b"") -> bytes:
    """Return the bytes of one frame."""
    text = json.dumps(head, separators=(",", ":")).encode()
    return _LENGTHS.pack(len(text), len(body)) + text + body


class FrameConnection(asyncio.Protocol):
    """One connection: calls `on_frame` with the head and body of each frame, in order, and `on_end` at its end. It is
    closed when more than 4 MB wait for a peer that does not read, and when a frame is invalid or longer than 16 MB."""

    def __init__(self, on_frame: Callable[[dict[str, Any], bytes], None], on_end: Callable[[], None]) -> None:
        self._on_frame, self._on_end = on_frame, on_end
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._outgoing: list[bytes] = []  # frames of this turn of the event loop, sent in one write
        self._outgoing_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio.Protocol)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end (asyncio.Protocol)."""
        self._transport = None
        self._on_end()

    def data_received(self, data: bytes) -> None:
        """Pass on complete frames (asyncio.Protocol). One that is too long or invalid closes the connection."""
        self._buffer += data
        while len(self._buffer) >= _LENGTHS.size and self._transport is not None:
            head_size, body_size = _LENGTHS.unpack_from(self._buffer)
            end = _LENGTHS.size + head_size + body_size
            if end > MAX_FRAME_BYTES:
                log.error("frame of %d bytes; expected at most %d; closing the connection", end, MAX_FRAME_BYTES)
                self.close()
                return
            if len(self._buffer) < end:
                return
            text = self._buffer[_LENGTHS.size:_LENGTHS.size + head_size]
            body = bytes(self._buffer[_LENGTHS.size + head_size:end])
            del self._buffer[:end]
            try:
                self._on_frame(json.loads(text), body)
            except Exception:
                log.exception("failed to handle a frame: %.200r; closing the connection", bytes(text))
                self.close()
                return

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that wait to be written."""
        return self._outgoing_bytes + (self._transport.get_write_buffer_size() if self._transport is not None else 0)

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """Queue a frame, written with the others of this event loop turn. Return False if the connection is closed, or
        is closed now as too much is queued."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self.buffered_bytes > _MAX_BUFFERED_BYTES:
            log.error("%d bytes wait for a process that does not read; closing the connection", self.buffered_bytes)
            self.close()
            return False
        frame = pack(head, body)
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outgoing.append(frame)
        self._outgoing_bytes += len(frame)
        return True

    def _flush(self) -> None:
        out, self._outgoing, self._outgoing_bytes = self._outgoing, [], 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(out))

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
