"""The position of one channel: which numbers are expected, owed and ended. No I/O and no clock; imports msgspec.

Numbers run from 1 to 2**53. Every change raises `revision`. What is written down has no moments in it, so that it
means the same to another process; which messages are out is not part of it: a process that reads it gives them out
anew, and knows from the journal's attempts which ones may have run.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from wheelstep.channels.terms import Contract

VERSION = 1  # of what `to_data` gives; another is refused
MOST = 2**53
MOST_HELD = 256  # messages owed and numbers handed back, a channel: its position is written whole at every change
_MORE_ANSWERS = 64  # ends remembered beyond the contract's `ahead`

OUTCOMES = {"d": "delivered", "r": "refused", "f": "failed", "s": "skipped", "p": "replaced"}
_CODES = {outcome: code for code, outcome in OUTCOMES.items()}
GIVEN, UNCLEAR = 1, 2


class PositionError(ValueError):
    """A position can't be what it is said to be; one line."""


def read_number(text: str) -> int:
    """The number or epoch of a header. Raises `PositionError`."""
    if text.isascii() and text.isdigit() and len(text) <= 16 and 1 <= int(text) <= MOST:
        return int(text)
    raise PositionError(f"{text[:40]!r} is no number of a channel; expected 1 to 2**53")


class Entry:
    """A message whose end is owed: `given` if the courier chose its number, `unclear` once an attempt may have run
    without a known outcome."""

    __slots__ = ("message", "given", "unclear")

    def __init__(self, message: str, given: bool, unclear: bool = False) -> None:
        self.message, self.given, self.unclear = message, given, unclear


