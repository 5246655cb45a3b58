"""The rate of calls to one route."""

import math
import random

from wheelstep.decaying_sum import DecayingSum
from wheelstep.policy.call_times import RATE_WINDOW_US
from wheelstep.policy.outage import OutageEvidence

SMALL_FLEET = 4  # with more senders, calls are spaced until a limit is known, and idle connections cost more
DECREASE_FACTOR = 0.55  # of the rate, at a refusal
INCREASE_PER_S = 0.2  # growth in start rates when every call at the current rate is delivered
SUSTAINABLE_SHARE = 0.85  # share of the even part: a rate that all senders together can keep up
MIN_SHARE = 0.4  # lowest rate after a refusal where limits are reported, as a share of the even part
RECOVERY_PER_S = 0.4  # growth up to SUSTAINABLE_SHARE, in even parts a second
# Above SUSTAINABLE_SHARE a rate grows by exp(GROWTH_PER_S * (unused share - TARGET_LEFT)) a second, or falls.
TARGET_LEFT, GROWTH_PER_S = 0.6, 0.7
MAX_LIMIT_PER_S = 1e9  # calls a second; a higher limit is taken for a mistake and ignored
EXHAUSTED_LEFT = 0.1  # a lower reported share (reports are noisy) means that all calls are refused
COUNTED_COOLDOWNS = 6  # time constant of the count of calls, and longest pause on average, in cooldowns
MIN_TOTAL_PER_S = 6.0  # calls a second of all senders together to a destination of which nothing is known
MIN_START_PER_S = 1.0  # lowest start rate, in calls a second; higher where the even part of the limit is


