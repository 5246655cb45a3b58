"""Sealed streams: dialling, batches, order, limits and ends; also over sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import run
from shard_streams import NONCE, PAYLOAD, Dialler, Node, Wire, framed, packets, refusal, seal_for

from wheelstep.fleet.packets import STREAM_BYTES
from wheelstep.shards.net import Sockets
from wheelstep.shards.ports import Lost, Pipe, Received
from wheelstep.shards.stream_link import MAX_BATCH_BYTES, MAX_BEHIND_BYTES
from wheelstep.shards.types import Batch, Current, Forwarded


def test_a_dialled_link_sends_at_once_and_accepts_its_own_peer_only() -> None:
    """Another member that holds the key must not speak for the peer that was dialled."""
    async def work() -> None:
        async def dialled(name: str, reason: str) -> None:
            node = Node("a")
            dialling = asyncio.create_task(node.streams.dial("b", "b:1", 20))
            while not node.net.wires:
                await asyncio.sleep(0)
            wire, received = node.net.wires[0]
            received(framed(NONCE))
            link = await dialling
            assert link is not None and link.open and link.send(Current(1))
            await asyncio.sleep(0)
            both = bytes(wire.written[4:20]) + NONCE
            reader, seal = seal_for(both, me="b"), seal_for(both, me=name)
            said = [reader.open(packet, PAYLOAD).payload for packet in packets(bytes(wire.written))[1:]]
            assert said == [Batch(()), Batch((Current(1),))]  # the empty first batch identifies the dialler
            received(framed(seal.pack("a", Batch((Current(2),)))))
            assert node.streams.refused == ({reason: 1} if reason else {})
            assert node.frames == ([] if reason else [Current(2)]) and wire.closed is bool(reason)
            assert link.open is not wire.closed
            node.streams.close()
            node.streams.close()
            await node.until(lambda: node.lost == [link])
            assert not link.send(Current(3)) and await node.streams.dial("b", "b:1", 20) is None
            await asyncio.sleep(0)
            wire.lost()
            assert node.lost == [link]
        await dialled("b", "")
        await dialled("c", "sender")
    run(work())


def test_a_peer_that_does_not_greet_is_given_up_without_reporting_an_end() -> None:
    """A user must not hear of links that it never knew."""
    async def work() -> None:
        node = Node("a")
        assert await node.streams.dial("b", "b:1", 0.01) is None
        assert node.net.wires[0][0].closed
        node = Node(first_packet_s=0.0)
        dialler = Dialler(node, hello=b"")
        ended = asyncio.Event()
        lost, dialler.wire.lost = dialler.wire.lost, lambda: (lost(), ended.set())  # type: ignore[func-returns-value]
        async with asyncio.timeout(20):
            await ended.wait()
        refusal(node, dialler, "silent")
        assert node.lost == []
    run(work())


def test_at_the_link_limit_unauthenticated_links_give_way() -> None:
    """Unauthenticated peers must not keep the fleet's own couriers out."""
    async def work() -> None:
        node = Node(max_links=2)
        first, second = Dialler(node), Dialler(node)
        second.say(Current(1))
        third = Dialler(node)
        await asyncio.sleep(0)
        assert first.wire.closed and not second.wire.closed and not third.wire.closed
        third.say(Current(2))
        fourth = Dialler(node, hello=b"")
        assert fourth.wire.closed and not second.wire.closed and not third.wire.closed
        assert node.streams.refused == {"silent": 1, "links": 1}
        assert await node.streams.dial("c", "c:1", 20) is None
        assert node.frames == [Current(1), Current(2)]
    run(work())


def test_frames_of_one_turn_share_batches_in_order_within_the_size_limit() -> None:
    """A batch over the limit would end the link at the receiver."""
    async def work() -> None:
        node = Node()
        dialler = Dialler(node)
        dialler.say(Current(0))
        link = node.heard[0][0]
        del dialler.wire.written[:20]
        assert all(link.send(Current(number)) for number in range(5))
        assert not dialler.wire.written
        await asyncio.sleep(0)
        packet, = packets(bytes(dialler.wire.written))
        assert dialler.seal.open(packet, PAYLOAD).payload == Batch(tuple(Current(number) for number in range(5)))
        dialler.wire.written.clear()
        sent = [Forwarded({"n": number}, bytes((number,)) * size) for number, size in enumerate(
            (1_500_000, 1_500_000, 1_500_000, 10, MAX_BATCH_BYTES - 100, MAX_BATCH_BYTES - 50))]
        assert all(link.send(frame) for frame in sent)
        assert not link.send(Forwarded({}, b"x" * MAX_BATCH_BYTES)) and link.open
        assert node.streams.refused == {"frame-size": 1}
        await asyncio.sleep(0)
        found = packets(bytes(dialler.wire.written))
        assert max(map(len, found)) <= STREAM_BYTES and len(found) == 4
        assert [frame for packet in found for frame in dialler.seal.open(packet, PAYLOAD).payload.frames] == sent
    run(work())


