"""A request that comes twice: the second one must not run a message again that has ended meanwhile."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loopback import Scene, run

from wheelstep.courier.ended_messages import KEEP_S, MAX_MESSAGES, EndedMessages


def test_copied_request_does_not_run_an_ended_message_again(tmp_path: Path) -> None:
    """Incident 54's class, duplicates: the second copy of a request came after the first one's message had ended."""
    async def play() -> None:
        async with Scene(tmp_path, console=True) as scene:
            assert await scene.courier.hand_in("m", "once") == 202
            await scene.endpoint.wait(1)
            await asyncio.sleep(0.1)  # until the courier has read the answer
            assert await scene.courier.hand_in("m", "once") == 202
            assert await scene.courier.hand_in("other", "once") == 202
            await scene.endpoint.wait(2)
            await asyncio.sleep(0.1)
            assert [call.headers["x-request-id"] for call in scene.endpoint.calls] == ["m", "other"]
    run(play())


def test_copied_request_does_not_run_an_ended_message_again_at_the_successor(tmp_path: Path) -> None:
    """The same with a new version between the two copies."""
    async def play() -> None:
        async with Scene(tmp_path, console=True) as scene:
            assert await scene.courier.hand_in("m", "once") == 202
            await scene.endpoint.wait(1)
            await asyncio.sleep(0.1)  # until the courier has read the answer
            successor = scene.courier.successor()
            await successor.begin()
            await successor.wait_ready()
            successor.address = scene.courier.address
            assert await successor.hand_in("m", "once") == 202
            assert await successor.hand_in("other", "once") == 202
            await scene.endpoint.wait(2)
            await asyncio.sleep(0.1)
            assert [call.headers["x-request-id"] for call in scene.endpoint.calls] == ["m", "other"]
            await successor.kill()
    run(play())


def test_ended_messages_are_known_for_a_while_and_up_to_a_number() -> None:
    """Guards the memory, and ids that a client uses again much later."""
    ended = EndedMessages()
    ended.add("m", 100.0)
    assert ended.holds("m", 100.0 + KEEP_S) and not ended.holds("m", 100.1 + KEEP_S) and not ended.holds("n", 100.0)
    for number in range(MAX_MESSAGES):
        ended.add(f"m{number}", 101.0)
    assert not ended.holds("m", 101.0) and ended.holds("m0", 101.0)
    ended.add("later", 102.0 + KEEP_S)
    assert not ended.holds("m0", 102.0) and ended.holds("later", 102.0 + KEEP_S)