class Pacer:
    """Limits the calls a second to one route: to this sender's part of a reported limit, else by refusals."""

    def __init__(self, senders: int, cooldown_us: int, rng: random.Random) -> None:
        self.rate = self._limit = math.inf
        # `wait_until_us`: no call starts before, whatever is delivered; set from the wait an answer asks for.
        self.wait_until_us, self._senders, self._cooldown_us = 0, senders, cooldown_us
        self.even_rate = MIN_TOTAL_PER_S / senders  # the limit over the number of senders, in calls a second
        self._start_rate, self._mean_left, self.last_cut_us, self._rng = MIN_START_PER_S, 0.5, 0, rng
        self._next_us, self._sent, self._last_report_us, self._last_growth_us = (
            0.0, DecayingSum(COUNTED_COOLDOWNS * cooldown_us), 0, 0)
        self.delivered, self.last_ok_us, self.limit_reported = DecayingSum(RATE_WINDOW_US), -math.inf, False
        self._limit_exhausted, self.evidence = False, OutageEvidence()

    def set_limit(self, per_s: float) -> None:
        """Set a limit over all senders, in calls a second, which is never exceeded; ignored out of range."""
        if 0 < per_s < MAX_LIMIT_PER_S:
            self._limit, self.even_rate = per_s, per_s / self._senders
            self._start_rate = min(per_s, max(self.even_rate, MIN_START_PER_S))
            self.rate = self._start_rate if self.rate == math.inf else min(self.rate, per_s)

    def apply_report(self, now_us: int, per_s: float, left: float) -> None:
        """Apply a reported limit over all senders and its mean unused share; ignored out of range."""
        if not (0 < per_s < MAX_LIMIT_PER_S and 0 <= left <= 1):
            return
        previous_limit, self._limit, self.even_rate = self._limit, per_s, per_s / self._senders
        if previous_limit == math.inf:
            self.rate = SUSTAINABLE_SHARE * self.even_rate
        else:
            self.rate = min(self.rate * per_s / previous_limit, per_s)
            self._sent.value *= min(1.0, per_s / previous_limit)  # was counted under the old limit
        self._mean_left += max(0.25, 1 - math.exp((self._last_report_us - now_us) / 1e6)) * (
            left - self._mean_left)
        self._last_report_us, self.limit_reported, self._limit_exhausted = now_us, True, left < EXHAUSTED_LEFT

    def ready_us(self) -> float:
        """Return when the next call may start."""
        return max(self.wait_until_us, self._next_us)

    def record_call(self, now_us: int) -> None:
        """Record a call that starts now. After a pause, the calls of one cooldown need no gaps."""
        self._sent.add(now_us)
        if self.rate < math.inf:
            gap_us = 1e6 / self.rate
            saved_us = max(float(self._cooldown_us), gap_us if self.limit_reported else 0.0)
        else:
            gap_us, saved_us = self.random_pause_us() if self._senders > SMALL_FLEET else 0.0, 0.0
        self._next_us = max(self._next_us, now_us - saved_us) + gap_us

    def delivery_rate(self, now_us: int) -> float:
        """Return the recent deliveries a second."""
        return self.delivered.read(now_us) * 1e6 / RATE_WINDOW_US

    def random_pause_us(self) -> float:
        """Return a random time of about a cooldown, so that senders don't act at the same moment."""
        return self._cooldown_us * self._rng.uniform(0.5, 1.5)

    def refused(self, now_us: int, cold_share: float) -> None:
        """Reduce the rate, at most once in a cooldown; pause for a gap where nothing is left of the limit."""
        if now_us - self.last_cut_us < self._cooldown_us:
            return
        self.last_cut_us = self._last_growth_us = now_us
        sent_rate = max(self._sent.read(now_us) * 1e6 / self._sent.time_constant_us, self.even_rate)
        if self.rate == math.inf:
            self._start_rate = max(sent_rate, MIN_START_PER_S)
        min_rate = cold_share * self.delivery_rate(now_us)
        self.rate = max(min(self.rate, sent_rate) * DECREASE_FACTOR,
                        self.even_rate * (MIN_SHARE if self.limit_reported else 1 / 8), min_rate)
        pause_us, gap_us = self.random_pause_us(), 1e6 / self.rate
        if not self.limit_reported:  # the first report may take a second, and differ much from this rate
            pause_us = 2 * pause_us if self._senders > SMALL_FLEET else math.inf
        elif self._limit_exhausted:
            pause_us, gap_us = COUNTED_COOLDOWNS * pause_us, self._rng.uniform(0.5, 1.5) * gap_us
        self.hold_until(now_us + min(pause_us, gap_us))

    def resume(self, rate: float) -> None:
        """Continue at the rate to which an earlier process had slowed down; 0: it was unpaced."""
        if rate > 0:
            self._start_rate, self.rate = max(rate, MIN_START_PER_S), min(rate, self.rate)

    def hold_until(self, until_us: float) -> None:
        """Start no call before `until_us`; a delivery shortens this hold, but not `wait_until_us`."""
        self._next_us = max(self._next_us, until_us)

    def record_delivery(self, now_us: int) -> None:
        """Raise the rate after a delivery, and shorten a longer pause to one gap of it."""
        if not self.limit_reported:
            step = min(self._start_rate / self.rate, self.rate / (1.01 - self._mean_left))
            self.rate = min(self._limit, self.rate + 2 * INCREASE_PER_S * self._mean_left * step)
        else:
            self._grow(now_us)
        self._next_us, self.last_ok_us = min(self._next_us, now_us + 1e6 / self.rate), now_us

    def _grow(self, now_us: int) -> None:
        """Raise the rate by elapsed time, beyond SUSTAINABLE_SHARE only for one that has sent recently."""
        elapsed_s = min(now_us - self._last_growth_us, max(2_000_000.0, 1e6 / self.rate)) / 1e6
        self._last_growth_us, sustainable = now_us, SUSTAINABLE_SHARE * self.even_rate
        if self.rate < sustainable:
            self.rate = min(sustainable, self.rate + RECOVERY_PER_S * self.even_rate * elapsed_s)
        elif self._mean_left < TARGET_LEFT or self._next_us > now_us - 1e6 / self.rate:
            self.rate = min(self._limit, max(sustainable, self.rate * math.exp(
                GROWTH_PER_S * (self._mean_left - TARGET_LEFT) * elapsed_s)))
