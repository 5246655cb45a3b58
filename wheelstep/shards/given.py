"""What a home has told others of one shard: the one that it was handed to, and the next one. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from wheelstep.shards.learned import ALL, KeyName, differs, keys_told, older, waits_after
from wheelstep.shards.types import EndpointHealth, KeysOver, Learned, OwedKey

_SLACK_US = 1_000_000  # a wait or a key's time that has moved by less is not told anew


def name_of(key: OwedKey) -> KeyName:
    """What names it."""
    return key.destination, key.message_class, key.key


def _until(now_us: int, keys: Iterable[OwedKey]) -> dict[KeyName, int]:
    until: dict[KeyName, int] = {}
    for key in keys:
        until[name_of(key)] = max(until.get(name_of(key), 0), now_us + key.left_us)
    return until


class Given:
    """A shard handed over to `to`, until nothing of it is owed here. `own`: owed here; `rested`: owed by homes before,
    which tell here when they end."""

    def __init__(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
                 waits: Sequence[tuple[str, int]], own: Iterable[OwedKey], rested: Iterable[OwedKey]) -> None:
        self.to = to
        self.number = 0
        self.tries = 0
        self.heard = False  # or given up
        self.dropped = False
        self.own = _until(now_us, own)
        self._shard = shard
        self._at_us = now_us
        self._healths = tuple(healths)
        self._waits = tuple(waits)
        self._rested = _until(now_us, rested)
        self._told: set[KeyName] = set()

    def frame(self, now_us: int) -> Learned:
        """All of it, as old as it is now."""
        by_us = now_us - self._at_us
        keys = keys_told([OwedKey(*name, until_us - now_us) for name, until_us in self._held().items()])
        self._told = {name_of(key) for key in keys}
        healths, waits = older(self._healths, by_us), waits_after(self._waits, by_us)
        return Learned(self._shard, self.number, True, healths, waits, keys)

    def owes_more(self, now_us: int, keys: Iterable[OwedKey]) -> bool:
        """These are owed here now. Is that news for the other?"""
        news = False
        for name, until_us in _until(now_us, keys).items():
            if until_us > self.own.get(name, 0) + _SLACK_US:
                self.own[name], news = until_us + _SLACK_US, True  # beyond it, so that not each message is news
        return news

    def over(self, names: Iterable[KeyName]) -> KeysOver | None:
        """Nothing of these is owed here."""
        gone = {name for name in names if self.own.pop(name, None) is not None}
        return self._over(gone)

    def rested_over(self, names: Iterable[KeyName]) -> KeysOver | None:
        """The homes before owe nothing of these."""
        gone = {name for name in names if name != ALL and self._rested.pop(name, None) is not None}
        return self._over(gone)

    def _held(self) -> dict[KeyName, int]:
        held = dict(self._rested)
        for name, until_us in self.own.items():
            held[name] = max(held.get(name, 0), until_us)
        return held

    def _over(self, gone: set[KeyName]) -> KeysOver | None:
        """Those that it was told of and that nobody owes; a destination told as a whole once it has none left."""
        if not gone:
            return None
        held = self._held()
        owing = {name[0] for name in held}
        said = {name for name in gone if name in self._told and name not in held}
        said |= {(name[0], "", "") for name in gone if name[0] not in owing} & self._told
        self._told -= said
        return KeysOver(self._shard, tuple(sorted(said))) if said else None


@dataclass(slots=True)
class Told:
    """What the next one was told last of a shard, and whether it has it."""

    to: str
    number: int = 0
    heard: bool = True
    healths: dict[str, tuple[float | bool, ...]] = field(default_factory=dict)
    waits: dict[str, int] = field(default_factory=dict)  # until then
    keys: dict[KeyName, int] = field(default_factory=dict)  # until then

    def news(self, now_us: int, shard: int, number: int, healths: Sequence[EndpointHealth],
             waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]) -> tuple[Learned | None, KeysOver | None]:
        """What of these it does not have, and the keys that it has and that are owed no more."""
        owing = {key.destination for key in keys}
        names = {name_of(key) for key in keys}
        over = [name for name in self.keys
                if name not in names and not (name[1:] == ("", "") and name[0] in owing)]
        for name in over:
            del self.keys[name]
        new = older((health for health in healths
                     if differs(health.fields, self.healths.get(health.endpoint, ()))), 0)
        later = tuple((endpoint, left_us) for endpoint, left_us in waits_after(waits, 0)
                      if abs(now_us + left_us - self.waits.get(endpoint, 0)) > _SLACK_US)
        owed = keys_told([key for key in keys if now_us + key.left_us > self.keys.get(name_of(key), 0) + _SLACK_US])
        listed = {health.endpoint for health in healths}
        self.healths = {endpoint: fields for endpoint, fields in self.healths.items() if endpoint in listed}
        self.healths.update((health.endpoint, health.fields) for health in new)
        self.waits = {endpoint: until_us for endpoint, until_us in self.waits.items() if until_us > now_us}
        self.waits.update((endpoint, now_us + left_us) for endpoint, left_us in later)
        self.keys.update(_until(now_us, owed))
        frame = None
        if new or later or owed:
            self.number, self.heard = number, False
            frame = Learned(shard, number, False, new, later, owed)
        return frame, KeysOver(shard, tuple(sorted(over))) if over else None
