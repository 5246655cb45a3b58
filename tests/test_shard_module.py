"""The module forgets destinations that it has no more to do with, and those only."""

from __future__ import annotations

import random

from tests.helpers import S, SenderDriver, info, sent_messages
from wheelstep import interface as api


def gone(endpoint: str, destination: int) -> api.EndpointInfo:
    return info(endpoint, destination, state=api.EndpointState.REMOVED)


def changes(drive: SenderDriver, *entries: api.EndpointInfo) -> list[api.Action]:
    return drive.members(*entries, kind=api.ListKind.CHANGES)


def drop(drive: SenderDriver, *numbers: int) -> list[api.Action]:
    return drive.at(drive.now, api.DestinationsDropped(numbers))


def test_a_destination_without_anything_is_forgotten() -> None:
    drive = SenderDriver(0, listed=False)
    changes(drive, info("a", 1), info("b", 2))
    drive.submit("m", destination=1)
    drive.end("m", api.Outcome.OK, endpoint="a")
    changes(drive, gone("a", 1))
    drop(drive, 1)
    assert set(drive.sender._destinations) == {2}


def test_one_with_an_endpoint_a_message_or_a_call_is_kept() -> None:
    drive = SenderDriver(0, listed=False)
    changes(drive, info("a", 1), info("b", 2), info("c", 3))
    drive.submit("out", destination=2)
    changes(drive, gone("b", 2), gone("c", 3))
    drive.submit("waits", destination=3)
    drop(drive, 1, 2, 3, 99)
    assert set(drive.sender._destinations) == {1, 2, 3}
    drive.end("out", api.Outcome.OK, endpoint="b")
    changes(drive, info("c2", 3))
    drive.tick(drive.now + S)
    assert sent_messages(drive.actions) == ["out", "waits"]


def test_random_days_with_drops_end_every_message_once() -> None:
    """Destinations come, go and are dropped while messages run; nothing is lost, and nothing raises."""
    for seed in range(20):
        rng = random.Random(seed)
        drive = SenderDriver(0, seed, listed=False, slots=4)
        listed: set[int] = set()
        out: list[api.StartAttempt] = []
        taken, ended = 0, 0
        for _ in range(400):
            drive.now += 20_000
            number = rng.randrange(6)
            if rng.random() < 0.2 and number in listed:
                listed.discard(number)
                actions = changes(drive, gone(f"e{number}", number)) + drop(drive, number)
            elif number not in listed:
                listed.add(number)
                actions = changes(drive, info(f"e{number}", number))
            else:
                taken += 1
                actions = drive.submit(f"m{taken}", cls=rng.choice((0, 1, 2)), left_us=3 * S, destination=number)
            out += [action for action in actions if isinstance(action, api.StartAttempt)]
            ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
            if out and rng.random() < 0.8:
                call = out.pop(rng.randrange(len(out)))
                outcome = rng.choice((api.Outcome.OK, api.Outcome.OK, api.Outcome.CONNECT_FAILED, api.Outcome.TIMEOUT))
                ended += outcome is api.Outcome.OK
                actions = drive.at(drive.now, api.AttemptEnded(
                    call.message, 0, call.endpoint, outcome, 10_000, outcome is api.Outcome.OK))
                out += [action for action in actions if isinstance(action, api.StartAttempt)]
                ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
        for _ in range(400):
            actions = drive.at(drive.now + 20_000, api.TimerFired(0))
            out += [action for action in actions if isinstance(action, api.StartAttempt)]
            ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
            while out:
                call = out.pop()
                ended += 1
                actions = drive.at(drive.now, api.AttemptEnded(call.message, 0, call.endpoint, api.Outcome.OK, 10_000,
                                                               True))
                out += [action for action in actions if isinstance(action, api.StartAttempt)]
                ended += sum(isinstance(action, api.Refuse | api.Fail) for action in actions)
        drop(drive, *range(6))
        assert ended == taken and set(drive.sender._destinations) <= listed
