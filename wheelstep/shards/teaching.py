"""When a node tells what it has learned of its shards, and of keys that it owed. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from wheelstep.shards.handoff import HandAct, Handoff
from wheelstep.shards.homes import Homes
from wheelstep.shards.ports import Shelf
from wheelstep.shards.types import OwedKey

LOOK_US = 250_000  # whether owed keys have ended is looked at so often, and a part of the shards is pushed


class Teaching:
    """Each home shard is pushed to its next courier once in `push_us`, some in each look."""

    def __init__(self, shelf: Shelf, homes: Homes, out: Handoff, push_us: int, now_us: int) -> None:
        self._shelf, self._homes, self._handoff, self._push_us = shelf, homes, out, push_us
        self._owed: dict[int, set[tuple[int, str, str]]] = {}  # given shards -> keys still owed here
        self._turn: list[int] = []  # home shards that are still to be pushed in this round
        self._share = 1
        self.next_us = now_us + LOOK_US

    def give(self, now_us: int, shard: int, to: str) -> list[HandAct]:
        """This courier was home, and `to` is now."""
        healths, waits = self._shelf.learned(shard)
        keys = self._shelf.owed_keys(shard)
        if keys:
            self._owed[shard] = _names(keys)
        return self._handoff.gave(now_us, shard, to, healths, waits, keys)

    def owes_more(self, now_us: int, shard: int) -> list[HandAct]:
        """A message of an ordered key was taken here after the shard was given."""
        keys = self._shelf.owed_keys(shard)
        self._owed[shard] = _names(keys)
        return self._handoff.owes_more(now_us, shard, keys)

    def dropped(self, shard: int) -> None:
        """It is served here no more."""
        self._owed.pop(shard, None)

    def tick(self, now_us: int, mine: Sequence[int]) -> list[HandAct]:
        """At `next_us`: keys that have ended, and a part of what is to be pushed."""
        self.next_us = now_us + LOOK_US
        acts: list[HandAct] = []
        for shard, owed in list(self._owed.items()):
            left = _names(self._shelf.owed_keys(shard))
            if over := owed - left:
                acts += self._handoff.keys_over(now_us, shard, sorted(over))
                self._owed[shard] = owed & left
            if not self._owed[shard]:
                del self._owed[shard]
        if not self._turn:
            self._turn = list(mine)
            self._share = max(1, len(mine) * LOOK_US // self._push_us + 1)
        for _ in range(min(self._share, len(self._turn))):
            shard = self._turn.pop()
            to = self._homes.next(shard)
            if to is not None:
                healths, waits = self._shelf.learned(shard)
                if healths or waits:
                    acts += self._handoff.push(now_us, shard, to, healths, waits, ())
        return acts


def _names(keys: Sequence[OwedKey]) -> set[tuple[int, str, str]]:
    return {(key.destination, key.message_class, key.key) for key in keys}
