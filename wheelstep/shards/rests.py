"""Ordered keys that former homes may still owe, as they told. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wheelstep.shards.learned import ALL, KeyName
from wheelstep.shards.types import OwedKey, shard_of

_SWEEP_US = 1_000_000


class Rests:
    """Keys by shard and who owes them, until their time or `over`. At most `most` of them; what finds no room makes all
    keys of its shard rest until its time (a moment a shard)."""

    def __init__(self, shards: int, most: int) -> None:
        self._shards = shards
        self._most = most
        self._count = 0
        self._keys: dict[int, dict[str, dict[KeyName, int]]] = {}  # by shard and sender: until then
        self._whole: dict[int, int] = {}  # shard: all its keys until then
        self._swept_us = 0

    def __len__(self) -> int:
        return self._count

    def owes(self, now_us: int, shard: int, sender: str, keys: Sequence[OwedKey], anew: bool) -> None:
        """The sender owes these. `anew`: and no others of the shard."""
        if anew:
            self._forget(shard, sender)
        if self._count + len(keys) > self._most and now_us >= self._swept_us + _SWEEP_US:
            self.sweep(now_us)
        mine = self._keys.setdefault(shard, {}).setdefault(sender, {})
        for key in keys:
            name = key.destination, key.message_class, key.key
            until_us = now_us + key.left_us
            if name not in mine:
                if self._count >= self._most or key.destination < 0:
                    self._whole[shard] = max(self._whole.get(shard, 0), until_us)
                    continue
                self._count += 1
            mine[name] = max(mine.get(name, 0), until_us)
        if not mine:
            self._forget(shard, sender)

    def over(self, shard: int, sender: str, names: Iterable[KeyName]) -> None:
        """The sender owes these no more."""
        mine = self._keys.get(shard, {}).get(sender)
        if mine is None:
            return
        for name in names:
            if mine.pop(name, None) is not None:
                self._count -= 1
        if not mine:
            self._forget(shard, sender)

    def until_us(self, destination: int, message_class: str, key: str) -> int:
        """The moment until which a former home may owe it; 0 or past: none does."""
        if not self._keys and not self._whole:
            return 0
        shard = shard_of(destination, self._shards)
        latest = self._whole.get(shard, 0)
        for mine in self._keys.get(shard, {}).values():
            latest = max(latest, mine.get((destination, message_class, key), 0), mine.get((destination, "", ""), 0))
        return latest

    def of(self, now_us: int, shard: int) -> list[OwedKey]:
        """All that rests in the shard, as a next home is to be told."""
        latest: dict[KeyName, int] = {}
        for mine in self._keys.get(shard, {}).values():
            for name, until_us in mine.items():
                latest[name] = max(latest.get(name, 0), until_us)
        if (until_us := self._whole.get(shard, 0)) > now_us:
            latest[ALL] = until_us
        return [OwedKey(*name, until_us - now_us) for name, until_us in latest.items() if until_us > now_us]

    def sweep(self, now_us: int) -> None:
        """Forget all that has ended; by itself at most once a second, when there is no room."""
        self._swept_us = now_us
        for shard, senders in list(self._keys.items()):
            for sender, mine in list(senders.items()):
                ended = [name for name, until_us in mine.items() if until_us <= now_us]
                if len(ended) == len(mine):
                    self._forget(shard, sender)
                else:
                    self.over(shard, sender, ended)
        self._whole = {shard: until_us for shard, until_us in self._whole.items() if until_us > now_us}

    def _forget(self, shard: int, sender: str) -> None:
        senders = self._keys.get(shard, {})
        self._count -= len(senders.pop(sender, {}))
        if not senders:
            self._keys.pop(shard, None)
