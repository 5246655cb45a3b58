"""Random valid event sequences under varied settings; every action is checked against the rules."""

from __future__ import annotations

import random
from typing import Any

from helpers import KEYED, MS, ORDERED, SAFE, UNSAFE, S, info
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import NEVER_EXECUTED, Effect, Outcome

ZONED = api.MessageClass(2 * S, 20 * S, Effect.KEYED, key_ttl_us=3 * S, zone_keys=True, ordered=True)
CLASSES = (SAFE, KEYED, UNSAFE, ORDERED, ZONED)
SETTLING = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class RuleChecker:
    """Generates valid events for a sender, and asserts that its actions keep the rules."""

    def __init__(self, rng: random.Random, given: dict[str, Any]) -> None:
        self.rng, self.now, self.count = rng, 0, 0
        self.settings = Settings(classes=CLASSES, order_settle_us=200 * MS, **given)
        self.sender = Sender(self.settings, rng.randrange(99))
        self.endpoints = {f"e{i}": info(f"e{i}", i % 2, zone=i // 2) for i in range(4)}
        self.held: dict[str, dict[str, Any]] = {}
        # By message: the endpoint of its attempt, when it was sent, when it times out (0: cancelled).
        self.out: dict[str, tuple[str, int, int]] = {}
        self.calls: dict[tuple[str, int], set[str]] = {}
        self.wait_us: dict[int, int] = {}
        self.keys: dict[str, list[str]] = {}
        self.rest_us: dict[str, int] = {}

    def step(self) -> None:
        """Advance the time, pass random events, and check the actions."""
        self.now += self.rng.choice([5, 20, 100, 700]) * MS
        events: list[api.Event] = [api.TimerFired(0)]
        if self.count == 0 or self.rng.random() < 0.05:
            events.append(self.membership())
        events += [self.ended(name) for name in list(self.out) if self.due(name)]
        events += [self.submit() for _ in range(self.rng.randrange(4))]
        self.check(self.sender.handle(self.now, events))
        for message in self.held.values():
            assert self.now < message["due"] + 800 * MS, "a message outlived its deadline"

    def membership(self) -> api.Event:
        """Return a whole list in which one endpoint may have changed its state."""
        name = self.rng.choice(sorted(self.endpoints))
        state = self.rng.choice([api.EndpointState.UP, api.EndpointState.UP, api.EndpointState.DRAINING])
        old = self.endpoints[name]
        self.endpoints[name] = info(name, old.destination, zone=old.zone, state=state)
        return api.MembershipReceived(api.ListKind.WHOLE, tuple(self.endpoints.values()))

    def due(self, name: str) -> bool:
        """Return whether an attempt ends now: at its time-out, or at random before."""
        return self.now >= self.out[name][2] or self.rng.random() < 0.3

    def submit(self) -> api.Event:
        """Return a new random message."""
        self.count += 1
        name, cls = f"m{self.count}", self.rng.randrange(len(CLASSES))
        key = f"k{self.rng.randrange(3)}" if CLASSES[cls].ordered else None
        left_us = self.rng.choice([1 * S, 6 * S, 20 * S])
        destination = self.rng.randrange(2)
        self.held[name] = {"cls": CLASSES[cls], "due": self.now + left_us, "tries": 0, "ran": None,
                           "key": key, "zone": 0, "destination": destination}
        if key:
            self.keys.setdefault(key, []).append(name)
        return api.MessageAccepted(name, cls, destination, left_us, key=key)

    def ended(self, name: str) -> api.Event:
        """Return a random outcome of the attempt in progress."""
        endpoint, sent_us, end_us = self.out.pop(name)
        message = self.held[name]
        outcome = Outcome.TIMEOUT if self.now >= end_us else self.rng.choice(
            [Outcome.OK] * 4 + [o for o in Outcome if o is not Outcome.TIMEOUT])
        if not end_us:  # cancelled; its answer may have been on the way
            outcome = self.rng.choice([Outcome.CANCELLED, Outcome.CANCELLED, Outcome.OK])
        wait_us = self.rng.choice([0, 0, 900 * MS]) if outcome is Outcome.FULL else 0
        if wait_us:
            number = self.endpoints[endpoint].destination
            self.wait_us[number] = max(self.wait_us.get(number, 0), self.now + wait_us)
        if outcome in NEVER_EXECUTED and message["ran"] == sent_us:
            message["ran"] = None
        if message["key"] and outcome in SETTLING:
            message["rest"] = self.now + self.settings.order_settle_us
        for members in self.calls.values():
            members.discard(name)
        if outcome is Outcome.OK:
            self.close(name)
        return api.AttemptEnded(name, message["tries"] - 1, endpoint, outcome, self.now - sent_us,
                                outcome is Outcome.OK, wait_us)

    def close(self, name: str) -> None:
        """Remove a message that has ended; its key settles from then on."""
        message = self.held.pop(name)
        if message["key"]:
            self.keys[message["key"]].remove(name)
            rest = max(self.rest_us.get(message["key"], 0), message.get("rest", 0))
            self.rest_us[message["key"]] = rest

    def check(self, actions: list[api.Action]) -> None:
        """Assert the rules for all actions of a batch."""
        for action in actions:
            match action:
                case api.StartAttempt():
                    self.check_send(action)
                case api.Refuse(name) | api.Fail(name):
                    message = self.held[name]  # raises KeyError for a second end
                    assert name not in self.out
                    if isinstance(action, api.Refuse) and message["ran"] is not None:
                        assert message["cls"].effect is not Effect.UNSAFE and not message["cls"].zone_keys
                    self.close(name)
                case api.CancelAttempt(name, attempt):
                    assert attempt == self.held[name]["tries"] - 1, "cancelled an attempt that is not in progress"
                    endpoint, sent_us, _ = self.out[name]
                    self.out[name] = endpoint, sent_us, 0
                case _:
                    assert not isinstance(action, api.Probe)
        assert sum(1 for members in self.calls.values() if members) <= self.settings.slots

    def check_send(self, action: api.StartAttempt) -> None:
        """Assert the rules for an attempt, and record it with its call."""
        message, endpoint = self.held[action.message], self.endpoints[action.endpoint]
        cls = message["cls"]
        assert action.message not in self.out, "two attempts of a message at once"
        assert endpoint.state is api.EndpointState.UP and endpoint.destination == message["destination"]
        assert self.now >= self.wait_us.get(endpoint.destination, 0), "sent during a wait"
        assert 0 < action.timeout_us <= message["due"] - self.now and message["tries"] < self.settings.max_attempts
        if message["ran"] is not None:
            assert cls.effect is not Effect.UNSAFE
            if cls.effect is Effect.KEYED:
                assert self.now < message["ran"] + cls.key_ttl_us
                assert not cls.zone_keys or endpoint.zone == message["zone"]
        else:
            message["ran"], message["zone"] = self.now, endpoint.zone
        if message["key"]:
            assert self.keys[message["key"]][0] == action.message, "out of order"
            assert self.now >= self.rest_us.get(message["key"], 0), "sent while its key settles"
        message["tries"] += 1
        self.out[action.message] = (action.endpoint, self.now, self.now + action.timeout_us)
        per_call = self.settings.kinds[0].per_call
        turn = [c for (e, at), c in self.calls.items() if (e, at // 1000) == (action.endpoint, self.now)]
        open_call = next((c for c in turn if len(c) < per_call), None)
        if open_call is None:
            open_call = self.calls[(action.endpoint, self.now * 1000 + len(turn))] = set()
        open_call.add(action.message)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 10_000), slots=st.sampled_from([1, 4, 16]), per_call=st.sampled_from([1, 5]),
       hold=st.sampled_from([12, 1000]), tries=st.sampled_from([2, 8]),
       decay=st.sampled_from(list(api.Decay)))
def test_random_events_break_no_rule(seed: int, slots: int, per_call: int, hold: int, tries: int,
                                     decay: api.Decay) -> None:
    checker = RuleChecker(random.Random(seed), {
        "slots": slots, "kinds": (api.DestinationKind(per_call=per_call),), "hold_limit": hold, "max_attempts": tries,
        "decay": decay, "cold_from": 0.2, "cold_us": 5 * S, "tick_us": 5 * MS,
    })
    for _ in range(120):
        checker.step()
    assert checker.count > 20
