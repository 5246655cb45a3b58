"""The health of an endpoint, derived from the outcomes of its calls."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from wheelstep import interface as api
from wheelstep.decaying_sum import DecayingSum
from wheelstep.interface import EndpointState, Outcome, Settings
from wheelstep.policy.call_times import RATE_WINDOW_US, CallTimes, call_weight
from wheelstep.policy.outage import OutageEvidence
from wheelstep.policy.pacer import SMALL_FLEET, Pacer

if TYPE_CHECKING:
    from wheelstep.policy.messages import Call, Destination

MAX_EVIDENCE = 2.5  # most deliveries weighed against a failure: three in a row exceed SICK_FAILURE_SHARE
SICK_FAILURE_SHARE = 0.5  # failure share above which an endpoint counts as sick ("failing most calls")
NOTED_FAILURES = 2  # failures in a row that are noted for a later process
LATE_ROUND_TRIPS = 1.5  # usual round trips after which a call, or the next delivery, is late
MIN_BASE_PER_S = 0.25  # calls a second taken for the base rate of an endpoint that carried next to nothing
RAMP_SHARE = 0.8  # share of `fall_multiple` times its base rate that an endpoint gets as it warms up
RAMP_EXTRA_SPANS = 2  # spans of overload that a ramp goes on once warm: no burst of what is held back
IDLE_CONNECTION_COST = 0.12  # points that an idle connection takes from others, and must save in handshakes


class Endpoint:
    """Health, derived from outcomes alone: a sick endpoint gets trial calls, and a ramp after an outage."""

    def __init__(self, info: api.EndpointInfo, settings: Settings, pacer: Pacer, promise_us: int,
                 rng: random.Random) -> None:
        self._settings, self._promise_us, self._rng = settings, promise_us, rng
        self.info, self.pacer, self.times = info, pacer, CallTimes(promise_us)
        self.sick = self.silence_timer_set = False
        self.calls: dict[Call, None] = {}
        self.failures = DecayingSum(4 * promise_us)  # `value` is the recent share of failed calls
        self.evidence = OutageEvidence()  # of its own calls; that of all calls on its route is the pacer's
        self.evidence.calls_out[info.endpoint] = self.calls
        self.ramp_start_us: int | None = None
        self._ramp_us = settings.cold_us  # its length
        self._base_rate, self._cold_share = 1.0, settings.fall_multiple * settings.cold_from
        self._next_us, self._last_ok_us, self._last_answer_us = 0.0, -math.inf, 0
        self._unreported_refusals, self.last_used_us = 0, -1  # -1: no idle connection
        self.start_tag = -math.inf  # of its last call, see balancing.py

    def silent_at_us(self) -> float:
        """Return when it counts as silent: calls out for far longer than usual, no answer since."""
        oldest = next(iter(self.calls), None)
        if oldest is None or self.sick:
            return math.inf
        patience_us = self.times.overdue_us() * call_weight(oldest.size) * (1 if len(self.calls) > 1 else 2)
        return max(oldest.sent_us, self._last_answer_us) + math.ceil(patience_us)

    def rarely_used(self, now_us: int) -> bool:
        """Return whether an idle connection would rarely be used before it times out."""
        uses = self.pacer.delivered.read(now_us) * self._settings.conn_idle_us / RATE_WINDOW_US
        saves = uses * self._settings.handshake_price
        cost = IDLE_CONNECTION_COST * max(1.0, self._settings.senders / SMALL_FLEET)
        return not self.calls and self._settings.conn_idle_us > 0 and saves < cost

    def _add_result(self, now_us: int, failed: bool) -> None:
        """Add a result to the failure share. It weighs the more the fewer recent deliveries there are."""
        share = 1 / (1.5 + min(self.pacer.delivered.read(now_us), MAX_EVIDENCE))
        self.failures.add(now_us, share * (failed - self.failures.read(now_us)))

    def _delivery_rate(self, now_us: int) -> float:
        return max(self.pacer.delivery_rate(now_us), MIN_BASE_PER_S, self.pacer.even_rate)

    def mark_draining(self, now_us: int) -> None:
        """Record the start of a drain: keep the rate that it carried, for its return."""
        if not self._impaired():
            self._base_rate = self._delivery_rate(now_us)

    def mark_up(self, now_us: int) -> None:
        """Start a ramp, since the list has it as up again: it may have been restarted and be cold."""
        if not self.sick:
            self._start_ramp(now_us, now_us, known_rate=self._last_ok_us > -math.inf)

    def in_outage(self) -> bool:
        """Return whether an outage is known to have failed calls here since the last delivery."""
        route_fails = self.pacer.evidence.conclusive and self.evidence.failures_in_row > 0
        return self.evidence.conclusive or route_fails

    def _impaired(self) -> bool:
        return self.sick or self.ramp_start_us is not None

    def may_be_cold(self) -> bool:
        """Return whether an outage is possible after its last outcomes, or was shortly before them."""
        return self._impaired() or self.evidence.failures_in_row >= NOTED_FAILURES

    def fall_sick(self, now_us: int) -> None:
        """Mark it sick: keep the rate that it carried, and schedule the first trial."""
        if self.ramp_start_us is None:
            self._base_rate = self._delivery_rate(now_us)
        if self.ramp_start_us is not None or self.in_outage():  # also if only others are delivered to since
            self.evidence.conclude()
        self.sick, self.ramp_start_us = True, None
        self._next_us = self._next_trial_us(now_us)

    def record_silence(self, now_us: int) -> None:
        """Record that its calls are overdue. All but one are evidence of an outage: one may just be slow."""
        self.evidence.record_failures(now_us, len(self.calls) - 1, lasting_us=self._promise_us)

    def health(self, now_us: int, destination: Destination) -> api.Health:
        """Return what a later process must know of it."""
        start_us = self.ramp_start_us
        return api.Health(
            sick=self.may_be_cold() and start_us is None, returning=start_us is not None,
            base=round(self._base_rate if self._impaired() else self._delivery_rate(now_us), 3),
            rate=round(self.pacer.rate, 3) if self.pacer.rate < math.inf else 0.0,
            returning_us=0 if start_us is None else now_us - start_us,
            carried=round(self.pacer.delivery_rate(now_us), 3),
            usual_us=int(self.times.usual_us), deviation_us=int(self.times.deviation_us),
            window=round(destination.window.size, 2), tau_us=int(destination.retry_controller.tau_us))

    def restore(self, now_us: int, health: api.Health, ago_us: int) -> None:
        """Continue with the health that an earlier process noted, at the cost of a trial where it is well."""
        self._base_rate = health.base
        if health.sick:
            self.sick = True
            self.evidence.conclude()
            self._next_us = self._next_trial_us(now_us)
        elif health.returning and ago_us + health.returning_us < self._settings.cold_us:
            self._start_ramp(now_us, now_us - ago_us - health.returning_us)
        self.times.usual_us, self.times.deviation_us = float(health.usual_us), float(health.deviation_us)
        if ago_us < self._settings.cold_us:
            self.pacer.resume(health.rate)
            carried = DecayingSum(RATE_WINDOW_US, health.carried * RATE_WINDOW_US / 1e6, now_us - ago_us)
            if carried.read(now_us) > self.pacer.delivered.read(now_us):
                self.pacer.delivered = carried

    def _next_trial_us(self, now_us: int) -> float:
        """Return when to try again: in an outage at the cold rate, before that is sure at the usual one."""
        pause_us = 1e6 / self._base_rate
        if self.in_outage() or self._settings.senders > SMALL_FLEET:
            pause_us = max(self._promise_us / 2, pause_us / self._cold_share)
        return now_us + pause_us * self._rng.uniform(0.5, 1.5)

    def ready_us(self) -> float:
        """Return when the next call may go here (infinity while the list does not have it as up)."""
        if self.info.state is not EndpointState.UP:
            return math.inf
        return max(self._next_us, self.pacer.ready_us())

    def _start_ramp(self, now_us: int, start_us: int, known_rate: bool = True) -> None:
        """Forget earlier failures, and ramp up from `start_us`; for longer where its usual rate is known."""
        extra_us = RAMP_EXTRA_SPANS * self._settings.overload_for_us if known_rate else 0
        self._ramp_us = self._settings.cold_us and self._settings.cold_us + extra_us
        self.failures.value, self.ramp_start_us, self._next_us = 0.0, start_us, now_us
        self.evidence.clear()
        self._advance_ramp(now_us, self._rng.random())

    def _advance_ramp(self, now_us: int, work: float) -> None:
        """Delay the next call by the ramp's gap for so much work; end a ramp that is over."""
        settings, start_us = self._settings, self.ramp_start_us
        if start_us is None or now_us - start_us >= self._ramp_us:
            self.ramp_start_us = None
            return
        warmed = (1 - settings.cold_from) * (now_us - start_us) / settings.cold_us
        rate = max(1.0, RAMP_SHARE * settings.fall_multiple) * self._base_rate * (settings.cold_from + warmed)
        rate /= max(len(self.pacer.evidence.calls_out), 1)  # 0 once the list has none
        self._next_us = min(max(self._next_us, now_us) + work / rate * 1e6, start_us + self._ramp_us)

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
        elif outcome is Outcome.FULL:
            self._refused(now_us, event)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._failed(now_us, event.spent_us)
        return was_sick != self.sick

    def _refused(self, now_us: int, event: api.AttemptEnded | api.ProbeEnded) -> None:
        self._last_answer_us = now_us
        wait_us = event.wait_us if isinstance(event, api.AttemptEnded) else 0
        unreported = self._settings.limits_reported and event.limit is None and not wait_us
        crowded = self._settings.senders > SMALL_FLEET  # others' calls may be what fills it
        if unreported and crowded:
            self._back_off_unreported(now_us)
        else:
            self.pacer.refused(now_us, self._cold_share)
        undelivered_us = now_us - self.pacer.last_ok_us
        if unreported and (not crowded or undelivered_us > LATE_ROUND_TRIPS * self.times.usual_us > 0):
            self._record_failure(now_us, now_us - event.spent_us)
        if wait_us >= self._promise_us:
            self.evidence.conclude()
            self.fall_sick(now_us)
            self._next_us += wait_us  # shut: not all senders may call at the moment it opens
            self.pacer.hold_until(self._next_us)

    def _back_off_unreported(self, now_us: int) -> None:
        """Pause after a refusal without a limit report: the connection table is full, or it is shut."""
        pause_us = self.pacer.random_pause_us() * 2 ** min(self._unreported_refusals, 3)
        self._unreported_refusals += 1
        self._next_us = max(self._next_us, now_us + pause_us)

    def _record_failure(self, now_us: int, sent_us: int) -> None:
        late_us = LATE_ROUND_TRIPS * (self.times.usual_us or math.inf)
        lasting_us = max(0, now_us - max(sent_us + late_us, self._last_answer_us))
        for evidence in (self.evidence, self.pacer.evidence):
            evidence.record_failures(now_us, sent_us=sent_us, lasting_us=lasting_us, late_us=late_us)
        if not self.sick and (self.failures.value > SICK_FAILURE_SHARE or self.in_outage()):
            self.fall_sick(now_us)

    def _failed(self, now_us: int, spent_us: int) -> None:
        self._add_result(now_us, True)
        self._record_failure(now_us, now_us - spent_us)
        if self.sick and now_us - self.pacer.last_ok_us >= 2 * self._promise_us:
            self.pacer.hold_until(self._next_trial_us(now_us))  # an outage mostly affects all endpoints

    def _succeeded(self, now_us: int, spent_us: int) -> None:
        outdated = self.evidence.precedes(now_us - spent_us)
        long_ago = now_us - self._last_ok_us >= 2 * self._promise_us
        outage = self.in_outage() or long_ago and self.evidence.failures_in_row > 0
        self._last_answer_us = self._last_ok_us = now_us
        self._unreported_refusals = 0
        self._add_result(now_us, False)
        self.evidence.record_success(now_us - spent_us)
        self.pacer.evidence.record_success(now_us - spent_us)
        self.times.record_delivery(spent_us)
        if self.sick and not outdated:
            self.sick, self._next_us = False, now_us
            if outage:  # and not bad luck or a slow answer
                self._start_ramp(now_us, now_us)
        elif self.ramp_start_us is None:
            self.pacer.delivered.add(now_us)
        self.pacer.record_delivery(now_us)
