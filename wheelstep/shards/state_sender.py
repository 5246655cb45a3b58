"""Schedules what a node sends about learned state of its shards and about keys that it owed. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from wheelstep.shards.handoff import Handoff, HandoffAction
from wheelstep.shards.homes import Homes
from wheelstep.shards.ports import CourierPort
from wheelstep.shards.types import OwedKey

INTERVAL_US = 250_000  # interval of the check for ended keys and of pushes of a part of the shards


class LearnedStateSender:
    """Sends the learned state of each shard whose home is here to the courier that would be its home next, once in
    `push_us`, some of the shards in each interval. `next_us` is when `tick` is due."""

    def __init__(self, courier: CourierPort, homes: Homes, out: Handoff, push_us: int, now_us: int) -> None:
        self._courier, self._homes, self._handoff, self._push_us = courier, homes, out, push_us
        self._owed: dict[int, set[tuple[int, str, str]]] = {}  # shards handed over -> keys still owed here
        self._round: list[int] = []  # home shards still to be pushed in this round
        self._per_tick = 1
        self.next_us = now_us + INTERVAL_US

    def hand_over(self, now_us: int, shard: int, to: str) -> list[HandoffAction]:
        """Sends `to`, the shard's new home, what this courier learned as its home and the keys it still owes."""
        healths, waits = self._courier.learned(shard)
        keys = self._courier.owed_keys(shard)
        if keys:
            self._owed[shard] = _names(keys)
        return self._handoff.hand_over(now_us, shard, to, healths, waits, keys)

    def add_owed_keys(self, now_us: int, shard: int) -> list[HandoffAction]:
        """Sends the owed keys of a shard handed over again, after a message of an ordered key was taken here."""
        keys = self._courier.owed_keys(shard)
        self._owed[shard] = _names(keys)
        return self._handoff.add_owed_keys(now_us, shard, keys)

    def dropped(self, shard: int) -> None:
        """Stops tracking the keys of a shard that is no longer served here."""
        self._owed.pop(shard, None)

    def tick(self, now_us: int, mine: Sequence[int]) -> list[HandoffAction]:
        """Reports owed keys that have ended, and sends the learned state of the next shards. `mine`, the shards whose
        home is here, is read when a round starts and ignored until that round ends."""
        self.next_us = now_us + INTERVAL_US
        actions: list[HandoffAction] = []
        for shard, owed in list(self._owed.items()):
            left = _names(self._courier.owed_keys(shard))
            if ended := owed - left:
                actions += self._handoff.release_keys(now_us, shard, sorted(ended))
                self._owed[shard] = owed & left
            if not self._owed[shard]:
                del self._owed[shard]
        if not self._round:
            self._round = list(mine)
            self._per_tick = max(1, len(mine) * INTERVAL_US // self._push_us + 1)
        for _ in range(min(self._per_tick, len(self._round))):
            shard = self._round.pop()
            to = self._homes.successor(shard)
            if to is not None:
                healths, waits = self._courier.learned(shard)
                if healths or waits:
                    actions += self._handoff.push(now_us, shard, to, healths, waits, ())
        return actions


def _names(keys: Sequence[OwedKey]) -> set[tuple[int, str, str]]:
    return {(key.destination, key.message_class, key.key) for key in keys}
