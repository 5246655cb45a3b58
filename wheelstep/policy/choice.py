"""What goes next, and to which endpoint."""

from __future__ import annotations

import heapq
import math

from wheelstep import interface as api
from wheelstep.interface import Effect, EndReason
from wheelstep.policy.common import weight
from wheelstep.policy.endpoint import Call, Endpoint
from wheelstep.policy.messages import Destination, Message
from wheelstep.policy.outcomes import Outcomes
from wheelstep.policy.ranking import Ranking
from wheelstep.policy.spread import next_in_turn

RISKY_AT = 0.2  # failure share at which messages that have one try only wait for better times
NEAR = 0.02  # what may earn this share more than the best that was looked at is not looked at for it
LOOKS = 1_000  # destinations with news are looked at in one batch, the others in the next ones


class Choice(Ranking, Outcomes):
    """Slots go to the most pressing messages, and each to an endpoint."""

    def holdups(self, now_us: int) -> list[tuple[int, api.Holdup, int]]:
        """For the operators: each destination that messages wait for, why they do, and how many they are."""
        return [(destination.number, self._holdup(destination, now_us), destination.waiting)
                for destination in self._backlog.values()]

    def _holdup(self, destination: Destination, now_us: int) -> api.Holdup:
        if self._calls_out >= self._s.slots:
            return api.Holdup.SLOTS
        if not destination.window.room(destination.calls_out, self._doubtful(destination)):
            return api.Holdup.WINDOW
        if destination.number in self._ready:
            return api.Holdup.NOTHING
        first = min(destination.endpoints, key=Endpoint.ready_us, default=None)
        return api.Holdup.GONE if first is None else first.holdup(now_us)

    def _doubtful(self, destination: Destination) -> bool:
        return destination.loop.tau_us >= self._t1_us or any(e.sick for e in destination.endpoints)

    def _dispatch(self) -> None:
        """Send while there are slots, the most pressing message of any ready destination first. One that
        can't send is left alone until something happens to it, so that a batch costs what its news do. The
        same holds for those that merely wait: each has a bound on what it can earn for a while, and is looked
        at only where that passes the best of those that were looked at (to `NEAR`, as if all had been)."""
        if self._calls_out >= self._s.slots:
            return
        ranked: list[tuple[float, int, list[Message]]] = []
        changed = self._changed()
        for destination in changed[:LOOKS]:
            self._rank(destination, ranked)
        if len(changed) > LOOKS:  # guards the loop against all coming back at once
            self._news.update((destination.number, destination) for destination in changed[LOOKS:])
            self._at(self._now, lambda: None)
        while self._calls_out < self._s.slots:
            while (top := self._topmost()) is not None and (
                    not ranked or top < (ranked[0][0] * (1 + NEAR), ranked[0][1])):
                self._rank(self._ready[top[1]], ranked)
            if not ranked:
                break
            _, number, heads = heapq.heappop(ranked)
            destination = self._ready[number]
            if self._send_one(destination, heads):
                self._rank(destination, ranked)
            else:
                del self._ready[number]
        if self._bounding:
            for earns, number, heads in ranked:
                self._bound(self._ready[number], -earns, heads)

    def _send_one(self, destination: Destination, heads: list[Message]) -> bool:
        if not destination.window.room(destination.calls_out, self._doubtful(destination)):
            return False
        if hopeless := [m for m in heads if self._now + destination.needs_us() > m.due_us]:
            # Guards against a backlog that is as old as its deadline: sent in turn, every one would come too
            # late, and the ones behind it as well. It harms one that would have been answered unusually soon.
            for message in hopeless:
                self._end(message, EndReason.TOO_LATE)
            return True
        ready = {endpoint: endpoint.ready_us() for endpoint in destination.endpoints}
        usable = [endpoint for endpoint, at_us in ready.items() if at_us <= self._now]
        for message in heads:
            if fits := [endpoint for endpoint in usable if self._may_go(message, endpoint)]:
                least = min(map(self._cost, fits))
                cheap = [endpoint for endpoint in fits if self._cost(endpoint) == least]
                self._call(message, next_in_turn(destination, cheap, self._now, self._rng), destination)
                return True
        for endpoint in usable:
            if self._s.may_probe and endpoint.sick:  # no message here may go on trial
                self._actions.append(api.Probe(endpoint.info.endpoint))
                endpoint.sent(self._now, 1)
        # What keeps messages from a usable endpoint may pass by itself.
        self._look_at(destination, min(max(at_us, self._now + self._t1_us) if at_us <= self._now else at_us
                                       for at_us in [*ready.values(), math.inf]))
        return False

    def _cost(self, endpoint: Endpoint) -> tuple[float, bool]:
        """Fees first (of its route, of another zone), then a trial that is due."""
        zone = endpoint.info.zone
        fee = sum(self._s.zone_fees[zone:zone + 1]) if self._kind(endpoint.info).routes_apart else 0.0
        fee += self._s.cross_zone_price if zone != self._s.zone else 0.0
        return fee, not endpoint.sick

    def _may_go(self, message: Message, endpoint: Endpoint) -> bool:
        """A message with one try only goes neither on trial nor where calls fail, until its promise is past.
        Guards one-try messages against any failing; harms where nothing else would show the way back."""
        moved = message.ran_us is not None and endpoint.info.zone != message.ran_zone
        if not self._may_resend(message, self._now) or message.cls.zone_keys and moved:
            return False
        waits = self._s.may_probe or self._now <= message.promised_us
        risky = waits if endpoint.sick else endpoint.failures.read(self._now) > RISKY_AT
        return not risky or message.cls.effect is not Effect.UNSAFE

    def _call(self, first: Message, endpoint: Endpoint, destination: Destination) -> None:
        """One call: the first message and, where calls hold more, the next that may share its fate."""
        pause_us = 0 if endpoint.calls or endpoint.used_us < 0 else self._now - endpoint.used_us
        if pause_us > self._safe_us():
            self._actions.append(api.CloseIdle(endpoint.info.endpoint))
            pause_us = 0
        call = Call(endpoint, self._now, endpoint.sick, pause_us)
        room = 1 if call.trial else self._kind(endpoint.info).per_call
        messages = [first]
        for message in messages:
            self._unqueue(message)
            message.call = call
            if len(messages) < room:
                least_us = self._now + destination.needs_us()
                messages += [m for m in self._heads(destination)
                             if m.due_us >= least_us and self._may_go(m, endpoint)][:1]
        call.size, call.open, call.messages = len(messages), len(messages), messages
        for message in messages:
            message.attempts, message.resumes = message.attempts + 1, False
            patience = weight(call.size) * (2 - self._calls_out / self._s.slots)  # free slots can wait longer
            patience_us = patience * max(message.cls.promise_us, endpoint.overdue_us())
            timeout_us = min(message.due_us - self._now, int(patience_us))
            latest_us, once = self._latest_us(message) - self._now, message.cls.effect is Effect.UNSAFE
            self._actions.append(api.StartAttempt(
                message.id, endpoint.info.endpoint, timeout_us, latest_us, once))
        endpoint.calls[call] = None
        endpoint.sent(self._now, call.open)
        if not endpoint.watched:
            self._watch(endpoint)
        destination.calls_out += 1
        self._calls_out += 1
