"""All channels of a courier: what the door says of a hand-in, and what goes out next. What is kept, and how it comes
back from a journal, is in `shelf`; how parts come and go in `parts`; what one channel's contract lets go in `line`.

No I/O: a clock in milliseconds is handed in, of the process alone (no moment is written down). The caller writes the
marks of `changes` before it acts on what brought them about: before 202, before an end is told, before `over`.
Cost of a call does not grow with the number of channels.
"""

from __future__ import annotations

from wheelstep.channels.contracts import Contracts
from wheelstep.channels.line import Line
from wheelstep.channels.parts import Parts
from wheelstep.channels.position import Position, PositionError
from wheelstep.channels.shelf import MARK
from wheelstep.channels.terms import Again, Contract, End, Refuse, Release, Take, Verdict

__all__ = ["MARK", "Again", "Book", "End", "PositionError", "Refuse", "Release", "Take", "Verdict"]


class Book(Parts):
    """The channels that this courier has, and the door to them."""

    def __init__(self, contracts: Contracts, parts: int, most_channels: int, now_ms: int) -> None:
        super().__init__(contracts, parts, most_channels, now_ms)
        self._offered: tuple[str, str, int] | None = None  # what the door took last: channel, message, number
        self._terms_offered: tuple[Contract, bool, int | None] | None = None  # did the courier choose the number?

    # --- the door ---

    def offer(self, now_ms: int, contract: Contract, channel: str, message: str, number: int | None,
              session: int | None) -> Verdict:
        """What is to be said to a hand-in. A `Take` is followed by `take` in the same turn, or by nothing."""
        self._offered = None
        line = self._lines.get(channel)
        position = self._fresh(contract, channel, number) if line is None else line.position
        if line is not None and not position.entries:
            position.terms = contract
        if session is not None and session < position.session:
            return Refuse("old-session", position.next, position.session)
        verdict = self._judge(now_ms, line, position, message, number)
        if isinstance(verdict, Take):
            self._offered = (channel, message, verdict.number)
            self._terms_offered = (contract, number is None, session)
        elif line is not None and session is not None and isinstance(verdict, Again):
            position.raise_session(session)
            self._touch(now_ms, line, look=False)
        return verdict

    def _judge(self, now_ms: int, line: Line | None, position: Position, message: str,
               number: int | None) -> Verdict:
        known = self._by_message.get(message)
        if known is not None:
            if known[0] is line and number in (None, known[1]):
                return Again(known[1], position.next, None)
            return Refuse("other-message", position.next, position.session)
        wanted = position.next_assigned() if number is None else number
        why = "beyond"
        match position.state(wanted):
            case "held":
                why = "other-message"
            case "ended":
                name, outcome = position.answer(wanted)
                if name == message and outcome != "skipped":
                    return Again(wanted, position.next, outcome)
                why = "skipped" if outcome == "skipped" else "other-message"
            case "free":
                if not position.full(wanted) and (line is not None or self._room(now_ms)):
                    return Take(wanted, position.next_after(wanted))
                why = "full"
        return Refuse(why, position.next, position.session)

    def _room(self, now_ms: int) -> bool:
        if len(self._lines) >= self._most:
            self._wake(now_ms)
        return len(self._lines) < self._most

    def take(self, now_ms: int, channel: str, message: str, number: int) -> None:
        """It is being written down, before 202, as `offer` just said. Raises `KeyError` for anything else."""
        if self._offered != (channel, message, number) or self._terms_offered is None:
            raise KeyError(f"{message!r} was not offered as {number} of {channel!r}")
        contract, given, session = self._terms_offered
        self._offered = None
        line = self._lines.get(channel) or self._add(now_ms, channel, self._fresh(contract, channel, number))
        if session is not None:
            line.position.raise_session(session)
        line.position.take(number, message, given)
        line.taken(number)
        self._by_message[message] = (line, number)
        self._touch(now_ms, line)

    def withdraw(self, now_ms: int, message: str) -> None:
        """Its client went before it was answered."""
        if (known := self._by_message.pop(message, None)) is not None:
            known[0].withdrawn(known[1])
            self._touch(now_ms, known[0])

    def said(self, now_ms: int, message: str) -> None:
        """Its client has heard 202: it may be given out."""
        if (known := self._by_message.get(message)) is not None:
            known[0].said(known[1])
            self._touch(now_ms, known[0])

    # --- messages on their way ---

    def release(self, now_ms: int) -> list[Release | End]:
        """What goes to the decision module now, and what ends here, in the order of each channel's contract."""
        self._wake(now_ms)
        found: list[Release | End] = []
        ready, self._ready = self._ready, {}
        for name in ready:
            if (line := self._lines.get(name)) is None or line.part in self._shut:
                continue
            here = line.release(now_ms)
            for one in here:
                if isinstance(one, End):
                    self._by_message.pop(one.message, None)
            found += here
            self._touch(now_ms, line, look=False)
        return found

    def ended(self, now_ms: int, message: str, outcome: str, unclear: bool) -> None:
        """Its end: delivered, refused (handed back, it never ran) or failed. `unclear`: its last attempt may have run
        without a known outcome. A message that has ended, or was never a channel's, is nothing to it."""
        if (known := self._by_message.pop(message, None)) is not None:
            known[0].ended(now_ms, known[1], outcome, unclear)
            self._touch(now_ms, known[0])

    def expired(self, now_ms: int, message: str) -> End | None:
        """Its time is over. None where it is out (the decision module ends it) or unknown."""
        known = self._by_message.get(message)
        if known is None or known[1] in known[0].out:
            return None
        how = "failed" if known[0].position.entries[known[1]].unclear else "refused"
        self.ended(now_ms, message, how, False)
        return End(message, how)

    def attempt_unclear(self, now_ms: int, message: str) -> None:
        """An attempt of it has ended with an unknown outcome; the message goes on."""
        if (known := self._by_message.get(message)) is not None:
            known[0].doubt(now_ms, known[1])
            self._touch(now_ms, known[0])

    def may_send(self, now_ms: int, message: str) -> bool:
        """Right before the first byte of an attempt: does the contract allow it? False for what isn't held."""
        known = self._by_message.get(message)
        return known is not None and known[0].part not in self._shut and known[0].may_send(now_ms, known[1])

    def may_repeat(self, message: str) -> bool:
        """May it be sent again after an attempt whose outcome is unknown? True for what isn't held."""
        known = self._by_message.get(message)
        return known is None or known[0].position.terms.repeat == "may"

    # --- what is told ---

    def position(self, channel: str) -> Position | None:
        """To be read only."""
        line = self._lines.get(channel)
        return None if line is None else line.position

    def holds(self, message: str) -> bool:
        """Is its end owed by a channel here?"""
        return message in self._by_message

    def place_of(self, message: str) -> tuple[str, int] | None:
        """The channel and number of a message whose end is owed."""
        known = self._by_message.get(message)
        return None if known is None else (known[0].name, known[1])
