"""What is learned from an outcome, and what happens to its message."""

import math

from wheelstep import interface as api
from wheelstep.interface import MAY_STILL_RUN, NEVER_EXECUTED, Effect, EndReason, Outcome
from wheelstep.policy.call_times import call_weight
from wheelstep.policy.endpoint import Endpoint
from wheelstep.policy.messages import Call, Destination, Message
from wheelstep.policy.pacer import SMALL_FLEET
from wheelstep.policy.sender_state import SenderState

MIN_LATER_ANSWERS = 3  # answered later calls that show a silent connection, not a slow endpoint


class Outcomes(SenderState):
    """Handles outcomes and silence, and notes health for a later process."""

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        message = self._messages.get(event.message)
        if message is None or message.call is None:
            return
        call, message.call = message.call, None
        destination = self._destination(message.destination)
        message.restored_untried &= (event.outcome in (Outcome.NOT_SENT, Outcome.CONNECT_FAILED)
                                     and not event.exhausted)
        self._judge(call, destination, event, message.attempts > 1)
        self._mark_ready(destination)
        if event.outcome not in NEVER_EXECUTED and event.outcome is not Outcome.OK and message.ran_us is None:
            message.ran_us, message.ran_zone = call.sent_us, call.endpoint.info.zone
        if event.may_still_run or event.outcome in MAY_STILL_RUN:
            message.settled_us = self._now + self._settings.order_settle_us
        if event.complete or message.done:
            self._close(message)
        elif event.exhausted:
            self._end(message, EndReason.EXHAUSTED)
        else:
            self._schedule_retry(message, destination, event.wait_us)

    def _judge(self, call: Call, destination: Destination, event: api.AttemptEnded, retried: bool) -> None:
        """Learn from an attempt's outcome; only one outcome of a call counts for its window and endpoint."""
        call.open_messages -= 1
        endpoint, outcome = call.endpoint, event.outcome
        if not call.open_messages:
            endpoint.calls.pop(call, None)
            endpoint.last_used_us = self._now
            destination.calls_out -= 1
            self._calls_out -= 1
            if outcome is Outcome.OK:
                self._count_later_answer(call)
            elif outcome is Outcome.TIMEOUT:  # connections idle since before the call may be silent too
                self._actions.append(api.CloseIdle(endpoint.info.endpoint, event.spent_us))
            self._close_if_rarely_used(endpoint, destination)
        if outcome is Outcome.RESET and call.idle_us:
            self._safe_idle_us, self._idle_reset_us = min(self._max_idle_us(), call.idle_us / 2), self._now
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            destination.retry_controller.record_answer(self._now, retried)
        # A time-out at the message's own deadline, before the call was overdue, shows no failure.
        overdue = event.spent_us >= endpoint.times.overdue_us() * call_weight(call.size)
        cut_short = outcome is Outcome.TIMEOUT and not overdue
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not cut_short:
            destination.retry_controller.add_duration(event.spent_us)
        if event.wait_us:  # comes with every message of a call: the longest applies
            endpoint.pacer.wait_until_us = max(endpoint.pacer.wait_until_us, self._now + event.wait_us)
        if cut_short and not call.later_answers:
            endpoint.times.record_cut_short(event.spent_us)
        if call.judged or (cut_short or outcome is Outcome.TIMEOUT and call.later_answers) and not call.trial:
            return
        call.judged = True
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            each_us = event.spent_us / call_weight(call.size)
            endpoint.times.add_duration(self._now, each_us, outcome is Outcome.OK)
        destination.window.record_outcome(outcome)
        self._apply_outcome(endpoint, event)

    def _close_if_rarely_used(self, endpoint: Endpoint, destination: Destination) -> None:
        """Close an idle connection that others need more, also while many senders wait for a rate."""
        pausing = (self._settings.senders > SMALL_FLEET
                   and endpoint.ready_us() > self._now + endpoint.times.usual_us)
        if (pausing or not destination.waiting) and endpoint.rarely_used(self._now):
            endpoint.last_used_us = -1
            self._actions.append(api.CloseIdle(endpoint.info.endpoint))

    def _count_later_answer(self, answered: Call) -> None:
        """Count an answer for the calls that were sent before it, whose connections may be silent."""
        for call in answered.endpoint.calls:
            if call.sent_us >= answered.sent_us:
                break
            call.later_answers += 1
            if call.later_answers == MIN_LATER_ANSWERS:
                self._cancel_overtaken(call)

    def _cancel_overtaken(self, call: Call) -> None:
        """Cancel a call once it is late; one that can't be repeated gets twice the time."""
        endpoint = call.endpoint
        if call.cancelled or call not in endpoint.calls:
            return
        unsafe = any(message.cls.effect is Effect.UNSAFE for message in call.messages)
        patience = call_weight(call.size) * (2 if unsafe else 1)
        late_us = call.sent_us + patience * endpoint.times.overdue_us(0.5)
        if self._now < late_us:
            self._schedule(late_us, lambda: self._cancel_overtaken(call))
            return
        call.cancelled = True
        first = next(message for message in call.messages if message.call is call)
        self._actions.append(api.CancelAttempt(first.id, first.attempts - 1))
        self._actions.append(api.CloseIdle(endpoint.info.endpoint, self._now - call.sent_us))

    def _max_idle_us(self) -> float:
        """Return how long a connection may idle before its next call is at risk of a reset."""
        return self._safe_idle_us + (self._now - self._idle_reset_us) / 10

    def _apply_outcome(self, endpoint: Endpoint, event: api.AttemptEnded | api.ProbeEnded) -> None:
        """Apply an outcome and its limit report to an endpoint; log and note a change of its health."""
        if event.limit is not None:
            endpoint.pacer.apply_report(self._now, event.limit.per_s, event.limit.left)
        destination, suspect = self._destination(endpoint.info.destination), endpoint.may_be_cold()
        self._mark_ready(destination)
        if endpoint.record_outcome(self._now, event):
            change = "unavailable" if endpoint.sick else "available again"
            self._actions.append(api.WriteLog(f"{endpoint.info.endpoint} {change} ({event.outcome.value})"))
            self._note_health(endpoint)
        elif suspect != endpoint.may_be_cold() or (
                event.outcome is Outcome.FULL and endpoint.pacer.last_cut_us == self._now):
            self._note_health(endpoint)
        for other in destination.endpoints:
            if other.pacer is endpoint.pacer and other.in_outage():
                other.evidence.conclude()
                if not other.sick:
                    self._mark_unavailable(other, "outage")

    def _mark_unavailable(self, endpoint: Endpoint, cause: str) -> None:
        endpoint.fall_sick(self._now)
        self._actions.append(api.WriteLog(f"{endpoint.info.endpoint} unavailable ({cause})"))
        self._note_health(endpoint)

    def _note_health(self, endpoint: Endpoint) -> None:
        health = endpoint.health(self._now, self._destination(endpoint.info.destination))
        self._actions.append(api.NoteHealth(endpoint.info.endpoint, health))

    def notes(self, now_us: int) -> list[api.NoteHealth]:
        """Return the health of all endpoints of which anything is known, for a later process."""
        self._now, self._actions = now_us, []
        for endpoint in self._endpoints.values():
            if endpoint.sick or endpoint.times.usual_us:
                self._note_health(endpoint)
        return [action for action in self._actions if isinstance(action, api.NoteHealth)]

    def _restore_health(self, endpoint: Endpoint, event: api.HealthRestored) -> None:
        """Restore the health of an endpoint, and the window and call time of its destination if recent."""
        endpoint.restore(self._now, event.health, event.ago_us)
        destination = self._destination(endpoint.info.destination)
        if event.ago_us < self._settings.cold_us and event.health.window:
            destination.window.size = max(1.0, min(event.health.window, self._settings.slots))
            destination.retry_controller.tau_us = float(event.health.tau_us)

    def _schedule_retry(self, message: Message, destination: Destination, retry_after_us: int) -> None:
        """Schedule a retry after a wait that doubles from T1, or end what no later attempt could save."""
        wait_us = min(self._t1_us << (message.attempts - 1), (message.due_us - self._now) // 2)
        at_us = self._now + max(wait_us, retry_after_us)
        if self._may_resend(message, at_us):
            self._schedule(at_us, lambda: self._retry_due(message, destination))
        else:
            self._end(message, EndReason.NOT_REPEATABLE)

    def _retry_due(self, message: Message, destination: Destination) -> None:
        if not message.done and not destination.retry_controller.may_retry(self._now):
            self._end(message, EndReason.RETRY_DENIED)
        self._enqueue(message)

    def _check_silence(self, endpoint: Endpoint) -> None:
        """Mark an endpoint sick when it has been silent for long enough; one timer serves each endpoint."""
        silent_at_us = endpoint.silent_at_us()
        if silent_at_us <= self._now:
            endpoint.record_silence(self._now)
            self._mark_unavailable(endpoint, "silent")
        endpoint.silence_timer_set = self._now < silent_at_us < math.inf
        if endpoint.silence_timer_set:
            self._schedule(silent_at_us, lambda: self._check_silence(endpoint))
