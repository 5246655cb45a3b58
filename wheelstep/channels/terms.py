"""The terms of a contract, and what the book of channels tells. No I/O; imports msgspec alone."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Order = Literal["strict", "window", "latest", "none"]
Gap = Literal["hold", "skip", "fail"]
Repeat = Literal["once", "may"]
Unclear = Literal["hold", "rest", "go"]
_Ms = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Few = Annotated[int, msgspec.Meta(ge=0, le=128)]


class Contract(msgspec.Struct, frozen=True, array_like=True):
    """A contract as it is kept: all set, times in milliseconds. Travels and is journalled with its channels' positions.
    """

    name: str
    order: Order
    open: _Few = 1  # messages out at once; of no meaning where order is "none"
    gap: Gap = "hold"
    gap_after_ms: _Ms = 0
    repeat: Repeat = "may"
    unclear: Unclear = "hold"
    rest_ms: _Ms = 0
    ahead: _Few = 16  # 0 where no gap is taken
    keep_ms: _Ms = 3_600_000


class Take(msgspec.Struct, frozen=True):
    """It may be taken under this number; `next` is the next number expected once it is."""

    number: int
    next: int


class Again(msgspec.Struct, frozen=True):
    """It was taken under this number before. `outcome` is None while its end is owed; else delivered, refused, failed
    or replaced."""

    number: int
    next: int
    outcome: str | None


class Refuse(msgspec.Struct, frozen=True):
    """It is not taken. `why`: "beyond" the window (or from before what is remembered), "old-session", "other-message"
    (the number or the message is known as another's), "full" (come again), "skipped" (that number never runs)."""

    why: str
    next: int
    session: int


Verdict = Take | Again | Refuse


class Release(msgspec.Struct, frozen=True):
    """Give this message to the decision module now."""

    message: str


class End(msgspec.Struct, frozen=True):
    """This message has ended here, without the decision module: `how` is "refused" (it never ran) or "failed" (it may
    have run); at a restore also "delivered". The position says so already."""

    message: str
    how: str
