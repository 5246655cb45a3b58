"""Learned state as it travels: is it sound, what of it has changed, and what it is after a while. No I/O."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from wheelstep.interface import Health
from wheelstep.shards.types import EndpointHealth, KeysOver, Learned, OwedKey, shard_of

MOST_KEYS = 4_096  # of one shard in one frame
MOST_US = 30 * 86_400_000_000  # no age, wait or deadline is longer
_MOST_ROWS = 65_536
_MOST_TEXT = 512
_FLAGS = sum(field.type == "bool" for field in dataclasses.fields(Health))
_FIELDS = len(dataclasses.fields(Health))

Waits = Iterable[tuple[str, int]]  # endpoint, left_us
KeyName = tuple[int, str, str]  # destination, class, key; class and key empty: all of the destination's
ALL: KeyName = (-1, "", "")  # all of the shard's


def wrong_learned(frame: Learned, shards: int) -> str:
    """Why nothing of it may be taken over; empty if it is sound."""
    if not 0 <= frame.shard < shards:
        return "shard out of range"
    if not 0 < frame.number < 1 << 63:
        return "number out of range"
    if max(len(frame.healths), len(frame.waits), len(frame.keys)) > _MOST_ROWS:
        return "too many rows"
    for health in frame.healths:
        if wrong := wrong_health(health):
            return wrong
    if not all(_is_text(endpoint) and 0 < left_us <= MOST_US for endpoint, left_us in frame.waits):
        return "wait makes no sense"
    if not all(0 < key.left_us <= MOST_US for key in frame.keys):
        return "key's time makes no sense"
    return _wrong_keys(frame.shard, ((key.destination, key.message_class, key.key) for key in frame.keys), shards)


def wrong_over(frame: KeysOver, shards: int) -> str:
    """Why nothing of it may be taken over; empty if it is sound."""
    if not 0 <= frame.shard < shards:
        return "shard out of range"
    return "too many rows" if len(frame.keys) > _MOST_ROWS else _wrong_keys(frame.shard, frame.keys, shards)


def _is_text(text: str) -> bool:
    return 0 < len(text) <= _MOST_TEXT


def wrong_health(health: EndpointHealth) -> str:
    """Why it may not be taken over, nor sent; empty if it is sound."""
    if not _is_text(health.endpoint):
        return "endpoint makes no sense"
    if not 0 <= health.ago_us <= MOST_US:
        return "age makes no sense"
    if len(health.fields) != _FIELDS:
        return "wrong number of health fields"
    if not all(isinstance(value, bool) for value in health.fields[:_FLAGS]):
        return "health flag is none"
    for value in health.fields[_FLAGS:]:
        if isinstance(value, bool) or not math.isfinite(value) or not 0 <= value < 1 << 62:
            return "health field makes no sense"
    return ""


def _wrong_keys(shard: int, names: Iterable[KeyName], shards: int) -> str:
    of_shard: set[int] = set()
    for destination, message_class, key in names:
        if max(len(message_class), len(key)) > _MOST_TEXT:
            return "key makes no sense"
        if destination not in of_shard and (destination, message_class, key) != ALL:
            if shard_of(destination, shards) != shard:
                return "key of another shard"
            of_shard.add(destination)
    return ""


def differs(new: tuple[float | bool, ...], told: tuple[float | bool, ...]) -> bool:
    """Is it worth telling? A flag that changed is; a number that has moved by more than an eighth of the larger one is,
    from or to zero always. Compared with what was told last, so what drifts slowly is told in time."""
    if len(new) != len(told):
        return True
    for now, then in zip(new, told, strict=True):
        if isinstance(now, bool) or isinstance(then, bool):
            if now is not then:
                return True
        elif abs(now - then) * 8 > max(abs(now), abs(then)):
            return True
    return False


def older(healths: Iterable[EndpointHealth], by_us: int) -> tuple[EndpointHealth, ...]:
    """The same after that time; those that nobody would take over are left out."""
    aged = (EndpointHealth(health.endpoint, min(MOST_US, health.ago_us + by_us), health.fields) for health in healths)
    return tuple(health for health in aged if not wrong_health(health))


def waits_after(waits: Waits, by_us: int) -> tuple[tuple[str, int], ...]:
    """Those that have not ended after that time."""
    return tuple((endpoint, min(MOST_US, left_us - by_us)) for endpoint, left_us in waits if left_us > by_us)


def _short(key: OwedKey) -> tuple[str, str]:
    long = max(len(key.message_class), len(key.key)) > _MOST_TEXT
    return ("", "") if long else (key.message_class, key.key)


def keys_told(keys: Iterable[OwedKey], most: int = MOST_KEYS) -> tuple[OwedKey, ...]:
    """As many as one frame may have. Beyond `most`, the destinations with most keys are told as a whole (class and key
    empty, the longest of their times): every key of them counts as owed. So is one with a key that is too long."""
    found = tuple(OwedKey(key.destination, *_short(key), min(MOST_US, key.left_us)) for key in keys if key.left_us > 0)
    if len(found) <= most:
        return found
    by_destination: dict[int, list[OwedKey]] = {}
    for key in found:
        by_destination.setdefault(key.destination, []).append(key)
    told: list[OwedKey] = []
    left = len(found)
    for destination, its in sorted(by_destination.items(), key=lambda item: -len(item[1])):
        if left > most:
            told.append(OwedKey(destination, "", "", max(key.left_us for key in its)))
            left -= len(its) - 1
        else:
            told += its
    return tuple(told)
