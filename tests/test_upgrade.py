"""Upgrade under load: everything goes to the successor, and no message is lost, duplicated or reordered."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import LIMIT_S, Call, Reply, Scene, free_address, run
from successors import upgraded, waiting_successor

from wheelstep.upgrade.channel import Channel, connect
from wheelstep.upgrade.states import Action, Handover


def test_a_kept_connection_goes_on_and_a_call_that_is_out_is_not_made_again(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, waiting_successor(s) as (after, take_over):
            answer = asyncio.Event()

            async def late(call: Call) -> Reply | None:
                await answer.wait()
                return 200, {}, b""
            s.endpoint.reply = late
            async with aiohttp.ClientSession() as http:
                async def ask(name: str) -> int:
                    headers = {"X-Request-Id": name, "X-Class": "once", "X-Deadline-Ms": "20000",
                               "X-Consignee": "dest=7"}
                    async with http.post(f"http://{s.courier.address}/api", data=b"x", headers=headers) as heard:
                        return heard.status
                assert await ask("m1") == 202
                await s.endpoint.wait(1)
                await take_over()
                assert (await s.courier.call("readyz")).startswith("-ERR")
                assert await ask("m2") == 202  # on the same connection
                assert http.connector is not None and len(http.connector._conns) == 1  # type: ignore[attr-defined]
                await s.endpoint.wait(2)
                answer.set()
                async with asyncio.timeout(LIMIT_S):
                    while (await after.figures())["passed.once"] < 2:
                        await asyncio.sleep(0.01)
                assert await s.courier.terminate() == 0
                assert [call.headers["x-request-id"] for call in s.endpoint.calls] == ["m1", "m2"]
                assert (await after.figures())["in_progress"] == 0
                assert await after.terminate() == 0
                assert not any("Traceback" in line for line in [*after.log, *s.courier.log])
    run(scene())


def test_connections_that_come_during_a_handover_end_at_the_successor(tmp_path: Path) -> None:
    """Regression: the old process kept reading a connection that was accepted in the loop turn in which it paused, and
    answered 202 for messages that no process owned."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            taken: list[str] = []
            stop = asyncio.Event()

            async def client(number: int) -> None:
                for count in range(10_000):
                    if stop.is_set():
                        return
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        if await s.courier.hand_in(f"c{number}-{count}") == 202:  # a new connection each time
                            taken.append(f"c{number}-{count}")
            clients = [asyncio.create_task(client(number)) for number in range(8)]
            async with upgraded(s) as after:
                count = len(taken)
                async with asyncio.timeout(LIMIT_S):
                    while len(taken) < count + 100:
                        await asyncio.sleep(0.01)
                assert await s.courier.terminate() == 0
                stop.set()
                await asyncio.gather(*clients)
                async with asyncio.timeout(LIMIT_S):
                    while (await after.figures())["in_progress"]:
                        await asyncio.sleep(0.01)
                seen = [call.headers["x-request-id"] for call in s.endpoint.calls]
                assert len(seen) == len(set(seen)) and set(taken) <= set(seen) | set(s.platform.notices_heard)
    run(scene())