class Position:
    """Numbers below `next` are known, but for those in `freed` and `lost`; of the others, those in `above`. Where a
    courier went on without the position that another had, `start` is the number that its client came with: those
    right before it are lost, if the contract holds gaps, until that other is back; earlier ones are past."""

    __slots__ = ("terms", "next", "session", "revision", "rests", "above", "freed", "lost", "entries",
                 "answers", "stale")

    def __init__(self, terms: Contract, start: int = 1) -> None:
        self.terms = terms
        self.next = start  # the lowest number that was never taken; never goes back
        self.session = 0  # the highest epoch of a client's connection
        self.revision = 0
        self.stale = False  # as a former owner told it: others may have taken numbers since (`begin`)
        self.rests = False  # the last unclear outcome's rest has not been waited for
        self.above: set[int] = set()
        self.freed: dict[int, str] = {}  # handed back, or withdrawn: may be handed in again; whose it was
        held = terms.gap == "hold" and terms.order in ("strict", "window")
        self.lost = set(range(max(1, start - terms.ahead), start)) if held else set()
        self.entries: dict[int, Entry] = {}
        self.answers: dict[int, tuple[str, str]] = {}  # the last ends: message, code of the outcome

    def state(self, number: int) -> str:
        """free, lost (only who had it can give it), held, ended, past (ended, and forgotten how) or beyond."""
        if number in self.entries:
            return "held"
        if number in self.freed:
            return "free"
        if number in self.lost:
            return "lost"
        if number in self.answers:
            return "ended"
        if 1 <= number < self.next or number in self.above:
            return "past"
        near = self.stale or number - self.next <= self.terms.ahead
        return "free" if 1 <= number <= MOST and near else "beyond"

    def answer(self, number: int) -> tuple[str, str]:
        """Of one that has ended: message and outcome."""
        message, code = self.answers[number]
        return message, OUTCOMES[code]

    def ends(self) -> Iterator[tuple[str, str]]:
        """Messages and outcomes of all ends that are remembered."""
        yield from ((message, "refused") for message in self.freed.values())
        yield from ((message, OUTCOMES[code]) for message, code in self.answers.values() if code != "s")

    def full(self, number: int) -> bool:
        """Is there no room for this number?"""
        return len(self.entries) + len(self.freed) - (number in self.freed) >= MOST_HELD

    def unused(self) -> int:
        """The number that the courier gives: above all that are known, so that it never fills a client's gap."""
        return max(self.next - 1, max(self.above, default=0), max(self.freed, default=0)) + 1

    def next_after(self, number: int) -> int:
        """The next expected once this one is taken."""
        if self.terms.order == "latest":
            return max(self.next, number + 1)
        following = max(self.next, number) if self.stale else self.next
        while following == number or following in self.above:
            following += 1
        return following

    def gap(self, below: int) -> int | None:
        """The lowest missing number below this one."""
        lowest = min(self.next, *self.freed, *self.lost) if self.freed or self.lost else self.next
        return lowest if lowest < below else None

    def take(self, number: int, message: str, given: bool, found: bool = False) -> None:
        """A free number is this message's; `found` by a former owner, which says nothing of what came after it."""
        assert self.state(number) in ("free", "lost")
        self.revision += 1
        if self.stale and number >= self.next and not found:
            self.begin(number)
        self.freed.pop(number, None)
        self.lost.discard(number)
        self.entries[number] = Entry(message, given)
        if number >= self.next:
            self.above.add(number)
            if self.terms.order == "latest":
                self.skip(number)
            self._advance()

    def begin(self, number: int) -> None:
        """The first client since others may have had the channel comes with this number. Those before it that are not
        known to have ended are lost, if the contract holds gaps, until whoever had them brings them; else past."""
        self.stale = False
        self.revision += 1
        free = {one for one in self.freed if one < number}
        free |= {one for one in range(max(self.next, number - self.terms.ahead), number) if one not in self.above}
        for one in free:
            self.freed.pop(one, None)
        if self.terms.gap == "hold" and self.terms.order in ("strict", "window"):
            self.lost |= free
        self.above = {one for one in self.above if one > number}
        self.next = number
        self._advance()

    def fence(self, session: int) -> None:
        """A client has come with this epoch."""
        if session > self.session:
            self.session = session
            self.revision += 1

    def doubt(self, number: int) -> None:
        """It may have run."""
        if not self.entries[number].unclear:
            self.entries[number].unclear = True
            self.revision += 1

    def rest(self, on: bool) -> None:
        """Is there a rest to wait for, should another process go on from here?"""
        if self.rests != on:
            self.rests = on
            self.revision += 1

    def end(self, number: int, outcome: str) -> None:
        """A held number has ended; a name of `OUTCOMES`."""
        self.revision += 1
        self._remember(number, self.entries.pop(number).message, _CODES[outcome])

    def free(self, number: int) -> None:
        """A held number may be handed in again."""
        self.revision += 1
        entry = self.entries.pop(number)
        self.above.discard(number)
        self.freed[number] = entry.message

    def skip(self, below: int) -> None:
        """All that is missing below this number never runs."""
        self.revision += 1
        for number in sorted(number for number in (*self.freed, *self.lost) if number < below):
            self.freed.pop(number, None)
            self.lost.discard(number)
            self._remember(number, "", "s")
        for number in range(self.next, below):
            if number not in self.above:
                self.above.add(number)
                self._remember(number, "", "s")
        self._advance()

    def learn(self, former: Position) -> None:
        """Of what is lost, forget what the position of who had it says has ended."""
        self.fence(former.session)
        gone = {number for number in self.lost if former.state(number) in ("ended", "past")}
        if gone:
            self.lost -= gone
            self.revision += 1

    def _remember(self, number: int, message: str, code: str) -> None:
        self.answers.pop(number, None)
        self.answers[number] = (message, code)
        while len(self.answers) > self.terms.ahead + _MORE_ANSWERS:
            del self.answers[next(iter(self.answers))]

    def _advance(self) -> None:
        while self.next in self.above:
            self.above.discard(self.next)
            self.next += 1

    def bereave(self) -> None:
        """Whose messages were on another courier's disk: what is held is lost until that one brings it."""
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
        """Lists, numbers and texts alone."""
        held = self.entries.values()
        messages, codes = zip(*self.answers.values(), strict=True) if self.answers else ((), ())
        return [VERSION, self.next, self.session, self.revision, self.rests, sorted(self.above), sorted(self.lost),
                list(self.freed), list(self.freed.values()), list(self.entries), [entry.message for entry in held],
                [GIVEN * entry.given + UNCLEAR * entry.unclear for entry in held],
                list(self.answers), list(messages), "".join(codes),
                list(msgspec.structs.astuple(self.terms)), *([True] if self.stale else [])]

