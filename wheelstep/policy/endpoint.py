"""The health of an endpoint, derived from the outcomes of its calls."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome, Settings
from wheelstep.policy.common import RATE_WINDOW_US, SMALL_FLEET, DecayingSum, call_weight
from wheelstep.policy.pacer import Pacer

if TYPE_CHECKING:
    from wheelstep.policy.messages import Destination, Message

OVERDUE_DEVIATIONS = 6  # an answer is overdue this many deviations past the usual round trip
MAX_EVIDENCE = 2.5  # most deliveries weighed against a failure: three in a row exceed SICK_FAILURE_SHARE
SICK_FAILURE_SHARE = 0.5  # failure share above which an endpoint counts as sick ("failing most calls")
MIN_BASE_PER_S = 0.25  # calls a second taken for the base rate of an endpoint that carried next to nothing
RAMP_SHARE = 0.8  # share of `fall_multiple` times its base rate that an endpoint gets as it warms up
RAMP_EXTRA_SPANS = 2  # spans of overload that a ramp goes on once warm: no burst of what is held back
IDLE_CONNECTION_COST = 0.12  # points that an idle connection takes from others, and must save in handshakes


@dataclass(eq=False, slots=True)
class Call:
    """A call in progress: one or more messages that share a slot and the call's outcome."""

    endpoint: Endpoint
    sent_us: int
    trial: bool  # sent while the endpoint was sick
    idle_us: int = 0  # how long its connection had been idle when it started
    size: int = 0  # in messages
    open_messages: int = 0  # those without an outcome
    judged: bool = False  # an outcome has counted for its window and endpoint
    messages: list[Message] = field(default_factory=list)
    later_answers: int = 0  # answered calls that were sent to this endpoint after this one
    cancelled: bool = False  # its cancellation has been requested


