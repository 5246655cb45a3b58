"""A step of the wall clock by an hour, forward or back, neither extends nor shortens deadlines."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from loopback import LIMIT_S, Call, Reply, Scene, run

from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage

STEPS_S = (3600.0, -3600.0)


@contextlib.asynccontextmanager
async def courier_with_settable_clock(
        folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Scene, FaultPage, list[str]]]:
    """Run a courier whose wall clock the test can set; its endpoint doesn't answer the messages named in the list."""
    page = FaultPage(folder / "page")
    monkeypatch.setenv(FAULT_PAGE_VARIABLE, str(folder / "page"))
    scene, hanging = Scene(folder), list[str]()
    scene.courier.program = ("wheelstep.rehearsal.soak.faulty",)
    async with scene as s:
        async def reply(call: Call) -> Reply | None:
            while call.headers["x-request-id"] in hanging:
                await asyncio.sleep(0.01)
            return 200, {}, b""
        s.endpoint.reply = reply
        yield s, page, hanging


def was_called(scene: Scene, message: str) -> bool:
    return any(call.headers.get("x-request-id") == message for call in scene.endpoint.calls)


async def wait_until_called(scene: Scene, message: str) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not was_called(scene, message):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_after_a_clock_step_the_next_messages_of_a_key_follow_at_once(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    """The key's first message is answered after the step: it counts as delivered, and the others follow at once."""
    async def scenario() -> None:
        async with courier_with_settable_clock(tmp_path, monkeypatch) as (s, page, hanging):
            hanging.append("first")
            assert await s.courier.hand_in("first", "ordered", "k") == 202
            await wait_until_called(s, "first")
            assert await s.courier.hand_in("second", "ordered", "k") == 202
            page.clock_offset_s = step_s
            assert await s.courier.hand_in("third", "ordered", "k") == 202
            hanging.clear()
            began = time.monotonic()
            await wait_until_called(s, "third")
            assert time.monotonic() - began < 2.0 and not s.platform.notices_heard
            assert [call.headers["x-request-id"] for call in s.endpoint.calls] == ["first", "second", "third"]
    run(scenario())


@pytest.mark.parametrize("step_s", STEPS_S)
def test_after_a_clock_step_and_a_restart_messages_keep_their_remaining_time(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    """A message with time left is tried, and one without is ended."""
    async def scenario() -> None:
        async with courier_with_settable_clock(tmp_path, monkeypatch) as (s, page, hanging):
            hanging.append("first")
            assert await s.courier.hand_in("first", "ordered", "k") == 202
            await wait_until_called(s, "first")
            assert await s.courier.hand_in("long", "ordered", "k", X_Deadline_Ms="14000") == 202
            assert await s.courier.hand_in("short", "ordered", "k", X_Deadline_Ms="2500") == 202
            began = time.monotonic()
            page.clock_offset_s = step_s
            await s.courier.kill()
            await s.courier.start()
            assert (await s.platform.wait_notice("short"))["message"] == "short"
            assert time.monotonic() - began < 2.5 + 0.3 + 1.5  # its deadline, slack for the end, and the restart
            hanging.clear()
            await wait_until_called(s, "long")
            assert "long" not in s.platform.notices_heard
    run(scenario())
