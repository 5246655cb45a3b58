"""The sockets of a fleet: sealed datagrams, and sealed requests over HTTP. Packets without a valid seal are counted,
logged at intervals, and dropped.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
from aiohttp import web

from wheelstep.courier.config import Address
from wheelstep.fleet.datagrams import Datagrams
from wheelstep.fleet.packets import STREAM, STREAM_BYTES, HigherBoot, PacketError, PacketSeal, Reason
from wheelstep.fleet.peer_connections import READ_S, PeerConnections, RequestRoom
from wheelstep.fleet.types import Answer, Ask, Packet, Stood, Voted
from wheelstep.moves.types import Moved

_PATH = "/fleet"
_MAX_REQUESTS = 256  # concurrent, of all peers
_SWEEP_S = 0.25

log = logging.getLogger(__name__)

OnPacket = Callable[[str, str, Packet], None]  # sender, its address, packet
OnRequest = Callable[[str, Ask], Awaitable[Answer | None]]  # sender, request; None if there is no answer


class Peers(asyncio.DatagramProtocol):
    """The sockets of courier `me` of a fleet. `keys` seal as in `PacketSeal`, under boot number `boot`.
    `on_packet` gets datagrams; `on_request` answers requests, and a request without an answer gets status 503."""

    def __init__(self, keys: Sequence[bytes], fleet: str, me: str, boot: int, now_us: Callable[[], int],
                 on_packet: OnPacket, on_request: OnRequest) -> None:
        self._now_us, self._on_request = now_us, on_request
        self.datagram_seal = PacketSeal(keys, fleet, me, boot)
        self.stream_seal = PacketSeal(keys, fleet, me, boot, lane="stream", max_bytes=STREAM_BYTES)
        self._datagrams = Datagrams(self.datagram_seal, now_us, self._sendto, on_packet, self._on_higher_boot)
        self._transport: asyncio.DatagramTransport | None = None
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._active_requests = 0
        self._room = RequestRoom()
        self._sweeping: asyncio.Task[None] | None = None
        self._dropped = 0  # datagrams that the system could not send, requests beyond the limit

    @property
    def dropped(self) -> int:
        """Number of datagrams that could not be sent and of requests beyond the limit."""
        return self._dropped + self._datagrams.dropped

    async def start(self, listen: Address) -> None:
        """Listen on UDP and TCP. Raises `OSError`."""
        app = web.Application(client_max_size=STREAM_BYTES + 1024)
        app.router.add_post(_PATH, self._serve)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        listener = socket.create_server((listen.host, listen.port))
        port = listener.getsockname()[1]
        await web.SockSite(self._runner, listener).start()
        self._sweeping = asyncio.create_task(self._sweep_connections(self._runner))
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, port))
        # One request on each connection: on a kept one, an answer that comes twice would be read as the next one.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=4, limit=512, force_close=True),
            auto_decompress=False, trust_env=False)

    async def _sweep_connections(self, runner: web.AppRunner) -> None:
        """Close connections that are too old or too many, until cancelled."""
        connections: PeerConnections[web.RequestHandler] = PeerConnections()
        while runner.server is not None:
            for connection in connections.expired(runner.server.connections, time.monotonic()):
                connection.force_close()
            await asyncio.sleep(_SWEEP_S)

    async def close(self) -> None:
        """Close all sockets and connections."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    # --- datagrams ---

    def send(self, address: str, name: str, packet: Packet) -> None:
        """Send to the member `name` ("" if unknown) at an address. The datagram may be lost."""
        self._datagrams.send(address, name, packet)

    def _sendto(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(":")
        if self._transport is not None:
            self._transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from the socket."""
        self._datagrams.received(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Count a send error that the system reported."""
        self._dropped += 1

    def _on_higher_boot(self, higher_boot: HigherBoot) -> None:
        for seal in (self.datagram_seal, self.stream_seal):
            if seal.raise_boot(higher_boot, self._now_us()):
                log.warning("the fleet knows a higher boot number of this courier: now using boot %d", seal.boot)

    # --- streams ---

    async def ask(self, address: str, name: str, ask: Ask, timeout_s: float) -> Answer | None:
        """Send a request to a member and return its answer; None on any failure."""
        if self._session is None:
            return None
        try:
            data = self.stream_seal.pack(name, ask)
            async with self._session.post(f"http://{address}{_PATH}", data=data,
                                          timeout=aiohttp.ClientTimeout(total=timeout_s)) as response:
                body = await response.read()
                opened = self.stream_seal.open(body, STREAM) if response.status in (200, 409) else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, PacketError):
            return None
        if opened is None or opened.sender != name:
            return None
        if isinstance(opened.payload, HigherBoot):
            self._on_higher_boot(opened.payload)
            return None
        return opened.payload if isinstance(opened.payload, Voted | Stood | Moved) else None

    async def _serve(self, request: web.Request) -> web.Response:
        if (size_bytes := request.content_length) is None:
            return web.Response(status=411)
        if self._active_requests >= _MAX_REQUESTS or not self._room.take(size_bytes):
            self._dropped += 1
            return web.Response(status=503)
        self._active_requests += 1
        try:
            async with asyncio.timeout(READ_S):
                body = await request.read()
            opened = self.stream_seal.open(body, STREAM)
            if isinstance(opened.payload, HigherBoot | Voted | Stood | Moved):
                return web.Response(status=400)
            answer = await self._on_request(opened.sender, opened.payload)
        except PacketError as error:
            packet = None
            if error.reason is Reason.OLD_BOOT:
                packet = self.stream_seal.higher_boot_packet(error.sender, self._now_us())
            return web.Response(status=409, body=packet) if packet is not None else web.Response(status=400)
        except TimeoutError:
            return web.Response(status=408)
        finally:
            self._active_requests -= 1
            self._room.give_back(size_bytes)
        if answer is None:
            return web.Response(status=503)
        return web.Response(body=self.stream_seal.pack(opened.sender, answer))

    def notes(self) -> list[str]:
        """Return log lines about refused packets, at most one per lane and reason in 10 seconds."""
        now_us = self._now_us()
        return [*self.datagram_seal.notes(now_us), *self.stream_seal.notes(now_us)]
