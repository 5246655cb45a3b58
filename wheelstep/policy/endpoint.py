"""The health of an endpoint, learned from outcomes."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wheelstep import interface as api
from wheelstep.interface import EndpointState, Outcome, Settings
from wheelstep.policy.common import CROWD, MEMORY_US, Fading, weight
from wheelstep.policy.pacer import Pacer

if TYPE_CHECKING:
    from wheelstep.policy.messages import Destination, Message

LATE_DEVIATIONS = 6  # an answer is overdue this many deviations past the usual round trip
MOST_EVIDENCE = 2.5  # recent deliveries that count against a failure: with these, three in a row pass SICK_AT
SICK_AT = 0.5  # failure share at which an endpoint counts as out ("failing most calls")
LEAST_PART = 0.25  # calls a second that a sender may count as its own where it carried next to nothing
RAMP = 0.8  # of `fall_multiple` times what an endpoint carried, so much it gets back as it warms
TABLE_PLACE = 0.12  # what an idle connection takes from others, to be saved in handshakes


@dataclass(eq=False, slots=True)
class Call:
    """One call out, with one or more messages: one slot and one fate."""

    endpoint: Endpoint
    sent_us: int
    trial: bool
    pause_us: int = 0  # for so long the connection that it went out on had been idle
    size: int = 0
    open: int = 0
    judged: bool = False
    messages: list[Message] = field(default_factory=list)
    overtaken: int = 0  # calls that went to this endpoint later and were answered
    given_up: bool = False


class Endpoint:
    """Health, learned from outcomes alone. Sick: trials at the pace it bears cold. Returning: a ramp of
    what it carried before, from `cold_from` up over `cold_us`. Guards against every outage that outcomes show
    (down, silent, hung, shut, failing) and against pushing it over on its way back. It harms when it takes
    bad luck for an outage: then traffic waits for a ramp that was not needed."""

    def __init__(self, info: api.EndpointInfo, settings: Settings, pacer: Pacer, promise_us: int,
                 rng: random.Random) -> None:
        self._s, self.info, self.pacer, self._promise_us, self._rng = settings, info, pacer, promise_us, rng
        self.sick = self.watched = False
        self.calls: dict[Call, None] = {}
        self.usual_us, self._deviation_us, self._last_answer_us = 0.0, 0.0, 0
        self.failures = Fading(4 * promise_us)  # their share of late
        self._ramp_us: int | None = None
        self._next_us, self._last_ok_us, self.used_us = 0.0, -math.inf, -1
        self._base, self._cold_share = 1.0, settings.fall_multiple * settings.cold_from
        self._short_us, self._crowded = 0.0, 0
        self.answers, self.taken = Fading(MEMORY_US), Fading(MEMORY_US)  # of late: calls, and their time
        self.turn = -math.inf  # the start tag of its last call, see spread.py

    def took(self, now_us: int, spent_us: float, answered: bool) -> None:
        """A call was out for so long."""
        self.answers.add(now_us, answered)
        self.taken.add(now_us, spent_us)

    def overdue_us(self) -> float:
        return max(self._promise_us, self.usual_us + LATE_DEVIATIONS * self._deviation_us)

    def late_us(self) -> float:
        """How long a call may take beside others that are answered."""
        return max(self._promise_us / 2, self.usual_us + LATE_DEVIATIONS * self._deviation_us)

    def needs_us(self) -> float:
        """How long a call takes: usually, and more than one that had no longer. Guards against calls with too
        little time, none of which comes back to tell how long they take."""
        return max(self.usual_us, self._short_us)

    def fell_short(self, spent_us: int) -> None:
        """A call was given so long, and that was not enough."""
        self._short_us = max(self._short_us, 1.2 * spent_us)

    def silent_us(self) -> float:
        """When it counts as silent: calls out for far longer than usual, nothing back since."""
        oldest = next(iter(self.calls), None)
        if oldest is None or self.sick:
            return math.inf
        patience_us = self.overdue_us() * weight(oldest.size) * (1 if len(self.calls) > 1 else 2)
        return max(oldest.sent_us, self._last_answer_us) + math.ceil(patience_us)

    def rarely_used(self, now_us: int) -> bool:
        """Hardly used again before it idles out? It takes a place in a table that other senders need."""
        uses = self.pacer.carried.read(now_us) * self._s.conn_idle_us / MEMORY_US
        saves = uses * self._s.handshake_price
        place = TABLE_PLACE * max(1.0, self._s.senders / CROWD)
        return not self.calls and self._s.conn_idle_us > 0 and saves < place

    def _mark(self, now_us: int, failed: bool) -> None:
        """The less was seen of late, the more an outcome weighs: one failure does after a long silence."""
        share = 1 / (1.5 + min(self.pacer.carried.read(now_us), MOST_EVIDENCE))
        self.failures.add(now_us, share * (failed - self.failures.read(now_us)))

    def _carries(self, now_us: int) -> float:
        return max(self.pacer.carried.read(now_us) * 1e6 / MEMORY_US, LEAST_PART, self.pacer.even)

    def drains(self, now_us: int) -> None:
        """Nothing goes there from now on; what it carried is kept for the time that it comes back."""
        if self._ramp_us is None and not self.sick:
            self._base = self._carries(now_us)

    def returns(self, now_us: int) -> None:
        """It is wanted again. Guards against pushing over one that was started anew meanwhile, and is cold;
        harms where it was not."""
        if not self.sick:
            self.failures.value, self._ramp_us, self._next_us = 0.0, now_us, now_us
            self._ramp(now_us, self._rng.random())

    def fall_sick(self, now_us: int) -> None:
        if self._ramp_us is None:
            self._base = self._carries(now_us)
        self.sick, self._ramp_us = True, None
        self._next_us = self._later_us(now_us)

    def health(self, now_us: int, destination: Destination) -> api.Health:
        """What a later process must know of it."""
        rate = self.pacer.rate if self.pacer.rate < math.inf else 0.0
        back_us = 0 if self._ramp_us is None else now_us - self._ramp_us
        carried = round(self.pacer.carried.read(now_us) * 1e6 / MEMORY_US, 3)
        return api.Health(
            self.sick, self._ramp_us is not None, round(self._base, 3), round(rate, 3), back_us, carried,
            int(self.usual_us), int(self._deviation_us), round(destination.window.size, 2),
            int(destination.loop.tau_us))

    def restore(self, now_us: int, health: api.Health, ago_us: int) -> None:
        """Go on with what an earlier process saw. Guards a returning endpoint against a sender that has just
        started and would push it as if it were well; harms where it got well meanwhile, for one trial."""
        back_us = ago_us + health.returning_us
        if health.sick:
            self.fall_sick(now_us)
        elif health.returning and back_us < self._s.cold_us:
            self._ramp_us = now_us - back_us
            self._ramp(now_us, self._rng.random())
        self._base = health.base
        self.usual_us, self._deviation_us = float(health.usual_us), float(health.deviation_us)
        if ago_us < self._s.cold_us:
            self.pacer.resume(health.rate)
            carried = Fading(MEMORY_US, health.carried * MEMORY_US / 1e6, now_us - ago_us)
            if carried.read(now_us) > self.pacer.carried.read(now_us):
                self.pacer.carried = carried

    def _later_us(self, now_us: int) -> float:
        """When to try again: at the pace that it could bear once it is back, cold, if every sender that
        misses it tried in proportion to what it carried."""
        pace_us = 1e6 / (self._cold_share * self._base)
        return now_us + max(self._promise_us / 2, pace_us) * self._rng.uniform(0.5, 1.5)

    def ready_us(self) -> float:
        """When the next call may go here (infinity: not before an outcome)."""
        if self.info.state is not EndpointState.UP:
            return math.inf
        return max(self._next_us, self.pacer.ready_us())

    def holdup(self, now_us: int) -> api.Holdup:
        """What keeps a call from going here now."""
        if self.info.state is not EndpointState.UP:
            return api.Holdup.GONE
        if self.ready_us() <= now_us:
            return api.Holdup.DOUBT
        if self.sick:
            return api.Holdup.SICK
        if self.pacer.ready_us() >= self._next_us:
            return api.Holdup.LIMIT
        return api.Holdup.CROWDED if self._ramp_us is None else api.Holdup.RETURNING

    def _ramp(self, now_us: int, work: float) -> None:
        """Keep the ramp's pace for so much work; past its end there is none."""
        if self._ramp_us is not None and now_us - self._ramp_us >= self._s.cold_us:
            self._ramp_us = None
        elif self._ramp_us is not None:
            warmed = (1 - self._s.cold_from) * (now_us - self._ramp_us) / self._s.cold_us
            rate = max(1.0, RAMP * self._s.fall_multiple) * self._base * (self._s.cold_from + warmed)
            rate /= max(self.pacer.endpoints, 1)  # the list may name none any more
            next_us = max(self._next_us, now_us) + work / rate * 1e6
            self._next_us = min(next_us, self._ramp_us + self._s.cold_us)

    def sent(self, now_us: int, messages: int) -> None:
        """A call with so many messages, or a probe, goes out."""
        self.pacer.spend(now_us)
        self._ramp(now_us, weight(messages))
        if self.sick:
            self._next_us = self._later_us(now_us)

    def judge(self, now_us: int, event: api.AttemptEnded | api.ProbeEnded) -> bool:
        """Learn from the outcome of a call or probe; true if it changed between sick and returning."""
        was_sick, outcome = self.sick, event.outcome
        if outcome is Outcome.OK:
            self._succeeded(now_us, event.spent_us)
        elif outcome is Outcome.FULL:  # over a limit or shut: the pacer's business
            self._last_answer_us = now_us
            told_us = event.wait_us if isinstance(event, api.AttemptEnded) else 0
            if self._s.limits_reported and self._s.senders > CROWD and event.limit is None and not told_us:
                self._crowded_out(now_us)
            else:
                self.pacer.refused(now_us, self._cold_share)
            if told_us >= self._promise_us:
                self.fall_sick(now_us)
                self._next_us += told_us  # it is shut, and may not meet all who know when it opens at once
                self.pacer.hold(self._next_us)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._mark(now_us, True)
            if not self.sick and self.failures.value > SICK_AT:
                self.fall_sick(now_us)
            if self.sick and now_us - self.pacer.last_ok_us >= 2 * self._promise_us:
                self.pacer.hold(self._later_us(now_us))  # an outage mostly takes all endpoints
        return was_sick != self.sick

    def _crowded_out(self, now_us: int) -> None:
        """A refusal without a report where answers hold them shows no limit: mostly its table of connections
        is full. Guards a destination's pace against that; it harms where one that is shut tells no more."""
        pause_us = self.pacer.spread_us() * 2 ** min(self._crowded, 3)
        self._crowded += 1
        self._next_us = max(self._next_us, now_us + pause_us)

    def _succeeded(self, now_us: int, spent_us: int) -> None:
        brief = now_us - self._last_ok_us < 2 * self._promise_us
        self._last_answer_us = self._last_ok_us = now_us
        self._crowded = 0
        self._mark(now_us, False)
        self._short_us = min(self._short_us, float(spent_us))
        if not self.usual_us:
            self.usual_us, self._deviation_us = float(spent_us), spent_us / 2
        self._deviation_us += (abs(spent_us - self.usual_us) - self._deviation_us) / 8
        self.usual_us += (spent_us - self.usual_us) / 8
        if self.sick and brief:
            self.sick, self._next_us = False, now_us  # bad luck or a slow answer, no outage: no ramp
        elif self.sick:
            self.sick, self.failures.value, self._ramp_us = False, 0.0, now_us
            self._ramp(now_us, self._rng.random())
        elif self._ramp_us is None:
            self.pacer.carried.add(now_us)
        self.pacer.served(now_us)
