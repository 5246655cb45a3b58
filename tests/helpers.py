"""Helpers that drive a sender in tests."""

from __future__ import annotations

from typing import Any

from wheelstep import Sender, Settings
from wheelstep import interface as api

MS = 1_000
S = 1_000_000
SAFE = api.MessageClass(2 * S, 20 * S, api.Effect.SAFE, worth=1.0, late_worth=0.5)
KEYED = api.MessageClass(2 * S, 20 * S, api.Effect.KEYED, worth=2.0, late_worth=0.3, key_ttl_us=5 * S)
UNSAFE = api.MessageClass(2 * S, 20 * S, api.Effect.UNSAFE, worth=3.0, late_worth=0.3)
ORDERED = api.MessageClass(2 * S, 20 * S, api.Effect.SAFE, worth=1.0, late_worth=0.5, ordered=True)


class SenderDriver:
    """Runs a sender at a simulated time and records its actions. `listed`: it starts with a list of `endpoints`
    endpoints of destination 7."""

    def __init__(self, endpoints: int = 1, seed: int = 1, listed: bool = True, **settings: Any) -> None:
        given = {"classes": (SAFE, KEYED, UNSAFE, ORDERED), "slots": 16, "cold_from": 0.2, "cold_us": 10 * S}
        self.sender = Sender(Settings(**{**given, **settings}), seed)
        self.now = 0
        self.actions: list[api.Action] = []
        if listed:
            self.members(*(info(f"e{i}") for i in range(endpoints)))

    def at(self, now_us: int, *events: api.Event) -> list[api.Action]:
        """Set the time, pass events to the sender, and return its actions."""
        self.now = now_us
        actions = self.sender.handle(now_us, list(events))
        self.actions += actions
        return actions

    def tick(self, until_us: int, step_us: int = 50 * MS) -> list[api.Action]:
        """Advance the time in steps up to `until_us`, fire timers, and return the actions."""
        seen: list[api.Action] = []
        while self.now < until_us:
            seen += self.at(min(self.now + step_us, until_us), api.TimerFired(0))
        return seen

    def members(self, *entries: api.EndpointInfo,
                kind: api.ListKind = api.ListKind.WHOLE) -> list[api.Action]:
        """Pass a list of endpoints, or changes to it."""
        return self.at(self.now, api.MembershipReceived(kind, entries))

    def submit(self, name: str, cls: int = 0, left_us: int = 20 * S, **fields: Any) -> list[api.Action]:
        """Pass a new message."""
        destination = fields.pop("destination", 7)
        return self.at(self.now, api.MessageAccepted(name, cls, destination, left_us, **fields))

    def end(self, name: str, outcome: api.Outcome, attempt: int = 0, endpoint: str = "e0",
            spent_us: int = 50 * MS, **fields: Any) -> list[api.Action]:
        """Pass the outcome of an attempt; an `OK` completes the message unless `complete` says otherwise."""
        fields.setdefault("complete", outcome is api.Outcome.OK)
        return self.at(self.now, api.AttemptEnded(name, attempt, endpoint, outcome, spent_us, **fields))


def info(endpoint: str, destination: int = 7, **fields: Any) -> api.EndpointInfo:
    """Return an entry of the list."""
    return api.EndpointInfo(endpoint, destination, **fields)


def sent_messages(actions: list[api.Action]) -> list[str]:
    """Return the messages that these actions send, in order."""
    return [action.message for action in actions if isinstance(action, api.StartAttempt)]


def final_answers(actions: list[api.Action]) -> list[tuple[str, str]]:
    """Return the final answers among these actions, as (`Refuse` or `Fail`, message)."""
    return [(type(a).__name__, a.message) for a in actions if isinstance(a, api.Refuse | api.Fail)]
