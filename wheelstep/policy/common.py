"""Constants and arithmetic that several parts of the decision module use."""

from __future__ import annotations

import math
from dataclasses import dataclass

SMALL_FLEET = 4  # with more senders, calls are spaced until a limit is known, and idle connections cost more
EXTRA_MESSAGE_WEIGHT = 0.25  # work and time of each further message of a call, relative to the first
RATE_WINDOW_US = 10_000_000  # time constant over which the delivery rate of a route is averaged


def call_weight(messages: int) -> float:
    """Return the work of a call with so many messages, in units of a call with one message."""
    return 1 + EXTRA_MESSAGE_WEIGHT * (messages - 1)


@dataclass(slots=True)
class DecayingSum:
    """A sum that decays exponentially, by a factor of e over `time_constant_us`."""

    time_constant_us: float
    value: float = 0.0  # the sum at `updated_us`; `read` gives the current one
    updated_us: int = 0

    def read(self, now_us: int) -> float:
        """Return the sum as decayed by `now_us`."""
        return self.value * math.exp((self.updated_us - now_us) / self.time_constant_us)

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Add `amount` to the sum as decayed by `now_us`."""
        self.value, self.updated_us = self.read(now_us) + amount, now_us
