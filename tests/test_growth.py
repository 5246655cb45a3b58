"""Guards against memory leaks by message, key or endpoint: after thousands of messages at endpoints that are replaced
throughout, a sender is back at its idle size."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import pytest
from helpers import MS, S, SenderDriver, info

from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome

MESSAGES = 5_000
OUTCOMES = (Outcome.OK,) * 6 + (Outcome.FULL, Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


def count_entries(root: Any) -> int:
    """Count the entries of all containers that are reachable from `root` through the project's own objects."""
    seen: set[int] = set()
    stack, found = [root], 0
    while stack:
        value = stack.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            found += len(value)
            stack += [*value.keys(), *value.values()]
        elif isinstance(value, list | set | frozenset | tuple | deque):
            found += len(value)
            stack += value
        elif type(value).__module__.startswith("wheelstep"):
            stack += [getattr(value, name, None) for name in getattr(type(value), "__slots__", ())]
            stack.append(getattr(value, "__dict__", {}))
    return found


def end_attempts(drive: SenderDriver, actions: list[api.Action], rng: random.Random) -> None:
    """End all attempts that these actions start, and those that start in consequence, with random outcomes."""
    begun = deque(action for action in actions if isinstance(action, api.StartAttempt))
    while begun:
        call = begun.popleft()
        begun += [action for action in drive.end(call.message, rng.choice(OUTCOMES), 0, call.endpoint)
                  if isinstance(action, api.StartAttempt)]


def send_messages(drive: SenderDriver, rng: random.Random, messages: int, generation: int) -> None:
    """Pass messages for eight destinations, all with keys, which only one class of four uses; replace all endpoints
    with each hundred."""
    for number in range(messages):
        if number % 100 == 0:
            generation += 1
            end_attempts(drive, drive.members(*(info(f"g{generation}-{place}", place) for place in range(8))), rng)
            end_attempts(drive, drive.members(info(f"g{generation}-0", 0, state=EndpointState.DRAINING),
                                        kind=api.ListKind.CHANGES), rng)
        name = f"{generation}-{number}"
        end_attempts(drive, drive.submit(name, rng.randrange(4), 3 * S, destination=rng.randrange(8),
                                   key=f"k{generation}-{rng.randrange(200)}"), rng)
        end_attempts(drive, drive.at(drive.now + 20 * MS, api.TimerFired(0)), rng)
        drive.actions.clear()


def end_and_count(drive: SenderDriver) -> int:
    """End what is left, advance the time by two minutes, and return the number of entries."""
    for _ in range(1200):
        end_attempts(drive, drive.at(drive.now + 100 * MS, api.TimerFired(0)), random.Random(0))
    drive.actions.clear()
    return count_entries(drive.sender)


@pytest.mark.parametrize("seed", range(3))
def test_a_sender_is_back_at_its_size_after_thousands_of_messages(seed: int) -> None:
    drive, rng = SenderDriver(listed=False, may_probe=True), random.Random(seed)
    send_messages(drive, rng, 500, 0)
    first = end_and_count(drive)
    send_messages(drive, rng, MESSAGES, 1_000)
    assert end_and_count(drive) <= first + MESSAGES // 10  # one entry for each message would be ten times that


def test_one_entry_kept_for_each_message_is_detected() -> None:
    drive, rng = SenderDriver(listed=False, may_probe=True), random.Random(1)
    kept: list[str] = []
    drive.sender.kept = kept  # type: ignore[attr-defined]
    send_messages(drive, rng, 500, 0)
    first = end_and_count(drive)
    kept += [str(number) for number in range(MESSAGES)]
    assert end_and_count(drive) > first + MESSAGES // 10
