"""Requests that a courier reads late: their deadline counts from when they may have arrived."""

from __future__ import annotations

import asyncio
import math
import signal
import time
from pathlib import Path

import aiohttp
import pytest
from loopback import LIMIT_S, SETTINGS, Call, Reply, Scene, run

from wheelstep.courier.arrival import CLIENT_PATIENCE_S, ArrivalBound

STOPPED_S = 0.38  # less than a client waits for its answer
DEADLINE_S = 0.5
NOTICE_S = 0.3 + 0.05  # after a message's time is up its notice is due (PROTOCOL, 'The rules on sockets')
NOW_S = 100.0
ONE_CALL = {**SETTINGS, "specifics": {**SETTINGS["specifics"], "calls_out": 1}}
CALL_DEADLINE_S = 1.2
SLACK_S = 0.05


def bound(*polls: tuple[float, float, float]) -> ArrivalBound:
    """Return the bound after polls: when each was called and returned, and how long it was to wait."""
    made = ArrivalBound()
    for called_s, returned_s, timeout_s in polls:
        made.polled(called_s, returned_s, timeout_s)
    return made


@pytest.mark.parametrize(("polls", "earliest_s"), [
    ([], NOW_S),
    ([(99.0, 99.7, 1.0)], 99.7),
    ([(99.0, 99.7, 1.0), (99.9, 99.9, 1.0)], 99.7),
    ([(99.0, 99.7, 1.0), (99.8, 99.9, -1.0)], 99.9),
    ([(99.7, 99.9, 0.05)], 99.7),
    ([(99.7, 99.9, 0.05), (99.95, 99.95, 0.0)], 99.7),
    ([(98.0, 98.1, 1.0), (99.9, 99.9, 0.0)], NOW_S - CLIENT_PATIENCE_S),
], ids=["no selector", "waited", "long turn", "waited for any time", "stood still", "stood still, reported later",
        "patience"])
def test_a_byte_arrived_after_the_poll_that_did_not_report_it(
        polls: list[tuple[float, float, float]], earliest_s: float) -> None:
    """Guards against a deadline that counts from the reading of a request which waited while a turn was long."""
    assert bound(*polls).earliest_s(NOW_S) == pytest.approx(earliest_s)


def test_bytes_of_a_connection_that_was_queued_or_could_not_be_read_arrived_before_the_last_poll() -> None:
    """Guards against a first request, or one that follows failed reads, that counts as new."""
    polled = bound((99.0, 99.9, 1.0))
    assert polled.earliest_s(NOW_S, 99.8) == 99.8
    assert polled.earliest_s(NOW_S, -math.inf) == pytest.approx(NOW_S - CLIENT_PATIENCE_S)
    polled.read_after_failures(99.75)
    assert polled.earliest_s(NOW_S) == 99.75
    polled.polled(99.95, 99.98, 1.0)
    assert polled.earliest_s(NOW_S) == 99.98


@pytest.mark.parametrize("kept", [True, False], ids=["kept connection", "new connection"])
def test_the_notice_of_a_request_read_late_is_in_time_for_its_client(tmp_path: Path, kept: bool) -> None:
    """Guards against a deadline that begins when a process that stood still reads the request: the notice came later
    than 300 ms after the client's time was up, and the message was lost."""
    async def play() -> None:
        async with Scene(tmp_path) as scene, aiohttp.ClientSession() as http:
            async def silent(call: Call) -> Reply | None:
                return None
            scene.endpoint.reply = silent
            if kept:
                async with http.get(f"http://{scene.courier.address}/healthz") as answer:
                    assert answer.status == 200
            scene.courier.process.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(STOPPED_S, scene.courier.process.send_signal, signal.SIGCONT)
            headers = {"X-Request-Id": "late", "X-Class": "once", "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                       "X-Consignee": "dest=7"}
            sent_s = time.monotonic()
            async with http.post(f"http://{scene.courier.address}/api", data=b"x", headers=headers) as answer:
                assert answer.status == 202
            await scene.platform.wait_notice("late")
            assert time.monotonic() - sent_s <= DEADLINE_S + NOTICE_S
    run(play())


@pytest.mark.parametrize("cls", ["once", "ordered"])
def test_an_answer_to_several_messages_delivers_none_once_the_time_of_one_is_up(tmp_path: Path, cls: str) -> None:
    """Guards against messages that count as delivered by an answer after the end of their call, which a process that
    stood still reads late: for the platform they were never delivered, and they were lost."""
    async def play() -> None:
        async with Scene(tmp_path, settings=ONE_CALL) as scene:
            first_may_end, answered = asyncio.Event(), asyncio.Event()

            async def reply(call: Call) -> Reply | None:
                if len(scene.endpoint.calls) == 1:
                    await first_may_end.wait()
                    return 200, {}, b""
                if len(scene.endpoint.calls) > 2:
                    return 200, {}, b""
                scene.courier.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(max(0.0, due_s + SLACK_S - time.monotonic()))
                asyncio.get_running_loop().call_later(SLACK_S, scene.courier.process.send_signal, signal.SIGCONT)
                answered.set()
                return 200, {}, b"short delivered\r\nlong delivered\r\n"
            scene.endpoint.reply = reply
            assert await scene.courier.hand_in("first") == 202
            await scene.endpoint.wait(1)
            due_s = time.monotonic() + CALL_DEADLINE_S
            assert await scene.courier.hand_in("short", X_Deadline_Ms=str(int(CALL_DEADLINE_S * 1000))) == 202
            assert await scene.courier.hand_in("long", cls, "k") == 202
            first_may_end.set()
            await scene.endpoint.wait(2)
            assert scene.endpoint.calls[1].target == "/inbox/bulk"
            await asyncio.wait_for(answered.wait(), LIMIT_S)
            if cls == "once":
                assert (await scene.platform.wait_notice("long"))["outcome"] == "given_up"
            else:
                await scene.endpoint.wait(3)
                assert scene.endpoint.calls[2].headers["x-request-id"] == "long"
    run(play())
