"""Dispatch by bounds takes the same actions as dispatch that ranks every destination in every batch."""

from __future__ import annotations

import heapq
import random

import pytest

from wheelstep import Sender, Settings
from wheelstep import interface as api
from wheelstep.interface import Outcome
from wheelstep.policy import dispatch, ranking, sender_state
from wheelstep.policy.messages import Message

MS, S = 1_000, 1_000_000


class ExhaustiveSender(Sender):
    """A sender that ranks every ready destination in every batch."""

    def _dispatch(self) -> None:
        ranked: list[tuple[float, int, list[Message]]] = []
        if self._calls_out < self._settings.slots:
            for destination in list(self._ready.values()):
                self._rank(destination, ranked)
        while ranked and self._calls_out < self._settings.slots:
            _, number, heads = heapq.heappop(ranked)
            destination = self._ready[number]
            if self._send_one(destination, heads):
                self._rank(destination, ranked)
            else:
                del self._ready[number]


def settings(decay: api.Decay) -> Settings:
    """Return settings with three classes and kinds."""
    return Settings(
        # No ordered class: of a key that advances within a batch, one of the two senders sends in that batch already.
        classes=(api.MessageClass(2 * S, 12 * S, api.Effect.KEYED, 1.0, 0.5, 8 * S),
                 api.MessageClass(3 * S, 9 * S, api.Effect.UNSAFE, 3.0, 0.3),
                 api.MessageClass(1 * S, 6 * S, api.Effect.SAFE, 0.5, 0.0)),
        slots=12, hold_limit=300, kinds=(
            api.DestinationKind(per_call=5), api.DestinationKind(), api.DestinationKind(routes_apart=True)),
        decay=decay,
        senders=3, may_probe=True, may_duplicate=True, conn_idle_us=10 * S, max_attempts=12, fall_multiple=1.5,
        cold_from=0.3, cold_us=8 * S, order_settle_us=300 * MS, overload_for_us=3 * S, tick_us=5 * MS,
        max_retry_after_us=3 * S)


def compare(seed: int, destinations: int, decay: api.Decay, steps: int = 700) -> int:
    """Assert that both senders take the same actions on random events; return how many attempts there were."""
    rng = random.Random(seed)
    pair = [Sender(settings(decay), seed), ExhaustiveSender(settings(decay), seed)]
    out: dict[tuple[str, int], tuple[str, int]] = {}  # by attempt: endpoint, when it ends
    attempts: dict[str, int] = {}
    now = number = total = 0
    round_trip_us = [rng.uniform(30, 600) * MS for _ in range(destinations)]
    failing_until_us: dict[int, int] = {}
    entries = tuple(api.EndpointInfo(f"e{d}-{e}", d, d % 3, 0) for d in range(destinations) for e in range(2))
    events: list[api.Event] = [api.MembershipReceived(api.ListKind.WHOLE, entries)]
    timers: list[int] = []
    for step in range(steps):
        ours, theirs = (sender.handle(now, list(events)) for sender in pair)
        assert ours == theirs, f"seed {seed}, step {step}, at {now}: got {ours}, expected {theirs}"
        events = []
        for action in ours:
            if isinstance(action, api.StartAttempt):
                total += 1
                attempt = attempts.get(action.message, -1) + 1
                attempts[action.message] = attempt
                at = int(action.endpoint[1:].split("-")[0])
                out[action.message, attempt] = action.endpoint, now + int(round_trip_us[at] * rng.uniform(0.5, 2))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(timers, now + action.in_us)
            elif isinstance(action, api.Probe):
                events.append(api.ProbeEnded(action.endpoint, rng.choice([Outcome.OK, Outcome.ERROR]), 20 * MS))
        now += rng.choice([1 * MS, 5 * MS, 20 * MS, 200 * MS] if step % 50 else [2 * S])
        while timers and timers[0] <= now:
            heapq.heappop(timers)
            events.append(api.TimerFired(0))
        if rng.random() < 0.02:
            failing_until_us[rng.randrange(destinations)] = now + rng.randrange(4 * S)
        for (message, attempt), (endpoint, ends) in list(out.items()):
            if ends > now:
                continue
            del out[message, attempt]
            at = int(endpoint[1:].split("-")[0])
            bad = failing_until_us.get(at, 0) > now
            outcome = rng.choice([Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED]) if (
                bad or rng.random() < 0.05) else Outcome.OK
            wait_us = rng.choice([0, 0, 400 * MS, 3 * S]) if outcome is Outcome.FULL else 0
            events.append(api.AttemptEnded(message, attempt, endpoint, outcome, int(round_trip_us[at]),
                                           outcome is Outcome.OK, wait_us))
        for _ in range(rng.choice([0, 0, 1, 2, 8])):
            number += 1
            cls = rng.randrange(3)
            events.append(api.MessageAccepted(
                f"m{number}", cls, min(int(rng.expovariate(4 / destinations)), destinations - 1),
                rng.choice([12, 9, 6, 3]) * S, rng.choice("abcdefgh") if cls == 0 else None, rng.random() < 0.1))
        if rng.random() < 0.01:
            entry = rng.choice(entries)
            events.append(api.MembershipReceived(api.ListKind.CHANGES, (api.EndpointInfo(
                entry.endpoint, entry.destination, entry.kind, 0,
                rng.choice([api.EndpointState.DRAINING, api.EndpointState.UP, api.EndpointState.REMOVED])),)))
    return total


@pytest.mark.parametrize("decay", list(api.Decay))
@pytest.mark.parametrize("destinations", [1, 5, 20, 50])
@pytest.mark.parametrize("few", [0, 4, 64])
def test_dispatch_by_bounds_takes_the_actions_of_exhaustive_ranking(destinations: int, decay: api.Decay, few: int,
                                 monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (sender_state, ranking):
        monkeypatch.setattr(module, "FEW", few)  # bounds are used always, sometimes and never at these sizes
    monkeypatch.setattr(dispatch, "NEAR", 0.0)  # exact order; what `NEAR` allows is tested in test_scale.py
    assert sum(compare(seed, destinations, decay) for seed in range(4)) > 300
