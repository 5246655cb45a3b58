"""The outages of the simulated destinations: a function of the seed, so that every process computes the same. No I/O.

A destination is down for `down_s` in every period of `down_s / share`, at a phase of its own. So a fraction `share` of
all destinations is down at any time, and which ones changes.
"""

from __future__ import annotations

import hashlib

LONG_OUTAGE_S = 10.0  # calls to a destination that has been down at least this long are counted as wasted


class OutageSchedule:
    """Tells when a destination is down. Times are seconds since the run's start and may be negative. Raises
    `ValueError` for a share outside [0, 1) or a duration that is not positive."""

    def __init__(self, seed: int, share: float, down_s: float) -> None:
        if not 0 <= share < 1 or down_s <= 0:
            raise ValueError(f"{share} down for {down_s} s; expected a share below 1 and a time above 0")
        self._salt, self._share, self._down_s = f"{seed}/".encode(), share, down_s
        self._period_s = down_s / share if share else 0.0

    def down_for_s(self, destination: int, at_s: float) -> float | None:
        """Return for how many seconds the destination has been down at `at_s`, or None if it is up."""
        if not self._share:
            return None
        digest = hashlib.blake2b(self._salt + str(destination).encode(), digest_size=8).digest()
        phase = int.from_bytes(digest, "big") / 2 ** 64
        elapsed_s = (at_s + phase * self._period_s) % self._period_s
        return elapsed_s if elapsed_s < self._down_s else None
