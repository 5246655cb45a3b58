"""What several parts of the decisions use."""

from __future__ import annotations

import math
from dataclasses import dataclass

CROWD = 4  # with more senders, calls are spread until a limit is known, and idle connections are dearer
EXTRA_WEIGHT = 0.25  # what each further message of a call weighs, in work and waiting
MEMORY_US = 10_000_000  # over this time the rate that an endpoint carries is averaged


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
