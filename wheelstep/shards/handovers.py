"""What a home has sent about one shard: to the courier that it was handed over to, and in pushes to the next courier.
No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from wheelstep.shards.learned_state import WHOLE_SHARD, KeyName, aged_healths, differs, frame_keys, remaining_waits
from wheelstep.shards.types import EndpointHealth, KeysReleased, LearnedState, OwedKey

_SLACK_US = 1_000_000  # changes of a wait or a key's time below this are not sent


def key_name(key: OwedKey) -> KeyName:
    """The destination, class and key that identify an ordered key."""
    return key.destination, key.message_class, key.key


def _expiries(now_us: int, keys: Iterable[OwedKey]) -> dict[KeyName, int]:
    expiries: dict[KeyName, int] = {}
    for key in keys:
        expiries[key_name(key)] = max(expiries.get(key_name(key), 0), now_us + key.left_us)
    return expiries


class Handover:
    """A shard handed over to `to`, until nothing of it is owed here. `own_keys`: keys owed here; `inherited`: keys owed
    by former homes, which report to this courier when they end."""

    def __init__(self, now_us: int, shard: int, to: str, healths: Sequence[EndpointHealth],
                 waits: Sequence[tuple[str, int]], own_keys: Iterable[OwedKey], inherited: Iterable[OwedKey]) -> None:
        self.to = to
        self.number = 0
        self.tries = 0
        self.acknowledged = False  # or given up
        self.dropped = False
        self.own_keys = _expiries(now_us, own_keys)
        self._shard = shard
        self._at_us = now_us
        self._healths = tuple(healths)
        self._waits = tuple(waits)
        self._inherited_keys = _expiries(now_us, inherited)
        self._announced: set[KeyName] = set()

    def frame(self, now_us: int) -> LearnedState:
        """The complete handover, with its present age."""
        elapsed_us = now_us - self._at_us
        keys = frame_keys([OwedKey(*name, until_us - now_us) for name, until_us in self._all_keys().items()])
        self._announced = {key_name(key) for key in keys}
        healths, waits = aged_healths(self._healths, elapsed_us), remaining_waits(self._waits, elapsed_us)
        return LearnedState(self._shard, self.number, True, healths, waits, keys)

    def add_owed_keys(self, now_us: int, keys: Iterable[OwedKey]) -> bool:
        """Adds keys now owed here. True if the other courier must be told."""
        must_tell = False
        for name, until_us in _expiries(now_us, keys).items():
            if until_us > self.own_keys.get(name, 0) + _SLACK_US:
                self.own_keys[name], must_tell = until_us + _SLACK_US, True  # rounded up: fewer frames
        return must_tell

    def release(self, names: Iterable[KeyName]) -> KeysReleased | None:
        """This courier owes nothing of these keys any more. None if nothing is to be sent."""
        gone = {name for name in names if self.own_keys.pop(name, None) is not None}
        return self._release_frame(gone)

    def release_inherited(self, names: Iterable[KeyName]) -> KeysReleased | None:
        """The former homes owe nothing of these keys any more. None if nothing is to be sent."""
        gone = {name for name in names if name != WHOLE_SHARD and self._inherited_keys.pop(name, None) is not None}
        return self._release_frame(gone)

    def _all_keys(self) -> dict[KeyName, int]:
        keys = dict(self._inherited_keys)
        for name, until_us in self.own_keys.items():
            keys[name] = max(keys.get(name, 0), until_us)
        return keys

    def _release_frame(self, gone: set[KeyName]) -> KeysReleased | None:
        """The announced keys among `gone` that no courier owes any more; a destination announced as a whole is included
        once it has no keys left."""
        if not gone:
            return None
        keys = self._all_keys()
        owing = {name[0] for name in keys}
        announced = {name for name in gone if name in self._announced and name not in keys}
        announced |= {(name[0], "", "") for name in gone if name[0] not in owing} & self._announced
        self._announced -= announced
        return KeysReleased(self._shard, tuple(sorted(announced))) if announced else None


@dataclass(slots=True)
class PushState:
    """What was last pushed about a shard to the next courier, and whether that was acknowledged."""

    to: str
    number: int = 0
    acknowledged: bool = True
    healths: dict[str, tuple[float | bool, ...]] = field(default_factory=dict)
    waits: dict[str, int] = field(default_factory=dict)  # end of each wait
    keys: dict[KeyName, int] = field(default_factory=dict)  # until when each may be owed

    def changes(self, now_us: int, shard: int, number: int, healths: Sequence[EndpointHealth],
                waits: Sequence[tuple[str, int]], keys: Sequence[OwedKey]
                ) -> tuple[LearnedState | None, KeysReleased | None]:
        """The state that the next courier lacks, and the keys it has that are no longer owed; None for either if there
        is none."""
        owing = {key.destination for key in keys}
        names = {key_name(key) for key in keys}
        released = [name for name in self.keys
                    if name not in names and not (name[1:] == ("", "") and name[0] in owing)]
        for name in released:
            del self.keys[name]
        new = aged_healths((health for health in healths
                            if differs(health.fields, self.healths.get(health.endpoint, ()))), 0)
        later = tuple((endpoint, left_us) for endpoint, left_us in remaining_waits(waits, 0)
                      if abs(now_us + left_us - self.waits.get(endpoint, 0)) > _SLACK_US)
        owed = frame_keys([key for key in keys if now_us + key.left_us > self.keys.get(key_name(key), 0) + _SLACK_US])
        listed = {health.endpoint for health in healths}
        self.healths = {endpoint: fields for endpoint, fields in self.healths.items() if endpoint in listed}
        self.healths.update((health.endpoint, health.fields) for health in new)
        self.waits = {endpoint: until_us for endpoint, until_us in self.waits.items() if until_us > now_us}
        self.waits.update((endpoint, now_us + left_us) for endpoint, left_us in later)
        self.keys.update(_expiries(now_us, owed))
        frame = None
        if new or later or owed:
            self.number, self.acknowledged = number, False
            frame = LearnedState(shard, number, False, new, later, owed)
        return frame, KeysReleased(shard, tuple(sorted(released))) if released else None
