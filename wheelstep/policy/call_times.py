"""How long calls to an endpoint take."""

from __future__ import annotations

from wheelstep.policy.common import RATE_WINDOW_US, DecayingSum

OVERDUE_DEVIATIONS = 6  # an answer is overdue this many deviations past the usual round trip


class CallTimes:
    """The usual round trip of an endpoint's calls, with its deviation, and the recent answers and times."""

    def __init__(self, promise_us: int) -> None:
        self._promise_us, self._min_call_us = promise_us, 0.0
        self.usual_us = self.deviation_us = 0.0
        self.recent_answers, self.recent_time_us = DecayingSum(RATE_WINDOW_US), DecayingSum(RATE_WINDOW_US)

    def add_duration(self, now_us: int, spent_us: float, answered: bool) -> None:
        """Record how long a call took, and whether it was answered."""
        self.recent_answers.add(now_us, answered)
        self.recent_time_us.add(now_us, spent_us)

    def record_delivery(self, spent_us: int) -> None:
        """Record the round trip of a delivery."""
        self._min_call_us = min(self._min_call_us, float(spent_us))
        if not self.usual_us:
            self.usual_us, self.deviation_us = float(spent_us), spent_us / 2
        self.deviation_us += (abs(spent_us - self.usual_us) - self.deviation_us) / 8
        self.usual_us += (spent_us - self.usual_us) / 8

    def record_cut_short(self, spent_us: int) -> None:
        """Record that a call was cut short after `spent_us`."""
        self._min_call_us = max(self._min_call_us, 1.2 * spent_us)

    def overdue_us(self, least_promises: float = 1) -> float:
        """Return how long a call may take before it counts as overdue, some promises at least."""
        return max(least_promises * self._promise_us, self.usual_us + OVERDUE_DEVIATIONS * self.deviation_us)

    def expected_us(self) -> float:
        """Return the usual time of a call, or more than calls were given that were cut short: one with too
        little time does not show how long it takes."""
        return max(self.usual_us, self._min_call_us)
