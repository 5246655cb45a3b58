"""Helpers for tests of learned state and handovers between couriers."""

from __future__ import annotations

import dataclasses
from typing import Any

from wheelstep.interface import Health
from wheelstep.shards.handoff import Handoff, HandoffAction, SendTo
from wheelstep.shards.types import EndpointHealth, LearnedState, OwedKey, shard_of

S, SHARDS = 1_000_000, 4
FIELDS = dataclasses.astuple(Health(True, False, 10.0, 5.0, 0, 2.0, 900, 90, 8.0, 100))
DESTINATIONS = [number for number in range(2_000) if shard_of(number, SHARDS) == 0]
HERE = DESTINATIONS[0]


def health(name: str = "e", ago_us: int = 0, **changes: Any) -> EndpointHealth:
    """The health of an endpoint, with changes."""
    return EndpointHealth(name, ago_us, dataclasses.astuple(dataclasses.replace(Health(*FIELDS), **changes)))


def owed(key: str = "k", left_us: int = 60 * S, destination: int = HERE) -> OwedKey:
    """An owed key."""
    return OwedKey(destination, "x", key, left_us)


def handoff(me: str = "b", **settings: Any) -> Handoff:
    """The handoff of courier `me`."""
    return Handoff(me, **{"shards": SHARDS, **settings})


def learned(number: int = 1, handover: bool = True, **rows: Any) -> LearnedState:
    """A frame of learned state for shard 0."""
    return LearnedState(0, number, handover, **rows)


def sent(acts: list[HandoffAction], kind: type) -> list[Any]:
    """The frames of one type that are to be sent."""
    return [act.frame for act in acts if isinstance(act, SendTo) and isinstance(act.frame, kind)]


def rests(where: Handoff, now_us: int, key: str = "k", destination: int = HERE) -> int:
    """How long the key counts as owed by a former home."""
    return where.owed_elsewhere_us(now_us, destination, "x", key)
