"""Measures the iterations of a running event loop, for benchmarks that run parts of a courier in their own process."""

from __future__ import annotations

import asyncio
import time

_INTERVAL_S = 0.0005  # between two looks at the clock


class LoopIterations:
    """The durations of the running event loop's iterations, in milliseconds, sampled every `_INTERVAL_S` at most."""

    def __init__(self) -> None:
        self._durations_ms: list[float] = []
        self._last = time.perf_counter()
        self._sample()

    def _sample(self) -> None:
        now = time.perf_counter()
        self._durations_ms.append((now - self._last) * 1e3)
        self._last = now
        self._handle = asyncio.get_running_loop().call_later(_INTERVAL_S, self._sample)

    def take(self) -> list[float]:
        """Return the durations since the last call, longest first."""
        durations_ms, self._durations_ms = sorted(self._durations_ms, reverse=True), []
        return durations_ms

    def stop(self) -> None:
        """Stop measuring."""
        self._handle.cancel()
