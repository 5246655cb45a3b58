"""Clients on plain blocking sockets and a client server in the same process. While a client sends, the event loop is
blocked, so its data is in the kernel before anything is read."""

from __future__ import annotations

import asyncio
import socket
import struct

from loopback import LIMIT_S
from test_client_server import FakeAdmission, request

from wheelstep.courier.client_phases import Phase
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.config import Address

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSE = {"Connection": "close"}


class SocketScene:
    """A client server, and sockets of clients. `send_buffer`: the size in bytes for its connections, 0 for default."""

    def __init__(self, max_connections: int = 200, send_buffer: int = 0) -> None:
        self.admission, self._buffer = FakeAdmission(), send_buffer
        self.server = ClientServer(self.admission, {"once": False}, max_connections)
        self._clients: list[socket.socket] = []

    async def __aenter__(self) -> SocketScene:
        listener = socket.create_server(("127.0.0.1", 0))
        if self._buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._buffer)
        self._address = ("127.0.0.1", await self.server.start(Address("", 0), listener))
        self.connections = self.server._connections
        assert self.connections is not None
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()
        for client in self._clients:
            client.close()

    def client(self, data: bytes = b"", receive_buffer: int = 0) -> socket.socket:
        """Return a client that has connected and sent `data` before the server does anything."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(self._address)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # otherwise the kernel delays a second part
        client.sendall(data)
        client.setblocking(False)
        self._clients.append(client)
        return client

    async def idle(self, name: str) -> socket.socket:
        """Return a client whose connection is idle, and for long enough to be evicted."""
        client = self.client(request(name))
        assert b" 202 " in await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 4096), LIMIT_S)
        await self.until(lambda: any(c.phase is Phase.IDLE for c in self.connections.all()))
        self.age(Phase.IDLE)
        return client

    def age(self, phase: Phase) -> None:
        """Let the time limit pass for all connections in this phase."""
        for connection in self.connections.all():
            connection.phase_since -= 100 if connection.phase is phase else 0

    async def until(self, done: object) -> None:
        """Wait until `done` returns true."""
        async with asyncio.timeout(LIMIT_S):
            while not done():  # type: ignore[operator]
                await asyncio.sleep(0.002)


async def read_all(client: socket.socket) -> bytes:
    """Return all that comes until the connection is closed. Raises `ConnectionError` on a reset."""
    found = b""
    async with asyncio.timeout(LIMIT_S):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            found += data
    return found


def reset(client: socket.socket) -> None:
    """Close the connection with a reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()
