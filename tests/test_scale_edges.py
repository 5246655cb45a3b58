"""The sender at the limits of its size: lists that change as a whole, and a backlog for a single destination."""

from __future__ import annotations

from collections import Counter

import pytest
from test_scale import Counted, S, accepted, sender

from wheelstep import Sender
from wheelstep import interface as api

HELD = 2_000


class SenderRun:
    """Runs a sender whose attempts are all delivered, 50 ms after they began."""

    def __init__(self, made: Sender) -> None:
        self.sender, self.now = made, 1_000
        self.out: list[tuple[int, api.StartAttempt]] = []
        self.started: Counter[str] = Counter()
        self.ended: Counter[str] = Counter()

    def feed(self, *events: api.Event) -> None:
        """Pass events to the sender, and record the attempts and final answers."""
        for action in self.sender.handle(self.now, list(events)):
            match action:
                case api.StartAttempt():
                    self.out.append((self.now, action))
                    self.started[action.message] += 1
                case api.Refuse() | api.Fail():
                    self.ended[action.message] += 1

    def until(self, end_us: int) -> None:
        """Advance the time in steps of 10 ms, and deliver the attempts that end."""
        while self.now < end_us:
            self.now += 10_000
            over = [(at, one) for at, one in self.out if at + 50_000 <= self.now]
            self.out = [pair for pair in self.out if pair not in over]
            self.feed(api.TimerFired(0), *(
                api.AttemptEnded(one.message, self.started[one.message] - 1, one.endpoint, api.Outcome.OK,
                                 self.now - at, True) for at, one in over))


def rows(destinations: int, version: int) -> tuple[api.EndpointInfo, ...]:
    """Return the entries of a list with one endpoint for each destination, named by version."""
    return tuple(api.EndpointInfo(f"e{number}v{version}", number) for number in range(destinations))


def test_a_list_that_removes_all_and_then_adds_all_loses_nothing() -> None:
    """Messages of a destination without endpoints keep waiting, and are sent once, to the new endpoints."""
    run = SenderRun(sender(500, slots=64, hold_limit=HELD + 1))
    run.feed(api.MembershipReceived(api.ListKind.WHOLE, ()))
    run.feed(*(accepted(number, 500) for number in range(HELD)))
    run.until(200_000)
    assert not run.started and not run.ended
    run.feed(api.MembershipReceived(api.ListKind.WHOLE, rows(500, 1)))
    run.until(8 * S)
    assert set(run.started) == {f"m{number}" for number in range(HELD)} and not run.ended
    assert set(run.started.values()) == {1}


def test_replacing_endpoints_under_a_backlog_ranks_only_their_destinations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ten thousand entries in changes of 500: an entry costs the ranking of its destination, not of everything that
    waits, and nothing is sent to a removed endpoint."""
    destinations = 1_000
    run = SenderRun(sender(destinations, slots=64, hold_limit=1 << 20))
    run.feed(api.MembershipReceived(api.ListKind.WHOLE, rows(destinations, 0)))
    run.feed(*(accepted(number, destinations) for number in range(HELD)))
    ranks = Counted(monkeypatch, "_rank")
    listed = {info.endpoint for info in rows(destinations, 0)}
    for version in range(1, 6):
        for part in range(0, destinations, 250):
            gone = [api.EndpointInfo(f"e{number}v{version - 1}", number, state=api.EndpointState.REMOVED)
                    for number in range(part, part + 250)]
            came = rows(destinations, version)[part:part + 250]
            began = len(run.out)
            run.feed(api.MembershipReceived(api.ListKind.CHANGES, (*gone, *came)))
            listed = listed - {info.endpoint for info in gone} | {info.endpoint for info in came}
            assert all(one.endpoint in listed for _, one in run.out[began:])
            run.until(run.now + 100_000)
    run.until(run.now + 5 * S)
    assert set(run.started) == {f"m{number}" for number in range(HELD)}
    assert ranks.count < 10 * 500 * 20 / 2  # 10,000 entries


def test_a_backlog_at_one_destination_delays_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nine tenths of 20,000 messages wait for one destination: those of the others are sent within their promise, and
    a batch ranks no more destinations because of it."""
    destinations = 200
    run = SenderRun(sender(destinations, slots=64, hold_limit=1 << 20))
    run.feed(*(accepted(number, 1) for number in range(18_000)))  # all of them for destination 0
    ranks = Counted(monkeypatch, "_rank")
    due: dict[str, int] = {}
    for begin in range(20_000, 22_000, 25):  # 500 a second; the slots allow 1,280
        fresh = [accepted(number, destinations) for number in range(begin, begin + 25) if number % destinations]
        due.update((event.message, run.now + 2 * S) for event in fresh)
        run.feed(*fresh)
        run.until(run.now + 50_000)
        assert not [name for name, due_us in due.items() if due_us <= run.now and not run.started[name]]
    assert sum(run.started[name] for name in due) > len(due) / 2
    assert ranks.count < 64 * len(run.started)
