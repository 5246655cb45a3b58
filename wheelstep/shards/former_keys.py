"""Ordered keys that former homes may still owe, as reported by them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wheelstep.shards.learned_state import WHOLE_SHARD, KeyName
from wheelstep.shards.types import OwedKey, shard_of

_SWEEP_INTERVAL_US = 1_000_000


class FormerHomeKeys:
    """Keys by shard and by the courier that owes them, until their time ends or they are released. At most `max_keys`
    keys; beyond that a key makes all keys of its shard count as owed until its time (one time a shard)."""

    def __init__(self, shards: int, max_keys: int) -> None:
        self._shards = shards
        self._max_keys = max_keys
        self._count = 0
        self._keys: dict[int, dict[str, dict[KeyName, int]]] = {}  # by shard and sender: end of each key's time
        self._whole_shards: dict[int, int] = {}  # shard -> time until which all its keys count as owed
        self._last_sweep_us = 0

    def __len__(self) -> int:
        return self._count

    def add_keys(self, now_us: int, shard: int, sender: str, keys: Sequence[OwedKey], replace: bool) -> None:
        """The sender owes these keys. `replace`: and no others of the shard."""
        if replace:
            self._forget(shard, sender)
        if self._count + len(keys) > self._max_keys and now_us >= self._last_sweep_us + _SWEEP_INTERVAL_US:
            self.sweep(now_us)
        owed = self._keys.setdefault(shard, {}).setdefault(sender, {})
        for key in keys:
            name = key.destination, key.message_class, key.key
            until_us = now_us + key.left_us
            if name not in owed:
                if self._count >= self._max_keys or key.destination < 0:
                    self._whole_shards[shard] = max(self._whole_shards.get(shard, 0), until_us)
                    continue
                self._count += 1
            owed[name] = max(owed.get(name, 0), until_us)
        if not owed:
            self._forget(shard, sender)

    def release(self, shard: int, sender: str, names: Iterable[KeyName]) -> None:
        """The sender no longer owes these keys."""
        owed = self._keys.get(shard, {}).get(sender)
        if owed is None:
            return
        for name in names:
            if owed.pop(name, None) is not None:
                self._count -= 1
        if not owed:
            self._forget(shard, sender)

    def until_us(self, destination: int, message_class: str, key: str) -> int:
        """Until when a former home may owe the key; 0 or a past time if none does."""
        if not self._keys and not self._whole_shards:
            return 0
        shard = shard_of(destination, self._shards)
        latest = self._whole_shards.get(shard, 0)
        for owed in self._keys.get(shard, {}).values():
            latest = max(latest, owed.get((destination, message_class, key), 0), owed.get((destination, "", ""), 0))
        return latest

    def of(self, now_us: int, shard: int) -> list[OwedKey]:
        """All keys still owed in the shard, as reported to the next home."""
        latest: dict[KeyName, int] = {}
        for owed in self._keys.get(shard, {}).values():
            for name, until_us in owed.items():
                latest[name] = max(latest.get(name, 0), until_us)
        if (until_us := self._whole_shards.get(shard, 0)) > now_us:
            latest[WHOLE_SHARD] = until_us
        return [OwedKey(*name, until_us - now_us) for name, until_us in latest.items() if until_us > now_us]

    def sweep(self, now_us: int) -> None:
        """Removes keys whose time has ended; called internally at most once a second, when there is no room."""
        self._last_sweep_us = now_us
        for shard, senders in list(self._keys.items()):
            for sender, owed in list(senders.items()):
                ended = [name for name, until_us in owed.items() if until_us <= now_us]
                if len(ended) == len(owed):
                    self._forget(shard, sender)
                else:
                    self.release(shard, sender, ended)
        self._whole_shards = {shard: until_us for shard, until_us in self._whole_shards.items() if until_us > now_us}

    def _forget(self, shard: int, sender: str) -> None:
        senders = self._keys.get(shard, {})
        self._count -= len(senders.pop(sender, {}))
        if not senders:
            self._keys.pop(shard, None)