def test_a_link_to_a_peer_that_does_not_read_ends() -> None:
    """Guards against unlimited buffers."""
    async def work() -> None:
        node = Node()
        dialler = Dialler(node)
        dialler.say(Current(0))
        link = node.heard[0][0]
        dialler.wire.behind = MAX_BEHIND_BYTES
        assert link.send(Current(1)) and not link.send(Current(2)) and not link.open
        refusal(node, dialler, "behind", 1)
        await asyncio.sleep(0)
        assert node.lost == [link]
    run(work())


def test_a_failing_frame_handler_ends_its_own_link_only_and_skips_the_batch() -> None:
    """An exception in the handler must not end other links."""
    async def work() -> None:
        node = Node()
        one, other = Dialler(node), Dialler(node)
        other.say(Current(0))
        node.streams._heard = lambda link, frame: 1 / 0  # type: ignore[assignment, return-value]
        one.say(Current(1), Current(2))
        assert node.streams.refused == {"unusable": 1} and one.wire.closed and not other.wire.closed
    run(work())


def test_a_slow_link_loses_nothing_while_thousands_of_packets_go_over_others() -> None:
    """With one window of 1,024 counters for all links of a sender, late packets of one link were refused."""
    async def work() -> None:
        node = Node()
        diallers = []
        sender = Node("a")
        links = []
        for number in range(50):
            dialling = asyncio.create_task(sender.streams.dial("b", "b:1", 20))
            while len(sender.net.wires) <= number:
                await asyncio.sleep(0)
            wire, received = sender.net.wires[number]
            far = Wire()
            into, far.lost = node.streams.accept(far)
            received(bytes(far.written))
            link = await dialling
            assert link is not None
            links.append(link)
            diallers.append((wire, into))
        for turn in range(60):
            for link in links:
                assert link.send(Current(turn))
            await asyncio.sleep(0)
        for wire, into in reversed(diallers):  # the packets sent first arrive last
            into(bytes(wire.written))
        assert node.streams.refused == {} and len(node.heard) == 60 * 50
    run(work())


def test_two_nodes_over_loopback_keep_order_and_report_each_end_once() -> None:
    """The same as above over real sockets, with datagrams beside."""
    async def work() -> None:
        a, b = Node("a", net=Sockets()), Node("b", net=Sockets())
        datagrams: asyncio.Queue[tuple[bytes, str]] = asyncio.Queue()
        address = await b.net.listen("127.0.0.1:0", b.streams.accept, lambda *one: datagrams.put_nowait(one))
        mine = await a.net.listen("127.0.0.1:0", a.streams.accept, lambda *_: None)
        a.net.send(address, b"beside")
        async with asyncio.timeout(20):
            assert await datagrams.get() == (b"beside", mine)
        link = await a.streams.dial("b", address, 20)
        assert link is not None and link.peer == "b"
        sent = [Forwarded({"n": number}, bytes(number % 999)) for number in range(3_000)]
        assert all(link.send(frame) for frame in sent)
        await b.until(lambda: len(b.heard) == 3_000)
        assert b.frames == sent and {one.peer for one, _ in b.heard} == {"a"}
        back = b.heard[0][0]
        assert all(back.send(frame) for frame in sent)
        await a.until(lambda: len(a.heard) == 3_000)
        assert a.frames == sent and {one for one, _ in a.heard} == {link}
        link.close()
        await a.until(lambda: a.lost == [link])
        await b.until(lambda: b.lost == [back])
        assert await a.streams.dial("c", address, 20) is not None  # it greets, but is not the receiver
        await a.until(lambda: len(a.lost) == 2)
        assert b.streams.refused == {"receiver": 1} and b.lost == [back]
        await a.net.close()
        await b.net.close()
        assert await a.streams.dial("b", address, 20) is None
        assert len(a.lost) == 2 and b.lost == [back]
    run(work())


def test_pipes_are_limited_and_a_port_in_use_raises_os_error() -> None:
    """Guards against unlimited connections on either side."""
    async def work() -> None:
        net, far, ends = Sockets(max_pipes=1), Sockets(max_pipes=2), asyncio.Queue[int]()
        here = asyncio.Queue[int]()

        def accept(pipe: Pipe) -> tuple[Received, Lost]:
            pipe.write(b"x")
            return lambda data: None, lambda: here.put_nowait(1)
        address = await net.listen("127.0.0.1:0", accept, lambda *_: None)
        with pytest.raises(OSError):
            await Sockets().listen(address, accept, lambda *_: None)
        for wrong in ("nowhere", "127.0.0.1:x", ":1", "127.0.0.1:99999"):
            with pytest.raises(OSError):
                await Sockets().dial(wrong, lambda data: None, lambda: None)
        async with asyncio.timeout(20):
            for _ in range(2):
                first, there = await asyncio.gather(*(
                    far.dial(address, lambda data: None, lambda number=number: ends.put_nowait(number))
                    for number in range(2)))
                with pytest.raises(OSError, match="expected fewer"):
                    await far.dial(address, lambda data: None, lambda: None)
                number = await ends.get()  # of two accepted pipes, one was beyond the limit
                assert net.dropped == far.dropped and here.empty()
                (first, there)[1 - number].close()
                assert await ends.get() == 1 - number and await here.get() == 1
        assert net.dropped == 2
        await net.close()
    run(work())
