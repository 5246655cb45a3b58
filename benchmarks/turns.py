"""How long the turns of a running loop take, for benchmarks that run a courier's parts in their own process."""

from __future__ import annotations

import asyncio
import time

_EVERY_S = 0.0005


class Turns:
    """The turns of the running loop, in milliseconds."""

    def __init__(self) -> None:
        self._all: list[float] = []
        self._last = time.perf_counter()
        self._turn()

    def _turn(self) -> None:
        now = time.perf_counter()
        self._all.append((now - self._last) * 1e3)
        self._last = now
        self._handle = asyncio.get_running_loop().call_later(_EVERY_S, self._turn)

    def take(self) -> list[float]:
        """Those since the last time, longest first."""
        found, self._all = sorted(self._all, reverse=True), []
        return found

    def stop(self) -> None:
        """Look no more."""
        self._handle.cancel()
