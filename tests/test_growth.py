"""Nothing that is kept by message, key or endpoint stays behind: after thousands of messages at endpoints that are
replaced throughout, a sender is back at the size that it has at rest."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import pytest
from helpers import MS, Drive, S, info

from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome

MESSAGES = 5_000
ENDS = (Outcome.OK,) * 6 + (Outcome.FULL, Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)


def entries(root: Any) -> int:
    """Entries in all containers that are reached from here, through the project's own objects."""
    seen: set[int] = set()
    stack, found = [root], 0
    while stack:
        thing = stack.pop()
        if id(thing) in seen:
            continue
        seen.add(id(thing))
        if isinstance(thing, dict):
            found += len(thing)
            stack += [*thing.keys(), *thing.values()]
        elif isinstance(thing, list | set | frozenset | tuple | deque):
            found += len(thing)
            stack += thing
        elif type(thing).__module__.startswith("wheelstep"):
            stack += [getattr(thing, name, None) for name in getattr(type(thing), "__slots__", ())]
            stack.append(getattr(thing, "__dict__", {}))
    return found


def answer(drive: Drive, actions: list[api.Action], rng: random.Random) -> None:
    """End every call that has begun, and those that begin with that."""
    begun = deque(action for action in actions if isinstance(action, api.StartAttempt))
    while begun:
        call = begun.popleft()
        begun += [action for action in drive.end(call.message, rng.choice(ENDS), 0, call.endpoint)
                  if isinstance(action, api.StartAttempt)]


def play(drive: Drive, rng: random.Random, messages: int, generation: int) -> None:
    """So many messages for eight destinations, half of them with keys; each hundred, endpoints are replaced."""
    for number in range(messages):
        if number % 100 == 0:
            generation += 1
            answer(drive, drive.members(*(info(f"g{generation}-{place}", place) for place in range(8))), rng)
            answer(drive, drive.members(info(f"g{generation}-0", 0, state=EndpointState.DRAINING),
                                        kind=api.ListKind.CHANGES), rng)
        name = f"{generation}-{number}"
        answer(drive, drive.submit(name, rng.randrange(4), 3 * S, destination=rng.randrange(8),
                                   key=f"k{generation}-{rng.randrange(200)}"), rng)
        answer(drive, drive.at(drive.now + 20 * MS, api.TimerFired(0)), rng)
        drive.actions.clear()


def rest(drive: Drive) -> int:
    """End what is left, let all times pass, and count."""
    for _ in range(1200):
        answer(drive, drive.at(drive.now + 100 * MS, api.TimerFired(0)), random.Random(0))
    drive.actions.clear()
    return entries(drive.sender)


@pytest.mark.parametrize("seed", range(3))
def test_a_sender_is_back_at_its_size_after_thousands_of_messages(seed: int) -> None:
    drive, rng = Drive(listed=False, may_probe=True), random.Random(seed)
    play(drive, rng, 500, 0)
    first = rest(drive)
    play(drive, rng, MESSAGES, 1_000)
    assert rest(drive) <= first + MESSAGES // 10  # an entry a message would be ten times that


def test_one_entry_a_message_that_is_kept_is_seen() -> None:
    drive, rng = Drive(listed=False, may_probe=True), random.Random(1)
    kept: list[str] = []
    drive.sender.kept = kept  # type: ignore[attr-defined]
    play(drive, rng, 500, 0)
    first = rest(drive)
    kept += [str(number) for number in range(MESSAGES)]
    assert rest(drive) > first + MESSAGES // 10
