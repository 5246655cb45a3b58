"""What a process does after it has handed over: late answers reach the one that owns the messages."""

from __future__ import annotations

import asyncio
from pathlib import Path

from copying_endpoint import CopyingEndpoint, PlannedAnswer
from loopback import Courier, Platform, host, run
from test_answer_copies import LATE_CALL_S, SETTINGS

COPY_S = 2.5  # the copy, and the answer of the call that it meets, come after the hand-over, which takes less
ANSWER_S = 2.7


def test_a_message_whose_answer_turns_out_a_copy_after_the_handover_gets_an_end(tmp_path: Path) -> None:
    """Guards against a correction that the old process keeps to itself: the message was refused, and never ended."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, 0.0, COPY_S)
        return PlannedAnswer(503, ANSWER_S) if message == "refused" and not calls_before else PlannedAnswer()

    async def play() -> None:
        platform, endpoint = Platform(), CopyingEndpoint(plan)
        await platform.start()
        platform.list(host("e0", await endpoint.start()))
        courier = Courier(tmp_path, platform, SETTINGS, console=True)
        await courier.start()
        after = courier.successor()
        try:
            for name in ("warm-up", "before"):
                assert await courier.hand_in(name) == 202
                await endpoint.wait_until(lambda name=name: endpoint.delivered(name))  # type: ignore[misc]
                await asyncio.sleep(LATE_CALL_S)
            assert await courier.hand_in("refused") == 202
            await after.begin()
            await after.wait_ready()
            await courier.wait_log("handed over, 1 calls still in flight")
            await platform.wait_notice("refused")
        finally:
            await courier.kill()
            await after.kill()
            await platform.stop()
            endpoint.close()
    run(play())
