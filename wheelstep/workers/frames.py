"""Frames between the processes of one courier: a head in JSON and, with it, bytes as they are.

A frame is two lengths (4 bytes each, network order: head, bytes), the head, the bytes.
"""

from __future__ import annotations

import asyncio
import json
import logging
import struct
from collections.abc import Callable
from typing import Any

_LENGTHS = struct.Struct(">II")
MOST = 16 << 20  # bytes of a frame; a list of 10,000 endpoints has about 1 MB
_HIGH = 4 << 20  # bytes that may wait to be written

log = logging.getLogger(__name__)


def pack(head: dict[str, Any], body: bytes = b"") -> bytes:
    """One frame."""
    text = json.dumps(head, separators=(",", ":")).encode()
    return _LENGTHS.pack(len(text), len(body)) + text + body


class Frames(asyncio.Protocol):
    """One connection: tells each frame, in order, and the end. Bounded: what the other side does not read ends the
    connection once more than 4 MB wait, and no frame is longer than 16 MB."""

    def __init__(self, heard: Callable[[dict[str, Any], bytes], None], lost: Callable[[], None]) -> None:
        self._heard, self._lost = heard, lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._out: list[bytes] = []  # of this turn of the loop: they go out in one write
        self._out_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._lost()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= _LENGTHS.size and self._transport is not None:
            head_size, body_size = _LENGTHS.unpack_from(self._buffer)
            end = _LENGTHS.size + head_size + body_size
            if end > MOST:
                log.error("a frame of %d bytes; expected %d at most", end, MOST)
                self.close()
                return
            if len(self._buffer) < end:
                return
            text = self._buffer[_LENGTHS.size:_LENGTHS.size + head_size]
            body = bytes(self._buffer[_LENGTHS.size + head_size:end])
            del self._buffer[:end]
            try:
                self._heard(json.loads(text), body)
            except Exception:
                log.exception("a frame could not be used: %.200r", bytes(text))
                self.close()
                return

    @property
    def open(self) -> bool:
        """Can anything be sent?"""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def behind(self) -> int:
        """Bytes that wait to be written."""
        return self._out_size + (self._transport.get_write_buffer_size() if self._transport is not None else 0)

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """With what else is sent in this turn of the loop. False if it can't be."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self.behind > _HIGH:
            log.error("%d bytes wait for another process that does not read: the connection is given up", self.behind)
            self.close()
            return False
        frame = pack(head, body)
        if not self._out:
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(frame)
        self._out_size += len(frame)
        return True

    def _flush(self) -> None:
        out, self._out, self._out_size = self._out, [], 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(out))

    def close(self) -> None:
        """At once."""
        if self._transport is not None:
            self._transport.abort()
