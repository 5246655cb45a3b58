"""A channel at work: which of its messages go out now, by its contract. No I/O: a clock in milliseconds is handed in.

What strict, window and latest have in common: at most `open` messages are out, and after an attempt whose outcome is
unknown nothing that comes after it follows until the contract's `unclear` is met. A message's own repetition is none
of the order's business; `repeat` decides on it.
"""

from __future__ import annotations

import heapq

from wheelstep.channels.position import Position
from wheelstep.channels.terms import End, Release


class Line:
    """One channel. `said` are those whose client has heard 202, or that came from a journal or another courier."""

    __slots__ = ("name", "part", "position", "noted", "changed_ms", "due_ms", "out", "_waiting", "_unsaid", "_unclear",
                 "_rest_ms", "_rest_by", "_gap", "_gap_ms", "_front")

    def __init__(self, name: str, part: int, position: Position, now_ms: int) -> None:
        self.name, self.part, self.position, self.changed_ms = name, part, position, now_ms
        self.noted = position.revision  # what the owner of this line has seen of it
        self.due_ms: int | None = None  # when its owner will look at it by the clock
        self.out: set[int] = set()  # given to the decision module
        self._waiting = sorted(position.entries)  # a heap, of those that were said; some have ended since
        self._unsaid: set[int] = set()
        self._unclear: set[int] = set()  # out, and may have run
        self._rest_ms = now_ms + position.terms.rest_ms if position.resting else 0
        self._rest_by = 0
        self._gap, self._gap_ms = 0, 0  # the gap in the way, and since when
        self._front = max((number for number, (_, code) in position.outcomes.items() if code in "df"), default=0)

    def taken(self, number: int) -> None:
        """It is written down; its client has not heard so yet."""
        self._unsaid.add(number)

    def said(self, number: int) -> None:
        """Its client has heard, or it needs no telling."""
        self._unsaid.discard(number)
        heapq.heappush(self._waiting, number)

    def withdrawn(self, number: int) -> None:
        """Its client never heard: a number of the client's is free again, one of the courier's nobody knows of."""
        self._unsaid.discard(number)
        terms, entry = self.position.terms, self.position.entries[number]
        if entry.assigned or (terms.order == "latest" and number != self.position.next - 1):
            self.position.end(number, "skipped")
        else:
            self.position.free(number)

    def doubt(self, now_ms: int, number: int) -> None:
        """An attempt of it has ended with an unknown outcome, and the message goes on."""
        self.position.mark_unclear(number)
        if number in self.out:
            self._unclear.add(number)
            self._begin_rest(now_ms, number)

    def ended(self, now_ms: int, number: int, outcome: str, unclear: bool) -> None:
        """Its end. One that was handed back leaves a gap where the contract knows gaps and the client chose the
        number; handing back what may have run is a failure, whatever it is called."""
        position, entry, terms = self.position, self.position.entries[number], self.position.terms
        self.out.discard(number)
        self._unclear.discard(number)
        self._unsaid.discard(number)
        if outcome == "refused" and entry.unclear:
            outcome = "failed"
        if outcome == "refused" and not entry.assigned and terms.order in ("strict", "window") and terms.gap != "fail":
            position.free(number)
        else:
            position.end(number, outcome)
        if unclear:
            self._begin_rest(now_ms, number)

    def _begin_rest(self, now_ms: int, number: int) -> None:
        terms = self.position.terms
        if terms.unclear == "rest" and terms.order != "none":
            self._rest_ms, self._rest_by = now_ms + terms.rest_ms, number
            self.position.set_resting(True)

    def may_send(self, now_ms: int, number: int) -> bool:
        """May the first byte of an attempt of it be written now?"""
        terms = self.position.terms
        if number not in self.out or (terms.repeat == "once" and self.position.entries[number].unclear):
            return False
        if terms.order == "none" or terms.unclear == "go":
            return True
        if terms.unclear == "rest":
            return now_ms >= self._rest_ms or self._rest_by >= number
        return not any(other < number for other in self._unclear)

    def _stopped(self) -> bool:
        """Does an unknown outcome hold up what follows?"""
        terms = self.position.terms
        return self.position.resting or (terms.unclear == "hold" and bool(self._unclear))

    def release(self, now_ms: int) -> list[Release | End]:
        """What goes out now, and what ends here, in the contract's order."""
        if self.position.resting and now_ms >= self._rest_ms:
            self.position.set_resting(False)
        order = self.position.terms.order
        if order == "none":
            return self._release_all(now_ms)
        return self._release_latest(now_ms) if order == "latest" else self._release_in_order(now_ms)

    def _open(self, number: int) -> Release:
        self.out.add(number)
        entry = self.position.entries[number]
        if entry.unclear:
            self._unclear.add(number)  # it may have run under another process
        return Release(entry.message)

    def _next(self) -> int | None:
        """The lowest that waits."""
        while self._waiting and (self._waiting[0] not in self.position.entries or self._waiting[0] in self.out):
            heapq.heappop(self._waiting)
        return self._waiting[0] if self._waiting else None

    def _release_all(self, now_ms: int) -> list[Release | End]:
        released: list[Release | End] = []
        while (number := self._next()) is not None:
            heapq.heappop(self._waiting)
            released.append(self._open(number))
        position = self.position
        if position.taken_above and self._in_the_way(now_ms, position.first_missing(max(position.taken_above))):
            position.skip(max(position.taken_above))  # else numbers that never come would close the door for good
        if not position.taken_above:
            self._gap = 0
        return released

    def _release_in_order(self, now_ms: int) -> list[Release | End]:
        released: list[Release | End] = []
        position = self.position
        while (number := self._next()) is not None and len(self.out) < position.terms.open and not self._stopped():
            if self._unsaid and min(self._unsaid) < number:
                break
            if (gap := position.first_missing(number)) is not None:
                if not self._in_the_way(now_ms, gap):
                    return released
                position.skip(number)
            heapq.heappop(self._waiting)
            released.append(self._open(number))
        self._gap = 0  # something else is in the way: a gap's time counts from when it alone is
        return released

    def _in_the_way(self, now_ms: int, gap: int | None) -> bool:
        """Is the time over that this gap may hold up what follows?"""
        terms = self.position.terms
        if gap is None or terms.gap == "hold":
            return False
        if gap != self._gap:
            self._gap, self._gap_ms = gap, now_ms + terms.gap_after_ms
        return now_ms >= self._gap_ms  # with gap "fail" at once

    def _release_latest(self, now_ms: int) -> list[Release | End]:
        released: list[Release | End] = []
        newest = 0
        while (number := self._next()) is not None:
            heapq.heappop(self._waiting)
            older, newest = sorted((newest, number))
            if older:
                released.append(self._replace(older))
        if newest and newest < self._front:
            released.append(self._replace(newest))
        elif newest and not self.out and not self._stopped():
            self._front = newest
            released.append(self._open(newest))
        elif newest:
            heapq.heappush(self._waiting, newest)
        return released

    def _replace(self, number: int) -> End:
        """A newer one is there: this one ends."""
        entry = self.position.entries[number]
        self.position.end(number, "failed" if entry.unclear else "replaced")
        return End(entry.message, "failed" if entry.unclear else "refused")

    def due(self) -> int | None:
        """When to look at it by the clock: a rest or a gap's time is over."""
        rest = [self._rest_ms] if self.position.resting else []
        gap = [self._gap_ms] if self._gap and self.position.terms.gap == "skip" else []
        return min(rest + gap, default=None)

    def resume(self, known: Line) -> None:
        """What is out of an older state of this channel stays out."""
        for number in known.out:
            entry, before = self.position.entries.get(number), known.position.entries[number]
            if entry is not None and entry.message == before.message:
                self._open(number)
