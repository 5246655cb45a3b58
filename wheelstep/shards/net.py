"""Sockets for a shard node: byte streams over TCP and datagrams over UDP, on one port (ports.Net)."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from wheelstep.shards.ports import Accept, Lost, Pipe, Received

MAX_PIPES = 8_192
_BACKLOG = 1_024  # the listen backlog
_PORT_TRIES = 8  # attempts to find a port that is free for both
_UNACKED_MS = 10_000  # data not acknowledged by the peer's kernel for this long ends a pipe
_IDLE_S, _PROBES = 5, 3  # TCP keepalive: three probes of a silent pipe, 5 s apart

log = logging.getLogger(__name__)


class Sockets:
    """All sockets of one node (ports.Net). Addresses are `host:port` with numeric hosts: resolving a name in `send`
    would block the event loop."""

    def __init__(self, max_pipes: int = MAX_PIPES) -> None:
        self._max_pipes = max_pipes
        self._pipes: set[_SocketPipe] = set()
        self._servers: list[asyncio.Server] = []
        self._datagrams: list[_Datagrams] = []
        self.dropped = 0  # datagrams not sent, and pipes beyond the limit

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listens for pipes and datagrams on one port; port 0 picks a free one. Raises `OSError`."""
        host, port = _split(address)
        loop = asyncio.get_running_loop()
        for attempt in range(_PORT_TRIES if port == 0 else 1):
            server = await loop.create_server(lambda: _SocketPipe(self, accept), host, port, backlog=_BACKLOG)
            bound: int = server.sockets[0].getsockname()[1]
            try:
                transport, datagrams = await loop.create_datagram_endpoint(lambda: _Datagrams(self, datagram),
                                                                   local_addr=(host, bound))
            except OSError:
                server.close()
                if attempt + 1 == _PORT_TRIES or port:
                    raise
            else:
                self._servers.append(server)
                datagrams.transport = transport
                self._datagrams.append(datagrams)
                break
        return _join(host, bound)

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """Opens a pipe. Raises `OSError`; the caller limits the time."""
        host, port = _split(address)
        if len(self._pipes) >= self._max_pipes:
            self.dropped += 1
            raise OSError(f"{self._max_pipes} connections are open, which is the limit: expected fewer")
        pipe = _SocketPipe(self, lambda _: (received, lost))
        try:
            await asyncio.get_running_loop().create_connection(lambda: pipe, host, port)
        except BaseException:
            pipe.close()
            raise
        return pipe

    def send(self, address: str, data: bytes) -> None:
        """Sends a datagram; drops and counts it if it cannot be sent."""
        try:
            self._datagrams[0].send(data, _split(address))
        except (OSError, IndexError) as error:
            self.dropped += 1
            log.debug("sending a datagram to %s failed: %s", address, error)

    async def close(self) -> None:
        """Closes everything at once."""
        for server in self._servers:
            server.close()
        for datagrams in self._datagrams:
            datagrams.close()
        for pipe in list(self._pipes):
            pipe.close()
        self._servers, self._datagrams = [], []
        await asyncio.sleep(0)  # the ends are reported in the next turn of the event loop

    def _register(self, pipe: _SocketPipe) -> bool:
        if len(self._pipes) >= self._max_pipes:
            self.dropped += 1
            return False
        self._pipes.add(pipe)
        return True

    def _unregister(self, pipe: _SocketPipe) -> None:
        self._pipes.discard(pipe)


class _SocketPipe(asyncio.Protocol):
    """One connection (ports.Pipe)."""

    def __init__(self, sockets: Sockets, accept: Accept) -> None:
        self._sockets, self._accept = sockets, accept
        self._transport: asyncio.Transport | None = None
        self._received: Received = lambda data: None
        self._lost: Lost = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._sockets._register(self):
            transport.abort()
            return
        sock = transport.get_extra_info("socket")
        for level, option, value in ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                                     (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
                                     (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S),
                                     (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _IDLE_S),
                                     (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
                                     (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKED_MS)):
            sock.setsockopt(level, option, value)
        self._received, self._lost = self._accept(self)

    def data_received(self, data: bytes) -> None:
        self._received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._sockets._unregister(self)
        self._lost()

    def write(self, data: bytes) -> None:
        """Writes in order; does nothing on a pipe that has ended."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    @property
    def behind(self) -> int:
        """The number of bytes that wait to be written."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self) -> None:
        """Ends the pipe at once and drops what waits."""
        if self._transport is not None:
            self._transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, sockets: Sockets, datagram: Callable[[bytes, str], None]) -> None:
        self._sockets, self._datagram = sockets, datagram
        self.transport: asyncio.DatagramTransport | None = None
        self._buffer_full = False  # 64 KB wait to be sent

    def pause_writing(self) -> None:
        self._buffer_full = True

    def resume_writing(self) -> None:
        self._buffer_full = False

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Raises `OSError` if the socket cannot take the datagram."""
        if self.transport is None or self.transport.is_closing() or self._buffer_full:
            raise OSError("the datagram socket is closed or its send buffer is full")
        self.transport.sendto(data, to)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            self._datagram(data, _join(addr[0], addr[1]))
        except Exception:  # protects the socket: an unusable datagram must not close it
            log.exception("handling a datagram from %s failed", addr[0])

    def error_received(self, exc: Exception) -> None:
        self._sockets.dropped += 1


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise OSError(f"address {address!r}: expected host:port")
    return host.strip("[]"), int(port)


def _join(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
