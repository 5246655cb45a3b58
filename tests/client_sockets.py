"""Clients as plain blocking sockets against a server of the clients' side in this process: while one sends, the loop
stands still, so that what it sent lies in the kernel before anything is read."""

from __future__ import annotations

import asyncio
import socket
import struct

from loopback import LIMIT_S
from test_client_server import Owner, request

from wheelstep.courier.client_phases import Phase
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSE = {"Connection": "close"}


class Sockets:
    """The server; `send_buffer` is that of its connections."""

    def __init__(self, most: int = 200, send_buffer: int = 0) -> None:
        self.owner, self._buffer = Owner(), send_buffer
        self.server = ClientServer(self.owner, {"once": False}, most)
        self._clients: list[socket.socket] = []

    async def __aenter__(self) -> Sockets:
        listener = socket.create_server(("127.0.0.1", 0))
        if self._buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._buffer)
        self._address = ("127.0.0.1", await self.server.start(Address("", 0), listener))
        self.all = self.server._connections
        assert self.all is not None
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()
        for client in self._clients:
            client.close()

    def client(self, data: bytes = b"", receive_buffer: int = 0) -> socket.socket:
        """One that has connected and sent this, before the server does anything."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(self._address)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else its system holds a second part back
        client.sendall(data)
        client.setblocking(False)
        self._clients.append(client)
        return client

    async def idle(self, name: str) -> socket.socket:
        """One that has had an answer and rests, for long enough to make room."""
        client = self.client(request(name))
        assert b" 202 " in await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 4096), LIMIT_S)
        await self.until(lambda: any(c.phase is Phase.IDLE for c in self.all.all()))
        self.age(Phase.IDLE)
        return client

    def age(self, phase: Phase) -> None:
        """As if all time that one may stay in it were up."""
        for connection in self.all.all():
            connection.since -= 100 if connection.phase is phase else 0

    async def until(self, done: object) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not done():  # type: ignore[operator]
                await asyncio.sleep(0.002)


async def rest(client: socket.socket) -> bytes:
    """All that comes until the end; a reset fails."""
    found = b""
    async with asyncio.timeout(LIMIT_S):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            found += data
    return found


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()
