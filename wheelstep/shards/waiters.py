"""Callbacks that wait for a shard to change, each with a timeout, and limited in number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

MAX_WAITERS = 2_000


class ShardWaiters:
    """Calls `then(True)` once the shard has changed (the caller looks it up again), or `then(False)` on timeout or when
    `MAX_WAITERS` callbacks wait already."""

    def __init__(self) -> None:
        self._callbacks: dict[int, dict[int, Callable[[], None]]] = {}  # shard -> number -> function that ends the wait
        self._count = self._waiting = 0

    def wait(self, shard: int, for_s: float, then: Callable[[bool], None]) -> None:
        """Calls `then` on the shard's next change, or after `for_s` seconds."""
        if self._waiting >= MAX_WAITERS:
            then(False)
            return
        self._count += 1
        self._waiting += 1
        number = self._count

        def end(changed: bool) -> None:
            callbacks = self._callbacks.get(shard, {})
            if callbacks.pop(number, None) is None:
                return
            if not callbacks:
                del self._callbacks[shard]
            self._waiting -= 1
            timer.cancel()
            then(changed)
        timer = asyncio.get_running_loop().call_later(for_s, end, False)
        self._callbacks.setdefault(shard, {})[number] = partial(end, True)

    def notify(self, shard: int) -> None:
        """The shard has opened, received its rows, or is no longer served here."""
        for end in list(self._callbacks.get(shard, {}).values()):
            end()

    def close(self) -> None:
        """Ends all waits."""
        for shard in list(self._callbacks):
            self.notify(shard)
