"""Nodes with sealed streams whose pipes the test controls, and hand-made peers for them."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import struct
from collections.abc import Callable
from typing import Any

import msgspec

from wheelstep.fleet.packets import STREAM_BYTES, HigherBoot, PacketSeal
from wheelstep.shards.ports import Accept, Lost, Pipe, Received
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import Batch, Frame

KEY, NONCE = b"k" * 16, b"n" * 16
PAYLOAD: Any = msgspec.msgpack.Decoder(Batch | HigherBoot)


def framed(packet: bytes) -> bytes:
    """The packet with its length in front."""
    return struct.pack(">I", len(packet)) + packet


def packets(data: bytes) -> list[bytes]:
    """The packets written, without lengths."""
    found = []
    while data:
        size, = struct.unpack_from(">I", data)
        found.append(bytes(data[4:4 + size]))
        data = data[4 + size:]
    return found


class Wire:
    """A pipe whose other end is the test's."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.behind = 0
        self.closed = False
        self.lost: Lost = lambda: None

    def write(self, data: bytes) -> None:
        """Keeps what is written."""
        assert not self.closed
        self.written += data

    def close(self) -> None:
        """Ends the pipe; `lost` is called in the next turn of the event loop."""
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.lost)


class Memory:
    """A network whose pipes the test controls: a dial creates a `Wire`."""

    def __init__(self) -> None:
        self.wires: list[tuple[Wire, Received]] = []

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Not used."""
        raise NotImplementedError

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """Creates a `Wire`."""
        wire = Wire()
        wire.lost = lost
        self.wires.append((wire, received))
        return wire

    def send(self, address: str, data: bytes) -> None:
        """Not used."""
        raise NotImplementedError

    async def close(self) -> None:
        """Does nothing."""
        pass


class Node:
    """Streams with the frames and ends they reported."""

    def __init__(self, me: str = "b", boot: int = 5, net: Any = None, **more: Any) -> None:
        self.net = net or Memory()
        self.now_us = 0
        self.heard: list[tuple[StreamLink, Frame]] = []
        self.lost: list[StreamLink] = []
        self.news = asyncio.Event()
        self.streams = Streams(self.net, [KEY], "f", me, boot, self._heard, self._lost, lambda: self.now_us, **more)

    def _heard(self, link: StreamLink, frame: Frame) -> None:
        self.heard.append((link, frame))
        self.news.set()

    def _lost(self, link: StreamLink) -> None:
        self.lost.append(link)
        self.news.set()

    @property
    def frames(self) -> list[Frame]:
        """The frames received."""
        return [frame for _, frame in self.heard]

    async def until(self, holds: Callable[[], bool]) -> None:
        """Waits for the condition."""
        async with asyncio.timeout(20):
            while not holds():
                self.news.clear()
                await self.news.wait()


def seal_for(both: bytes, me: str = "a", boot: int = 5, key: bytes = KEY, fleet: str = "f",
             lane: str = "") -> PacketSeal:
    """The seal of a link with these nonces."""
    name = base64.b64encode(hashlib.blake2b(both, digest_size=15).digest()).decode()
    return PacketSeal(key, fleet, me, boot, lane=lane or f"shards {name}", max_bytes=STREAM_BYTES + 4096)


class Dialler:
    """A hand-made peer that has dialled."""

    def __init__(self, node: Node, hello: bytes = framed(NONCE), **seal: Any) -> None:
        self.wire = Wire()
        self.sent = bytearray()
        self.received, self.wire.lost = node.streams.accept(self.wire)
        self.both = NONCE + bytes(self.wire.written[4:20])
        self.seal = seal_for(self.both, **seal)
        self.raw(hello)

    def raw(self, data: bytes) -> None:
        """Sends bytes."""
        self.sent += data
        self.received(data)

    def packed(self, *frames: Frame, to: str = "b") -> bytes:
        """A sealed batch of these frames."""
        return framed(self.seal.pack(to, Batch(frames)))

    def say(self, *frames: Frame) -> None:
        """Sends a sealed batch of these frames."""
        self.raw(self.packed(*frames))


def refusal(node: Node, dialler: Dialler, reason: str, heard: int = 0) -> None:
    """Checks that the link ended for this reason only, counted and reported in one line, and that nothing further was
    passed on."""
    assert dialler.wire.closed and node.streams.refused == {reason: 1}
    assert len(node.heard) == heard
    line, = node.streams.notes()
    assert f"({reason})" in line and node.streams.notes() == []
    dialler.received(b"\0" * 100)  # further bytes are not read
    assert node.streams.refused == {reason: 1}
