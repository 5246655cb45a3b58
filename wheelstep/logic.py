"""Every decision of a sender. Its types, events and actions are in wheelstep/interface.py: read that first.

Reading order: `Sender.handle` (a batch), `_dispatch` (what goes next and where), `_ended` (what an outcome
teaches), `RetryLoop` and `Window` (the design), `Pacer` (limit of a route, which is a destination or one of
its separate routes), `Endpoint` (health and way back), `Line` (queue order).
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from wheelstep import interface as api
from wheelstep.interface import UNRUN, Decay, Effect, EndpointState, Outcome, Settings

GAMMA0 = 0.1  # the loop's target: share of answers that were to retries
PHASE_MARGIN = math.pi / 4
ZETA_BAND = (0.5, 1.5)  # gains are kept while zeta stays this near to the one they were made for
T1_OF_PROMISE = 1 / 3  # T1 as a share of the tightest promise: lower retries sooner, gates more often
LATE_DEVIATIONS = 6  # an answer is overdue this many deviations past the usual round trip
MOST_EVIDENCE = 2.5  # recent deliveries that count against a failure: with these, three in a row pass SICK_AT
SICK_AT = 0.5  # failure share at which an endpoint counts as out ("failing most calls")
RISKY_AT = 0.2  # failure share at which messages that have one try only wait for better times
SLOWER, FASTER = 0.55, 0.2  # a paced rate's step at a refusal; its growth in a second
CALM = 0.85  # of its even part of a limit: this pace all senders together can keep for good
LOW = 0.4  # of its even part: no refusal brings a sender under this where the limit is known
RECOVERY = 0.4  # even parts a second, on the way from LOW to CALM
AIM, GROWTH = 0.6, 0.7  # with more left than this a sender that needs it goes beyond CALM, so fast (a second)
CROWD = 4  # with more senders, calls are spread until a limit is known, and idle connections are dearer
MOST_PER_S = 1e9  # calls a second: what is told of a limit beyond this is a mistake
EMPTY = 0.1  # a report of less (they are noisy) tells that nothing is left of a limit: all are refused
COUNTED = 6  # quiet spans: for about so long a sender counts what it has sent
LEAST_TOTAL = 6.0  # calls a second that all senders may try together where nothing is known of a destination
LEAST_PART = 0.25  # calls a second that a sender may count as its own where it carried next to nothing
LEAST_FAIR = 1.0  # calls a second to begin with, and more where an even part of the limit is more
EXTRA_WEIGHT = 0.25  # what each further message of a call weighs, in work and waiting
RAMP = 0.8  # of `fall_multiple` times what an endpoint carried, so much it gets back as it warms
TABLE_PLACE = 0.12  # what an idle connection takes from others, to be saved in handshakes
FEW = 64  # so many destinations are all ranked in every batch
BOUND_US = 4_000_000  # for about so long a bound on what a destination can earn is kept
RATES = 1.05  # bounds that rise at about the same rate, to this factor, count as rising alike
NEAR = 0.02  # what may earn this share more than the best that was looked at is not looked at for it
LOOKS = 1_000  # destinations with news are looked at in one batch, the others in the next ones
TIMERS = 5_000  # timers fire in one batch, the others in the next ones
LEAST_DEAD = 4_096  # timers of messages that are over are dropped from so many on, if they are the half
OVERTAKEN = 3  # answers to later calls at an endpoint that tell a silent connection from a slow endpoint
MEMORY_US = 10_000_000  # over this time the rate that an endpoint carries is averaged


def gains(nu1: float, tau_s: float) -> tuple[float, float]:
    """The paper's equations (12) and (13)."""
    return nu1 / math.sqrt(2), nu1 * (3 * math.pi / 4 - PHASE_MARGIN) / (math.sqrt(2) * tau_s)


def weight(messages: int) -> float:
    """The work of a call, in calls of one message."""
    return 1 + EXTRA_WEIGHT * (messages - 1)


@dataclass(slots=True)
class Fading:
    """A sum whose parts fade, by e over `span_us`."""

    span_us: float
    value: float = 0.0
    at_us: int = 0

    def read(self, now_us: int) -> float:
        return self.value * math.exp((self.at_us - now_us) / self.span_us)

    def add(self, now_us: int, amount: float = 1.0) -> None:
        self.value, self.at_us = self.read(now_us) + amount, now_us


