"""A table whose entries expire at given times; expired entries are found without a scan. No I/O."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

NEVER_US = 1 << 62

K = TypeVar("K")
V = TypeVar("V")


class ExpiringTable(Generic[K, V]):
    """Values by key, each with its expiry time in microseconds. The caller bounds the number of entries; the internal
    heap has at most twice as many and 64."""

    def __init__(self) -> None:
        self._entries: dict[K, tuple[V, int, int]] = {}  # value, expiry time, sequence number in the heap
        self._heap: list[tuple[int, int, K]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)

    def get(self, key: K) -> V | None:
        """The value, also after its expiry until `ended` has returned it; None if there is none."""
        entry = self._entries.get(key)
        return None if entry is None else entry[0]

    def put(self, key: K, value: V, until_us: int) -> None:
        """Stores or replaces the value; a key that is already in the table keeps its place in the order."""
        number = next(self._numbers)
        self._entries[key] = value, until_us, number
        heapq.heappush(self._heap, (until_us, number, key))
        if len(self._heap) > 2 * len(self._entries) + 64:
            self._heap = [(until_us, number, key) for key, (_, until_us, number) in self._entries.items()]
            heapq.heapify(self._heap)

    def pop(self, key: K) -> V | None:
        """Removes and returns the value; None if there is none."""
        entry = self._entries.pop(key, None)
        return None if entry is None else entry[0]

    def pop_first(self) -> tuple[K, V]:
        """Removes and returns the entry inserted first. Raises `StopIteration` if the table is empty."""
        key = next(iter(self._entries))
        return key, self._entries.pop(key)[0]

    def next_us(self) -> int:
        """When the next entry expires; `NEVER_US` if the table is empty."""
        while self._heap:
            until_us, number, key = self._heap[0]
            entry = self._entries.get(key)
            if entry is not None and entry[2] == number:
                return until_us
            heapq.heappop(self._heap)
        return NEVER_US

    def pop_expired(self, now_us: int) -> list[tuple[K, V]]:
        """Removes and returns all expired entries, by expiry time."""
        expired = []
        while self.next_us() <= now_us:
            key = heapq.heappop(self._heap)[2]
            expired.append((key, self._entries.pop(key)[0]))
        return expired
