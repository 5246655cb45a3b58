"""Permanent tasks of a courier are started again when they fail."""

from __future__ import annotations

import asyncio

import pytest

from wheelstep.courier.task_supervision import keep_running


# Incident 57's class, crashed: an error in one task ended the process, and with it all that it had under way.
def test_a_task_that_fails_is_started_again_and_one_that_returns_is_not(caplog: pytest.LogCaptureFixture) -> None:
    starts: list[int] = []

    async def work() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise OSError("refused")

    async def scenario() -> None:
        async with asyncio.timeout(5):
            await keep_running("work", work)
    asyncio.run(scenario())
    assert starts == [0, 1, 2] and caplog.text.count("task work failed and is started again") == 2


def test_a_cancelled_task_ends() -> None:
    async def scenario() -> None:
        task = asyncio.create_task(keep_running("sleep", lambda: asyncio.sleep(60)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
    asyncio.run(scenario())
