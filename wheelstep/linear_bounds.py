"""The highest of many bounds that rise linearly with time."""

from __future__ import annotations

import heapq
import math

SLOPE_STEP = 1.05  # slopes are rounded up to powers of this, so that few heaps hold them


class LinearBounds:
    """A bound for each key, until it expires or the key gets another one. Bounds of one slope share a heap, since
    time does not change their order."""

    def __init__(self) -> None:
        self._heaps: dict[float, list[tuple[float, int, int]]] = {}  # by slope: bound at 0, negated; key; version
        self._expiries: list[tuple[float, int, int]] = []  # time, key, version
        self._versions: dict[int, int] = {}
        self._last_version = 0

    def add(self, key: int, now_us: int, bound: float, rise_per_us: float, expires_us: float) -> None:
        """Add a bound that holds now, and rises at this rate at most."""
        slope = SLOPE_STEP ** math.ceil(math.log(rise_per_us, SLOPE_STEP)) if rise_per_us else 0.0
        self._last_version += 1
        self._versions[key] = self._last_version
        heapq.heappush(self._heaps.setdefault(slope, []), (slope * now_us - bound, key, self._last_version))
        heapq.heappush(self._expiries, (expires_us, key, self._last_version))

    def remove(self, key: int) -> None:
        """Drop the bound of a key, if it has one."""
        self._versions.pop(key, None)

    def pop_expired(self, now_us: int) -> list[int]:
        """Return the keys whose bounds have expired by now."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_us:
            _, key, version = heapq.heappop(self._expiries)
            if self._versions.get(key) == version:
                expired.append(key)
        return expired

    def drop_outdated(self, current: int) -> None:
        """Drop replaced bounds, which stay below the top of a heap, if they are many beside `current` keys."""
        if sum(map(len, self._heaps.values())) > 4 * current:
            for slope, rows in list(self._heaps.items()):
                self._heaps[slope] = [row for row in rows if self._versions.get(row[1]) == row[2]]
                heapq.heapify(self._heaps[slope])

    def highest(self, now_us: int) -> tuple[float, int] | None:
        """Return the highest bound now, negated, and its key (None: there is none); the lower key at a tie."""
        best: tuple[float, int] | None = None
        for slope, rows in self._heaps.items():
            while rows and self._versions.get(rows[0][1]) != rows[0][2]:
                heapq.heappop(rows)
            if rows and (best is None or (rows[0][0] - slope * now_us, rows[0][1]) < best):
                best = rows[0][0] - slope * now_us, rows[0][1]
        return best
