"""Messages between the couriers of a fleet, and the actions that the decision modules request. No I/O; imports only
msgspec and the types of moves.

Times are integer microseconds of the process's monotonic clock (`now_us`). Only durations are sent, never timestamps.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from wheelstep.moves.types import Cancel, Chunk, Given, Late, Moved, Offer, Seal

VERSION = 1  # of the wire format; an older courier refuses a newer one


class State(IntEnum):
    """The state of a member as others see it. At equal incarnation a higher state overrules a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2  # hands over its parts and accepts none
    GONE = 3  # left, or declared dead


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A courier of the fleet. Only the courier itself raises its `incarnation`. Peers reach it at `address` (UDP and
    TCP), clients at `serves`. `weight` is its relative share of the work; `zone` is free text. `version` is its wire
    format; a part moves only to a courier of the same or a newer one."""

    name: str
    incarnation: int
    state: State
    address: str
    serves: str
    weight: float = 1.0
    zone: str = ""
    version: int = VERSION


# --- membership: datagrams (`Ping` to `Roll`), each with updates of members in `news` ---

class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A probe; answered by an `Ack` with the same `seq`."""

    seq: int
    news: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a `Ping`; or to a `PingReq`, if its target has answered."""

    seq: int
    news: tuple[Member, ...] = ()


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request for an indirect probe of `target`."""

    seq: int
    target: str
    news: tuple[Member, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """To a `PingReq`: the target has not answered yet. Shows that the requester itself is connected."""

    seq: int
    news: tuple[Member, ...] = ()


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Request for all members. `news` starts with the sender."""

    news: tuple[Member, ...] = ()


class Roll(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """One packet of the answer to a `Hello`: some of the members. `left` is the number of members in further rolls."""

    left: int
    news: tuple[Member, ...] = ()


Packet = Ping | Ack | PingReq | Nack | Hello | Roll


# --- ownership: a replicated register for each part at the voters (CASPaxos), with leases ---

class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number; unique to a courier and totally ordered."""

    number: int
    courier: str


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """The value of a register: `owner` owns the part in `epoch`. The epochs of a part only increase."""

    epoch: int
    owner: str


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Phase 1 of a round: asks the voter to reject lower ballots and to return what it has accepted."""

    part: int
    ballot: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Phase 2 of a round: asks the voter to accept the holding (the new value of the register) and grant its owner a
    lease. Repeated with the same ballot and holding, it renews the lease."""

    part: int
    ballot: Ballot
    holding: Ownership


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Positive answer to a `Prepare`, with the ballot and holding accepted before; None if there are none."""

    part: int
    ballot: Ballot
    accepted: Ballot | None = None
    holding: Ownership | None = None


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Positive answer to an `Accept`."""

    part: int
    ballot: Ballot


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Negative answer to a `Prepare` or `Accept`. `promised` is the voter's highest ballot, `left_us` the time left of
    another courier's lease by the voter's clock, `holding` what it has accepted. `why` is "ballot", "lease", "blank"
    (the voter has no state: it must recover it, or agree with the others that the fleet is new) or "behind" (its log
    is shorter than this courier has seen)."""

    part: int
    why: str
    promised: Ballot | None = None
    left_us: int = 0
    holding: Ownership | None = None


class Votes(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A batch of requests to one voter. `seen` is the highest log position of the voter known to the sender."""

    asks: tuple[Prepare | Accept, ...]
    seen: int = 0


class Voted(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The answers of the voter in the order of `asks`. `place` is the log position up to which its records are on disk
    when this is sent; 0 if it has no state."""

    answers: tuple[Promise | Accepted | Refused, ...]
    place: int = 0


class Stand(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Request for the registers of a voter: from another voter that has lost its state or has just started, and from
    couriers that need the known owners."""


class Stood(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Answer to `Stand`. `blank` if this courier has no registers: as a voter without state, or as no voter. `rows`
    hold part, promised ballot, accepted ballot and holding; a voter that is not blank and has none has agreed that the
    fleet is new."""

    blank: bool
    rows: tuple[tuple[int, Ballot, Ballot | None, Ownership | None], ...] = ()
    seen: int = 0  # highest log position of the requester known to this voter


Ask = Votes | Stand | Offer | Chunk | Seal | Cancel | Given | Late
Answer = Voted | Stood | Moved


# --- actions ---

class SendPacket(msgspec.Struct, frozen=True):
    """Send a datagram to an address; it may be lost."""

    address: str
    packet: Packet


class Call(msgspec.Struct, frozen=True):
    """Send a request to a member over its stream. Its `Answer`, or None after `timeout_us`, returns with the token."""

    token: int
    member: str
    ask: Ask
    timeout_us: int


class Reply(msgspec.Struct, frozen=True):
    """Answer the request with this token."""

    token: int
    answer: Answer


class Save(msgspec.Struct, frozen=True):
    """Append records to the fleet's log and sync it, then report completion with the token. Other actions of the same
    list do not wait for it; those that must are requested after completion."""

    token: int
    records: tuple[bytes, ...]


class Note(msgspec.Struct, frozen=True):
    """Write a line to the operator's log, at level info."""

    text: str


Action = SendPacket | Call | Reply | Save | Note
