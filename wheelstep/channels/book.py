"""All channels of a courier: accepts or rejects messages handed in, and decides what goes out next. `shelf` has what is
stored and how it is restored from a journal, `parts` how parts arrive and leave, `line` the order of one channel.

No I/O: the caller passes the time in milliseconds of a clock of this process only (no point in time is stored). The
caller writes the marks of `changed_marks` before it acts on what caused them: before the 202, before an outcome is
reported, before a message is removed from the journal. The cost of a call does not grow with the number of channels.
"""

from __future__ import annotations

from wheelstep.channels.contracts import Contracts
from wheelstep.channels.line import ChannelQueue
from wheelstep.channels.parts import ChannelParts
from wheelstep.channels.position import Position, PositionError
from wheelstep.channels.shelf import MARK_PREFIX
from wheelstep.channels.terms import Accept, Contract, Duplicate, End, Reject, Release, Verdict

__all__ = ["MARK_PREFIX", "Accept", "ChannelTable", "Duplicate", "End", "PositionError", "Reject", "Release", "Verdict"]


class ChannelTable(ChannelParts):
    """The channels of this courier, with admission of their messages and release by their contracts."""

    def __init__(self, contracts: Contracts, parts: int, max_channels: int, now_ms: int) -> None:
        super().__init__(contracts, parts, max_channels, now_ms)
        self._last_offer: tuple[str, str, int] | None = None  # channel, message and number of the last `Accept`
        self._last_offer_terms: tuple[Contract, bool, int | None] | None = None  # contract, whether assigned, session

    # --- admission ---

    def offer(self, now_ms: int, contract: Contract, channel: str, message: str, number: int | None,
              session: int | None) -> Verdict:
        """Return the verdict on a message handed in. After an `Accept` the caller either calls `take` in the same turn
        or does nothing."""
        self._last_offer = None
        queue = self._queues.get(channel)
        position = self._new_position(contract, channel, number) if queue is None else queue.position
        if queue is not None and not position.entries:
            position.terms = contract
        if session is not None and session < position.session:
            return Reject("old-session", position.next, position.session)
        verdict = self._verdict_for(now_ms, queue, position, message, number)
        if isinstance(verdict, Accept):
            self._last_offer = (channel, message, verdict.number)
            self._last_offer_terms = (contract, number is None, session)
        elif queue is not None and session is not None and isinstance(verdict, Duplicate):
            position.raise_session(session)
            self._note_change(now_ms, queue, release_due=False)
        return verdict

    def _verdict_for(self, now_ms: int, queue: ChannelQueue | None, position: Position, message: str,
                     number: int | None) -> Verdict:
        """Return the verdict on a message, regardless of its session."""
        known = self._by_message.get(message)
        if known is not None:
            if known[0] is queue and number in (None, known[1]):
                return Duplicate(known[1], position.next, None)
            return Reject("other-message", position.next, position.session)
        chosen = position.next_assigned() if number is None else number
        why = "beyond"
        match position.state(chosen):
            case "held":
                why = "other-message"
            case "ended":
                name, outcome = position.outcome_of(chosen)
                if name == message and outcome != "skipped":
                    return Duplicate(chosen, position.next, outcome)
                why = "skipped" if outcome == "skipped" else "other-message"
            case "free":
                if not position.full(chosen) and (queue is not None or self._has_room(now_ms)):
                    return Accept(chosen, position.next_after(chosen))
                why = "full"
        return Reject(why, position.next, position.session)

    def _has_room(self, now_ms: int) -> bool:
        """Return whether another channel may be added."""
        if len(self._queues) >= self._max_channels:
            self._run_timers(now_ms)
        return len(self._queues) < self._max_channels

    def take(self, now_ms: int, channel: str, message: str, number: int) -> None:
        """Take the message that was offered last, which is being written to the journal before its 202. Raises
        `KeyError` for any other message."""
        if self._last_offer != (channel, message, number) or self._last_offer_terms is None:
            raise KeyError(f"{message!r} was not offered as {number} of {channel!r}")
        contract, assigned, session = self._last_offer_terms
        self._last_offer = None
        queue = self._queues.get(channel) or self._add(now_ms, channel, self._new_position(contract, channel, number))
        if session is not None:
            queue.position.raise_session(session)
        queue.position.take(number, message, assigned)
        queue.accepted(number)
        self._by_message[message] = (queue, number)
        self._note_change(now_ms, queue)

    def withdraw(self, now_ms: int, message: str) -> None:
        """Remove a message whose client disconnected before the answer."""
        if (known := self._by_message.pop(message, None)) is not None:
            known[0].withdrawn(known[1])
            self._note_change(now_ms, known[0])

    def client_answered(self, now_ms: int, message: str) -> None:
        """Note that the client has received 202: the message may be released."""
        if (known := self._by_message.get(message)) is not None:
            known[0].client_answered(known[1])
            self._note_change(now_ms, known[0])

    # --- messages under way ---

    def release(self, now_ms: int) -> list[Release | End]:
        """Return the messages that go to the decision module now and those that end here, in the order of each
        channel's contract."""
        self._run_timers(now_ms)
        results: list[Release | End] = []
        ready, self._release_due = self._release_due, {}
        for name in ready:
            if (queue := self._queues.get(name)) is None or queue.part in self._shut:
                continue
            released = queue.release(now_ms)
            for one in released:
                if isinstance(one, End):
                    self._by_message.pop(one.message, None)
            results += released
            self._note_change(now_ms, queue, release_due=False)
        return results

    def ended(self, now_ms: int, message: str, outcome: str, unclear: bool) -> None:
        """Apply the end of a message: "delivered", "refused" (handed back, it never ran) or "failed". `unclear`: its
        last attempt may have run, with an unknown outcome. A message not held here is ignored."""
        if (known := self._by_message.pop(message, None)) is not None:
            known[0].ended(now_ms, known[1], outcome, unclear)
            self._note_change(now_ms, known[0])

    def expire(self, now_ms: int, message: str) -> End | None:
        """End a message whose deadline has passed. Returns None, and does nothing, if the message is in flight (the
        decision module ends it) or unknown."""
        known = self._by_message.get(message)
        if known is None or known[1] in known[0].in_flight:
            return None
        how = "failed" if known[0].position.entries[known[1]].unclear else "refused"
        self.ended(now_ms, message, how, False)
        return End(message, how)

    def attempt_unclear(self, now_ms: int, message: str) -> None:
        """Note that an attempt has ended with an unknown outcome; the message continues."""
        if (known := self._by_message.get(message)) is not None:
            known[0].mark_unclear(now_ms, known[1])
            self._note_change(now_ms, known[0])

    def may_send(self, now_ms: int, message: str) -> bool:
        """Return whether the contract allows an attempt's first byte now. False for a message not held here."""
        known = self._by_message.get(message)
        return known is not None and known[0].part not in self._shut and known[0].may_send(now_ms, known[1])

    def may_repeat(self, message: str) -> bool:
        """Return whether the contract allows another attempt after one with an unknown outcome. True for a message not
        held here."""
        known = self._by_message.get(message)
        return known is None or known[0].position.terms.repeat == "may"

    # --- queries ---

    def position(self, channel: str) -> Position | None:
        """Return a channel's position, which the caller must not change, or None."""
        queue = self._queues.get(channel)
        return None if queue is None else queue.position

    def holds(self, message: str) -> bool:
        """Return whether a channel here owes the end of this message."""
        return message in self._by_message

    def place_of(self, message: str) -> tuple[str, int] | None:
        """Return channel and number of a message whose end is owed, or None."""
        known = self._by_message.get(message)
        return None if known is None else (known[0].name, known[1])
