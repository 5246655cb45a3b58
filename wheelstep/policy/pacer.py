"""The pace of calls to one route."""

from __future__ import annotations

import math
import random

from wheelstep.policy.common import CROWD, MEMORY_US, Fading

SLOWER, FASTER = 0.55, 0.2  # a paced rate's step at a refusal; its growth in a second
CALM = 0.85  # of its even part of a limit: this pace all senders together can keep for good
LOW = 0.4  # of its even part: no refusal brings a sender under this where the limit is known
RECOVERY = 0.4  # even parts a second, on the way from LOW to CALM
AIM, GROWTH = 0.6, 0.7  # with more left than this a sender that needs it goes beyond CALM, so fast (a second)
MOST_PER_S = 1e9  # calls a second: what is told of a limit beyond this is a mistake
EMPTY = 0.1  # a report of less (they are noisy) tells that nothing is left of a limit: all are refused
COUNTED = 6  # quiet spans: for about so long a sender counts what it has sent
LEAST_TOTAL = 6.0  # calls a second that all senders may try together where nothing is known of a destination
LEAST_FAIR = 1.0  # calls a second to begin with, and more where an even part of the limit is more


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
