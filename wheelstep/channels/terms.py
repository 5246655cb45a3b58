"""Terms of a contract, and what the channels report: verdicts on messages handed in, and releases and ends. No I/O;
imports msgspec only."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Order = Literal["strict", "window", "latest", "none"]
Gap = Literal["hold", "skip", "fail"]
Repeat = Literal["once", "may"]
Unclear = Literal["hold", "rest", "go"]
_Ms = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Limit = Annotated[int, msgspec.Meta(ge=0, le=128)]


class Contract(msgspec.Struct, frozen=True, array_like=True):
    """A contract with all fields set, times in milliseconds. Sent and stored with the positions of its channels."""

    name: str
    order: Order
    open: _Limit = 1  # limit of messages in flight; not used with order "none"
    gap: Gap = "hold"  # a message above a missing number waits, has the number skipped, or (fail) is not accepted
    gap_after_ms: _Ms = 0  # how long a number must be missing before it is skipped, for gap "skip"
    repeat: Repeat = "may"  # "once": no further attempt after one with an unknown outcome
    unclear: Unclear = "hold"  # after such an attempt, later messages wait for its message's end, wait `rest_ms`, or go
    rest_ms: _Ms = 0
    ahead: _Limit = 16  # how far above the next number a message may be; 0 accepts no gap
    keep_ms: _Ms = 3_600_000  # how long a channel without messages is kept after its last change


class Accept(msgspec.Struct, frozen=True):
    """The message may be taken under this number; `next` is the next expected number after that."""

    number: int
    next: int


class Duplicate(msgspec.Struct, frozen=True):
    """The message was taken under this number before. `outcome` is None while its end is owed, else "delivered",
    "refused", "failed" or "replaced"."""

    number: int
    next: int
    outcome: str | None


class Reject(msgspec.Struct, frozen=True):
    """The message is not taken.

    `why`: "beyond" (the number is too far ahead, so old that its outcome is no longer recorded, or lost: only a former
    owner has its message), "old-session" (a later connection has a higher epoch, `session`), "other-message" (the
    number or the message is already paired differently), "full" (try again later) or "skipped" (the number never runs).
    """

    why: str
    next: int
    session: int


Verdict = Accept | Duplicate | Reject


class Release(msgspec.Struct, frozen=True):
    """Give this message to the decision module now."""

    message: str


class End(msgspec.Struct, frozen=True):
    """This message has ended without the decision module. `how` is "refused" (it never ran) or "failed" (it may have
    run); in the result of a restore also "delivered". The position records the end already."""

    message: str
    how: str
