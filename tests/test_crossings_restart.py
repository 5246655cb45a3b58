"""What a restart does with accepted messages: each crossing of events is forced on real processes."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from helpers import MS, S, SenderDriver, final_answers, info, sent_messages
from loopback import LIMIT_S, Call, Courier, Reply, Scene, run
from restart import Client, PlatformWithEndpoints, fill, play, settings

from wheelstep import interface as api
from wheelstep.interface import Outcome
from wheelstep.journal import Journal, StoredMessage

HOLD = 40
OLD_COUNT = HOLD - 1  # with one more the first process would hand one back by itself
HEARD_S = 0.3  # from the platform's hearing of a notice until the courier has the answer, on a busy machine
SETTINGS = {**settings(HOLD), "rules": {**settings(HOLD)["rules"], "cold_us": 0}}  # no slow start after an outage


async def until(condition: Any) -> None:
    """Wait until `condition` returns true."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def full_courier(folder: Path,
                       endpoints: int = 2) -> AsyncIterator[tuple[PlatformWithEndpoints, Courier, set[str]]]:
    """Provide a courier that was killed while its hold limit was full of messages that could not be tried."""
    async with PlatformWithEndpoints(endpoints) as platform:
        platform.set_health("DRAINING")
        courier = Courier(folder, platform, SETTINGS)
        await courier.start()
        old = set(await fill(courier, OLD_COUNT, 20_000))
        await courier.kill()
        try:
            yield platform, courier, old
        finally:
            if courier.process.returncode is None:
                await courier.kill()


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("known", ["all", "none"])
def test_restored_untried_messages_are_kept_at_the_hold_limit_and_tried(
        tmp_path: Path, restarts: int, known: str) -> None:
    """New messages come before any restored one can be tried. `known`: what the courier knows of endpoints while
    discovery is silent. Guards against restored messages that are handed back to make room for new ones."""
    async def scene() -> None:
        async with full_courier(tmp_path) as (platform, courier, old):
            if known == "none":
                platform.hosts, platform.down = {}, True
            for number in range(restarts):
                if number:
                    await courier.kill()
                await courier.start()
            client = Client(courier, 20_000)
            codes = [await client.hand_in(f"new{number}") for number in range(5)]
            assert codes == [503] * 5 and not platform.notices_heard
            platform.set_health("SERVING")
            platform.restore() if platform.down else platform.push(*platform.hosts.values())
            await until(lambda: platform.called >= old)
            assert not platform.notices_heard and platform.called == old
            await until(lambda: len(platform.ended_at) >= OLD_COUNT)
            assert await client.hand_in("after") == 202
    run(scene())


def test_with_half_of_the_endpoints_hanging_and_new_traffic_all_restored_messages_are_tried(tmp_path: Path) -> None:
    """Guards against restored messages that wait for hanging endpoints, or behind new messages, until their end."""
    async def scene() -> None:
        result = await play(tmp_path, 60, 15_000, per_s=200, work_s=0.01, ends=False)
        assert (result.called, result.early) == (59, 0), result.line()
    run(scene())


def restored(drive: SenderDriver, name: str, left_us: int = 20 * S, attempts: int = 0,
             cls: int = 0) -> list[api.Action]:
    """Return the actions of the decision module when it is given a restored message."""
    return drive.at(drive.now, api.MessageRestored(
        api.MessageAccepted(name, cls, 7, left_us, resubmitted=True), attempts))


def test_at_the_hold_limit_the_newest_messages_are_handed_back_and_no_restored_ones() -> None:
    """Guards against a choice by id or worth that gives restored, untried messages up."""
    drive = SenderDriver(listed=False, hold_limit=4)
    for number in range(4):
        assert not final_answers(restored(drive, f"old{number}"))
    drive.members(info("far", destination=8, state=api.EndpointState.DRAINING))
    for number in range(3):
        drive.submit(f"new{number}", destination=8)
    assert final_answers(drive.actions) == [("Refuse", "new0"), ("Refuse", "new1")]
    assert set(sent_messages(drive.members(info("e0")))) <= {f"old{number}" for number in range(4)}
    drive.tick(19 * S)
    ended = [name for _, name in final_answers(drive.actions) if name.startswith("old")]
    assert not ended  # their deadlines have not passed


@pytest.mark.parametrize("outcome", [Outcome.NOT_SENT, Outcome.CONNECT_FAILED])
def test_the_retry_limit_does_not_count_attempts_that_reached_no_endpoint(outcome: Outcome) -> None:
    """Guards against a restored message that ends untried because repeats are denied after a failed connect."""
    drive = SenderDriver(endpoints=1, max_attempts=100)
    restored(drive, "old")
    drive.sender._destination(7).retry_controller.may_retry = lambda now_us: False  # type: ignore[method-assign]
    drive.end("old", outcome)
    drive.tick(10 * S)
    assert sent_messages(drive.actions).count("old") >= 2 and not final_answers(drive.actions)
    drive.end("old", Outcome.FULL, attempt=1)  # now it has been tried, and the limit applies
    drive.tick(15 * S)
    assert final_answers(drive.actions) == [("Refuse", "old")]


