"""A key's order over processes: settle periods and open attempts that one process saw bind the next one too."""

from __future__ import annotations

import asyncio
from pathlib import Path

from key_order_world import KEYS, SETTLE_S, Attempt, Endpoints, World, early
from loopback import run

STAGGER_S = 0.02  # from one key's broken call to the next one's; all of them, and the next, outlast a process's start
LATE_SETTLE_S = 2.0
REPEATS_SETTLE_S = 10.0  # outlasts three attempts at an endpoint that breaks the first two


async def second_answers(attempt: Attempt) -> bool:
    return attempt.message.startswith("second")


def test_a_key_that_settles_does_so_at_the_successor(tmp_path: Path) -> None:
    """Incident 45. The first of each key breaks, one key after the other, while a new version takes over."""
    async def play() -> None:
        endpoints = Endpoints(2 * KEYS, second_answers)
        async with World(tmp_path, endpoints) as world:
            pairs = await world.submit_pairs(KEYS)
            await endpoints.until(lambda: len(endpoints.attempts) == KEYS)

            async def break_in_turn() -> None:
                for number in range(1, KEYS + 1):
                    endpoints.of(f"first-{number}")[0].reset()
                    await asyncio.sleep(STAGGER_S)
            breaking = asyncio.create_task(break_in_turn())
            await world.upgrade()
            await breaking
            await endpoints.until(lambda: all(endpoints.of(name) for name in pairs))
            assert not early(endpoints, pairs)
    run(play())


def test_a_repeat_of_a_tried_message_does_not_wait_for_its_own_settle_period_after_a_handover(tmp_path: Path) -> None:
    """Guards against a settle period of the message itself that the successor takes for one of an earlier message: its
    next repeat then violated an invariant and was not sent, although it was the message's turn."""
    async def play() -> None:
        async def answer_from_the_third(attempt: Attempt) -> bool:
            if len(endpoints.of(attempt.message)) == 1:
                attempt.reset()
            return len(endpoints.of(attempt.message)) > 2
        endpoints = Endpoints(1, answer_from_the_third)
        async with World(tmp_path, endpoints, REPEATS_SETTLE_S) as world:
            assert await world.courier.hand_in("first", "safe", "k", X_Consignee="dest=1") == 202
            await endpoints.until(lambda: len(endpoints.attempts) == 2)
            await world.upgrade()
            endpoints.attempts[1].reset()
            await endpoints.until(lambda: len(endpoints.attempts) == 3)
            assert await world.courier.terminate() == 0
            await world.courier.wait_log("invariants violated: none")
    run(play())


def test_a_call_of_two_processes_before_is_waited_for(tmp_path: Path) -> None:
    """Two new versions in a row: the first process still has the call, the third one has the key."""
    async def play() -> None:
        endpoints = Endpoints(2, second_answers)
        async with World(tmp_path, endpoints) as world:
            await world.submit_pair()
            await world.upgrade()
            await world.upgrade()
            await asyncio.sleep(3 * SETTLE_S)
            assert not endpoints.of("second")
            endpoints.attempts[0].reset()
            await endpoints.until(lambda: bool(endpoints.of("second")))
            assert not early(endpoints, {"second": "first"})
    run(play())


def test_a_key_that_settles_does_so_after_a_restart(tmp_path: Path) -> None:
    """Killed right after the first of a key has failed and its notice was answered."""
    async def play() -> None:
        endpoints = Endpoints(2, second_answers)
        async with World(tmp_path, endpoints, LATE_SETTLE_S) as world:
            await world.submit_pair()
            endpoints.attempts[0].reset()
            await world.platform.wait_notice("first")
            await asyncio.sleep(0.05)  # its answer has been read
            await world.courier.kill()
            await world.courier.start()
            await endpoints.until(lambda: bool(endpoints.of("second")))
            assert not early(endpoints, {"second": "first"}, LATE_SETTLE_S)
    run(play())


def test_a_call_that_is_cut_as_its_process_ends_has_ended_when_the_key_goes_on(tmp_path: Path) -> None:
    """The process before leaves with a call that nobody answers."""
    async def play() -> None:
        endpoints = Endpoints(2, second_answers)
        async with World(tmp_path, endpoints) as world:
            await world.submit_pair()
            before = world.courier
            await world.upgrade()
            assert await before.terminate() == 0
            await endpoints.until(lambda: bool(endpoints.of("second")))
            assert not early(endpoints, {"second": "first"})
    run(play())


def test_a_key_settles_after_an_answer_that_is_not_whole(tmp_path: Path) -> None:
    """In one process: the endpoint stops in the middle of its answer, and the courier closes the connection."""
    parts = {"line": b"HTTP/1.1 20", "noise": b"\x16\x03\x01\r\n\r\n",
             "body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
             "error": b"HTTP/1.1 500 Error\r\nContent-Length: 9\r\n\r\n"}

    async def play() -> None:
        async def reply(attempt: Attempt) -> bool:
            attempt.write(parts.get(attempt.message.removeprefix("first-"), b""))
            return attempt.message.startswith("second")
        endpoints = Endpoints(2 * len(parts), reply)
        async with World(tmp_path, endpoints) as world:
            for place, name in enumerate(parts, 1):
                for which, cls, at in ((f"first-{name}", "once", 2 * place - 1), (f"second-{name}", "safe", 2 * place)):
                    assert await world.courier.hand_in(which, cls, name, X_Consignee=f"dest={at}") == 202
            pairs = {f"second-{name}": f"first-{name}" for name in parts}
            await endpoints.until(lambda: all(endpoints.of(name) for name in pairs))
            assert not early(endpoints, pairs)
    run(play())
