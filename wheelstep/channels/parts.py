"""Channels that go from one courier to another with their part: handed over whole, or taken over from one that is gone.
No I/O.
"""

from __future__ import annotations

import msgspec

from wheelstep.channels.position import Position, PositionError
from wheelstep.channels.shelf import INHERITED, Shelf
from wheelstep.channels.stored import from_data
from wheelstep.channels.terms import Contract


class Parts(Shelf):
    """The channels of this courier, by part."""

    def channels(self, part: int) -> list[str]:
        """Those of a part."""
        return list(self._by_part.get(part, ()))

    def shut(self, part: int) -> None:
        """Release nothing of the part until `open`."""
        self._shut.add(part)

    def open(self, part: int) -> None:
        """Release what waits in it."""
        self._shut.discard(part)
        self._ready |= self._by_part.get(part, {})

    def out(self, part: int) -> list[str]:
        """Messages of the part that were given to the decision module and have not ended, in order in each channel."""
        lines = [self._lines[name] for name in self._by_part.get(part, ())]
        return [line.position.entries[number].message for line in lines for number in sorted(line.out)]

    def export(self, channel: str) -> bytes:
        """A channel's position, for another courier. Raises `KeyError` for one that is not here."""
        return msgspec.json.encode(self._lines[channel].position.to_data())

    def adopt(self, now_ms: int, channel: str, data: bytes, contract: Contract | None) -> None:
        """Take a channel that was handed over; its messages are the caller's to take first. What it holds keeps the
        terms that came with it. The same again does nothing. Raises `PositionError` for what is no position, or an
        older one than is known here."""
        position = _decoded(data)
        known = self._lines.get(channel)
        if known is not None:
            mine = known.position
            if position.revision == mine.revision and position.next == mine.next:
                return
            if position.revision <= mine.revision or position.next < mine.next or position.session < mine.session:
                raise PositionError(f"channel {channel!r}: an older position, revision {position.revision} with next "
                                    f"{position.next}; expected one after {mine.revision} with {mine.next}")
        if not position.entries and contract is not None:
            position.terms = contract
        if known is not None:
            self._forget(known)
        line = self._add(now_ms, channel, position)
        if known is not None:
            line.resume(known)
        self._dirty[channel] = None
        self._touch(now_ms, line)

    def drop(self, part: int) -> None:
        """Forget a part: another courier has it."""
        for name in self.channels(part):
            self._forget(self._lines[name])
        if part in self._inherited:
            self._inherited.discard(part)
            self._dirty[INHERITED] = None

    def inherit(self, part: int) -> None:
        """The part's owner is gone, and with it the positions that only its disk has. A channel that isn't known here
        begins with the number that its client comes with. Where the contract holds gaps, the numbers before that are
        lost: they run only if the former owner brings them (`learn`, `found`), and are waited for."""
        self._inherited.add(part)
        self._dirty[INHERITED] = None

    def inherited(self, part: int) -> bool:
        """Are there positions of it that a former owner has and this courier does not?"""
        return part in self._inherited

    def learn(self, now_ms: int, channel: str, data: bytes) -> None:
        """A former owner is back and tells the position that it had; then it brings what it holds, by `found`. Raises
        `PositionError`."""
        former = _decoded(data)
        line = self._lines.get(channel)
        newer = line is not None and line.position.stale and not line.position.entries \
            and former.next > line.position.next
        if line is not None and not newer:
            line.position.merge_former(former)
        else:
            former.mark_held_lost()
            if line is not None:  # two former owners, neither of whom may be the last: the later one counts
                former.merge_former(line.position)
                former.revision = max(former.revision, line.position.revision) + 1
                self._forget(line)
            line = self._add(now_ms, channel, former)
            self._dirty[channel] = None
        self._touch(now_ms, line)

    def found(self, now_ms: int, channel: str, number: int, message: str) -> bool:
        """A former owner has found this message on its disk. True: it is taken, since its number is still missing and
        the contract holds gaps. False: it must never run here."""
        line = self._lines.get(channel)
        terms = self._terms(channel) if line is None else line.position.terms
        if terms is None or terms.gap != "hold":
            return False
        known = self._by_message.get(message)
        if known is not None:
            return known == (line, number)
        position = self._fresh(terms, channel, number) if line is None else line.position
        if line is None:
            position.stale = True  # a client may have come further since
        if position.state(number) not in ("free", "lost") or position.full(number) or \
                (line is None and len(self._lines) >= self._most):
            return False
        line = line or self._add(now_ms, channel, position)
        position.take(number, message, False, recovered=True)
        self._by_message[message] = (line, number)
        line.said(number)
        self._touch(now_ms, line)
        return True


def _decoded(data: bytes) -> Position:
    try:
        return from_data(msgspec.json.decode(data))
    except (msgspec.DecodeError, RecursionError) as error:
        raise PositionError(f"invalid position: {error}") from error