class RetryLoop:
    """The retry gate of one destination: Hong, Huang and Yan's ratio control."""

    def __init__(self, slots: int, t1_us: int, rng: random.Random) -> None:
        self.tau_us = 0.0
        self._weight, self._t1_us, self._rng, self._at_us = 1 / slots, t1_us, rng, 0
        self._answers: deque[tuple[int, bool]] = deque()
        self._due: deque[int] = deque()
        self._kp = self._ki = self._zeta0 = self._integral = 0.0

    def sample(self, spent_us: float) -> None:
        """A round trip, or the length of a time-out."""
        self.tau_us += self._weight * (spent_us - self.tau_us) if self.tau_us else spent_us

    def answered(self, now_us: int, to_retry: bool) -> None:
        """Count an answer. Few answers can't show a share near the target, so the interval always
        reaches back over 1/GAMMA0 of them (a departure: the design's is T1, too short for a quiet sender)."""
        self._answers.append((now_us, to_retry))
        while len(self._answers) > 1 / GAMMA0 and self._answers[0][0] < now_us - self._t1_us:
            self._answers.popleft()
        self._step(now_us)

    def _step(self, now_us: int) -> None:
        """Equation (5)'s integral; held while the gate is open, bounded against wind-up."""
        elapsed_s = min(now_us - self._at_us, self._t1_us) / 1e6
        self._at_us = now_us
        if self.tau_us < self._t1_us or not self._answers:
            self._integral = 0.0
            return
        span_s = max(now_us - self._answers[0][0], self._t1_us) / 1e6
        nu1, tau_s = len(self._answers) / span_s, self.tau_us / 1e6
        zeta = tau_s / nu1
        if not ZETA_BAND[0] * self._zeta0 <= zeta <= ZETA_BAND[1] * self._zeta0:
            self._zeta0, (self._kp, self._ki) = zeta, gains(nu1, tau_s)
        top = max(self._due_rate(now_us), nu1) / self._ki
        self._integral = min(max(self._integral + self._error() * elapsed_s, 0.0), top)

    def _error(self) -> float:
        return GAMMA0 - sum(retry for _, retry in self._answers) / max(len(self._answers), 1)

    def _due_rate(self, now_us: int) -> float:
        while self._due and self._due[0] < now_us - self._t1_us:
            self._due.popleft()
        return len(self._due) * 1e6 / self._t1_us

    def may_retry(self, now_us: int) -> bool:
        """Does a retry that is due now go?"""
        due_rate = self._due_rate(now_us)
        self._due.append(now_us)
        if self.tau_us < self._t1_us or not due_rate:
            return True
        self._step(now_us)
        rate = self._kp * self._error() + self._ki * self._integral
        return self._rng.random() < min(max(rate / due_rate, 0.0), 1.0)


