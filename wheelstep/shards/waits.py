"""What waits until something is new of a shard, each for a bounded time, so many in all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

MOST = 2_000


class Waits:
    """`then` hears True once something is new of its shard (go and look), False once its time is over or where there
    is no room."""

    def __init__(self) -> None:
        self._ends: dict[int, dict[int, Callable[[], None]]] = {}  # shard -> number -> end it
        self._count = self._waiting = 0

    def wait(self, shard: int, for_s: float, then: Callable[[bool], None]) -> None:
        """Wait for news of the shard."""
        if self._waiting >= MOST:
            then(False)
            return
        self._count += 1
        self._waiting += 1
        number = self._count

        def end(new: bool) -> None:
            ends = self._ends.get(shard, {})
            if ends.pop(number, None) is None:
                return
            if not ends:
                del self._ends[shard]
            self._waiting -= 1
            timer.cancel()
            then(new)
        timer = asyncio.get_running_loop().call_later(for_s, end, False)
        self._ends.setdefault(shard, {})[number] = partial(end, True)

    def news(self, shard: int) -> None:
        """It has opened, has got its rows, or is served here no more."""
        for end in list(self._ends.get(shard, {}).values()):
            end()

    def close(self) -> None:
        """Nothing more comes."""
        for shard in list(self._ends):
            self.news(shard)
