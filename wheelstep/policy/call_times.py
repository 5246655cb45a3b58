"""How long calls to an endpoint take, and how much work they are."""

from wheelstep.decaying_sum import DecayingSum
from wheelstep.round_trip import RoundTrip

EXTRA_MESSAGE_WEIGHT = 0.25  # work and time of each further message of a call, relative to the first
RATE_WINDOW_US = 10_000_000  # time constant over which the delivery rate of a route is averaged
OVERDUE_DEVIATIONS = 6  # an answer is overdue this many deviations past the usual round trip


def call_weight(messages: int) -> float:
    """Return the work of a call with so many messages, in units of a call with one message."""
    return 1 + EXTRA_MESSAGE_WEIGHT * (messages - 1)


class CallTimes(RoundTrip):
    """The usual round trip of an endpoint's calls, and the recent answers and times."""

    def __init__(self, promise_us: int) -> None:
        super().__init__()
        self._promise_us, self._min_call_us = promise_us, 0.0
        self.recent_answers, self.recent_time_us = DecayingSum(RATE_WINDOW_US), DecayingSum(RATE_WINDOW_US)

    def add_duration(self, now_us: int, spent_us: float, answered: bool) -> None:
        """Record how long a call took, and whether it was answered."""
        self.recent_answers.add(now_us, answered)
        self.recent_time_us.add(now_us, spent_us)

    def record_delivery(self, spent_us: int) -> None:
        """Record the round trip of a delivery."""
        self._min_call_us = min(self._min_call_us, float(spent_us))
        self.add(spent_us)

    def record_cut_short(self, spent_us: int) -> None:
        """Record that a call was cut short after `spent_us`."""
        self._min_call_us = max(self._min_call_us, 1.2 * spent_us)

    def overdue_us(self, least_promises: float = 1) -> float:
        """Return how long a call may take before it counts as overdue, some promises at least."""
        return max(least_promises * self._promise_us, self.usual_us + OVERDUE_DEVIATIONS * self.deviation_us)

    def expected_us(self) -> float:
        """Return the usual time of a call, or more than calls were given that were cut short."""
        return max(self.usual_us, self._min_call_us)
