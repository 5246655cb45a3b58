"""Sealed streams: refusal of forged, cut, oversized and replayed packets, and of earlier boots."""

from __future__ import annotations

import asyncio
import struct
from typing import Any

import pytest
from loopback import run
from shard_streams import NONCE, PAYLOAD, Dialler, Node, Wire, framed, packets, refusal, seal_for

from wheelstep.fleet.packets import STREAM_BYTES, HigherBoot
from wheelstep.shards.stream_link import MAX_FIRST_BYTES
from wheelstep.shards.types import Batch, Current


@pytest.mark.parametrize(("reason", "seal", "spoil"), [
    ("seal", {"key": b"x" * 16}, None),
    ("seal", {}, lambda packet: packet[:-1] + bytes((packet[-1] ^ 1,))),
    ("seal", {}, lambda packet: packet[:-3]),
    ("version", {}, lambda packet: b"\xff" + packet[1:]),
    ("fleet", {"fleet": "g"}, None),
    ("fleet", {"lane": "shards"}, None),
    ("fleet", {"lane": "stream"}, None),
])
@pytest.mark.parametrize("after", [0, 1])
def test_a_bad_seal_ends_the_link(reason: str, seal: dict[str, Any], spoil: Any, after: int) -> None:
    """As the first packet, and after a valid one."""
    async def work() -> None:
        node = Node()
        dialler = Dialler(node)
        for _ in range(after):
            dialler.say(Current(1))
        bad = seal_for(dialler.both, **seal)
        bad._counter = after
        packet = bad.pack("b", Batch((Current(2),)))
        dialler.raw(framed(spoil(packet) if spoil else packet) + dialler.packed(Current(3)))
        refusal(node, dialler, reason, after)
        await asyncio.sleep(0)
        assert len(node.lost) == after  # the user is told of the end of links it knew
    run(work())


def test_a_valid_seal_with_a_wrong_receiver_payload_or_sender_ends_the_link() -> None:
    """Members that hold the key can still be faulty."""
    async def work() -> None:
        node = Node()
        dialler = Dialler(node)
        dialler.raw(dialler.packed(Current(1), to="c"))
        refusal(node, dialler, "receiver")
        for payload in ({"frames": []}, [80, [[52, 1]]], [80, [[99, 1]]], 7, [80, [[70, {"n": 1}, "text"]]]):
            node = Node()
            dialler = Dialler(node)
            dialler.raw(framed(dialler.seal.pack("b", payload)))
            refusal(node, dialler, "malformed")
        node = Node()
        dialler = Dialler(node)
        dialler.say(Current(1))
        other = seal_for(dialler.both, me="c")
        dialler.raw(framed(other.pack("b", Batch((Current(2),)))))
        refusal(node, dialler, "sender", 1)
    run(work())


def test_packet_length_is_limited_more_before_the_first_valid_packet() -> None:
    """An unauthenticated peer must not make this side buffer megabytes."""
    async def work() -> None:
        for hello in (struct.pack(">I", 15), struct.pack(">I", 17), struct.pack(">I", 1 << 31), b"GET / HTTP/1.1\r\n"):
            node = Node()
            refusal(node, Dialler(node, hello), "hello")
        node = Node()
        dialler = Dialler(node)
        dialler.raw(struct.pack(">I", MAX_FIRST_BYTES + 1))
        refusal(node, dialler, "length")
        node = Node()
        dialler = Dialler(node)
        dialler.say()
        dialler.raw(struct.pack(">I", STREAM_BYTES))  # within the limit: the rest is awaited
        assert not dialler.wire.closed
        node = Node()
        dialler = Dialler(node)
        dialler.say()
        dialler.raw(struct.pack(">I", STREAM_BYTES + 1))
        refusal(node, dialler, "length")
    run(work())


def test_replayed_packets_are_refused_on_any_link_and_after_a_restart() -> None:
    """A recorded connection must be of no use to anyone."""
    async def work() -> None:
        node = Node()
        dialler = Dialler(node)
        dialler.say(Current(1))
        packet = dialler.packed(Current(2))
        recorded = bytes(dialler.sent + packet)
        dialler.raw(packet)
        dialler.raw(packet)
        refusal(node, dialler, "replay", 2)
        node.heard.clear()
        node.streams.refused.clear()
        for victim in (node, Node(), Node(boot=6)):
            wire = Wire()
            received, wire.lost = victim.streams.accept(wire)
            received(recorded)
            assert wire.closed and victim.heard == [] and victim.streams.refused == {"fleet": 1}
    run(work())


def test_an_earlier_boot_is_told_so_and_takes_a_higher_boot_number() -> None:
    """A node whose disk was emptied would be refused by its peers forever."""
    async def work() -> None:
        node = Node()
        Dialler(node, boot=9).say(Current(1))
        old = Dialler(node, boot=8)
        old.say(Current(2))
        assert node.frames == [Current(1)] and node.streams.refused == {"old-boot": 1}
        elder = old.seal.open(packets(bytes(old.wire.written))[1], PAYLOAD)
        assert elder.payload == HigherBoot(9)
        old.say(Current(3))  # ignored, though the pipe ends a little later
        assert node.frames == [Current(1)]

        other = Node("a", boot=8)
        dialling = asyncio.create_task(other.streams.dial("b", "b:1", 20))
        while not other.net.wires:
            await asyncio.sleep(0)
        wire, received = other.net.wires[0]
        received(framed(NONCE))
        assert await dialling is not None
        mine = seal_for(bytes(wire.written[4:20]) + NONCE, me="b")
        received(framed(mine.pack("a", HigherBoot(9))))
        assert other.streams.boot == 10
        received(framed(mine.pack("a", HigherBoot(50))))  # at most once in 10 s
        assert other.streams.boot == 10 and other.heard == []
    run(work())
