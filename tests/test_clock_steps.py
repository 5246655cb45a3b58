"""The wall clock of a courier's machine is set forward or back by an hour; deadlines are spans of real time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from loopback import LIMIT_S, Call, Reply, Scene, run

from wheelstep.rehearsal.soak.control import PAGE, FaultPage

STEPS_S = (3600.0, -3600.0)


@contextlib.asynccontextmanager
async def stepping(folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Scene, FaultPage, list[str]]]:
    """A courier whose wall clock the test sets; its endpoint hangs for the messages that the list names."""
    page = FaultPage(folder / "page")
    monkeypatch.setenv(PAGE, str(folder / "page"))
    scene, hanging = Scene(folder), list[str]()
    scene.courier.program = ("wheelstep.rehearsal.soak.faulty",)
    async with scene as s:
        async def reply(call: Call) -> Reply | None:
            while call.headers["x-request-id"] in hanging:
                await asyncio.sleep(0.01)
            return 200, {}, b""
        s.endpoint.reply = reply
        yield s, page, hanging


def called(scene: Scene, message: str) -> bool:
    return any(call.headers.get("x-request-id") == message for call in scene.endpoint.calls)


async def until_called(scene: Scene, message: str) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not called(scene, message):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_key_goes_on_after_a_step(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    """The first of a key is answered after the step: it is delivered, and the second one follows at once."""
    async def play() -> None:
        async with stepping(tmp_path, monkeypatch) as (s, page, hanging):
            hanging.append("first")
            assert await s.courier.hand_in("first", "ordered", "k") == 202
            await until_called(s, "first")
            assert await s.courier.hand_in("second", "ordered", "k") == 202
            page.clock_s = step_s
            assert await s.courier.hand_in("third", "ordered", "k") == 202
            hanging.clear()
            began = time.monotonic()
            await until_called(s, "third")
            assert time.monotonic() - began < 2.0 and not s.platform.notices_heard
            assert [call.headers["x-request-id"] for call in s.endpoint.calls] == ["first", "second", "third"]
    run(play())


@pytest.mark.parametrize("step_s", STEPS_S)
def test_after_a_step_and_a_restart_messages_have_the_time_that_they_had(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    """What has time left is tried, and what has none is ended."""
    async def play() -> None:
        async with stepping(tmp_path, monkeypatch) as (s, page, hanging):
            hanging.append("first")
            assert await s.courier.hand_in("first", "ordered", "k") == 202
            await until_called(s, "first")
            assert await s.courier.hand_in("long", "ordered", "k", X_Deadline_Ms="14000") == 202
            assert await s.courier.hand_in("short", "ordered", "k", X_Deadline_Ms="2500") == 202
            began = time.monotonic()
            page.clock_s = step_s
            await s.courier.kill()
            await s.courier.start()
            assert (await s.platform.wait_notice("short"))["message"] == "short"
            assert time.monotonic() - began < 2.5 + 0.3 + 1.5  # its time, the slack, and that of a restart
            hanging.clear()
            await until_called(s, "long")
            assert "long" not in s.platform.notices_heard
    run(play())
