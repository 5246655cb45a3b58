"""The usual length of a round trip."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 1 / 8  # share of a new round trip in the mean and in the deviation


@dataclass(slots=True)
class RoundTrip:
    """The smoothed mean of round trips, and the smoothed deviation from it; both 0 before the first one."""

    usual_us: float = 0.0
    deviation_us: float = 0.0

    def add(self, spent_us: float) -> None:
        """Add a round trip; the first one gives the mean, and half of itself for the deviation."""
        if not self.usual_us:
            self.usual_us, self.deviation_us = spent_us, spent_us / 2
        self.deviation_us += (abs(spent_us - self.usual_us) - self.deviation_us) * SMOOTHING
        self.usual_us += (spent_us - self.usual_us) * SMOOTHING
