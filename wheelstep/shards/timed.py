"""A table whose entries end at their moments, found without a look at the others. No I/O."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

NEVER_US = 1 << 62

K = TypeVar("K")
V = TypeVar("V")


class Timed(Generic[K, V]):
    """Values by key, each until its moment in microseconds. Its owner bounds the number of entries; the heap beside it
    is at most twice that and 64."""

    def __init__(self) -> None:
        self._entries: dict[K, tuple[V, int, int]] = {}  # value, its moment, its number in the heap
        self._heap: list[tuple[int, int, K]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)

    def get(self, key: K) -> V | None:
        """The value, also one whose moment has come and that `ended` has not given out yet."""
        entry = self._entries.get(key)
        return None if entry is None else entry[0]

    def put(self, key: K, value: V, until_us: int) -> None:
        """Hold it until then, in place of what was held; a key that was there keeps its place in the order."""
        number = next(self._numbers)
        self._entries[key] = value, until_us, number
        heapq.heappush(self._heap, (until_us, number, key))
        if len(self._heap) > 2 * len(self._entries) + 64:
            self._heap = [(until_us, number, key) for key, (_, until_us, number) in self._entries.items()]
            heapq.heapify(self._heap)

    def pop(self, key: K) -> V | None:
        """Take it out; None if it is not there."""
        entry = self._entries.pop(key, None)
        return None if entry is None else entry[0]

    def pop_first(self) -> tuple[K, V]:
        """Take out what has been here longest. Raises `StopIteration` when empty."""
        key = next(iter(self._entries))
        return key, self._entries.pop(key)[0]

    def next_us(self) -> int:
        """When the next one ends; `NEVER_US` if none does."""
        while self._heap:
            until_us, number, key = self._heap[0]
            entry = self._entries.get(key)
            if entry is not None and entry[2] == number:
                return until_us
            heapq.heappop(self._heap)
        return NEVER_US

    def ended(self, now_us: int) -> list[tuple[K, V]]:
        """Take out all whose moment has come, in the order of their moments."""
        gone = []
        while self.next_us() <= now_us:
            key = heapq.heappop(self._heap)[2]
            gone.append((key, self._entries.pop(key)[0]))
        return gone
