"""What a process does after it has handed over: commands, signals and late answers reach the one that owns the
messages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path
from typing import Any

import pytest
from copying_endpoint import CopyingEndpoint, PlannedAnswer
from loopback import ALONE, LIMIT_S, Courier, Endpoint, Scene, host, run
from successors import upgraded, waiting_successor
from test_answer_copies import LATE_CALL_S, SETTINGS

from wheelstep.courier.call import Contradiction, Item
from wheelstep.rehearsal.soak.control import FAULT_PAGE_VARIABLE, FaultPage
from wheelstep.upgrade.channel import Channel, connect
from wheelstep.upgrade.reports import SuccessorReports, apply_contradiction

COPY_S = 1.0  # the copy, and the answer of the call that it meets, come after the hand-over, which takes less
ANSWER_S = 1.2
REPLY_LIMIT_S = 1.0  # replies at the second address are due within this (DAYS, 'The second address')


@contextlib.asynccontextmanager
async def two_endpoints(scene: Scene) -> contextlib.AbstractAsyncContextManager[Endpoint]:  # type: ignore[misc]
    """Give the destination of a scene a second endpoint, e1."""
    other = Endpoint()
    await scene.platform.wait_watches(1)
    scene.platform.change(host("e1", await other.start()))
    async with asyncio.timeout(LIMIT_S):
        while (await scene.courier.figures())["known_endpoints"] < 2:
            await asyncio.sleep(0.01)
    yield other


async def deliver(scene: Scene, courier: Courier, other: Endpoint, name: str, count: int = 8) -> int:
    """Deliver messages through a process; return how many calls of them came to e0."""
    for number in range(count):
        assert await courier.hand_in(f"{name}{number}") == 202
    names = {f"{name}{number}" for number in range(count)}

    def came(endpoint: Endpoint) -> set[str]:
        return names & {call.headers.get("x-request-id", "") for call in endpoint.calls}
    async with asyncio.timeout(LIMIT_S):
        while came(scene.endpoint) | came(other) != names:
            await asyncio.sleep(0.01)
    return len(came(scene.endpoint))


def test_a_command_at_the_old_process_binds_the_new_one(tmp_path: Path) -> None:
    """Guards against a `+OK` of a process that no longer owns the messages: the new one sent on to the endpoint that
    was out (case 3 of the review)."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, two_endpoints(s) as other, upgraded(s) as after:
            assert await s.courier.call("exclude e0") == "+OK e0 is out\n"
            assert (await s.courier.call("exclude nobody")).startswith("-ERR no endpoint")
            assert await deliver(s, after, other, "out") == 0
            assert (await after.figures())["skipped_endpoints"] == 1
            assert await s.courier.call("include e0") == "+OK e0 is back\n"
            async with asyncio.timeout(LIMIT_S):
                while not await deliver(s, after, other, f"back{time.monotonic()}-"):
                    pass
            assert await s.courier.call("exclude e0") == "+OK e0 is out\n"
            assert await s.courier.terminate() == 0
            await after.kill()
            await after.start()
            assert await deliver(s, after, other, "kept") == 0
    run(scene())


def test_a_command_finds_the_owner_over_several_upgrades(tmp_path: Path) -> None:
    """Guards against a command that ends at a process in the middle of the row, or with it."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, two_endpoints(s) as other, upgraded(s) as second:
            first, s.courier = s.courier, second
            async with upgraded(s) as third:
                assert await first.call("exclude e0") == "+OK e0 is out\n"
                assert await second.call("include e0") == "+OK e0 is back\n"
                assert await second.terminate() == 0
                assert await first.call("exclude e0") == "+OK e0 is out\n"
                assert await deliver(s, third, other, "m") == 0
                await first.kill()
                assert await third.terminate() == 0
    run(scene())


def test_commands_and_new_settings_at_a_starting_process_bind_the_one_that_serves(tmp_path: Path) -> None:
    """Guards against an answer of a process that knows no endpoint yet."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, two_endpoints(s) as other:
            holding = Channel(connect(tmp_path / "state"), lambda head, body, descriptors: None, lambda: None)
            await holding.send({"do": "take over"})  # the successor has to wait until this channel is closed
            after = s.courier.successor()
            await after.begin()
            await after.wait_console()
            assert (await after.call("exclude nobody")).startswith("-ERR no endpoint")
            assert await after.call("exclude e0") == "+OK e0 is out\n"
            after.renew(json.dumps(json.loads(s.courier.config(s.platform))))
            await s.courier.wait_log("configuration read again")
            holding.close()
            await after.wait_ready()
            after.address = s.courier.address
            assert await deliver(s, after, other, "m") == 0
            assert await s.courier.terminate() == 0
            assert await after.terminate() == 0
    run(scene())


