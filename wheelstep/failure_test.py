"""A sequential test of outcomes: do calls fail more often than usual?

The cumulative sum test of Page (1954): each outcome adds the logarithm of how much likelier it is while most calls fail
than by independent failures of the usual frequency; the sum never falls below zero. Outcomes count in the order of the
calls, as a failure is mostly known sooner than a success: a success of a call that was sent before the failures tells
nothing, and calls that are out and would have failed by now count as successes until they end.

Failures that are close together may have a common cause, such as a lost connection. So the sum suffices only once they
span some time, or once calls fail that were sent after the first failure was known.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol


class Sent(Protocol):
    """A call in progress."""

    sent_us: int


@dataclass(frozen=True, slots=True)
class Thresholds:
    """What makes evidence sufficient."""

    sufficient: float  # evidence that is enough
    min_span_us: int  # time that the failures span, unless `min_repeated` calls failed that were sent after the first
    min_repeated: int
    success_evidence: float  # evidence that a success takes away
    min_usual_share: float  # share of failures that is usual at least
    usual_share_margin: float  # multiple of the usual share of failures that is still taken for chance
    usual_calls: int  # calls over which the usual share is averaged


class FailureTest:
    """Collects evidence that calls fail more often than usual, until it suffices."""

    def __init__(self, thresholds: Thresholds) -> None:
        """Begin without evidence and with no failure as usual."""
        self._thresholds = thresholds
        self._evidence = self._usual_share = 0.0
        self.calls_out: dict[str, Collection[Sent]] = {}  # by endpoint: calls in progress whose outcomes will count
        self.conclusive = False  # whether the evidence suffices
        self.failures_in_row = 0
        self._calls = self._failures = 0  # since there was no evidence
        self._repeated = 0  # failures of calls that were sent after the first failure since then
        self._first_failure_us = 0.0
        self._first_sent_us = 0.0  # when the call of that failure was sent

    def precedes(self, sent_us: float) -> bool:
        """Return whether a call that was sent at `sent_us` was sent before the first of the failures."""
        return self._evidence > 0 and sent_us < self._first_sent_us

    def record_failures(self, now_us: int, count: int = 1, *, sent_us: float = -math.inf, lasting_us: float = 0.0,
                        late_us: float = 0.0) -> None:
        """Add the evidence of `count` calls that failed now, or that have been failing for `lasting_us`.

        `sent_us`: when the first of them was sent; `late_us`: how long a call in progress is taken for a success."""
        if count == 0:
            return
        begin_us = now_us - lasting_us
        if self._evidence <= 0:
            self._first_failure_us, self._first_sent_us, self._repeated = begin_us, sent_us, 0
        elif sent_us > self._first_failure_us:
            self._repeated += count
        self._first_failure_us = min(self._first_failure_us, begin_us)
        self.failures_in_row += count
        self._calls += count
        self._failures += count
        sufficient = self._thresholds.sufficient + self._open_successes(now_us - late_us)
        self._evidence = min(sufficient, self._evidence + count * self._failure_evidence())
        self.conclusive |= self._evidence >= sufficient and self._independent(now_us)

    def _open_successes(self, late_us: float) -> float:
        """Return the evidence that calls in progress will take away; those sent before `late_us` may have failed."""
        since_us = max(self._first_sent_us, late_us)
        alive = sum(call.sent_us > since_us for calls in self.calls_out.values() for call in calls)
        return alive * self._thresholds.success_evidence

    def _failure_evidence(self) -> float:
        usual_share = min(1.0, self._thresholds.usual_share_margin * self._usual_share)
        return -math.log(max(usual_share, self._thresholds.min_usual_share))

    def _independent(self, now_us: int) -> bool:
        """Return whether the failures can't all have been one event."""
        spanned = now_us - self._first_failure_us >= self._thresholds.min_span_us
        return spanned or self._repeated >= self._thresholds.min_repeated

    def record_success(self, sent_us: float = math.inf) -> None:
        """Add the evidence of a success of a call that was sent at `sent_us`. Failures count as usual once successes
        have outweighed them."""
        self.failures_in_row = 0
        if self.precedes(sent_us):
            self._average(1, 0)
            return
        if self.conclusive:
            self._calls = self._failures = 0
        self.conclusive = False
        self._calls += 1
        self._evidence -= self._thresholds.success_evidence
        if self._evidence <= 0:
            self._average(self._calls, self._failures)
            self.clear()

    def _average(self, calls: int, failures: int) -> None:
        """Add calls to the average of the usual share of failures."""
        weight = calls / (calls + self._thresholds.usual_calls)
        self._usual_share += (failures / calls - self._usual_share) * weight

    def conclude(self) -> None:
        """Take the evidence for sufficient."""
        if self._evidence <= 0:
            self._first_sent_us = -math.inf
        self._evidence, self.conclusive, self._first_failure_us = self._thresholds.sufficient, True, -math.inf

    def clear(self) -> None:
        """Forget the evidence so far."""
        self._evidence, self.conclusive = 0.0, False
        self._calls = self._failures = 0
