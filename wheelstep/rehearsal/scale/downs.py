"""Which destinations are down at which moment: a function of the seed, so that every process knows it. No I/O.

A destination is down for `down_s` once in `down_s / share`, at a phase of its own. So `share` of all are down at any
moment, and they change.
"""

from __future__ import annotations

import hashlib

LONG_S = 10.0  # calls to a destination that has been down for so long count as wasted


class Downs:
    """Moments are seconds since the run's start, which may lie before it."""

    def __init__(self, seed: int, share: float, down_s: float) -> None:
        if not 0 <= share < 1 or down_s <= 0:
            raise ValueError(f"{share} down for {down_s} s; expected a share below 1 and a time above 0")
        self._salt, self._share, self._down_s = f"{seed}/".encode(), share, down_s
        self._every_s = down_s / share if share else 0.0

    def for_s(self, destination: int, at_s: float) -> float | None:
        """For how long it has been down then; None if it is up."""
        if not self._share:
            return None
        digest = hashlib.blake2b(self._salt + str(destination).encode(), digest_size=8).digest()
        phase = int.from_bytes(digest, "big") / 2 ** 64
        since_s = (at_s + phase * self._every_s) % self._every_s
        return since_s if since_s < self._down_s else None