def test_a_command_in_the_middle_of_a_start_waits_for_the_journal(tmp_path: Path) -> None:
    """Guards against a `+OK` to `include` before exclusions are restored, which took the endpoint out again."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s:
            assert (await s.courier.call("exclude e0")).startswith("+OK")
            await s.courier.kill()
            await s.platform.stop()  # the start waits for discovery for a moment
            await s.courier.begin()
            await s.courier.wait_console()
            assert (await s.courier.call("include e0")).startswith("+OK")
            s.courier.address = await s.courier._serving
            assert await s.courier.hand_in("m") == 202
            await s.endpoint.wait(1)
    run(scene())


def test_a_command_without_an_owner_is_answered_in_time(tmp_path: Path) -> None:
    """Guards against a wrong `+OK`, and a reply that never comes, once the successor has ended."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, upgraded(s) as after:
            await after.kill()
            began = time.monotonic()
            assert (await s.courier.call("exclude e0")).startswith("-ERR no process")
            assert time.monotonic() - began < REPLY_LIMIT_S
            assert (await s.courier.call("readyz")).startswith("-ERR")
    run(scene())


def test_new_settings_that_the_old_process_hears_of_after_the_handover_are_applied(tmp_path: Path) -> None:
    """Guards against a SIGHUP that nobody heeds: new settings came into force only at the next start."""
    async def scene() -> None:
        async with Scene(tmp_path, console=True) as s, upgraded(s) as after:
            once = ALONE["services"][1]
            settings = {**ALONE, "services": [*ALONE["services"], {**once, "name": "late"}]}
            s.courier.renew(json.dumps({**json.loads(after.config(s.platform)), "settings": settings}))
            await after.wait_log("configuration read again", 2)
            assert await after.hand_in("m", "late") == 202
            assert (await after.figures())["loads"] == 1
    run(scene())


def test_a_message_whose_answer_turns_out_a_copy_after_the_handover_gets_an_end(tmp_path: Path) -> None:
    """Guards against a correction that the old process keeps to itself: the message was refused, and never ended."""
    def plan(message: str, calls_before: int) -> PlannedAnswer:
        if message == "before":
            return PlannedAnswer(200, 0.0, COPY_S)
        return PlannedAnswer(503, ANSWER_S) if message == "refused" and not calls_before else PlannedAnswer()

    async def play() -> None:
        scene = Scene(tmp_path, console=True, settings=SETTINGS)
        scene.endpoint = endpoint = CopyingEndpoint(plan)  # type: ignore[assignment]
        async with scene as s, waiting_successor(s) as (after, take_over):
            for name in ("warm-up", "before"):
                assert await s.courier.hand_in(name) == 202
                await endpoint.wait_until(lambda name=name: endpoint.delivered(name))  # type: ignore[misc]
                await asyncio.sleep(LATE_CALL_S)
            assert await s.courier.hand_in("refused") == 202
            await endpoint.wait_until(lambda: bool(endpoint.calls_of("refused")))
            await take_over()
            await s.courier.wait_log("handed over, 1 calls still in flight")
            await s.platform.wait_notice("refused")
        endpoint.close()
    run(play())


def test_a_command_is_confirmed_only_once_the_disk_has_it(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a `+OK` to an exclusion that a kill undoes, as the disk had not taken it."""
    async def scene() -> None:
        page = FaultPage(tmp_path / "page")
        monkeypatch.setenv(FAULT_PAGE_VARIABLE, str(tmp_path / "page"))
        s = Scene(tmp_path, console=True)
        s.courier.program = ("wheelstep.rehearsal.soak.faulty",)
        async with s, two_endpoints(s) as other:
            page.disk_failure_share = 1.0
            began = time.monotonic()
            assert (await s.courier.call("exclude e0")).startswith("-ERR the disk")
            assert time.monotonic() - began < REPLY_LIMIT_S
            asked = asyncio.create_task(s.courier.call("exclude e0"))
            await asyncio.sleep(0.2)
            assert not asked.done()
            page.disk_failure_share = 0.0
            assert await asked == "+OK e0 is out\n"
            await s.courier.kill()
            await s.courier.start()
            assert await deliver(s, s.courier, other, "m") == 0
        page.close()
    run(scene())


def test_a_contradicted_answer_is_passed_on_over_a_row_of_upgrades() -> None:
    """Guards against a process in the middle of the row that corrects it in a journal that it has handed over."""
    packets: list[dict[str, Any]] = []
    found: list[Contradiction] = []
    first = SuccessorReports(packets.append)
    first.contradicted(Contradiction(Item("m", 3, None, b"", once=True), 200, 503))

    class Client:
        on_contradiction = SuccessorReports(packets.append).contradicted  # as after a hand-over

    class Core:
        endpoint_client: Any = Client
    apply_contradiction(packets[0], Core())  # type: ignore[arg-type]
    assert packets[0] == packets[1]
    Core.endpoint_client = type("Client", (), {"on_contradiction": found.append})
    apply_contradiction(packets[1], Core())  # type: ignore[arg-type]
    assert [(one.item.message, one.item.attempt, one.item.once, one.believed, one.found) for one in found] == [
        ("m", 3, True, 200, 503)]
