"""The position of one channel: which numbers are expected, owed and ended. No I/O and no clock; imports msgspec.

Numbers run from 1 to 2**53. Every change increases `revision`. Stored positions contain no points in time, so that they
mean the same to another process. Which messages are in flight is not stored: a process that restores a position
releases all held messages again, and learns from the journal's attempts which of them may have run.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from wheelstep.channels.terms import Contract

VERSION = 1  # format version of `to_data`; any other is rejected
MAX_NUMBER = 2**53
MAX_HELD = 256  # held and freed numbers of a channel; bounded as every change writes the whole position
_EXTRA_OUTCOMES = 64  # recorded outcomes in addition to the contract's `ahead`

OUTCOMES = {"d": "delivered", "r": "refused", "f": "failed", "s": "skipped", "p": "replaced"}
_CODE_BY_OUTCOME = {outcome: code for code, outcome in OUTCOMES.items()}
FLAG_ASSIGNED, FLAG_UNCLEAR = 1, 2


class PositionError(ValueError):
    """A position or number is invalid; the text is one line."""


def read_number(text: str) -> int:
    """Return the number or epoch given in a header. Raises `PositionError`."""
    if text.isascii() and text.isdigit() and len(text) <= 16 and 1 <= int(text) <= MAX_NUMBER:
        return int(text)
    raise PositionError(f"{text[:40]!r} is no number of a channel; expected 1 to 2**53")


class Entry:
    """A message whose end is owed. `assigned`: the courier chose its number; `unclear`: an attempt may have run, with
    an unknown outcome."""

    __slots__ = ("message", "assigned", "unclear")

    def __init__(self, message: str, assigned: bool, unclear: bool = False) -> None:
        self.message, self.assigned, self.unclear = message, assigned, unclear


class Position:
    """State of the numbers of one channel.

    All numbers below `next` have been taken or skipped, except those in `freed` and `lost`; of the higher ones only
    those in `taken_above`. A courier that has to continue without the position of a former owner starts at `start`, the
    number of the first message that a client hands in. The numbers right before it are then lost until the former owner
    returns, if the contract holds at gaps; earlier ones are past.
    """

    __slots__ = ("terms", "next", "session", "revision", "resting", "taken_above", "freed", "lost", "entries",
                 "outcomes", "stale")

    def __init__(self, terms: Contract, start: int = 1) -> None:
        self.terms = terms
        self.next = start  # the lowest number that was never taken; never decreases
        self.session = 0  # highest epoch of a client's connection
        self.revision = 0
        self.stale = False  # received from a former owner: other couriers may have taken later numbers (`restart_at`)
        self.resting = False  # the rest after the last unclear outcome is not over
        self.taken_above: set[int] = set()
        self.freed: dict[int, str] = {}  # numbers that may be handed in again, with the returned or withdrawn message
        waits_for_gaps = terms.gap == "hold" and terms.order in ("strict", "window")
        self.lost = set(range(max(1, start - terms.ahead), start)) if waits_for_gaps else set()
        self.entries: dict[int, Entry] = {}
        self.outcomes: dict[int, tuple[str, str]] = {}  # most recent ends: message and outcome code

    def state(self, number: int) -> str:
        """Return the state of a number: "free", "lost" (only the former owner can supply its message), "held", "ended",
        "past" (ended, but the outcome is no longer recorded) or "beyond" (too far ahead)."""
        if number in self.entries:
            return "held"
        if number in self.freed:
            return "free"
        if number in self.lost:
            return "lost"
        if number in self.outcomes:
            return "ended"
        if 1 <= number < self.next or number in self.taken_above:
            return "past"
        within_ahead = self.stale or number - self.next <= self.terms.ahead
        return "free" if 1 <= number <= MAX_NUMBER and within_ahead else "beyond"

    def outcome_of(self, number: int) -> tuple[str, str]:
        """Return message and outcome of an ended number. Raises `KeyError` if no outcome is recorded."""
        message, code = self.outcomes[number]
        return message, OUTCOMES[code]

    def recorded_outcomes(self) -> Iterator[tuple[str, str]]:
        """Yield message and outcome of each end that is still recorded; skipped numbers have no message and are left
        out."""
        yield from ((message, "refused") for message in self.freed.values())
        yield from ((message, OUTCOMES[code]) for message, code in self.outcomes.values() if code != "s")

    def full(self, number: int) -> bool:
        """Return whether the channel holds too many messages to take this number."""
        return len(self.entries) + len(self.freed) - (number in self.freed) >= MAX_HELD

    def next_assigned(self) -> int:
        """Return the number for a message handed in without one: above all known numbers, so that it never fills a
        client's gap."""
        return max(self.next - 1, max(self.taken_above, default=0), max(self.freed, default=0)) + 1

    def next_after(self, number: int) -> int:
        """Return the next expected number once this one is taken."""
        if self.terms.order == "latest":
            return max(self.next, number + 1)
        following = max(self.next, number) if self.stale else self.next
        while following == number or following in self.taken_above:
            following += 1
        return following

    def first_missing(self, below: int) -> int | None:
        """Return the lowest missing number below this one, or None."""
        lowest = min(self.next, *self.freed, *self.lost) if self.freed or self.lost else self.next
        return lowest if lowest < below else None

    def take(self, number: int, message: str, assigned: bool, recovered: bool = False) -> None:
        """Assign a free number to a message. `recovered`: a former owner found the message on its disk, which tells
        nothing about later numbers."""
        assert self.state(number) in ("free", "lost")
        self.revision += 1
        if self.stale and number >= self.next and not recovered:
            self.restart_at(number)
        self.freed.pop(number, None)
        self.lost.discard(number)
        self.entries[number] = Entry(message, assigned)
        if number >= self.next:
            self.taken_above.add(number)
            if self.terms.order == "latest":
                self.skip(number)
            self._advance()

    def restart_at(self, number: int) -> None:
        """Continue at this number, the first that a client uses after other couriers may have owned the channel.
        Earlier numbers that are not known to have ended become lost if the contract holds at gaps, else past."""
        self.stale = False
        self.revision += 1
        unknown = {other for other in self.freed if other < number}
        unknown |= {other for other in range(max(self.next, number - self.terms.ahead), number)
                    if other not in self.taken_above}
        for other in unknown:
            self.freed.pop(other, None)
        if self.terms.gap == "hold" and self.terms.order in ("strict", "window"):
            self.lost |= unknown
        self.taken_above = {other for other in self.taken_above if other > number}
        self.next = number
        self._advance()

    def raise_session(self, session: int) -> None:
        """Record the epoch of a client's connection if it is the highest so far."""
        if session > self.session:
            self.session = session
            self.revision += 1

    def mark_unclear(self, number: int) -> None:
        """Record that an attempt of a held message may have run."""
        if not self.entries[number].unclear:
            self.entries[number].unclear = True
            self.revision += 1

    def set_resting(self, on: bool) -> None:
        """Record whether a process that restores this position has to wait for a rest."""
        if self.resting != on:
            self.resting = on
            self.revision += 1

    def end(self, number: int, outcome: str) -> None:
        """End a held number; `outcome` is a value of `OUTCOMES`."""
        self.revision += 1
        self._record_outcome(number, self.entries.pop(number).message, _CODE_BY_OUTCOME[outcome])

    def free(self, number: int) -> None:
        """Allow a held number to be handed in again."""
        self.revision += 1
        entry = self.entries.pop(number)
        self.taken_above.discard(number)
        self.freed[number] = entry.message

    def skip(self, below: int) -> None:
        """Mark all missing numbers below this one as skipped: they never run."""
        self.revision += 1
        for number in sorted(number for number in (*self.freed, *self.lost) if number < below):
            self.freed.pop(number, None)
            self.lost.discard(number)
            self._record_outcome(number, "", "s")
        for number in range(self.next, below):
            if number not in self.taken_above:
                self.taken_above.add(number)
                self._record_outcome(number, "", "s")
        self._advance()

    def merge_former(self, former: Position) -> None:
        """Remove from the lost numbers those that have ended according to the former owner's position."""
        self.raise_session(former.session)
        ended = {number for number in self.lost if former.state(number) in ("ended", "past")}
        if ended:
            self.lost -= ended
            self.revision += 1

    def _record_outcome(self, number: int, message: str, code: str) -> None:
        self.outcomes.pop(number, None)
        self.outcomes[number] = (message, code)
        while len(self.outcomes) > self.terms.ahead + _EXTRA_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _advance(self) -> None:
        while self.next in self.taken_above:
            self.taken_above.discard(self.next)
            self.next += 1

    def mark_held_lost(self) -> None:
        """Mark held messages as lost: they are on a former owner's disk until it sends them."""
        for number in list(self.entries):
            if number < self.next:
                del self.entries[number]
                self.lost.add(number)
            else:
                self.free(number)
        self.stale = True
        self.revision += 1
        if self.terms.gap != "hold" or self.terms.order not in ("strict", "window"):
            self.skip(max(self.lost, default=0) + 1)

    def to_data(self) -> list[Any]:
        """Return the position as lists, numbers and strings, for JSON or msgpack."""
        held = self.entries.values()
        messages, codes = zip(*self.outcomes.values(), strict=True) if self.outcomes else ((), ())
        return [VERSION, self.next, self.session, self.revision, self.resting, sorted(self.taken_above),
                sorted(self.lost), list(self.freed), list(self.freed.values()), list(self.entries),
                [entry.message for entry in held],
                [FLAG_ASSIGNED * entry.assigned + FLAG_UNCLEAR * entry.unclear for entry in held],
                list(self.outcomes), list(messages), "".join(codes),
                list(msgspec.structs.astuple(self.terms)), *([True] if self.stale else [])]

