"""Handovers between couriers, for the tests of learned state."""

from __future__ import annotations

import dataclasses
from typing import Any

from wheelstep.interface import Health
from wheelstep.shards.handoff import HandAct, Handoff, SendTo
from wheelstep.shards.types import EndpointHealth, Learned, OwedKey, shard_of

S, SHARDS = 1_000_000, 4
FIELDS = dataclasses.astuple(Health(True, False, 10.0, 5.0, 0, 2.0, 900, 90, 8.0, 100))
DESTINATIONS = [number for number in range(2_000) if shard_of(number, SHARDS) == 0]
HERE = DESTINATIONS[0]


def health(name: str = "e", ago_us: int = 0, **changes: Any) -> EndpointHealth:
    return EndpointHealth(name, ago_us, dataclasses.astuple(dataclasses.replace(Health(*FIELDS), **changes)))


def owed(key: str = "k", left_us: int = 60 * S, destination: int = HERE) -> OwedKey:
    return OwedKey(destination, "x", key, left_us)


def handoff(me: str = "b", **settings: Any) -> Handoff:
    return Handoff(me, **{"shards": SHARDS, **settings})


def learned(number: int = 1, handover: bool = True, **rows: Any) -> Learned:
    return Learned(0, number, handover, **rows)


def sent(acts: list[HandAct], kind: type) -> list[Any]:
    return [act.frame for act in acts if isinstance(act, SendTo) and isinstance(act.frame, kind)]


def rests(where: Handoff, now_us: int, key: str = "k", destination: int = HERE) -> int:
    return where.rests_us(now_us, destination, "x", key)
