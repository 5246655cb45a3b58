"""Clients that hand messages in at one courier, with control over when each byte is written."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass

from crossings_judge import HandIn

ANSWER_S = 8.0  # far beyond what any answer may take
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s: a close sends a reset


@dataclass(frozen=True)
class SendOptions:
    """How a client sends one request."""

    fresh: bool = False  # on a new connection
    held_s: float | None = None  # delay of the last byte
    more: bytes = b""  # follows the request at once, and is no complete request
    shut: bool = False  # the client half-closes after the request
    leave_s: float | None = None  # the client resets this long after the last byte
    linger_s: float = 0.0  # how long the client waits before it reads


class ClientSocket:
    """One connection; `used` counts its answered requests."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.used = sock, 0

    @classmethod
    async def dial(cls, address: str) -> ClientSocket | None:
        """Connect; None if that fails."""
        host, port = address.rsplit(":", 1)
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(ANSWER_S):
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except (OSError, TimeoutError):
            sock.close()
            return None
        return cls(sock)

    def rests(self) -> bool:
        """Return whether it is open and has nothing to read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def reset(self) -> None:
        """Close with a reset."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()

    async def write(self, data: bytes, way: SendOptions) -> bool:
        """Write a request. Return whether the last byte was written."""
        loop = asyncio.get_running_loop()
        try:
            if way.held_s is not None:
                await loop.sock_sendall(self.sock, data[:-1])
                await asyncio.sleep(way.held_s)
                await loop.sock_sendall(self.sock, data[-1:])
            else:
                await loop.sock_sendall(self.sock, data + way.more)
            if way.shut:
                self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    async def answer(self) -> tuple[int, bool]:
        """Return the status, and whether the connection stays open; 0 if it ends unanswered. Raises `TimeoutError`."""
        raw, loop = b"", asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_S):
            while (end := raw.find(b"\r\n\r\n")) < 0 or len(raw) < end + 4 + _length(raw[:end]):
                try:
                    data = await loop.sock_recv(self.sock, 65536)
                except OSError:
                    data = b""
                if not data:
                    return 0, False
                raw += data
        return int(raw.split(b" ", 2)[1]), b"connection: close" not in raw[:end].lower()


def _length(head: bytes) -> int:
    found = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return int(found[0].partition(b":")[2]) if found else 0


class Clients:
    """All clients. They keep connections, and reuse the one that has been idle longest."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[ClientSocket] = []
        self._keys: dict[str, asyncio.Lock] = {}

    async def hand_in(self, handed: HandIn, deadline_ms: int, way: SendOptions) -> None:
        """Hand a message in; those of one key go one after another."""
        if not handed.key:
            await self._hand_in(handed, deadline_ms, way)
            return
        async with self._keys.setdefault(handed.key, asyncio.Lock()):
            await self._hand_in(handed, deadline_ms, way)

    async def _hand_in(self, handed: HandIn, deadline_ms: int, way: SendOptions) -> None:
        await self._try(handed, deadline_ms, way)
        if handed.ended_at and not handed.fresh:  # the request may have crossed the end of a kept connection
            handed.tried, handed.whole_at, handed.ended_at = 2, 0.0, 0.0
            await self._try(handed, deadline_ms, SendOptions(fresh=True))

    async def _try(self, handed: HandIn, deadline_ms: int, way: SendOptions) -> None:
        line = None
        while not way.fresh and self._idle and line is None:
            line = self._idle.pop(0)
            if not line.rests():
                line.sock.close()
                line = None
        if line is None:
            line = await ClientSocket.dial(self.address)
        if line is None:
            return
        handed.fresh, handed.begun_at = not line.used, handed.begun_at or time.monotonic()
        keyed = f"Idempotency-Key: t-{handed.message}\r\n" if handed.effect == "keyed" else ""
        name = f"ordered-{handed.effect}" if handed.key else handed.effect
        if not await line.write((
                f"POST /api/{handed.key or 'x'} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {handed.message}\r\n"
                f"X-Class: {name}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Consignee: dest={handed.destination}\r\n{keyed}"
                f"Content-Length: 1\r\n\r\nx").encode(), way):
            line.sock.close()
            return
        handed.whole_at = time.monotonic()
        if way.leave_s is not None:
            await asyncio.sleep(way.leave_s)
            handed.left = True
            line.reset()
            return
        await asyncio.sleep(way.linger_s)
        try:
            status, on = await line.answer()
        except TimeoutError:
            line.reset()
            return
        if status:
            handed.status, handed.heard_at, line.used = status, time.monotonic(), line.used + 1
        else:
            handed.ended_at = time.monotonic()
        if status and on and not way.shut and not way.more:
            self._idle.append(line)
        else:
            line.sock.close()

    def close(self) -> None:
        """Close the idle connections."""
        for line in self._idle:
            line.sock.close()
