"""What an outcome teaches, and what becomes of its message."""

from __future__ import annotations

import math

from wheelstep import interface as api
from wheelstep.interface import MAY_STILL_RUN, UNRUN, Effect, EndReason, Outcome
from wheelstep.policy.common import CROWD, weight
from wheelstep.policy.endpoint import Call, Endpoint
from wheelstep.policy.holding import Holding
from wheelstep.policy.messages import Destination, Message

OVERTAKEN = 3  # answers to later calls at an endpoint that tell a silent connection from a slow endpoint


class Outcomes(Holding):
    """Outcomes, silence, and what is noted for a later process."""

    def _ended(self, event: api.AttemptEnded) -> None:
        message = self._messages.get(event.message)
        if message is None or message.call is None:
            return
        call, message.call = message.call, None
        destination = self._destination(message.destination)
        message.owed &= event.outcome in (Outcome.NOT_SENT, Outcome.CONNECT_FAILED) and not event.exhausted
        self._judge(call, destination, event, message.attempts > 1)
        self._touch(destination)
        if event.outcome not in UNRUN and event.outcome is not Outcome.OK and message.ran_us is None:
            message.ran_us, message.ran_zone = call.sent_us, call.endpoint.info.zone
        if event.may_still_run or event.outcome in MAY_STILL_RUN:
            message.settled_us = self._now + self._s.order_settle_us
        if event.complete or message.done:
            self._close(message)
        elif event.exhausted:
            self._end(message, EndReason.EXHAUSTED)
        else:
            self._again(message, destination, event.wait_us)

    def _judge(self, call: Call, destination: Destination, event: api.AttemptEnded, retried: bool) -> None:
        call.open -= 1
        endpoint, outcome = call.endpoint, event.outcome
        if not call.open:
            endpoint.calls.pop(call, None)
            endpoint.used_us = self._now
            destination.calls_out -= 1
            self._calls_out -= 1
            if outcome is Outcome.OK:
                self._overtakes(call)
            elif outcome is Outcome.TIMEOUT:  # what has idled since before may be as silent
                self._actions.append(api.CloseIdle(endpoint.info.endpoint, event.spent_us))
            # Where many senders share a table of connections, one that waits for its pace keeps others out.
            pausing = self._s.senders > CROWD and endpoint.ready_us() > self._now + endpoint.usual_us
            if (pausing or not destination.waiting) and endpoint.rarely_used(self._now):
                endpoint.used_us = -1
                self._actions.append(api.CloseIdle(endpoint.info.endpoint))
        if outcome is Outcome.RESET and call.pause_us:
            self._safe_idle_us, self._reaped_us = min(self._safe_us(), call.pause_us / 2), self._now
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            destination.loop.answered(self._now, retried)
        # A time-out cut short by the message's own end, before the call was overdue, shows no trouble: it may
        # not shrink the window or mark the endpoint, and measures no call. Silence is still noticed.
        overdue = event.spent_us >= endpoint.overdue_us() * weight(call.size)
        cut_short = outcome is Outcome.TIMEOUT and not overdue
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not cut_short:
            destination.loop.sample(event.spent_us)
        if event.wait_us:  # told anew with every message of a call: the longest holds
            endpoint.pacer.told_until_us = max(endpoint.pacer.told_until_us, self._now + event.wait_us)
        if cut_short and not call.overtaken:
            endpoint.fell_short(event.spent_us)
        if call.judged or (cut_short or outcome is Outcome.TIMEOUT and call.overtaken) and not call.trial:
            return
        call.judged = True
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            endpoint.took(self._now, event.spent_us / weight(call.size), outcome is Outcome.OK)
        destination.window.judge(outcome)
        self._learn(endpoint, event)

    def _overtakes(self, answered: Call) -> None:
        """Guards slots against connections that have fallen silent while their endpoint goes on answering on
        others. Calls in one queue come back about in turn; it harms one that takes far longer than most."""
        for call in answered.endpoint.calls:
            if call.sent_us >= answered.sent_us:
                break
            call.overtaken += 1
            if call.overtaken == OVERTAKEN:
                self._give_up(call)

    def _give_up(self, call: Call) -> None:
        """Call it off once it is late; one that can't be repeated gets twice the time."""
        endpoint = call.endpoint
        if call.given_up or call not in endpoint.calls:
            return
        unsafe = any(message.cls.effect is Effect.UNSAFE for message in call.messages)
        late_us = call.sent_us + weight(call.size) * endpoint.late_us() * (2 if unsafe else 1)
        if self._now < late_us:
            self._at(late_us, lambda: self._give_up(call))
            return
        call.given_up = True
        first = next(message for message in call.messages if message.call is call)
        self._actions.append(api.CancelAttempt(first.id, first.attempts - 1))
        self._actions.append(api.CloseIdle(endpoint.info.endpoint, self._now - call.sent_us))

    def _safe_us(self) -> float:
        """For how long a connection may idle before its next call is at risk. Guards one-try messages
        against connections dropped unseen, by whatever stands between; costs handshakes while remembered."""
        return self._safe_idle_us + (self._now - self._reaped_us) / 10

    def _learn(self, endpoint: Endpoint, event: api.AttemptEnded | api.ProbeEnded) -> None:
        if event.limit is not None:
            endpoint.pacer.report(self._now, event.limit.per_s, event.limit.left)
        self._touch(self._destination(endpoint.info.destination))
        if endpoint.judge(self._now, event):
            word = "out" if endpoint.sick else "answering again"
            self._actions.append(api.WriteLog(f"{endpoint.info.endpoint} {word} ({event.outcome.value})"))
            self._note(endpoint)
        elif event.outcome is Outcome.FULL and endpoint.pacer.cut_us == self._now:
            self._note(endpoint)

    def _note(self, endpoint: Endpoint) -> None:
        health = endpoint.health(self._now, self._destination(endpoint.info.destination))
        self._actions.append(api.NoteHealth(endpoint.info.endpoint, health))

    def notes(self, now_us: int) -> list[api.NoteHealth]:
        """What a process that goes on from here must know of all endpoints that anything is known of."""
        self._now, self._actions = now_us, []
        for endpoint in self._endpoints.values():
            if endpoint.sick or endpoint.usual_us:
                self._note(endpoint)
        return [action for action in self._actions if isinstance(action, api.NoteHealth)]

    def _recall(self, endpoint: Endpoint, event: api.HealthRestored) -> None:
        endpoint.restore(self._now, event.health, event.ago_us)
        destination = self._destination(endpoint.info.destination)
        if event.ago_us < self._s.cold_us and event.health.window:
            destination.window.size = max(1.0, min(event.health.window, self._s.slots))
            destination.loop.tau_us = float(event.health.tau_us)

    def _again(self, message: Message, destination: Destination, told_us: int) -> None:
        """Wait, doubling from T1, then ask the loop; end at once what no later try could save."""
        wait_us = min(self._t1_us << (message.attempts - 1), (message.due_us - self._now) // 2)
        at_us = self._now + max(wait_us, told_us)
        if self._may_resend(message, at_us):
            self._at(at_us, lambda: self._retry_due(message, destination))
        else:
            self._end(message, EndReason.NOT_REPEATABLE)

    def _retry_due(self, message: Message, destination: Destination) -> None:
        if not message.done and not destination.loop.may_retry(self._now):
            self._end(message, EndReason.RETRY_DENIED)
        self._queue(message)

    def _watch(self, endpoint: Endpoint) -> None:
        """Notice silence when it has lasted long enough, with one timer for each endpoint."""
        silent_us = endpoint.silent_us()
        if silent_us <= self._now:
            endpoint.fall_sick(self._now)
            self._actions.append(api.WriteLog(f"{endpoint.info.endpoint} out (silent)"))
            self._note(endpoint)
        endpoint.watched = self._now < silent_us < math.inf
        if endpoint.watched:
            self._at(silent_us, lambda: self._watch(endpoint))
