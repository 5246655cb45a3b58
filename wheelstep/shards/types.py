"""Frames that the couriers and control machines of a sharded fleet exchange, besides membership packets. No I/O;
imports msgspec.

Frames carry durations, never points in time, as clocks differ between machines; durations are whole microseconds.
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
    """One entry of discovery's list, with the names used here; `courier.config.Names.parse_row` reads the same."""

    host: str
    dial: str
    site: str
    kind: str
    block: int  # the destination's number
    health: str  # SERVING or DRAINING; DELETED for a row that a change removes
    share: float = 1.0


class Follow(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Sent to a control machine: subscribes to these shards. `seq` is the highest list version that this courier has
    received from any control machine; each shard comes with the digest of the rows held here (0: none)."""

    seq: int
    shards: tuple[tuple[int, int], ...]


class Unfollow(msgspec.Struct, frozen=True, array_like=True, tag=51):
    """Sent to a control machine: ends the subscription to these shards."""

    shards: tuple[int, ...]


class ShardRows(msgspec.Struct, frozen=True, array_like=True, tag=52):
    """Sent by a control machine: all rows of the shard (`whole`) or only those that changed, and the digest of all its
    rows after the change."""

    seq: int
    shard: int
    digest: int
    whole: bool
    rows: tuple[ListRow, ...] = ()


class Current(msgspec.Struct, frozen=True, array_like=True, tag=53):
    """Sent by a control machine: everything subscribed to on this connection has been sent up to this version."""

    seq: int


class Behind(msgspec.Struct, frozen=True, array_like=True, tag=54):
    """Sent by a control machine: its newest version is `seq`, older than one that the courier already has."""

    seq: int


# --- learned state ---

class EndpointHealth(msgspec.Struct, frozen=True, array_like=True):
    """The fields of `interface.Health` in order, and the age of the observation."""

    endpoint: str
    ago_us: int
    fields: tuple[float | bool, ...]


class OwedKey(msgspec.Struct, frozen=True, array_like=True):
    """An ordered key of which the sender still owes messages (accepted, end not yet recorded), for `left_us` at most.
    """

    destination: int
    message_class: str
    key: str
    left_us: int


class LearnedState(msgspec.Struct, frozen=True, array_like=True, tag=60):
    """What a home, or a courier that received it from one, has learned about a shard. `number` increases with every
    such frame of the sender; `handover`: the sender is no longer home and takes no new messages for the shard."""

    shard: int
    number: int
    handover: bool
    healths: tuple[EndpointHealth, ...] = ()
    waits: tuple[tuple[str, int], ...] = ()  # endpoint, left_us
    keys: tuple[OwedKey, ...] = ()


class LearnedStateAck(msgspec.Struct, frozen=True, array_like=True, tag=61):
    """Acknowledges a `LearnedState`: the receiver has stored it."""

    shard: int
    number: int


class KeysReleased(msgspec.Struct, frozen=True, array_like=True, tag=62):
    """The sender no longer owes any message of these keys: (destination, class, key)."""

    shard: int
    keys: tuple[tuple[int, str, str], ...]


# --- forwarding ---

class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag=70):
    """A frame of `wheelstep.forwarding`, in either direction."""

    head: dict[str, Any]
    body: bytes = b""


Frame = (Follow | Unfollow | ShardRows | Current | Behind | LearnedState | LearnedStateAck | KeysReleased | Forwarded)


class Batch(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """The frames that one turn of the event loop has for one peer, sealed together."""

    frames: tuple[Frame, ...]
