"""What the router is told of a message and what it answers. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheelstep.shards.hosting import Life


@dataclass(frozen=True, slots=True)
class Handed:
    """A message that a client hands in. `key` in ordered classes only; `until_us`: its deadline by this clock."""

    id: str
    destination: int
    shard: int
    message_class: str
    key: str | None
    until_us: int


@dataclass(frozen=True, slots=True)
class Sight:
    """What this courier knows of the message's shard and key. `rests_us`: how long a former home may still owe the key;
    `has_rows`: a guest shard's rows are there."""

    life: Life | None
    home: str | None
    owes_key: bool
    rests_us: int
    guest_room: bool
    has_rows: bool = False


@dataclass(frozen=True, slots=True)
class Here:
    """Take it at this courier, now."""

    guest: bool


@dataclass(frozen=True, slots=True)
class WaitOpen:
    """Home, and not open yet: wait, then ask `way` again."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask that courier, then tell `answered`, whatever becomes of it."""

    courier: str


@dataclass(frozen=True, slots=True)
class AsGuest:
    """Become guest of its shard; once the rows are there, ask `way` again."""


@dataclass(frozen=True, slots=True)
class ComeAgain:
    """503: nothing of it was taken anywhere."""

    after_us: int
    why: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """End the client's connection: it may have been taken, and it may not."""

    why: str


Way = Here | WaitOpen | Ask | AsGuest | ComeAgain | NoAnswer


class Answer(Enum):
    """What became of an ask."""

    TAKEN = "taken"
    KNOWN = "known"
    FULL = "full"
    BAD = "bad"
    AWAY = "away"  # not home there; holds nothing of it, and owes nothing of its ordered key
    NOT_ASKED = "not asked"  # nothing was sent
    SILENT = "silent"  # sent, and no answer in time
