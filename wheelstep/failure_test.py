"""A sequential test of outcomes: do calls fail more often than usual?

The cumulative sum test of Page (1954): each outcome adds the logarithm of how much likelier it is while most calls fail
than by independent failures of the usual frequency; the sum never falls below zero. Failures that are close together
may have a common cause, so the sum suffices only once they span some time.
"""

from __future__ import annotations

import math


class FailureTest:
    """Collects evidence that calls fail more often than usual, until it suffices."""

    def __init__(self, sufficient: float, min_span_us: int, success_evidence: float, min_usual_share: float,
                 usual_calls: int) -> None:
        """`sufficient`: evidence that is enough, of failures that span `min_span_us`; `success_evidence`: what a
        success takes away; `min_usual_share`: share of failures that is usual at least; `usual_calls`: calls over which
        the usual share is averaged."""
        self._sufficient, self._min_span_us, self._success_evidence = sufficient, min_span_us, success_evidence
        self._min_usual_share, self._usual_calls = min_usual_share, usual_calls
        self._evidence = self._usual_share = 0.0
        self.failures_in_row = 0
        self._calls = self._failures = 0  # since there was no evidence
        self._first_failure_us = self._last_failure_us = 0.0  # since there was no evidence

    @property
    def conclusive(self) -> bool:
        """Whether the evidence suffices."""
        span_us = self._last_failure_us - self._first_failure_us
        return self._evidence >= self._sufficient and span_us >= self._min_span_us

    def record_failures(self, now_us: int, count: int = 1, lasting_us: int = 0) -> None:
        """Add the evidence of `count` calls that failed now, or that have been failing for `lasting_us`."""
        if count == 0:
            return
        begin_us = now_us - lasting_us
        self._first_failure_us = begin_us if self._evidence <= 0 else min(self._first_failure_us, begin_us)
        self._last_failure_us = now_us
        self.failures_in_row += count
        self._calls += count
        self._failures += count
        evidence = -math.log(max(self._usual_share, self._min_usual_share))
        self._evidence = min(self._sufficient, self._evidence + count * evidence)

    def record_success(self) -> None:
        """Add the evidence of a success. Failures count as usual once successes have outweighed them."""
        self.failures_in_row = 0
        if self.conclusive:
            self._calls = self._failures = 0
        self._calls += 1
        self._evidence -= self._success_evidence
        if self._evidence <= 0:
            weight = self._calls / (self._calls + self._usual_calls)
            self._usual_share += (self._failures / self._calls - self._usual_share) * weight
            self.clear()

    def conclude(self) -> None:
        """Take the evidence for sufficient."""
        self._evidence, self._first_failure_us = self._sufficient, -math.inf

    def clear(self) -> None:
        """Forget the evidence so far."""
        self._evidence = 0.0
        self._calls = self._failures = 0
