"""What couriers and control machines of a sharded fleet tell each other, beside membership. No I/O; imports msgspec.

Spans travel, moments do not; spans are whole microseconds.
"""

from __future__ import annotations

from typing import Any

import msgspec

from wheelstep.dividing import part_of

shard_of = part_of  # (destination, shards)


def region_of(zone: str) -> str:
    """The region of a zone written `region/zone`; a zone without a slash is its own region."""
    return zone.partition("/")[0]


# --- the list by shard ---

class ListRow(msgspec.Struct, frozen=True, array_like=True):
    """One line of discovery's list, with its own names: see `courier.config.Names.entry`."""

    host: str
    dial: str
    site: str
    kind: str
    block: int  # the destination
    health: str  # SERVING, DRAINING, or DELETED among changes
    share: float = 1.0


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """To a control machine: tell me of these shards from now on. `seq`: the highest version that this courier has had
    of any control machine; each shard with the digest of the rows that it has (0: none)."""

    seq: int
    shards: tuple[tuple[int, int], ...]


class Unfollow(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """No more of these."""

    shards: tuple[int, ...]


class ShardRows(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """From a control machine: the shard's rows (`whole`), or those that changed; `digest` of all its rows then."""

    seq: int
    shard: int
    digest: int
    whole: bool
    rows: tuple[ListRow, ...] = ()


class Current(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """From a control machine: all that is followed here has been told up to this version."""

    seq: int


class Behind(msgspec.Struct, frozen=True, array_like=True, tag=54):
    """From a control machine: this is the newest version here, and the courier has had a newer one."""

    seq: int


# --- learned state ---

class EndpointHealth(msgspec.Struct, frozen=True, array_like=True):
    """The fields of `interface.Health` in their order, and how long ago they were noted."""

    endpoint: str
    ago_us: int
    fields: tuple[float | bool, ...]


class OwedKey(msgspec.Struct, frozen=True, array_like=True):
    """An ordered key of which the sender still owes messages, until then at the latest."""

    destination: int
    message_class: str
    key: str
    left_us: int


class Learned(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """What a home, or who held it for one, has learned of a shard. `number` rises with each of the sender's;
    `handover`: the sender is home no more and takes nothing new for the shard."""

    shard: int
    number: int
    handover: bool
    healths: tuple[EndpointHealth, ...] = ()
    waits: tuple[tuple[str, int], ...] = ()  # endpoint, left_us
    keys: tuple[OwedKey, ...] = ()


class LearnedHeard(msgspec.Struct, frozen=True, array_like=True, tag=61):
    """To a `Learned`: it is kept here."""

    shard: int
    number: int


class KeysOver(msgspec.Struct, frozen=True, array_like=True, tag=62):
    """The sender owes nothing of these keys any more: (destination, class, key)."""

    shard: int
    keys: tuple[tuple[int, str, str], ...]


# --- forwarding ---

class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """A frame of `wheelstep.forwarding`, either way."""

    head: dict[str, Any]
    body: bytes = b""


Frame = (Follow | Unfollow | ShardRows | Current | Behind | Learned | LearnedHeard | KeysOver | Forwarded)


class Batch(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """What one turn of the loop had to say to one peer, under one seal."""

    frames: tuple[Frame, ...]
