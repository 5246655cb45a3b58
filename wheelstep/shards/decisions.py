"""The router's input (a message, and what this courier knows of its shard) and its decisions. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheelstep.shards.hosting import ShardPhase


@dataclass(frozen=True, slots=True)
class Request:
    """A message that a client hands in. `key` is set in ordered classes only; `until_us` is its deadline on this
    courier's clock."""

    id: str
    destination: int
    shard: int
    message_class: str
    key: str | None
    until_us: int


@dataclass(frozen=True, slots=True)
class View:
    """What this courier knows of the message's shard and key. `owed_elsewhere_us`: how long a former home may still owe
    the key; `has_rows`: the rows of a shard served as guest have arrived."""

    phase: ShardPhase | None
    home: str | None
    owes_key: bool
    owed_elsewhere_us: int
    guest_room: bool
    has_rows: bool = False


@dataclass(frozen=True, slots=True)
class Take:
    """Take the message at this courier, now."""

    guest: bool


@dataclass(frozen=True, slots=True)
class Wait:
    """This courier is home, but the shard is still opening: wait, then call `decide` again."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Pass the message on to that courier and report the result to `answered` in every case."""

    courier: str


@dataclass(frozen=True, slots=True)
class BeGuest:
    """Become guest of the message's shard and call `decide` again once its rows have arrived."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Answer 503: no courier has taken the message."""

    after_us: int
    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Close the client's connection without an answer: whether the message was taken is unknown."""

    reason: str


Decision = Take | Wait | Ask | BeGuest | Retry | NoAnswer


class Answer(Enum):
    """The result of asking a courier to take a message."""

    TAKEN = "taken"
    KNOWN = "known"
    FULL = "full"
    BAD = "bad"
    AWAY = "away"  # not home there; neither holds the message nor owes any of its ordered key
    NOT_ASKED = "not asked"  # nothing was sent
    SILENT = "silent"  # sent, but not answered in time
