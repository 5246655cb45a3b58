"""The sockets of a fleet: sealed datagrams, and sealed requests over HTTP. Packets without a valid seal are counted,
logged at intervals, and dropped.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
from aiohttp import web

from wheelstep.courier.config import Address
from wheelstep.fleet.datagrams import Datagrams
from wheelstep.fleet.packets import STREAM, STREAM_BYTES, HigherBoot, PacketError, Reason, Seal
from wheelstep.fleet.types import Answer, Ask, Packet, Stood, Voted
from wheelstep.moves.types import Moved

_PATH = "/fleet"
_MAX_REQUESTS = 256  # concurrent, of all peers

log = logging.getLogger(__name__)

Heard = Callable[[str, str, Packet], None]
Asked = Callable[[str, Ask], Awaitable[Answer | None]]


class Peers(asyncio.DatagramProtocol):
    """`heard` gets datagrams (sender, address, packet); `asked` answers requests (sender, ask)."""

    def __init__(self, keys: Sequence[bytes], fleet: str, me: str, boot: int, now_us: Callable[[], int], heard: Heard,
                 asked: Asked) -> None:
        self._now_us, self._asked = now_us, asked
        self.datagrams = Seal(keys, fleet, me, boot)
        self.streams = Seal(keys, fleet, me, boot, lane="stream", most_bytes=STREAM_BYTES)
        self._packets = Datagrams(self.datagrams, now_us, self._sendto, heard, self._elder)
        self._transport: asyncio.DatagramTransport | None = None
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._active_requests = 0
        self._dropped = 0  # datagrams that the system could not send, requests beyond the limit

    @property
    def dropped(self) -> int:
        """Number of datagrams that could not be sent and of requests beyond the limit."""
        return self._dropped + self._packets.dropped

    async def start(self, listen: Address) -> None:
        """Listen on UDP and TCP. Raises `OSError`."""
        app = web.Application(client_max_size=STREAM_BYTES + 1024)
        app.router.add_post(_PATH, self._serve)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        listener = socket.create_server((listen.host, listen.port))
        port = listener.getsockname()[1]
        await web.SockSite(self._runner, listener).start()
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, port))
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=4, limit=512, keepalive_timeout=30),
            auto_decompress=False, trust_env=False)

    async def close(self) -> None:
        """Close all sockets and connections."""
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    # --- datagrams ---

    def send(self, address: str, name: str, packet: Packet) -> None:
        """Send to the member `name` ("" if unknown) at an address. The datagram may be lost."""
        self._packets.send(address, name, packet)

    def _sendto(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(":")
        if self._transport is not None:
            self._transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from the socket."""
        self._packets.received(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Count a send error that the system reported."""
        self._dropped += 1

    def _elder(self, elder: HigherBoot) -> None:
        for seal in (self.datagrams, self.streams):
            if seal.raise_boot(elder, self._now_us()):
                log.warning("the fleet knows a higher boot number of this courier: now using boot %d", seal.boot)

    # --- streams ---

    async def ask(self, address: str, name: str, ask: Ask, timeout_s: float) -> Answer | None:
        """Send a request to a member and return its answer; None on any failure."""
        if self._session is None:
            return None
        try:
            data = self.streams.pack(name, ask)
            async with self._session.post(f"http://{address}{_PATH}", data=data,
                                          timeout=aiohttp.ClientTimeout(total=timeout_s)) as response:
                body = await response.read()
                opened = self.streams.open(body, STREAM) if response.status in (200, 409) else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, PacketError):
            return None
        if opened is None or opened.sender != name:
            return None
        if isinstance(opened.payload, HigherBoot):
            self._elder(opened.payload)
            return None
        return opened.payload if isinstance(opened.payload, Voted | Stood | Moved) else None

    async def _serve(self, request: web.Request) -> web.Response:
        if self._active_requests >= _MAX_REQUESTS:
            self._dropped += 1
            return web.Response(status=503)
        self._active_requests += 1
        try:
            opened = self.streams.open(await request.read(), STREAM)
            if isinstance(opened.payload, HigherBoot | Voted | Stood | Moved):
                return web.Response(status=400)
            answer = await self._asked(opened.sender, opened.payload)
        except PacketError as error:
            elder = None
            if error.reason is Reason.OLD_BOOT:
                elder = self.streams.stale_boot(error.sender, self._now_us())
            return web.Response(status=409, body=elder) if elder is not None else web.Response(status=400)
        finally:
            self._active_requests -= 1
        if answer is None:
            return web.Response(status=503)
        return web.Response(body=self.streams.pack(opened.sender, answer))

    def notes(self) -> list[str]:
        """Return log lines about refused packets."""
        now_us = self._now_us()
        return [*self.datagrams.notes(now_us), *self.streams.notes(now_us)]
