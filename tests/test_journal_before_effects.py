"""What the journal's disk did not take must not be acted on: real couriers, a disk that fails, and SIGKILL."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from failing_courier import FailingScene, failing_scene
from loopback import run

FAILS_S = 0.6
SLOW_TICK_US = 300_000  # time for a test between a message and what becomes of it
FLUSH_S = 0.5  # after the disk works again, what it did not take is written within this
UNTIL_STOPPED_S = 3.0  # after SIGTERM a courier without connections has stopped all else by then
AFTER_RESTART_S = 2.0  # restored messages are called within this
OK = (200, {}, b"")


async def deliver_while_the_disk_fails(scene: FailingScene, message: str) -> None:
    """Have the endpoint answer the call of a message, and the courier read that, while nothing can be written."""
    scene.page.disk_failure_share = 1.0
    scene.replies[message] = OK
    await scene.wait_until(lambda: message in scene.answered)
    await asyncio.sleep(FAILS_S)


# Incident 57, order: the end of a key's first message was lost with the process, after the second one had been sent.
def test_a_delivered_message_is_not_sent_behind_the_next_of_its_key_after_failed_writes_and_a_kill(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            scene.default_reply = None
            for message in ("first", "second"):
                assert await scene.courier.hand_in(message, "ordered", "k") == 202
            await scene.wait_until(lambda: "first" in scene.called())
            await deliver_while_the_disk_fails(scene, "first")
            scene.page.disk_failure_share = 0.0
            await scene.wait_until(lambda: "second" in scene.called())
            await scene.restart()
            scene.default_reply = OK
            await scene.wait_until(lambda: "second" in scene.answered)
            await asyncio.sleep(AFTER_RESTART_S)
            calls = scene.called()
            assert "first" not in calls[calls.index("second"):]
    run(scenario())


# Incident 57's class, order: what the disk did not take was only written with the next event, however late that came.
def test_what_the_disk_did_not_take_is_written_soon_after_it_works_again(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            scene.default_reply = None
            assert await scene.courier.hand_in("delivered", "ordered", "k") == 202
            await scene.wait_until(lambda: "delivered" in scene.called())
            await deliver_while_the_disk_fails(scene, "delivered")
            scene.page.disk_failure_share = 0.0
            await asyncio.sleep(FLUSH_S)
            await scene.restart()
            await asyncio.sleep(AFTER_RESTART_S)
            assert scene.called() == ["delivered"]
    run(scenario())


# Incident 57's class, duplicates: a client was told to come again before the journal had the end; after a kill the
# message was sent as well.
def test_a_message_is_not_sent_after_its_client_was_told_to_come_again_while_the_disk_failed(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch, tick_us=SLOW_TICK_US, open_cap=3) as scene:
            scene.default_reply = None
            for message in ("one", "two", "three"):  # with the third there is no room, and one is handed back untried
                assert await scene.courier.hand_in(message) == 202
            scene.page.disk_failure_share = 1.0
            await asyncio.sleep(FAILS_S + SLOW_TICK_US / 1e6)
            handed_back = set(scene.platform.notices_heard)
            scene.page.disk_failure_share, scene.default_reply = 0.0, OK
            await scene.restart()
            await asyncio.sleep(AFTER_RESTART_S)
            assert not handed_back & set(scene.called())
    run(scenario())


# Incident 57's class, order: a process that was told to end took with it what the disk did not take.
def test_a_courier_that_is_told_to_end_writes_what_the_disk_did_not_take(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with failing_scene(tmp_path, monkeypatch) as scene:
            scene.default_reply = None
            assert await scene.courier.hand_in("delivered", "ordered", "k") == 202
            await scene.wait_until(lambda: "delivered" in scene.called())
            scene.courier.process.terminate()
            await deliver_while_the_disk_fails(scene, "delivered")
            await asyncio.sleep(UNTIL_STOPPED_S - FAILS_S)
            scene.page.disk_failure_share = 0.0
            assert await scene.courier.process.wait() == 0
            scene.courier.listen = scene.courier.address
            await scene.courier.start()
            await asyncio.sleep(AFTER_RESTART_S)
            assert scene.called() == ["delivered"]
    run(scenario())