def test_a_message_that_would_be_late_is_kept_until_its_deadline() -> None:
    """Guards against a restored message that is given up early as its delivery is expected to take too long."""
    drive = SenderDriver(endpoints=1, slots=1)
    drive.submit("slow")
    drive.tick(3 * S)
    drive.end("slow", Outcome.OK, spent_us=3 * S)  # calls take 3 s here
    restored(drive, "old", left_us=2 * S)
    drive.tick(drive.now + 2 * S - 100 * MS)
    assert not final_answers(drive.actions)
    drive.tick(drive.now + 200 * MS)
    assert final_answers(drive.actions) == [("Refuse", "old")]


def changed_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings with the class `once` changed, or removed by `effect=None`."""
    new = copy.deepcopy(SETTINGS)
    if changes["effect"] is None:
        new["services"] = [row for row in new["services"] if row["name"] != "once"]
    else:
        next(row for row in new["services"] if row["name"] == "once").update(changes)
    return new


@pytest.mark.parametrize("marked", [True, False])
def test_messages_of_a_class_that_was_removed_before_the_restart_are_tried(tmp_path: Path, marked: bool) -> None:
    """Also when the journal has no classes, like those of earlier versions (`marked` is false)."""
    async def scene() -> None:
        async with full_courier(tmp_path) as (platform, courier, old):
            if not marked:
                journal = Journal(tmp_path / "state", 3_000_000)
                journal.mark(":classes", None)
                journal.close()
            courier.settings = changed_settings(effect=None)
            platform.set_health("SERVING")
            await courier.start()
            await until(lambda: platform.called >= old)
            assert not platform.notices_heard
    run(scene())


@pytest.mark.parametrize("effect", ["repeatable", "by_key"])
def test_a_message_that_may_have_run_keeps_the_effect_it_was_accepted_with(tmp_path: Path, effect: str) -> None:
    """The courier is killed during the call of an unsafe message, and restarted with settings in which its class may be
    repeated: the message must not be sent again."""
    async def scene() -> None:
        async with Scene(tmp_path) as s:
            async def hang(call: Call) -> Reply | None:
                return None
            s.endpoint.reply = hang
            assert await s.courier.hand_in("fee") == 202
            await s.endpoint.wait(1)
            await s.courier.kill()
            s.courier.settings = changed_settings(effect=effect, key_ttl_us=15_000_000)
            await s.courier.start()
            assert (await s.platform.wait_notice("fee"))["outcome"] == "given_up"
            assert len(s.endpoint.calls) == 1
    run(scene())


def test_messages_of_an_hour_old_journal_end_at_once_and_delay_nothing(tmp_path: Path) -> None:
    """Guards against 5000 notices that block the event loop, or go in one request that is too large."""
    async def scene() -> None:
        async with Scene(tmp_path, disk_mb=8) as s:
            await s.courier.kill()
            journal = Journal(tmp_path / "state", 8_000_000)
            for number in range(5000):
                journal.take(StoredMessage(f"m{number}", "once", 7, int((time.time() - 3600) * 1000)))
            journal.close()
            sizes: list[int] = []
            take = s.platform.accept_notices
            s.platform.accept_notices = lambda body: sizes.append(body.count(b"\n")) or take(body)  # type: ignore
            await s.courier.start()
            await until(lambda: len(s.platform.notices_heard) >= 5000)
            assert not s.endpoint.calls and max(sizes) <= 201
            await until(lambda: not any("Traceback" in line for line in s.courier.log))
            async with asyncio.timeout(HEARD_S):
                while await s.courier.hand_in("fresh") != 202:
                    await asyncio.sleep(0.01)
            await s.endpoint.wait(1)
    run(scene())


@pytest.mark.parametrize("first", ["notice unanswered", "call open"])
def test_a_key_keeps_its_order_over_a_restart(tmp_path: Path, first: str) -> None:
    """The first message of the key has ended by a notice that is not answered, or its call was open at the kill. The
    second is sent only after that has ended, and after the time in which the first may still run."""
    async def scene() -> None:
        async with Scene(tmp_path) as s:
            heard: list[tuple[str, float]] = []

            async def reply(call: Call) -> Reply | None:
                name = call.headers["x-request-id"]
                heard.append((name, time.monotonic()))
                if name == "first":
                    return (500, {}, b"") if first == "notice unanswered" else None
                return 200, {}, b""
            s.endpoint.reply, s.platform.accepts_notices = reply, False
            left = "900" if first == "notice unanswered" else "2500"
            assert await s.courier.hand_in("first", "ordered", key="k", X_Deadline_Ms=left) == 202
            assert await s.courier.hand_in("second", "ordered", key="k") == 202
            if first == "notice unanswered":
                await s.courier.wait_log("notices: status 503")
            else:
                await s.endpoint.wait(1)
            await s.courier.kill()
            await s.courier.start()
            await s.courier.wait_log("notices: status 503")
            assert "second" not in [name for name, _ in heard]
            s.platform.accepts_notices = True
            await s.platform.wait_notice("first")
            answered = time.monotonic()
            await until(lambda: heard[-1][0] == "second")
            assert heard[-1][1] >= answered and [name for name, _ in heard].count("second") == 1
    run(scene())
