"""The relays between couriers: the effect of each fault on real sockets, and the traffic that it leaves alone."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import pytest

from tests.fleet_peers import QUIET_S, fleet
from tests.loopback import run
from wheelstep.rehearsal.fleet.faults import FaultKind, LinkFault, PlannedFault, links_across, links_among

MS, S = 1_000, 1_000_000


def test_datagrams_and_streams_pass_a_link_without_faults_on_one_port() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.send("a", "b", b"ping")
            assert await f.peers["b"].next() == b"ping"
            reader, writer = await f.stream("a", "b")
            writer.write(b"votes")
            assert await reader.readexactly(5) == b"VOTES"
            writer.write_eof()
            assert await reader.read() == b""  # the far end's close is passed on as well
            writer.close()
    run(scenario())


def test_reply_to_a_datagrams_source_passes_the_opposite_link() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            token = f.relays.begin_fault(LinkFault(FaultKind.CUT), [("b", "a")])
            f.peers["b"].send(b"reply", f.port("a", "b"))
            assert await f.peers["a"].silent()
            f.relays.end_fault(token)
            f.peers["b"].send(b"reply", f.port("a", "b"))
            assert await f.peers["a"].next() == b"reply"
    run(scenario())


def test_cut_of_one_direction_drops_its_datagrams_and_holds_streams() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            reader, writer = await f.stream("a", "b")
            writer.write(b"one")
            assert await reader.readexactly(3) == b"ONE"
            token = f.relays.begin_fault(LinkFault(FaultKind.CUT), [("a", "b")])
            f.send("a", "b", b"lost")
            f.send("b", "a", b"heard")
            assert await f.peers["a"].next() == b"heard" and await f.peers["b"].silent()
            writer.write(b"two")
            late, late_writer = await f.stream("a", "b")  # a new connection during the cut ends at the relay
            late_writer.write(b"three")
            await asyncio.sleep(QUIET_S)
            assert f.peers["b"].streams.qsize() == 1
            f.relays.end_fault(token)
            assert await reader.readexactly(3) == b"TWO" and await late.readexactly(5) == b"THREE"
            assert f.peers["b"].datagrams.empty()  # dropped datagrams are not sent later
            late_writer.close()
            writer.close()
    run(scenario())


def test_answers_on_a_stream_are_subject_to_the_opposite_links_faults() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            reader, writer = await f.stream("a", "b")
            writer.write(b"one")
            assert await reader.readexactly(3) == b"ONE"
            token = f.relays.begin_fault(LinkFault(FaultKind.CUT), [("b", "a")])
            writer.write(b"two")
            assert await f.peers["b"].streams.get() == b"one" and await f.peers["b"].streams.get() == b"two"
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(3), QUIET_S)
            f.relays.end_fault(token)
            assert await reader.readexactly(3) == b"TWO"
            writer.close()
    run(scenario())


def test_cut_between_groups_passes_datagrams_within_each_group_only() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.relays.begin_fault(LinkFault(FaultKind.CUT), links_across("ab", "c"))
            for one, other in links_among("abc"):
                f.send(one, other, f"{one}>{other}".encode())
            assert await f.peers["b"].next() == b"a>b" and await f.peers["a"].next() == b"b>a"
            assert await f.peers["c"].silent() and f.peers["a"].datagrams.empty() and f.peers["b"].datagrams.empty()
    run(scenario())


def test_stall_holds_datagrams_in_order_and_drops_the_oldest_beyond_its_bound() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            token = f.relays.begin_fault(LinkFault(FaultKind.STALL), [("a", "b")])
            for number in range(300):
                f.send("a", "b", b"%d" % number)
                await asyncio.sleep(0)
            reader, writer = await f.stream("a", "b")
            writer.write(b"held")
            assert await f.peers["b"].silent() and f.peers["b"].streams.empty()
            while f.relays.links["a", "b"].counts["came"] < 300:
                await asyncio.sleep(0.001)
            f.relays.end_fault(token)
            got = [await f.peers["b"].next() for _ in range(256)]
            assert got == [b"%d" % number for number in range(44, 300)]  # the oldest were dropped
            assert await reader.readexactly(4) == b"HELD"
            writer.close()
    run(scenario())


def test_stalled_stream_is_not_read_beyond_its_buffer() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            _, writer = await f.stream("a", "b")
            writer.write(b"x")
            await f.peers["b"].streams.get()
            f.relays.begin_fault(LinkFault(FaultKind.STALL), [("a", "b")])
            writer.write(b"y" * (64 << 20))
            await asyncio.sleep(QUIET_S)
            assert writer.transport.get_write_buffer_size() > 32 << 20  # the sender has to wait
            writer.transport.abort()
    run(scenario())


@pytest.mark.parametrize("fault,passes", [
    (LinkFault(FaultKind.DROP, share=0.5), lambda got: 40 < len(got) < 160 and sorted(got) == got),
    (LinkFault(FaultKind.DUPLICATE, share=0.5), lambda got: 240 < len(got) < 360 and len(set(got)) == 200),
    (LinkFault(FaultKind.REORDER, share=0.3, delay_us=20 * MS), lambda got: len(got) == 200 and sorted(got) != got),
    (LinkFault(FaultKind.CORRUPT, share=0.5),
     lambda got: len(got) == 200 and sum(one[4:] != b"body" for one in got) > 40),
])
def test_fault_with_a_share_affects_that_share_of_the_datagrams(fault: LinkFault,
                                                                 passes: Callable[[list[bytes]], bool]) -> None:
    async def scenario() -> list[bytes]:
        async with fleet() as f:
            f.relays.begin_fault(fault, [("a", "b")])
            for number in range(200):
                f.send("a", "b", b"%04dbody" % number)
                await asyncio.sleep(0)
            await f.peers["b"].silent()
            return [f.peers["b"].datagrams.get_nowait() for _ in range(f.peers["b"].datagrams.qsize())]

    async def check() -> None:
        assert passes(await scenario())
    run(check())


def test_delay_applies_to_datagrams_and_streams_and_keeps_the_order_of_a_stream() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.relays.begin_fault(LinkFault(FaultKind.DELAY, delay_us=80 * MS, jitter_us=40 * MS), [("a", "b")])
            loop = asyncio.get_running_loop()
            began = loop.time()
            f.send("a", "b", b"late")
            assert await f.peers["b"].next() == b"late" and loop.time() - began > 0.075
            reader, writer = await f.stream("a", "b")
            began = loop.time()
            for number in range(50):
                writer.write(b"%02d" % number)
                await asyncio.sleep(0)
            assert await reader.readexactly(100) == b"".join(b"%02d" % number for number in range(50))
            assert 0.075 < loop.time() - began < 3.0  # chunks are delayed in parallel, not one after another
            writer.close()
    run(scenario())


def test_corruption_inverts_one_bit_of_a_chunk() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.relays.begin_fault(LinkFault(FaultKind.CORRUPT), [("a", "b")])
            _, writer = await f.stream("a", "b")
            writer.write(b"votes")
            received = await f.peers["b"].streams.get()
            wrong_bits = [(one ^ other).bit_count() for one, other in zip(received, b"votes", strict=True)]
            assert sum(wrong_bits) == 1
            writer.close()
    run(scenario())


def test_size_limit_passes_small_datagrams_and_chunks_and_holds_large_ones() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            token = f.relays.begin_fault(LinkFault(FaultKind.NARROW, largest=100), [("a", "b")])
            f.send("a", "b", b"x" * 101)
            f.send("a", "b", b"small")
            assert await f.peers["b"].next() == b"small" and await f.peers["b"].silent()
            reader, writer = await f.stream("a", "b")
            writer.write(b"small")
            assert await reader.readexactly(5) == b"SMALL"
            writer.write(b"x" * 5000)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readexactly(1), QUIET_S)
            f.relays.end_fault(token)
            assert len(await reader.readexactly(5000)) == 5000
            writer.close()
    run(scenario())


def test_rate_limit_delays_a_stream() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.relays.begin_fault(LinkFault(FaultKind.NARROW, per_s=100_000), [("a", "b")])
            reader, writer = await f.stream("a", "b")
            began = asyncio.get_running_loop().time()
            writer.write(b"x" * 30_000)
            await reader.readexactly(30_000)
            assert asyncio.get_running_loop().time() - began > 0.29
            writer.close()
    run(scenario())


def test_dial_to_a_closed_peer_ends_the_stream_at_the_relay() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            f.peers["b"].tcp.close()
            reader, writer = await f.stream("a", "b")
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
    run(scenario())


def test_scheduled_faults_begin_and_end_in_time_and_overlap() -> None:
    async def scenario() -> None:
        async with fleet() as f:
            now_us = round(asyncio.get_running_loop().time() * 1e6)
            link = f.relays.links["a", "b"]
            seen: list[set[FaultKind]] = []
            plan = [PlannedFault(now_us, LinkFault(FaultKind.DROP, share=0.1), (("a", "b"),), 120 * MS),
                    PlannedFault(now_us + 40 * MS, LinkFault(FaultKind.CUT), links_across("a", "bc"), 40 * MS)]
            playing = asyncio.create_task(f.relays.run_faults(plan))
            while not playing.done():
                kinds = {fault.kind for fault in link.conditions.faults.values()}
                if not seen or seen[-1] != kinds:
                    seen.append(kinds)
                await asyncio.sleep(0.002)
            await playing
            assert [kinds for kinds in seen if kinds] == [{FaultKind.DROP}, {FaultKind.DROP, FaultKind.CUT},
                                                          {FaultKind.DROP}]
            assert not link.conditions.faults
    run(scenario())
