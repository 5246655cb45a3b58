"""Decides which messages of one channel go out next, by its contract. No I/O: the caller passes the time in
milliseconds.

Orders "strict", "window" and "latest" have this in common: at most `open` messages are in flight, and after an attempt
with an unknown outcome no later message follows until the contract's `unclear` is satisfied. Repeating the same message
does not affect the order; the contract's `repeat` decides on it.
"""

from __future__ import annotations

import heapq

from wheelstep.channels.position import Position
from wheelstep.channels.terms import End, Release


class ChannelQueue:
    """The messages of one channel, by number. A message is confirmed once its client has received 202, or if it comes
    from a journal or another courier; earlier it is not released."""

    __slots__ = ("name", "part", "position", "noted_revision", "changed_ms", "due_ms", "in_flight", "_waiting",
                 "_unconfirmed", "_unclear", "_rest_until_ms", "_rest_number", "_gap", "_gap_until_ms",
                 "_newest_released")

    def __init__(self, name: str, part: int, position: Position, now_ms: int) -> None:
        self.name, self.part, self.position, self.changed_ms = name, part, position, now_ms
        self.noted_revision = position.revision  # the revision that the owner of this object has seen
        self.due_ms: int | None = None  # when its owner's timer will call `release`
        self.in_flight: set[int] = set()  # given to the decision module
        self._waiting = sorted(position.entries)  # heap of confirmed numbers; some have ended since
        self._unconfirmed: set[int] = set()
        self._unclear: set[int] = set()  # in flight, and an attempt may have run
        self._rest_until_ms = now_ms + position.terms.rest_ms if position.resting else 0
        self._rest_number = 0  # the number whose unknown outcome started the rest
        self._gap, self._gap_until_ms = 0, 0  # the first gap, and when it may be skipped
        self._newest_released = max((number for number, (_, code) in position.outcomes.items() if code in "df"),
                                    default=0)

    def accepted(self, number: int) -> None:
        """Add a message that is written to the journal and not confirmed yet."""
        self._unconfirmed.add(number)

    def client_answered(self, number: int) -> None:
        """Mark a message as confirmed."""
        self._unconfirmed.discard(number)
        heapq.heappush(self._waiting, number)

    def withdrawn(self, number: int) -> None:
        """Remove a message whose client received no answer. Its number becomes free again, unless nobody else knows it
        (the courier assigned it) or it is not the newest of a channel with order "latest": then it is skipped."""
        self._unconfirmed.discard(number)
        terms, entry = self.position.terms, self.position.entries[number]
        if entry.assigned or (terms.order == "latest" and number != self.position.next - 1):
            self.position.end(number, "skipped")
        else:
            self.position.free(number)

    def mark_unclear(self, now_ms: int, number: int) -> None:
        """Note that an attempt of a message has ended with an unknown outcome; the message continues."""
        self.position.mark_unclear(number)
        if number in self.in_flight:
            self._unclear.add(number)
            self._begin_rest(now_ms, number)

    def ended(self, now_ms: int, number: int, outcome: str, unclear: bool) -> None:
        """Apply the end of a message. A number that was handed back becomes free again if the contract knows gaps and
        the client chose the number. Handing back a message that may have run counts as a failure, whatever outcome is
        passed."""
        position, entry, terms = self.position, self.position.entries[number], self.position.terms
        self.in_flight.discard(number)
        self._unclear.discard(number)
        self._unconfirmed.discard(number)
        if outcome == "refused" and entry.unclear:
            outcome = "failed"
        if outcome == "refused" and not entry.assigned and terms.order in ("strict", "window") and terms.gap != "fail":
            position.free(number)
        else:
            position.end(number, outcome)
        if unclear:
            self._begin_rest(now_ms, number)

    def _begin_rest(self, now_ms: int, number: int) -> None:
        """Start the contract's rest, if it has one, after an unknown outcome of this number."""
        terms = self.position.terms
        if terms.unclear == "rest" and terms.order != "none":
            self._rest_until_ms, self._rest_number = now_ms + terms.rest_ms, number
            self.position.set_resting(True)

    def may_send(self, now_ms: int, number: int) -> bool:
        """Return whether the first byte of an attempt may be written now."""
        terms = self.position.terms
        if number not in self.in_flight or (terms.repeat == "once" and self.position.entries[number].unclear):
            return False
        if terms.order == "none" or terms.unclear == "go":
            return True
        if terms.unclear == "rest":
            return now_ms >= self._rest_until_ms or self._rest_number >= number
        return not any(other < number for other in self._unclear)

    def _is_blocked(self) -> bool:
        """Return whether an unknown outcome blocks later messages."""
        terms = self.position.terms
        return self.position.resting or (terms.unclear == "hold" and bool(self._unclear))

    def release(self, now_ms: int) -> list[Release | End]:
        """Return the messages that go out now and those that end here, in the order of the contract."""
        if self.position.resting and now_ms >= self._rest_until_ms:
            self.position.set_resting(False)
        order = self.position.terms.order
        if order == "none":
            return self._release_all(now_ms)
        return self._release_latest(now_ms) if order == "latest" else self._release_in_order(now_ms)

    def _release_one(self, number: int) -> Release:
        """Put a message in flight."""
        self.in_flight.add(number)
        entry = self.position.entries[number]
        if entry.unclear:
            self._unclear.add(number)  # it may have run in an earlier process
        return Release(entry.message)

    def _lowest_waiting(self) -> int | None:
        """Return the lowest waiting number, or None."""
        while self._waiting and (self._waiting[0] not in self.position.entries or self._waiting[0] in self.in_flight):
            heapq.heappop(self._waiting)
        return self._waiting[0] if self._waiting else None

    def _release_all(self, now_ms: int) -> list[Release | End]:
        """Release every waiting message (order "none"), and skip missing numbers whose gap time is over."""
        released: list[Release | End] = []
        while (number := self._lowest_waiting()) is not None:
            heapq.heappop(self._waiting)
            released.append(self._release_one(number))
        position = self.position
        if position.taken_above and self._may_skip_gap(now_ms, position.first_missing(max(position.taken_above))):
            position.skip(max(position.taken_above))  # else numbers that never come would block the channel forever
        if not position.taken_above:
            self._gap = 0
        return released

    def _release_in_order(self, now_ms: int) -> list[Release | End]:
        """Release messages by number (orders "strict" and "window"), up to a gap or the limit `open`."""
        released: list[Release | End] = []
        position = self.position
        while (number := self._lowest_waiting()) is not None and len(self.in_flight) < position.terms.open \
                and not self._is_blocked():
            if self._unconfirmed and min(self._unconfirmed) < number:
                break
            if (gap := position.first_missing(number)) is not None:
                if not self._may_skip_gap(now_ms, gap):
                    return released
                position.skip(number)
            heapq.heappop(self._waiting)
            released.append(self._release_one(number))
        self._gap = 0  # a gap's time counts only while nothing else blocks
        return released

    def _may_skip_gap(self, now_ms: int, gap: int | None) -> bool:
        """Return whether this gap may be skipped now. A gap that was not the first one before starts its time here."""
        terms = self.position.terms
        if gap is None or terms.gap == "hold":
            return False
        if gap != self._gap:
            self._gap, self._gap_until_ms = gap, now_ms + terms.gap_after_ms
        return now_ms >= self._gap_until_ms  # with gap "fail": at once

    def _release_latest(self, now_ms: int) -> list[Release | End]:
        """Release the newest waiting message (order "latest") and end the older ones."""
        released: list[Release | End] = []
        newest = 0
        while (number := self._lowest_waiting()) is not None:
            heapq.heappop(self._waiting)
            older, newest = sorted((newest, number))
            if older:
                released.append(self._end_replaced(older))
        if newest and newest < self._newest_released:
            released.append(self._end_replaced(newest))
        elif newest and not self.in_flight and not self._is_blocked():
            self._newest_released = newest
            released.append(self._release_one(newest))
        elif newest:
            heapq.heappush(self._waiting, newest)
        return released

    def _end_replaced(self, number: int) -> End:
        """End a message that a newer one replaces."""
        entry = self.position.entries[number]
        self.position.end(number, "failed" if entry.unclear else "replaced")
        return End(entry.message, "failed" if entry.unclear else "refused")

    def next_due_ms(self) -> int | None:
        """Return when a rest or a gap's time is over, or None if neither is pending."""
        rest_dues = [self._rest_until_ms] if self.position.resting else []
        gap_dues = [self._gap_until_ms] if self._gap and self.position.terms.gap == "skip" else []
        return min(rest_dues + gap_dues, default=None)

    def carry_over_in_flight(self, earlier: ChannelQueue) -> None:
        """Keep in flight what is in flight in an earlier state of this channel."""
        for number in earlier.in_flight:
            entry, before = self.position.entries.get(number), earlier.position.entries[number]
            if entry is not None and entry.message == before.message:
                self._release_one(number)
