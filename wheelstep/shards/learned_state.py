"""Learned state on the wire: validation, comparison with what was sent before, and ageing. No I/O."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from wheelstep.interface import Health
from wheelstep.shards.types import EndpointHealth, KeysReleased, LearnedState, OwedKey, shard_of

MAX_KEYS = 4_096  # per frame, which is for one shard
MAX_US = 30 * 86_400_000_000  # the longest age, wait or deadline that is accepted
_MAX_ROWS = 65_536
_MAX_TEXT = 512
_FLAGS = sum(field.type == "bool" for field in dataclasses.fields(Health))
_FIELDS = len(dataclasses.fields(Health))

Waits = Iterable[tuple[str, int]]  # endpoint, left_us
KeyName = tuple[int, str, str]  # destination, class, key; with class and key empty: all keys of the destination
WHOLE_SHARD: KeyName = (-1, "", "")  # all keys of the shard


def learned_state_error(frame: LearnedState, shards: int) -> str:
    """Why the frame is refused as a whole; empty if it is valid."""
    if not 0 <= frame.shard < shards:
        return "shard out of range"
    if not 0 < frame.number < 1 << 63:
        return "number out of range"
    if max(len(frame.healths), len(frame.waits), len(frame.keys)) > _MAX_ROWS:
        return "too many rows"
    for health in frame.healths:
        if error := health_error(health):
            return error
    if not all(_is_valid_text(endpoint) and 0 < left_us <= MAX_US for endpoint, left_us in frame.waits):
        return "invalid wait"
    if not all(0 < key.left_us <= MAX_US for key in frame.keys):
        return "invalid key lifetime"
    return _keys_error(frame.shard, ((key.destination, key.message_class, key.key) for key in frame.keys), shards)


def keys_released_error(frame: KeysReleased, shards: int) -> str:
    """Why the frame is refused as a whole; empty if it is valid."""
    if not 0 <= frame.shard < shards:
        return "shard out of range"
    return "too many rows" if len(frame.keys) > _MAX_ROWS else _keys_error(frame.shard, frame.keys, shards)


def _is_valid_text(text: str) -> bool:
    return 0 < len(text) <= _MAX_TEXT


def health_error(health: EndpointHealth) -> str:
    """Why it must be neither adopted nor sent; empty if it is valid."""
    if not _is_valid_text(health.endpoint):
        return "invalid endpoint"
    if not 0 <= health.ago_us <= MAX_US:
        return "invalid age"
    if len(health.fields) != _FIELDS:
        return "wrong number of health fields"
    if not all(isinstance(value, bool) for value in health.fields[:_FLAGS]):
        return "health flag is not a bool"
    for value in health.fields[_FLAGS:]:
        if isinstance(value, bool) or not math.isfinite(value) or not 0 <= value < 1 << 62:
            return "invalid health field"
    return ""


def _keys_error(shard: int, names: Iterable[KeyName], shards: int) -> str:
    of_shard: set[int] = set()
    for destination, message_class, key in names:
        if max(len(message_class), len(key)) > _MAX_TEXT:
            return "key too long"
        if destination not in of_shard and (destination, message_class, key) != WHOLE_SHARD:
            if shard_of(destination, shards) != shard:
                return "key of another shard"
            of_shard.add(destination)
    return ""


def differs(new: tuple[float | bool, ...], sent: tuple[float | bool, ...]) -> bool:
    """Tells whether the new values are worth sending: a flag that changed, or a number that changed by more than an
    eighth of the larger value (from or to zero: always). The comparison is with the values sent last, so that slow
    drift is sent eventually."""
    if len(new) != len(sent):
        return True
    for now, then in zip(new, sent, strict=True):
        if isinstance(now, bool) or isinstance(then, bool):
            if now is not then:
                return True
        elif abs(now - then) * 8 > max(abs(now), abs(then)):
            return True
    return False


def aged_healths(healths: Iterable[EndpointHealth], elapsed_us: int) -> tuple[EndpointHealth, ...]:
    """The healths after that time, without those that a receiver would refuse."""
    aged = (EndpointHealth(health.endpoint, min(MAX_US, health.ago_us + elapsed_us), health.fields)
            for health in healths)
    return tuple(health for health in aged if not health_error(health))


def remaining_waits(waits: Waits, elapsed_us: int) -> tuple[tuple[str, int], ...]:
    """The waits that have not ended after that time."""
    return tuple((endpoint, min(MAX_US, left_us - elapsed_us)) for endpoint, left_us in waits if left_us > elapsed_us)


def _shortened(key: OwedKey) -> tuple[str, str]:
    long = max(len(key.message_class), len(key.key)) > _MAX_TEXT
    return ("", "") if long else (key.message_class, key.key)


def frame_keys(keys: Iterable[OwedKey], max_keys: int = MAX_KEYS) -> tuple[OwedKey, ...]:
    """The keys that one frame may hold. Beyond `max_keys`, destinations with the most keys are sent as a whole (class
    and key empty, with the longest of their times), so that every key of theirs counts as owed. So are destinations
    with a key that is too long."""
    found = tuple(OwedKey(key.destination, *_shortened(key), min(MAX_US, key.left_us))
                  for key in keys if key.left_us > 0)
    if len(found) <= max_keys:
        return found
    by_destination: dict[int, list[OwedKey]] = {}
    for key in found:
        by_destination.setdefault(key.destination, []).append(key)
    chosen: list[OwedKey] = []
    count = len(found)
    for destination, keys_of_destination in sorted(by_destination.items(), key=lambda item: -len(item[1])):
        if count > max_keys:
            chosen.append(OwedKey(destination, "", "", max(key.left_us for key in keys_of_destination)))
            count -= len(keys_of_destination) - 1
        else:
            chosen += keys_of_destination
    return tuple(chosen)
