"""Settings that change while one process follows another: which rules bind, and that none of the changes is missed."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from loopback import ALONE, LIMIT_S, Call, Reply, Scene, run
from successors import waiting_successor


def with_effect(effect: str, **extra: Any) -> dict[str, Any]:
    """Return the settings with another effect of the class `once`, and further classes like it."""
    ordered, once = ALONE["services"]
    return {**ALONE, "services": [ordered, {**once, "effect": effect},
                                  *({**once, "name": name, "effect": value} for name, value in extra.items())]}


def file_with(scene: Scene, settings: dict[str, Any]) -> str:
    return json.dumps({**json.loads(scene.courier.config(scene.platform)), "settings": settings})


async def reset(call: Call) -> Reply | None:
    """Break a call's connection after its last byte, so that it may have run."""
    raise ConnectionResetError


def attempts(scene: Scene, name: str) -> int:
    return sum(call.headers["x-request-id"] == name for call in scene.endpoint.calls)


async def wait_attempts(scene: Scene, name: str, count: int) -> None:
    async with asyncio.timeout(LIMIT_S):
        while attempts(scene, name) < count:
            await asyncio.sleep(0.01)


def test_a_new_version_right_after_new_settings_keeps_the_stricter_rules_until_clients_know_them(
        tmp_path: Path) -> None:
    """Guards against a successor that applies looser rules at once: fees whose call was reset ran twice (case 2 of the
    review)."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            s.endpoint.reply = reset
            changed = s.courier.settings = with_effect("repeatable")
            async with waiting_successor(s) as (after, take_over):
                s.courier.renew(file_with(s, changed))
                await s.courier.wait_log("configuration read again")
                await take_over()
                assert await after.hand_in("early") == 202
                assert (await s.platform.wait_notice("early"))["outcome"] == "given_up"
                await after.wait_log("classes from now on: ordered, once")
                assert await after.hand_in("later") == 202
                await wait_attempts(s, "later", 2)
                assert attempts(s, "early") == 1
    run(scene())


def test_a_restart_with_other_settings_keeps_the_stricter_rules_for_a_while(tmp_path: Path) -> None:
    """Guards against a kill that ends the stricter rules after SIGHUP before clients know the new ones."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            s.endpoint.reply = reset
            s.courier.settings = with_effect("repeatable")
            s.courier.renew(file_with(s, s.courier.settings))
            await s.courier.wait_log("configuration read again")
            await s.courier.kill()
            await s.courier.start()
            assert await s.courier.hand_in("early") == 202
            assert (await s.platform.wait_notice("early"))["outcome"] == "given_up"
            await s.courier.wait_log("classes from now on: ordered, once")
            assert attempts(s, "early") == 1
    run(scene())


def test_settings_that_come_after_the_successor_has_read_its_file_are_not_missed(tmp_path: Path) -> None:
    """Guards against a SIGHUP that the old process alone hears: its successor went on with the older settings."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, waiting_successor(s) as (after, take_over):
            s.courier.renew(file_with(s, with_effect("once", late="once")))
            await s.courier.wait_log("configuration read again")
            await take_over()
            await after.wait_log("configuration read again")
            assert await after.hand_in("m", "late") == 202
            figures = await after.figures()
            assert (figures["loads"], figures["load_errors"]) == (0, 0)  # no SIGHUP came to this process
            assert await s.courier.terminate() == 0
            assert await after.terminate() == 0
    run(scene())


def test_new_settings_in_the_middle_of_a_start_leave_held_messages_their_rules(tmp_path: Path) -> None:
    """Guards against a SIGHUP that is applied before the journal's messages and classes are restored."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            async def hang(call: Call) -> None:
                return None
            s.endpoint.reply = hang
            assert await s.courier.hand_in("fee") == 202
            await s.endpoint.wait(1)
            s.courier.settings = with_effect("repeatable")
            s.courier.renew(file_with(s, s.courier.settings))
            await s.courier.wait_log("classes from now on: ordered, once")
            changed = file_with(s, with_effect("repeatable", late="once"))
            await s.courier.kill()
            await s.platform.stop()  # the start waits for discovery for a moment
            await s.courier.begin()
            await s.courier.wait_console()
            s.courier.renew(changed)
            await s.courier.wait_log("configuration read again")
            await asyncio.sleep(2.0)  # more than a repeat takes
            assert attempts(s, "fee") == 1
    run(scene())
