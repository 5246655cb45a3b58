"""Requests with the id of a message that was accepted before: the same one again, or another one."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from loopback import LIMIT_S, Call, Reply, Scene, run


@pytest.mark.parametrize("other", [{"body": b"y"}, {"cls": "ordered", "key": "k"}, {"Idempotency_Key": "t"},
                                   {"X_Consignee": "dest=8"}], ids=["body", "class", "token", "destination"])
def test_another_message_with_a_known_id_is_refused(tmp_path: Path, other: dict[str, Any]) -> None:
    """Guards against a 202 for a message that is not delivered: one with its id was accepted before it, as happens
    where a process that stood still reads both at once."""
    async def play() -> None:
        async with Scene(tmp_path) as scene:
            async def silent(call: Call) -> Reply | None:
                await asyncio.sleep(LIMIT_S)
                return None
            scene.endpoint.reply = silent
            assert await scene.courier.hand_in("m") == 202
            await scene.endpoint.wait(1)
            status, _ = await scene.courier.hand_in_answer("m", **{"cls": "once", **other})
            assert status == 400
            assert await scene.courier.hand_in("m") == 202
            assert len(scene.endpoint.calls) == 1
    run(play())
