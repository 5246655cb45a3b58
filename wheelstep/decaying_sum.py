"""A sum that decays exponentially with time."""

from __future__ import annotations

import math
from dataclasses import dataclass


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
