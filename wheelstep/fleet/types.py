"""What couriers of a fleet tell each other, and the actions that their decisions ask for. No I/O; imports msgspec and
the types of moves alone.

All times are whole microseconds of the process's own clock that never steps (`now_us`); spans travel, moments do not.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from wheelstep.moves.types import Cancel, Chunk, Given, Late, Moved, Offer, Seal

VERSION = 1  # of everything that travels; a newer one is refused by an older courier


class State(IntEnum):
    """Of a member, as others see it. At one incarnation a higher one overrules a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2  # gives its parts away, takes none
    GONE = 3  # left, or was found dead


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A courier of the fleet. Only itself raises its incarnation; `address` is where peers reach it (UDP and TCP),
    `serves` where its clients do. `weight` is its part of the work beside others'; `zone` is free text."""

    name: str
    incarnation: int
    state: State
    address: str
    serves: str
    weight: float = 1.0
    zone: str = ""
    version: int = VERSION


# --- membership: datagrams (`Ping` to `Hello`), each with news of members ---

class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there?"""

    seq: int
    news: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Yes; or `target`, which I was asked to check, is."""

    seq: int
    news: tuple[Member, ...] = ()


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Please check `target` for me."""

    seq: int
    target: str
    news: tuple[Member, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """It has not answered me either, but I heard you: the asker is not cut off."""

    seq: int
    news: tuple[Member, ...] = ()


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """I am here; tell me who else is. `news` holds the sender first."""

    news: tuple[Member, ...] = ()


class Roll(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answer to `Hello`: some of the members, `left` more follow in further rolls."""

    left: int
    news: tuple[Member, ...] = ()


Packet = Ping | Ack | PingReq | Nack | Hello | Roll


# --- ownership: a register for each part at the voters (CASPaxos), and leases on them ---

class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders proposals; no two couriers have the same."""

    number: int
    courier: str


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """A register's value: since `epoch`, `owner` has the part. Epochs of a part only rise."""

    epoch: int
    owner: str


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Promise to heed no lower ballot, and say what was accepted."""

    part: int
    ballot: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Accept this, and grant the lease to its owner from now on. The same ballot and holding again renews it."""

    part: int
    ballot: Ballot
    holding: Holding


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """To a `Prepare`: what was accepted before, if anything."""

    part: int
    ballot: Ballot
    accepted: Ballot | None = None
    holding: Holding | None = None


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """To an `Accept`."""

    part: int
    ballot: Ballot


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """To either. `promised` is the voter's highest ballot, `left_us` how long another's lease still runs by its clock,
    `holding` what it has accepted. `why`: "ballot", "lease", "blank" (the voter must first learn where it stood) or
    "behind" (it has forgotten what it told this asker)."""

    part: int
    why: str
    promised: Ballot | None = None
    left_us: int = 0
    holding: Holding | None = None


class Votes(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A batch for one voter. `seen` is the highest place in that voter's log that the asker has heard of."""

    asks: tuple[Prepare | Accept, ...]
    seen: int = 0


class Voted(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The voter's answers in the order of the asks, and its place: it has written so many records in all."""

    answers: tuple[Promise | Accepted | Refused, ...]
    place: int = 0


class Stand(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """A voter that has forgotten asks another where the registers stand."""


class Stood(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The answer: `blank` if this voter has nothing either; else by part what it promised and accepted."""

    blank: bool
    rows: tuple[tuple[int, Ballot, Ballot | None, Holding | None], ...] = ()
    seen: int = 0  # the highest place of the asker's log that this voter has heard of


Ask = Votes | Stand | Offer | Chunk | Seal | Cancel | Given | Late
Answer = Voted | Stood | Moved


# --- what the decisions ask for ---

class SendPacket(msgspec.Struct, frozen=True):
    """A datagram to an address; it may be lost."""

    address: str
    packet: Packet


class Call(msgspec.Struct, frozen=True):
    """Ask a member over its stream; its `Answer`, or None after `timeout_us`, comes back under this token."""

    token: int
    member: str
    ask: Ask
    timeout_us: int


class Reply(msgspec.Struct, frozen=True):
    """Answer what was asked under this token."""

    token: int
    answer: Answer


class Save(msgspec.Struct, frozen=True):
    """Append to the fleet's log and sync; then say so under this token. What is said by other actions of the same list
    does not wait for it; what has to wait is asked for once it is saved."""

    token: int
    records: tuple[bytes, ...]


class Note(msgspec.Struct, frozen=True):
    """A line for the operators' log."""

    text: str


Action = SendPacket | Call | Reply | Save | Note
