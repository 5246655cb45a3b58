"""Endpoints that send an answer twice: real couriers and endpoints, the next call open when the copy comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from copying_endpoint import CopyingEndpoint, PlannedAnswer
from loopback import ALONE, Courier, Platform, host, run

OWN_ANSWER_S = 0.1  # time until the call that the copy meets gets its own answer
LATE_COPY_S = 0.45  # the copy comes after the connection has rested, during a call that was written then
LATE_CALL_S = 0.3
LATE_ANSWER_S = 0.4  # time until that call gets its own answer
RETRY_WINDOW_S = 3.0  # a message that was refused is called again within this
EARLIER_ANSWER_S = 0.03  # time until the answer that is copied, while the next message waits for the slot
COPY_DELAY_S = 0.05  # the next call is open by then, if it is written on the same connection
# One call at a time, and idle connections are kept, as handshakes are dear.
SETTINGS = {**ALONE, "specifics": {**ALONE["specifics"], "calls_out": 2}, "prices": {"handshake": 10.0}}


class CopyScene:
    """The platform, an endpoint that copies answers, and a courier with one message in each call."""

    def __init__(self, folder: Path, plan: Callable[[str, int], PlannedAnswer]) -> None:
        self.platform, self.endpoint = Platform(), CopyingEndpoint(plan)
        self.courier = Courier(folder, self.platform, SETTINGS)

    async def __aenter__(self) -> CopyScene:
        await self.platform.start()
        self.platform.list(host("e0", await self.endpoint.start()))
        await self.courier.start()
        await self.submit("warm-up")
        await self.wait_answered("warm-up")
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.courier.process.returncode is None:
            await self.courier.kill()
        await self.platform.stop()
        self.endpoint.close()

    async def submit(self, *messages: str, message_class: str = "once", key: str = "") -> None:
        """Submit messages one after another."""
        for message in messages:
            assert await self.courier.hand_in(message, message_class, key) == 202

    async def wait_answered(self, message: str) -> None:
        """Wait until the endpoint has answered a call of the message."""
        await self.endpoint.wait_until(lambda: any(call.status for call in self.endpoint.calls_of(message)))


def test_refused_message_is_not_lost_when_a_copied_200_comes_during_its_call(tmp_path: Path) -> None:
    """Incident 54, lost: the copy of the 200 before was taken for the message's own answer, which was 503."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, EARLIER_ANSWER_S, COPY_DELAY_S)
        return PlannedAnswer(503, OWN_ANSWER_S) if message == "refused" and not calls_before else PlannedAnswer()

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before", "refused")
            await scene.endpoint.wait_until(lambda: scene.endpoint.delivered("refused"))
    run(play())


def test_message_that_ran_is_not_sent_again_when_a_copied_503_comes_during_its_call(tmp_path: Path) -> None:
    """Incident 54, duplicates: the copy of the 503 before was taken for the answer of a message that then ran."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(503, EARLIER_ANSWER_S, COPY_DELAY_S) if not calls_before else PlannedAnswer()
        return PlannedAnswer(200, OWN_ANSWER_S if message == "ran" else 0.0)

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before", "ran")
            await scene.endpoint.wait_until(lambda: scene.endpoint.delivered("ran"))
            await asyncio.sleep(RETRY_WINDOW_S)
            assert len(scene.endpoint.calls_of("ran")) == 1
    run(play())


def test_key_order_is_kept_when_a_copied_200_comes_during_the_call_of_its_first_message(tmp_path: Path) -> None:
    """Incident 54, order: the copy ended the first message of a key, so that the second one was called before it."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, EARLIER_ANSWER_S, COPY_DELAY_S)
        return PlannedAnswer(503, OWN_ANSWER_S) if message == "first" and not calls_before else PlannedAnswer()

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before")
            await scene.submit("first", "second", message_class="ordered", key="k")
            await scene.endpoint.wait_until(lambda: scene.endpoint.delivered("second"))
            assert scene.endpoint.delivered("first")
            done_at = min(call.answered_at for call in scene.endpoint.calls_of("first") if call.status == 200)
            assert scene.endpoint.calls_of("second")[0].received_at >= done_at
    run(play())


def test_refused_message_gets_an_end_when_a_copied_200_comes_later_than_connections_rest(tmp_path: Path) -> None:
    """Incident 54's class, lost: the copy is read as the next answer, whose own one, 503, comes unrequested."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, 0.0, LATE_COPY_S)
        return PlannedAnswer(503, LATE_ANSWER_S) if message == "refused" and not calls_before else PlannedAnswer()

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before")
            await scene.wait_answered("before")
            await asyncio.sleep(LATE_CALL_S)
            await scene.submit("refused")
            await scene.platform.wait_notice("refused")
    run(play())


def test_message_that_ran_is_not_sent_again_when_a_copied_503_comes_later_than_connections_rest(
        tmp_path: Path) -> None:
    """Incident 54's class, duplicates: the copy is read as the next answer, whose own one, 200, comes unrequested."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(503, 0.0, LATE_COPY_S) if not calls_before else PlannedAnswer(delay_s=1.0)
        return PlannedAnswer(200, LATE_ANSWER_S if message == "ran" else 0.0)

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before")
            await scene.wait_answered("before")
            await asyncio.sleep(LATE_CALL_S)
            await scene.submit("ran")
            await scene.endpoint.wait_until(lambda: scene.endpoint.delivered("ran"))
            await scene.platform.wait_notice("ran")
            await asyncio.sleep(RETRY_WINDOW_S)
            assert len(scene.endpoint.calls_of("ran")) == 1
    run(play())


def test_key_order_is_kept_when_a_copied_200_comes_later_than_connections_rest(tmp_path: Path) -> None:
    """Incident 54's class, order: the copy ends the first message of a key before its own answer, 503, comes."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, 0.0, LATE_COPY_S)
        return PlannedAnswer(503, LATE_ANSWER_S) if message == "first" and not calls_before else PlannedAnswer()

    async def play() -> None:
        async with CopyScene(tmp_path, plan) as scene:
            await scene.submit("before")
            await scene.wait_answered("before")
            await asyncio.sleep(LATE_CALL_S)
            await scene.submit("first", "second", message_class="ordered", key="k")
            await scene.wait_answered("first")
            assert not scene.endpoint.calls_of("second")
    run(play())