class Endpoint:
    """Health, derived from outcomes alone. A sick endpoint gets trial calls, at a rate that it can bear cold.
    A returning one gets a ramp of what it carried before, from `cold_from` of it up over `cold_us`."""

    def __init__(self, info: api.EndpointInfo, settings: Settings, pacer: Pacer, promise_us: int,
                 rng: random.Random) -> None:
        self._settings, self.info, self.pacer, self._promise_us, self._rng = (
            settings, info, pacer, promise_us, rng)
        self.sick = self.silence_timer_set = False
        self.calls: dict[Call, None] = {}
        self.usual_us, self._deviation_us, self._last_answer_us = 0.0, 0.0, 0
        self.failures = DecayingSum(4 * promise_us)  # `value` is the recent share of failed calls
        self._ramp_start_us: int | None = None
        self._ramp_us = settings.cold_us  # its length
        self._next_us, self._last_ok_us, self.last_used_us = 0.0, -math.inf, -1  # -1: no idle connection
        self._base_rate, self._cold_share = 1.0, settings.fall_multiple * settings.cold_from
        self._min_call_us, self._unreported_refusals = 0.0, 0
        # Recent answers, and the time of recent calls.
        self.recent_answers, self.recent_time_us = DecayingSum(RATE_WINDOW_US), DecayingSum(RATE_WINDOW_US)
        self.start_tag = -math.inf  # of its last call, see balancing.py

    def add_duration(self, now_us: int, spent_us: float, answered: bool) -> None:
        """Record how long a call took, and whether it was answered."""
        self.recent_answers.add(now_us, answered)
        self.recent_time_us.add(now_us, spent_us)

    def overdue_us(self) -> float:
        """Return how long a call may take before it counts as overdue."""
        return max(self._promise_us, self.usual_us + OVERDUE_DEVIATIONS * self._deviation_us)

    def overtaken_timeout_us(self) -> float:
        """Return how long a call may take while later ones are answered."""
        return max(self._promise_us / 2, self.usual_us + OVERDUE_DEVIATIONS * self._deviation_us)

    def expected_us(self) -> float:
        """Return how long a call is expected to take: the usual time, and more than calls that were cut short
        were given. Avoids calls with too little time, none of which would show how long one takes."""
        return max(self.usual_us, self._min_call_us)

    def record_cut_short(self, spent_us: int) -> None:
        """Record that a call was cut short after `spent_us`."""
        self._min_call_us = max(self._min_call_us, 1.2 * spent_us)

    def silent_at_us(self) -> float:
        """Return when it counts as silent: calls out for far longer than usual, no answer since."""
        oldest = next(iter(self.calls), None)
        if oldest is None or self.sick:
            return math.inf
        patience_us = self.overdue_us() * call_weight(oldest.size) * (1 if len(self.calls) > 1 else 2)
        return max(oldest.sent_us, self._last_answer_us) + math.ceil(patience_us)

    def rarely_used(self, now_us: int) -> bool:
        """Return whether an idle connection would rarely be used before it times out. It occupies a place in
        a table that other senders need."""
        uses = self.pacer.delivered.read(now_us) * self._settings.conn_idle_us / RATE_WINDOW_US
        saves = uses * self._settings.handshake_price
        cost = IDLE_CONNECTION_COST * max(1.0, self._settings.senders / SMALL_FLEET)
        return not self.calls and self._settings.conn_idle_us > 0 and saves < cost

    def _add_result(self, now_us: int, failed: bool) -> None:
        """Add a result to the failure share. It weighs the more the fewer recent deliveries there are."""
        share = 1 / (1.5 + min(self.pacer.delivered.read(now_us), MAX_EVIDENCE))
        self.failures.add(now_us, share * (failed - self.failures.read(now_us)))

    def _delivery_rate(self, now_us: int) -> float:
        return max(self.pacer.delivered.read(now_us) * 1e6 / RATE_WINDOW_US, MIN_BASE_PER_S,
                   self.pacer.even_rate)

    def mark_draining(self, now_us: int) -> None:
        """Record the start of a drain: keep the rate that it carried, for its return."""
        if self._ramp_start_us is None and not self.sick:
            self._base_rate = self._delivery_rate(now_us)

    def mark_up(self, now_us: int) -> None:
        """Start a ramp, since the list has it as up again: it may have been restarted meanwhile and be cold.
        Needlessly slow where it was not restarted."""
        if not self.sick:
            self.failures.value, self._ramp_start_us, self._next_us = 0.0, now_us, now_us
            self._ramp_us = self._settings.cold_us
            self._advance_ramp(now_us, self._rng.random())

    def fall_sick(self, now_us: int) -> None:
        """Mark it sick: keep the rate that it carried, and schedule the first trial."""
        if self._ramp_start_us is None:
            self._base_rate = self._delivery_rate(now_us)
        self.sick, self._ramp_start_us = True, None
        self._next_us = self._next_trial_us(now_us)

    def health(self, now_us: int, destination: Destination) -> api.Health:
        """Return what a later process must know of it."""
        rate = self.pacer.rate if self.pacer.rate < math.inf else 0.0
        back_us = 0 if self._ramp_start_us is None else now_us - self._ramp_start_us
        carried = round(self.pacer.delivered.read(now_us) * 1e6 / RATE_WINDOW_US, 3)
        return api.Health(
            self.sick, self._ramp_start_us is not None, round(self._base_rate, 3), round(rate, 3), back_us,
            carried, int(self.usual_us), int(self._deviation_us), round(destination.window.size, 2),
            int(destination.retry_controller.tau_us))

    def restore(self, now_us: int, health: api.Health, ago_us: int) -> None:
        """Continue with the health that an earlier process noted. Keeps a sender that has just started from
        overloading a returning endpoint; where that has recovered meanwhile, the cost is one trial."""
        back_us = ago_us + health.returning_us
        if health.sick:
            self.fall_sick(now_us)
        elif health.returning and back_us < self._settings.cold_us:
            self._ramp_start_us = now_us - back_us
            self._advance_ramp(now_us, self._rng.random())
        self._base_rate = health.base
        self.usual_us, self._deviation_us = float(health.usual_us), float(health.deviation_us)
        if ago_us < self._settings.cold_us:
            self.pacer.resume(health.rate)
            carried = DecayingSum(RATE_WINDOW_US, health.carried * RATE_WINDOW_US / 1e6, now_us - ago_us)
            if carried.read(now_us) > self.pacer.delivered.read(now_us):
                self.pacer.delivered = carried

    def _next_trial_us(self, now_us: int) -> float:
        """Return when to try again: at a rate that it can bear cold if all senders do the same."""
        pace_us = 1e6 / (self._cold_share * self._base_rate)
        return now_us + max(self._promise_us / 2, pace_us) * self._rng.uniform(0.5, 1.5)

    def ready_us(self) -> float:
        """Return when the next call may go here (infinity while the list does not have it as up)."""
        if self.info.state is not EndpointState.UP:
            return math.inf
        return max(self._next_us, self.pacer.ready_us())

    def wait_reason(self, now_us: int) -> api.WaitReason:
        """Return what keeps a call from going here now."""
        if self.info.state is not EndpointState.UP:
            return api.WaitReason.GONE
        if self.ready_us() <= now_us:
            return api.WaitReason.DOUBT
        if self.sick:
            return api.WaitReason.SICK
        if self.pacer.ready_us() >= self._next_us:
            return api.WaitReason.LIMIT
        return api.WaitReason.CROWDED if self._ramp_start_us is None else api.WaitReason.RETURNING

    def _advance_ramp(self, now_us: int, work: float) -> None:
        """Delay the next call by the ramp's gap for so much work; end a ramp that is over."""
        if self._ramp_start_us is not None and now_us - self._ramp_start_us >= self._ramp_us:
            self._ramp_start_us = None
        elif self._ramp_start_us is not None:
            warmed = (1 - self._settings.cold_from) * (now_us - self._ramp_start_us) / self._settings.cold_us
            rate = max(1.0, RAMP_SHARE * self._settings.fall_multiple) * self._base_rate * (
                self._settings.cold_from + warmed)
            rate /= max(self.pacer.endpoints, 1)  # 0 once the list has none
            next_us = max(self._next_us, now_us) + work / rate * 1e6
            self._next_us = min(next_us, self._ramp_start_us + self._ramp_us)

    def record_sent(self, now_us: int, messages: int) -> None:
        """Record a call with so many messages, or a probe, that starts now."""
        self.pacer.record_call(now_us)
        self._advance_ramp(now_us, call_weight(messages))
        if self.sick:
            self._next_us = self._next_trial_us(now_us)

    def record_outcome(self, now_us: int, event: api.AttemptEnded | api.ProbeEnded) -> bool:
        """Learn from the outcome of a call or probe; return whether the endpoint fell sick or recovered."""
        was_sick, outcome = self.sick, event.outcome
        if outcome is Outcome.OK:
            self._succeeded(now_us, event.spent_us)
        elif outcome is Outcome.FULL:  # over a limit, or shut: slow the route down
            self._last_answer_us = now_us
            retry_after_us = event.wait_us if isinstance(event, api.AttemptEnded) else 0
            if (self._settings.limits_reported and self._settings.senders > SMALL_FLEET
                    and event.limit is None and not retry_after_us):
                self._back_off_unreported(now_us)
            else:
                self.pacer.refused(now_us, self._cold_share)
            if retry_after_us >= self._promise_us:
                self.fall_sick(now_us)
                self._next_us += retry_after_us  # shut: not all senders may call at the moment it opens
                self.pacer.hold_until(self._next_us)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._add_result(now_us, True)
            if not self.sick and self.failures.value > SICK_FAILURE_SHARE:
                self.fall_sick(now_us)
            if self.sick and now_us - self.pacer.last_ok_us >= 2 * self._promise_us:
                self.pacer.hold_until(self._next_trial_us(now_us))  # an outage mostly affects all endpoints
        return was_sick != self.sick

    def _back_off_unreported(self, now_us: int) -> None:
        """Pause after a refusal without a limit report where answers carry them: mostly the connection table
        is full, so the destination's rate stays. Cost: one that is shut without a report is called more."""
        pause_us = self.pacer.random_pause_us() * 2 ** min(self._unreported_refusals, 3)
        self._unreported_refusals += 1
        self._next_us = max(self._next_us, now_us + pause_us)

    def _succeeded(self, now_us: int, spent_us: int) -> None:
        recent_success = now_us - self._last_ok_us < 2 * self._promise_us
        self._last_answer_us = self._last_ok_us = now_us
        self._unreported_refusals = 0
        self._add_result(now_us, False)
        self._min_call_us = min(self._min_call_us, float(spent_us))
        if not self.usual_us:
            self.usual_us, self._deviation_us = float(spent_us), spent_us / 2
        self._deviation_us += (abs(spent_us - self.usual_us) - self._deviation_us) / 8
        self.usual_us += (spent_us - self.usual_us) / 8
        if self.sick and recent_success:
            self.sick, self._next_us = False, now_us  # bad luck or a slow answer, not an outage: no ramp
        elif self.sick:
            self.sick, self.failures.value, self._ramp_start_us = False, 0.0, now_us
            self._ramp_us = self._settings.cold_us + RAMP_EXTRA_SPANS * self._settings.overload_for_us
            self._advance_ramp(now_us, self._rng.random())
        elif self._ramp_start_us is None:
            self.pacer.delivered.add(now_us)
        self.pacer.record_delivery(now_us)
