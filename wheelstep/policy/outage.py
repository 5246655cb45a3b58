"""Tells an outage from bad luck, by the outcomes of calls.

A cumulative sum test (Page 1954): each outcome adds the logarithm of how much likelier it is in an outage
than by independent failures that are as frequent as usual; the sum never falls below zero.
"""

from __future__ import annotations

import math

CONCLUSIVE = 11.5  # evidence that shows an outage: chance gives it once in some ten thousand calls
SUCCESS_EVIDENCE = 1.5  # evidence that a success takes away
MIN_USUAL_SHARE = 0.05  # share of failures that is usual at least
USUAL_SHARE_CALLS = 32  # calls over which the usual share of failures is averaged


class OutageEvidence:
    """The evidence that outcomes give of an outage. Protects returning endpoints after few failures. Where
    failures are frequent it takes more of them, and short outages pass unnoticed."""

    def __init__(self) -> None:
        self.value = 0.0
        self.failures_in_row = 0
        self._usual_share = 0.0
        self._calls = self._failures = 0  # since there was no evidence

    def record_failures(self, count: int = 1) -> None:
        """Add the evidence of failed calls."""
        self.failures_in_row += count
        self._calls += count
        self._failures += count
        evidence = -math.log(max(self._usual_share, MIN_USUAL_SHARE))
        self.value = min(CONCLUSIVE, self.value + count * evidence)

    def record_success(self) -> None:
        """Add the evidence of a delivery. Failures count as usual once successes have outweighed them."""
        self.failures_in_row = 0
        if self.conclusive:
            self._calls = self._failures = 0
        self._calls += 1
        self.value -= SUCCESS_EVIDENCE
        if self.value <= 0:
            weight = self._calls / (self._calls + USUAL_SHARE_CALLS)
            self._usual_share += (self._failures / self._calls - self._usual_share) * weight
            self.clear()

    def clear(self) -> None:
        """Forget the evidence so far."""
        self.value = 0.0
        self._calls = self._failures = 0

    @property
    def conclusive(self) -> bool:
        """Whether the outcomes show an outage."""
        return self.value >= CONCLUSIVE