def test_a_request_that_came_in_part_is_finished_at_the_successor(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, waiting_successor(s) as (after, take_over):
            address = s.courier.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(*address)
            idle_reader, idle_writer = await asyncio.open_connection(*address)
            request = (b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: cut\r\nX-Class: once\r\nX-Deadline-Ms: 9000\r\n"
                       b"X-Consignee: dest=7\r\nContent-Length: 10\r\n\r\n0123456789")
            writer.write(request[:-4])
            await s.courier.hand_in("before")  # so that the partial request has been read
            await take_over()
            for number, (asks, part, hears) in enumerate([
                    (writer, request[-4:], reader), (idle_writer, request.replace(b"cut", b"idle"), idle_reader)]):
                asks.write(part)
                async with asyncio.timeout(LIMIT_S):
                    assert b" 202 " in await hears.readline()
                calls = await s.endpoint.wait(2 + number)
            assert {call.headers["x-request-id"]: call.body for call in calls}["cut"] == b"0123456789"
            assert await s.courier.terminate() == 0
            assert await after.terminate() == 0
            writer.close()
            idle_writer.close()
    run(scene())


def test_key_order_and_exclusions_hold_across_a_handover(tmp_path: Path) -> None:
    """A later message of a key must wait for one whose call is in flight at the previous process."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            answer = asyncio.Event()

            async def late(call: Call) -> Reply | None:
                if call.headers.get("x-request-id") == "k-first":
                    await answer.wait()
                return 200, {}, b""
            s.endpoint.reply = late
            assert await s.courier.hand_in("k-first", "ordered", key="k") == 202
            await s.endpoint.wait(1)
            assert await s.courier.hand_in("k-second", "ordered", key="k") == 202
            async with upgraded(s) as after:
                assert await after.hand_in("k-third", "ordered", key="k") == 202
                assert await after.hand_in("other", "ordered", key="o") == 202
                await s.endpoint.wait(2)
                assert [call.headers["x-request-id"] for call in s.endpoint.calls] == ["k-first", "other"]
                answer.set()
                await s.endpoint.wait(4)
                assert [call.headers["x-request-id"] for call in s.endpoint.calls[2:]] == ["k-second", "k-third"]
                assert (await after.call("exclude e0")).startswith("+OK")
                assert await s.courier.terminate() == 0
                s.courier = after
                async with upgraded(s) as third:
                    assert await third.hand_in("held") == 202
                    assert (await third.figures())["skipped_endpoints"] == 1
                    assert (await third.call("include e0")).startswith("+OK")
                    await s.endpoint.wait(5)
                    assert await after.terminate() == 0
    run(scene())


def test_a_call_whose_process_is_killed_may_have_run(tmp_path: Path) -> None:
    """The unsafe message fails and is not sent again; the keyed one is sent once more with its key."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            async def hang(call: Call) -> Reply | None:
                if len(s.endpoint.calls) > 2:
                    return 200, {}, b""
                await asyncio.sleep(LIMIT_S)
                return None
            s.endpoint.reply = hang
            assert await s.courier.hand_in("fee", "once") == 202
            assert await s.courier.hand_in("status", "ordered", key="k") == 202
            await s.endpoint.wait(2)
            async with upgraded(s):
                await s.courier.kill()
                assert (await s.platform.wait_notice("fee"))["outcome"] == "given_up"
                calls = await s.endpoint.wait(3)
                assert [call.headers["x-request-id"] for call in calls[2:]] == ["status"]
                assert calls[2].headers["idempotency-key"] == "token-status"
    run(scene())


@pytest.mark.parametrize("step", ["take over", "received"])
def test_a_successor_that_is_lost_leaves_one_courier_that_serves(tmp_path: Path, step: str) -> None:
    """Before the journal is handed over the process resumes; after that it restarts from the folder."""
    async def play() -> None:
        scene = Scene(tmp_path, console=True)
        scene.courier.listen = free_address()  # it restarts at the same address
        async with scene as s:
            link = connect(tmp_path / "state")
            heard: asyncio.Queue[str] = asyncio.Queue()

            def note(head: dict[str, Any], body: bytes, descriptors: list[int]) -> None:
                for descriptor in descriptors:
                    os.close(descriptor)
                heard.put_nowait(head["is"])
            channel = Channel(link, note, lambda: None)
            await channel.send({"do": "take over"})
            async with asyncio.timeout(LIMIT_S):
                while await heard.get() != "connections":
                    pass
                if step == "received":
                    await channel.send({"do": "received"})
                    while await heard.get() != "yours":
                        pass
                channel.close()
                await s.courier.wait_ready()
            assert await s.courier.hand_in("m1") == 202
            await s.endpoint.wait(1)
            assert await s.courier.terminate() == 0
    run(play())


@given(st.lists(st.tuples(st.sampled_from(("requested", "received", "confirmed", "lost")), st.integers(0, 2)),
                max_size=12))
def test_a_handover_never_has_two_owners(events: list[tuple[str, int]]) -> None:
    """For any order of requests and losses, the journal is closed at most once, for the target that the source paused
    for, and the source does not resume after that."""
    handover, targets = Handover(), [object() for _ in range(3)]
    paused: object = None
    done: list[Action] = []
    for name, number in events:
        action = getattr(handover, name)(targets[number])
        if action is Action.PAUSE:
            assert paused is None
            paused = targets[number]
        if action is Action.RESUME:
            paused = None
        if action in (Action.CLOSE, Action.RELEASE, Action.RESUME, Action.RESTART) and action is not Action.RESUME:
            assert paused is targets[number]
        done.append(action)
        if action is Action.RESTART:
            break
    if Action.CLOSE in done:
        assert Action.RESUME not in done[done.index(Action.CLOSE):] and done.count(Action.CLOSE) == 1
