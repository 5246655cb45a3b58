"""Scripted peers with relays between them, for tests of the links."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from wheelstep.rehearsal.fleet.relays import Relays

QUIET_S = 0.15  # nothing arrives later than this, so what has not come by then was not passed on


class Courier(asyncio.DatagramProtocol):
    """A scripted peer: it queues datagrams, and answers each chunk of a stream with the chunk in upper case."""

    def __init__(self) -> None:
        self.datagrams: asyncio.Queue[bytes] = asyncio.Queue()
        self.streams: asyncio.Queue[bytes] = asyncio.Queue()
        self.udp: asyncio.DatagramTransport | None = None
        self.port = 0

    async def open(self) -> None:
        """Listen for streams and datagrams on one free port."""
        self.tcp = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.tcp.sockets[0].getsockname()[1]
        self.udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", self.port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                self.streams.put_nowait(data)
                writer.write(data.upper())
            self.streams.put_nowait(b"")
        writer.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue a datagram."""
        self.datagrams.put_nowait(data)

    def send(self, data: bytes, port: int) -> None:
        """Send a datagram to a port of the loopback interface."""
        assert self.udp is not None
        self.udp.sendto(data, ("127.0.0.1", port))

    async def next(self) -> bytes:
        """Return the next datagram. Raises `TimeoutError` after 5 s."""
        return await asyncio.wait_for(self.datagrams.get(), 5)

    async def silent(self) -> bool:
        """Wait `QUIET_S` and return whether no datagram is queued."""
        await asyncio.sleep(QUIET_S)
        return self.datagrams.empty()


class Fleet:
    """Three scripted peers and the relays between them."""

    def __init__(self, peers: dict[str, Courier], relays: Relays) -> None:
        self.peers, self.relays = peers, relays

    def port(self, one: str, other: str) -> int:
        """Return the port of the relay from `one` to `other`."""
        return self.relays.links[one, other].port

    def send(self, one: str, other: str, data: bytes) -> None:
        """Send a datagram through the relay from `one` to `other`."""
        self.peers[one].send(data, self.port(one, other))

    async def stream(self, one: str, other: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a stream through the relay from `one` to `other`."""
        return await asyncio.open_connection("127.0.0.1", self.port(one, other))


@contextlib.asynccontextmanager
async def fleet(seed: int = 1) -> AsyncIterator[Fleet]:
    """Run peers `a`, `b` and `c` with open relays between them."""
    peers = {name: Courier() for name in "abc"}
    for peer in peers.values():
        await peer.open()
    loop = asyncio.get_running_loop()
    relays = Relays({name: ("127.0.0.1", peer.port) for name, peer in peers.items()}, seed,
                    lambda: round(loop.time() * 1e6))
    await relays.open()
    try:
        yield Fleet(peers, relays)
    finally:
        await relays.close()
        for peer in peers.values():
            peer.tcp.close()
            assert peer.udp is not None
            peer.udp.close()
