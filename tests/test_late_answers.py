"""Answers about the time of a message's deadline, which its client counts from when it sent the request."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from copying_endpoint import CopyingEndpoint, PlannedAnswer
from loopback import ALONE, Courier, Platform, host, run

DEADLINE_S = 1.0
NOTICE_S = 0.3 + 0.05  # after a message's time is up its notice is due (PROTOCOL, 'The rules on sockets')
STANDSTILL_S = 0.12  # of the courier's process, between the request's arrival and its reading


@pytest.mark.parametrize("late_s", [0.02, 0.08])
def test_message_gets_an_end_when_its_request_was_read_late_and_its_answer_comes_late(
        tmp_path: Path, late_s: float) -> None:
    """Brink seed 14021, lost and order: a 200 after the client's deadline counted as a delivery, and nothing was told.

    The process stands still between the arrival of the request and its reading. The courier gives the call up at the
    client's deadline, so that the answer is read only where the process is late.
    """
    async def play() -> None:
        loop, platform = asyncio.get_running_loop(), Platform()
        sent_at = 0.0

        def plan(message: str, calls_before: int) -> PlannedAnswer:
            return PlannedAnswer(200, sent_at + DEADLINE_S + late_s - loop.time())
        endpoint = CopyingEndpoint(plan)
        await platform.start()
        platform.list(host("e0", await endpoint.start()))
        courier = Courier(tmp_path, platform, ALONE)
        await courier.start()
        courier.process.send_signal(signal.SIGSTOP)
        sent_at = loop.time()
        submitting = asyncio.create_task(courier.hand_in("m", X_Deadline_Ms=str(int(DEADLINE_S * 1000))))
        await asyncio.sleep(STANDSTILL_S)
        courier.process.send_signal(signal.SIGCONT)
        assert await submitting == 202
        assert (await platform.wait_notice("m"))["outcome"] == "given_up"
        assert loop.time() <= sent_at + DEADLINE_S + NOTICE_S
        assert len(endpoint.calls_of("m")) == 1  # given up at the client's deadline, or answered after it
        await courier.kill()
        await platform.stop()
        endpoint.close()
    run(play())