class Window:
    """Calls out at once to one destination: from a quarter to three quarters of the slots."""

    def __init__(self, slots: int) -> None:
        self._top, self._half = max(1, math.ceil(slots * 3 / 4) - 1), max(1, slots // 2)
        self.size = max(1.0, slots // 4)

    def judge(self, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            self.size = min(self.size + 1, self._top)
        elif outcome in (Outcome.FULL, Outcome.TIMEOUT):
            self.size = max(1.0, self.size / 2)

    def room(self, calls_out: int, doubtful: bool) -> bool:
        """A destination in doubt is held to half of the slots before its outcomes have shrunk the window."""
        return calls_out < min(self.size, self._half if doubtful else self._top)


class Pacer:
    """Calls a second to one route. Where limits are reported, at a sender's part of them. Unknown ones are
    searched for: unpaced until the first refusal, but for a crowd's gaps; down at one, slowly up with
    successes. Guards against any shared limit that refusals show (rates, counts in a span, full queues, other
    senders' share); it can hold back after a stray refusal."""

    def __init__(self, senders: int, quiet_us: int, rng: random.Random) -> None:
        self.rate = self._limit = math.inf
        self.told_until_us, self._senders, self._quiet_us, self.endpoints = 0, senders, quiet_us, 0
        self.even = LEAST_TOTAL / senders  # this sender's even part
        self._fair, self._left, self.cut_us, self._rng = LEAST_FAIR, 0.5, 0, rng
        self._next_us, self._sent, self._told_us, self._grown_us = 0.0, Fading(COUNTED * quiet_us), 0, 0
        self.carried, self.last_ok_us, self.reported = Fading(MEMORY_US), -math.inf, False
        self._empty = False

    def know_limit(self, per_s: float) -> None:
        """A limit over all senders: begin at an even part of it, never go beyond it. Among many senders few
        are busy with one destination at a time, so an even part is not under LEAST_FAIR."""
        if 0 < per_s < MOST_PER_S:
            self._limit, self.even = per_s, per_s / self._senders
            self._fair = min(per_s, max(self.even, LEAST_FAIR))
            self.rate = self._fair if self.rate == math.inf else min(self.rate, per_s)

    def report(self, now_us: int, per_s: float, left: float) -> None:
        """A limit over all senders and the share of it that is left, what all senders see alike:
        begin well within an even part, and follow it at once where it moves. What can't be so is passed
        over. The share is averaged over about a second: where a limit counts in spans, one report tells more
        of the span's phase than of its use."""
        if not (0 < per_s < MOST_PER_S and 0 <= left <= 1):
            return
        known, self._limit, self.even = self._limit, per_s, per_s / self._senders
        if known == math.inf:
            self.rate = CALM * self.even
        else:
            self.rate = min(self.rate * per_s / known, per_s)
            self._sent.value *= min(1.0, per_s / known)  # what was right under the old limit
        self._left += max(0.25, 1 - math.exp((self._told_us - now_us) / 1e6)) * (left - self._left)
        self._told_us, self.reported, self._empty = now_us, True, left < EMPTY

    def ready_us(self) -> float:
        """When the next call may go."""
        return max(self.told_until_us, self._next_us)

    def spend(self, now_us: int) -> None:
        """A call goes out. One call more may follow after a pause; before anything is known of a limit, none
        does: many senders that begin together, each with a few calls at once, use up what all have."""
        self._sent.add(now_us)
        if self.rate < math.inf:
            gap_us = 1e6 / self.rate
            saved_us = max(float(self._quiet_us), gap_us if self.reported else 0.0)
        else:
            gap_us, saved_us = self.spread_us() if self._senders > CROWD else 0.0, 0.0
        self._next_us = max(self._next_us, now_us - saved_us) + gap_us

    def spread_us(self) -> float:
        """About a quiet span, at every sender another."""
        return self._quiet_us * self._rng.uniform(0.5, 1.5)

    def refused(self, now_us: int, cold_share: float) -> None:
        """Slow down, once in a while. Where refused calls use a limit up too, all senders together must come
        well under it before any call gets through, so that each goes far down and soon comes up again. Where
        nothing is left, each pauses for a gap of its new pace: guards against all coming back in a quiet
        span, which keeps the limit used up for seconds; harms one that uses little of it."""
        if now_us - self.cut_us < self._quiet_us:
            return
        self.cut_us = self._grown_us = now_us
        used = max(self._sent.read(now_us) * 1e6 / self._sent.span_us, self.even)
        if self.rate == math.inf:
            self._fair = max(used, LEAST_FAIR)
        least = cold_share * self.carried.read(now_us) * 1e6 / MEMORY_US
        self.rate = max(min(self.rate, used) * SLOWER, self.even * (LOW if self.reported else 1 / 8), least)
        pause_us, gap_us = self.spread_us(), 1e6 / self.rate
        if not self.reported:  # the first report may be a second away, and its rate far from the guess
            pause_us = 2 * pause_us if self._senders > CROWD else math.inf
        elif self._empty:
            pause_us, gap_us = COUNTED * pause_us, self._rng.uniform(0.5, 1.5) * gap_us
        self.hold(now_us + min(pause_us, gap_us))

    def resume(self, rate: float) -> None:
        """Go on from the rate that an earlier process had come down to."""
        if rate > 0:
            self._fair, self.rate = max(rate, LEAST_FAIR), min(rate, self.rate)

    def hold(self, until_us: float) -> None:
        """No call before then, unless one is delivered first."""
        self._next_us = max(self._next_us, until_us)

    def served(self, now_us: int) -> None:
        if not self.reported:
            step = min(self._fair / self.rate, self.rate / (1.01 - self._left))
            self.rate = min(self._limit, self.rate + 2 * FASTER * self._left * step)
        else:
            self._grow(now_us)
        self._next_us, self.last_ok_us = min(self._next_us, now_us + 1e6 / self.rate), now_us

    def _grow(self, now_us: int) -> None:
        """By time, not by deliveries: a sender that sends little gets back as fast as one that sends much.
        Only one that has sent of late, within the gap of its pace, goes beyond CALM."""
        for_s = min(now_us - self._grown_us, max(2_000_000.0, 1e6 / self.rate)) / 1e6
        self._grown_us, calm = now_us, CALM * self.even
        if self.rate < calm:
            self.rate = min(calm, self.rate + RECOVERY * self.even * for_s)
        elif self._left < AIM or self._next_us > now_us - 1e6 / self.rate:
            self.rate = min(self._limit, max(calm, self.rate * math.exp(GROWTH * (self._left - AIM) * for_s)))


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
            rate /= self.pacer.endpoints
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


class Message:
    """A message held here."""

    def __init__(self, event: api.MessageAccepted, cls: api.MessageClass, now_us: int) -> None:
        self.id, self.cls = event.message, cls
        self.destination, self.key = event.destination, event.key if cls.ordered else None
        self.due_us = now_us + event.left_us
        handed_us = self.due_us - cls.deadline_us if event.resubmitted else now_us  # a client may leave early
        self.promised_us = handed_us + cls.promise_us
        self.attempts = self.ran_zone = self.rest_us = 0  # its key rests until `rest_us`
        self.call: Call | None = None
        self.ran_us: int | None = None  # when the first attempt that may have run was sent
        self.done = self.queued = self.resumes = False
        self.timed = True  # the timer of its end is still to come

    def worth_at(self, at_us: float, decay: Decay) -> float:
        late_us, cls = at_us - self.promised_us, self.cls
        if at_us >= self.due_us:
            return 0.0
        if late_us <= 0:
            return cls.worth
        if decay is Decay.EVEN:
            span_us = max(cls.deadline_us - cls.promise_us, 1)
            return cls.worth * (1 - (1 - cls.late_worth) * late_us / span_us)
        return cls.worth * float(max(0.5 ** (late_us / cls.promise_us), cls.late_worth))


class Line:
    """The waiting messages of one destination and class, in two stages: those that
    can still keep the promise, earliest first; those that are late, the newest first where worth falls by
    halves (the old ones have little left to lose)."""

    def __init__(self, decay: Decay) -> None:
        self._decay = decay
        self._stages: tuple[list[tuple[int, int, Message]], ...] = ([], [])
        self._count = 0

    def place(self, message: Message, at_us: float) -> None:
        self._count += 1
        stage, rank = self._stage(message, at_us)
        heapq.heappush(stage, (rank, self._count, message))

    def _stage(self, message: Message, at_us: float) -> tuple[list[tuple[int, int, Message]], int]:
        if at_us <= message.promised_us:
            return self._stages[0], message.promised_us
        return self._stages[1], message.due_us if self._decay is Decay.EVEN else -message.due_us

    def heads(self, at_us: float) -> Iterator[Message]:
        """The first of each stage."""
        for stage in self._stages:
            while stage and (not stage[0][2].queued or self._stage(stage[0][2], at_us)[0] is not stage):
                message = heapq.heappop(stage)[2]
                if message.queued:
                    self.place(message, at_us)
            if stage:
                yield stage[0][2]


def marks_rise(message: Message, at_us: float, horizon_us: float) -> bool:
    """Does its gain grow just then? Its later self has passed the promise, itself it has not."""
    later_us = at_us + horizon_us
    return at_us <= message.promised_us <= later_us < message.due_us


class Destination:
    """What is known of one destination, and the messages that wait for it."""

    def __init__(self, number: int, settings: Settings, t1_us: int, rng: random.Random) -> None:
        self.number = number
        self.loop, self.window = RetryLoop(settings.slots, t1_us, rng), Window(settings.slots)
        self.endpoints: list[Endpoint] = []
        self.lines: dict[api.MessageClass, Line] = defaultdict(lambda: Line(settings.decay))
        self.pacer: Pacer | None = None  # where the endpoints share one limit
        self.waiting = self.calls_out = 0
        self.look_us: float = math.inf  # when it will be looked at again, if nothing happens before
        self.stamp = 0  # which look at it the bound on what it can earn is from


    def needs_us(self) -> float:
        """How long a call takes at its quickest endpoint; 0 where that is not known."""
        return min((endpoint.needs_us() for endpoint in self.endpoints), default=0.0)


@dataclass(slots=True)
class Chain:
    """The messages of one key, in the order in which they were taken."""

    messages: deque[Message] = field(default_factory=deque)
    rest_us: int = 0


class Sender:
    """Feed it every event of a moment with `handle`; carry out the actions that it returns, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        api.check_settings(settings)
        self._s, self._rng = settings, random.Random(seed)
        self._classes(settings.classes)
        self._now = self._calls_out = self._count = self._asked_wait_us = self._reaped_us = 0
        self._actions: list[api.Action] = []
        self._messages: dict[str, Message] = {}
        self._destinations: dict[int, Destination] = {}
        self._backlog: dict[int, Destination] = {}  # those with messages waiting
        self._ready: dict[int, Destination] = {}  # those of them that something has happened to
        self._news: dict[int, Destination] = {}  # of these, the ones that must be looked at anew
        # What each can earn at most, by how fast that rises: at time 0 and negative; number; stamp.
        self._bounds: dict[float, list[tuple[float, int, int]]] = {}
        self._lapses: list[tuple[float, int, int]] = []  # until when that holds
        self._stamp, self._bounding = 0, False
        self._endpoints: dict[str, Endpoint] = {}
        self._resumed: dict[int, Call] = {}  # an earlier process's calls, `slots` at most
        self._chains: dict[str, Chain] = defaultdict(Chain)
        self._heap: list[tuple[int, int, Callable[[], None], Message | None]] = []
        self._dead = 0  # of these, so many are of messages that are over
        self._loose: list[Message] = []  # what may be handed back to make room, the least worth last
        self._loose_until_us = 0
        self._armed_us = self._safe_idle_us = math.inf
        if settings.ask_for_list:
            self._at(0, lambda: self._actions.append(api.Subscribe()))

    def _classes(self, classes: tuple[api.MessageClass, ...]) -> None:
        """New messages are of these. What is known of a destination keeps the times that it began with."""
        self._s = replace(self._s, classes=classes)
        self._bounding = False  # bounds were made for the old ones
        self._promise_us = min(cls.promise_us for cls in classes)
        self._horizon_us = max(cls.promise_us for cls in classes)
        self._t1_us = max(1, int(self._promise_us * T1_OF_PROMISE))

    def handle(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Take what has happened by `now_us` and say what to do about it."""
        self._now, self._actions = now_us, []
        for event in events:
            self._take(event)
        for _ in range(TIMERS):
            if not self._heap or self._heap[0][0] > now_us:
                break
            _, _, what, message = heapq.heappop(self._heap)
            if message is not None:
                self._dead -= message.done
                message.timed = False
            what()
        self._dispatch()
        if self._dead > max(LEAST_DEAD, len(self._heap) // 2):
            self._heap = [timer for timer in self._heap if timer[3] is None or not timer[3].done]
            heapq.heapify(self._heap)
            self._dead = 0
        if self._heap and self._heap[0][0] < self._armed_us:
            self._armed_us = self._heap[0][0]
            self._actions.append(api.SetTimer(0, max(self._heap[0][0] - now_us, 0)))
        return self._actions

    def _take(self, event: api.Event) -> None:
        match event:
            case api.MessageAccepted():
                self._accept(event)
            case api.MessageRestored():
                self._restore(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.TimerFired():
                self._armed_us = math.inf
            case api.MembershipReceived():
                self._members(event)
            case api.MessageWithdrawn() if event.message in self._messages:
                self._close(self._messages[event.message])
            case api.ProbeEnded() if event.endpoint in self._endpoints:
                self._learn(self._endpoints[event.endpoint], event)
            case api.HealthRestored() if event.endpoint in self._endpoints:
                self._recall(self._endpoints[event.endpoint], event)
            case api.ClassesChanged():
                self._classes(event.classes)

    def _at(self, when_us: float, what: Callable[[], None], message: Message | None = None) -> None:
        """Do it then; where it is a message's own end, not once that is over."""
        self._count += 1
        heapq.heappush(self._heap, (math.ceil(when_us), self._count, what, message))

    def _members(self, event: api.MembershipReceived) -> None:
        if event.kind is api.ListKind.UNAVAILABLE:
            self._asked_wait_us = max(min(self._asked_wait_us * 2, self._s.ask_within_us // 2), self._t1_us)
            self._at(self._now + self._asked_wait_us, lambda: self._actions.append(api.Subscribe()))
            return
        self._asked_wait_us = 0
        if event.kind is not api.ListKind.CHANGES:
            named = {info.endpoint for info in event.entries}
            for gone in [e.info for e in self._endpoints.values() if e.info.endpoint not in named]:
                self._list(replace(gone, state=EndpointState.REMOVED))
        for info in event.entries:
            self._list(info)

    def _list(self, info: api.EndpointInfo) -> None:
        destination = self._destination(info.destination)
        endpoint = self._endpoints.get(info.endpoint)
        self._touch(destination)
        if info.state is EndpointState.REMOVED:
            if endpoint is not None:
                endpoint.pacer.endpoints -= 1
                destination.endpoints.remove(self._endpoints.pop(info.endpoint))
            return
        if endpoint is None:
            pacer = destination.pacer or Pacer(self._s.senders, self._t1_us, self._rng)
            destination.pacer = None if self._kind(info).routes_apart else pacer
            endpoint = self._endpoints[info.endpoint] = Endpoint(
                info, self._s, pacer, self._promise_us, self._rng)
            destination.endpoints.append(endpoint)
            pacer.endpoints += 1
            if self._s.weights_are_rates:
                pacer.know_limit(info.weight)
        was, endpoint.info = endpoint.info.state, info
        if was is not info.state:
            (endpoint.drains if info.state is EndpointState.DRAINING else endpoint.returns)(self._now)

    def _kind(self, info: api.EndpointInfo) -> api.Kind:
        return self._s.kinds[min(info.kind, len(self._s.kinds) - 1)]

    def _destination(self, number: int) -> Destination:
        if number not in self._destinations:
            self._destinations[number] = Destination(number, self._s, self._t1_us, self._rng)
        return self._destinations[number]

    def _accept(self, event: api.MessageAccepted) -> None:
        cls = self._s.classes[event.message_class]
        message = self._messages[event.message] = Message(event, cls, self._now)
        if len(self._messages) >= self._s.hold_limit:
            self._make_room()
        self._at(message.due_us - 2 * self._s.tick_us, lambda: self._end(message), message)
        if message.key is None:
            self._queue(message)
        else:
            self._chains[message.key].messages.append(message)
            self._advance(message.key)

    def _restore(self, event: api.MessageRestored) -> None:
        """Go on with a message of an earlier process. Guards against effects taken twice: what may have run
        before binds as if it had been seen to here, and the key rests again once the message has ended."""
        self._accept(event.accepted)
        message = self._messages[event.accepted.message]
        message.attempts, message.resumes = event.attempts, event.attempts > 0
        if event.ran_ago_us is not None:
            message.ran_us, message.ran_zone = self._now - event.ran_ago_us, event.ran_zone
            message.rest_us = self._now + self._s.order_settle_us
        if event.out is not None:
            self._resume(message, event.out)
        elif not self._may_resend(message, self._now):
            self._end(message)

    def _resume(self, message: Message, out: api.CallOut) -> None:
        """Its call is out as if it had been sent here: it holds its slot, its endpoint and its key."""
        self._unqueue(message)
        destination = self._destination(message.destination)
        if out.number not in self._resumed:
            info = api.EndpointInfo(out.endpoint, message.destination, state=EndpointState.REMOVED)
            endpoint = self._endpoints.get(out.endpoint) or Endpoint(
                info, self._s, Pacer(self._s.senders, self._t1_us, self._rng), self._promise_us, self._rng)
            call = self._resumed[out.number] = Call(endpoint, self._now - out.sent_ago_us, endpoint.sick)
            endpoint.calls[call] = None
            destination.calls_out += 1
            self._calls_out += 1
            if not endpoint.watched:
                self._watch(endpoint)
        message.resumes = False
        message.call = call = self._resumed[out.number]
        call.size, call.open = call.size + 1, call.open + 1
        call.messages.append(message)

    def _make_room(self) -> None:
        """Hand back what is worth least once its destination's backlog has gone, before others are turned
        away. So no backlog shuts out the rest; it harms one that is about to go faster than one in T1. Among
        many destinations one look at all of them serves for a while: worth moves little within that."""
        if len(self._backlog) <= FEW or self._now >= self._loose_until_us:
            self._loose.clear()
        while self._loose:
            message = self._loose.pop()
            if message.queued and self._may_refuse(message):
                self._end(message)
                return
        loose = [(m.worth_at(self._now + d.waiting * self._t1_us, self._s.decay), -d.waiting, m.id, m)
                 for d in self._backlog.values() for m in self._heads(d) if self._may_refuse(m)]
        if loose:
            self._loose = [row[3] for row in heapq.nsmallest(max(1, len(self._backlog) // 8), loose)][::-1]
            self._loose_until_us = self._now + self._t1_us // 4
            self._end(self._loose.pop())

    def _queue(self, message: Message) -> None:
        if message.done or message.queued:
            return
        destination = self._destination(message.destination)
        message.queued = True
        destination.lines[message.cls].place(message, self._now + destination.loop.tau_us)
        destination.waiting += 1
        self._backlog[destination.number] = destination
        self._touch(destination)

    def _unqueue(self, message: Message) -> None:
        if message.queued:
            message.queued = False
            destination = self._destination(message.destination)
            destination.waiting -= 1
            if not destination.waiting:
                del self._backlog[destination.number]
            if destination.number in self._ready:
                self._news[destination.number] = destination

    def _touch(self, destination: Destination) -> None:
        """Something has happened to this destination: look at it in this batch, if messages wait there."""
        if destination.waiting:
            self._ready[destination.number] = self._news[destination.number] = destination

    def _look_at(self, destination: Destination, at_us: float) -> None:
        """Look at a destination again then, whatever happens."""
        if at_us < math.inf and not self._now < destination.look_us <= at_us:
            destination.look_us = at_us
            self._at(at_us, lambda: self._touch(destination))

    def _advance(self, key: str) -> None:
        """Let the next message of a key go once those before it have ended and the key has rested."""
        chain = self._chains.get(key)
        if chain is None:
            return
        while chain.messages and chain.messages[0].done and chain.messages[0].call is None:
            chain.rest_us = max(chain.rest_us, chain.messages.popleft().rest_us)
        if self._now < chain.rest_us:
            self._at(chain.rest_us, lambda: self._advance(key))
        elif not chain.messages:
            del self._chains[key]
        elif not chain.messages[0].attempts or chain.messages[0].resumes:
            self._queue(chain.messages[0])

    def _may_refuse(self, message: Message) -> bool:
        known = message.cls.effect is Effect.KEYED and not message.cls.zone_keys
        return message.ran_us is None or message.cls.effect is Effect.SAFE or known

    def _end(self, message: Message) -> None:
        """The final answer: refuse where that is true and harmless, else fail."""
        if message.done or message.call is not None:
            return
        refusal = api.Refuse(message.id, min(self._t1_us, self._s.max_retry_after_us))
        self._actions.append(refusal if self._may_refuse(message) else api.Fail(message.id))
        self._close(message)

    def _close(self, message: Message) -> None:
        self._unqueue(message)
        self._dead += message.timed and not message.done
        message.done = True
        if message.call is None:
            self._messages.pop(message.id, None)
        if message.key is not None:
            self._advance(message.key)

    def _ended(self, event: api.AttemptEnded) -> None:
        message = self._messages.get(event.message)
        if message is None or message.call is None:
            return
        call, message.call = message.call, None
        destination = self._destination(message.destination)
        self._judge(call, destination, event, message.attempts > 1)
        self._touch(destination)
        if event.outcome not in UNRUN and event.outcome is not Outcome.OK and message.ran_us is None:
            message.ran_us, message.ran_zone = call.sent_us, call.endpoint.info.zone
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            message.rest_us = self._now + self._s.order_settle_us
        if event.complete or message.done:
            self._close(message)
        elif event.exhausted:
            self._end(message)
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
            self._end(message)

    def _retry_due(self, message: Message, destination: Destination) -> None:
        if not message.done and not destination.loop.may_retry(self._now):
            self._end(message)
        self._queue(message)

    def _may_resend(self, message: Message, at_us: int) -> bool:
        most = message.cls.most_attempts or self._s.max_attempts
        if message.attempts >= most or at_us >= message.due_us - 2 * self._s.tick_us:
            return False
        if message.ran_us is None or message.cls.effect is Effect.SAFE:
            return True
        end_us = message.ran_us + message.cls.key_ttl_us - 2 * self._s.tick_us
        return message.cls.effect is Effect.KEYED and at_us < end_us

    def _gain(self, message: Message, tau_us: float) -> float:
        """The worth that sending now saves over sending a promise later; ties go by worth."""
        at_us = self._now + tau_us
        now_worth = message.worth_at(at_us, self._s.decay)
        return now_worth - message.worth_at(at_us + self._horizon_us, self._s.decay) + now_worth / 100

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

    def _changed(self) -> list[Destination]:
        """The ready destinations that must be looked at anew: those with news, or whose bound has lapsed. All
        where they are few, since bounds cost more than they save then."""
        few = len(self._ready) <= FEW
        if few or not self._bounding:
            self._bounding = not few
            self._bounds, self._lapses = {}, []
            self._news.clear()
            return list(self._ready.values())
        while self._lapses and self._lapses[0][0] <= self._now:
            _, number, stamp = heapq.heappop(self._lapses)
            if number in self._ready and self._ready[number].stamp == stamp:
                self._news[number] = self._ready[number]
        news, self._news = self._news, {}
        if sum(map(len, self._bounds.values())) > 4 * len(self._ready):  # old ones that never came to the top
            stamps = {number: destination.stamp for number, destination in self._ready.items()}
            for slope, rows in list(self._bounds.items()):
                self._bounds[slope] = [row for row in rows if stamps.get(row[1]) == row[2]]
                heapq.heapify(self._bounds[slope])
        return [destination for number, destination in news.items() if number in self._ready]

    def _topmost(self) -> tuple[float, int] | None:
        """The highest bound just now, negative, and whose it is. Of those that rise alike the order stays."""
        best: tuple[float, int] | None = None
        for slope, rows in self._bounds.items():
            while rows and (rows[0][1] not in self._ready or self._ready[rows[0][1]].stamp != rows[0][2]):
                heapq.heappop(rows)
            if rows and (best is None or (rows[0][0] - slope * self._now, rows[0][1]) < best):
                best = rows[0][0] - slope * self._now, rows[0][1]
        return best

    def _rank(self, destination: Destination, ranked: list[tuple[float, int, list[Message]]]) -> None:
        self._stamp += 1
        destination.stamp = self._stamp
        if heads := self._heads(destination):
            # By what a slot earns in its time. Guards the slots against a destination that has become slow
            # and would turn most of them into its own queue; it harms its messages while others wait.
            tau_us = destination.loop.tau_us
            earns = self._gain(heads[0], tau_us) / max(tau_us, self._t1_us / 8)
            heapq.heappush(ranked, (-earns, destination.number, heads))
        else:
            del self._ready[destination.number]

    def _bound(self, destination: Destination, earns: float, heads: list[Message]) -> None:
        """What it can earn at most, and until when that holds. While its heads stay the same, each one's gain
        is linear in time between the marks at which it or its later self changes pace, and rises only within
        a horizon before its promise."""
        tau_us = destination.loop.tau_us
        at_us, horizon_us = self._now + tau_us, self._horizon_us
        even = self._s.decay is Decay.EVEN
        # Not all for equally long: guards a round against thousands of bounds that lapse at once.
        kept_us = BOUND_US * (0.5 + destination.number * 0.618 % 1)
        until_us = at_us + (kept_us if even else kept_us / 100)
        for message in heads:
            marks = (message.promised_us - horizon_us, message.promised_us, message.due_us - horizon_us,
                     message.due_us)
            until_us = min(until_us, min((mark for mark in marks if mark > at_us), default=until_us))
        rise = rate = 0.0
        for message in heads:
            cls = message.cls
            if not even:  # falls by halves: what its later self is now, less what it will be by then
                later = message.worth_at(until_us + horizon_us, self._s.decay)
                rise = max(rise, message.worth_at(at_us + horizon_us, self._s.decay) - later)
            elif marks_rise(message, at_us, horizon_us):
                rate = max(rate, cls.worth * (1 - cls.late_worth) / max(cls.deadline_us - cls.promise_us, 1))
        slot_us = max(tau_us, self._t1_us / 8)
        slope = RATES ** math.ceil(math.log(rate / slot_us, RATES)) if rate else 0.0
        most = (earns + rise / slot_us) * (1 + 1e-6) if rate or rise else earns
        rows = self._bounds.setdefault(slope, [])
        heapq.heappush(rows, (slope * self._now - most, destination.number, destination.stamp))
        heapq.heappush(self._lapses, (until_us - tau_us, destination.number, destination.stamp))

    def _heads(self, destination: Destination) -> list[Message]:
        """The first of each line and stage, the most pressing first."""
        tau_us = destination.loop.tau_us
        heads = [m for line in destination.lines.values() for m in line.heads(self._now + tau_us)]
        return sorted(heads, key=lambda m: -self._gain(m, tau_us))

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

    def _send_one(self, destination: Destination, heads: list[Message]) -> bool:
        if not destination.window.room(destination.calls_out, self._doubtful(destination)):
            return False
        if hopeless := [m for m in heads if self._now + destination.needs_us() > m.due_us]:
            # Guards against a backlog that is as old as its deadline: sent in turn, every one would come too
            # late, and the ones behind it as well. It harms one that would have been answered unusually soon.
            for message in hopeless:
                self._end(message)
            return True
        ready = {endpoint: endpoint.ready_us() for endpoint in destination.endpoints}
        usable = [endpoint for endpoint, at_us in ready.items() if at_us <= self._now]
        for message in heads:
            if fits := [endpoint for endpoint in usable if self._may_go(message, endpoint)]:
                self._call(message, min(fits, key=self._cost), destination)
                return True
        for endpoint in usable:
            if self._s.may_probe and endpoint.sick:  # no message here may go on trial
                self._actions.append(api.Probe(endpoint.info.endpoint))
                endpoint.sent(self._now, 1)
        # What keeps messages from a usable endpoint may pass by itself.
        self._look_at(destination, min(max(at_us, self._now + self._t1_us) if at_us <= self._now else at_us
                                       for at_us in [*ready.values(), math.inf]))
        return False

    def _cost(self, endpoint: Endpoint) -> tuple[float, bool, float]:
        """Fees first (of its route, of another zone), then a trial that is due, then the expected time."""
        zone = endpoint.info.zone
        fee = sum(self._s.zone_fees[zone:zone + 1]) if self._kind(endpoint.info).routes_apart else 0.0
        fee += self._s.cross_zone_price if zone != self._s.zone else 0.0
        return fee, not endpoint.sick, (len(endpoint.calls) + 1) * max(endpoint.usual_us, 1.0)

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
            self._actions.append(api.StartAttempt(message.id, endpoint.info.endpoint, timeout_us))
        endpoint.calls[call] = None
        endpoint.sent(self._now, call.open)
        if not endpoint.watched:
            self._watch(endpoint)
        destination.calls_out += 1
        self._calls_out += 1
