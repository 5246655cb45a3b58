"""A courier's journal together with its channels' positions. A position is written before what depends on it: the
accepted number before its message, the outcome before the message is removed. The core uses it in place of the
journal."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wheelstep.channels.book import ChannelTable
from wheelstep.channels.contracts import part_of
from wheelstep.courier.ports import JournalPort as Journal
from wheelstep.journal import NoRoomError, StoredMessage

_OUTCOMES = {"delivered": "delivered", "handed_back": "refused", "given_up": "failed"}


class ChannelJournal:
    """Implements `courier.ports.JournalPort`. `on_unclear` is called for a message that may have run and continues."""

    def __init__(self, journal: Journal, table: ChannelTable, parts: int, now_ms: Callable[[], int]) -> None:
        self.journal, self.table, self._parts, self._now_ms = journal, table, parts, now_ms
        self._by_part: dict[int, dict[str, None]] = {}  # part -> its messages, including those with a notification owed
        self._changed_pieces: dict[int, dict[str, None]] = {}  # part that is being copied -> changed pieces
        self._open_attempts: dict[str, set[int]] = {}  # message -> attempts of this process without an outcome
        self.on_unclear: Callable[[str], None] = lambda name: None
        self.on_change: Callable[[], None] = lambda: None  # called after a channel has changed
        self.on_message: Callable[[StoredMessage], None] = lambda message: None  # called for each new channel message
        for message in journal.messages.values():
            self._index(message)

    # --- courier.ports.JournalPort ---

    @property
    def messages(self) -> dict[str, StoredMessage]:
        """All messages whose end is owed, by id."""
        return self.journal.messages

    @property
    def marks(self) -> dict[str, Any]:
        """Stored marks by name."""
        return self.journal.marks

    @property
    def live(self) -> int:
        """About how many bytes the messages take."""
        return self.journal.live

    @property
    def waits(self) -> bool:
        """Whether `durable` may have to wait."""
        return self.journal.waits

    async def durable(self) -> None:
        """Wait until written records are durable by the sync policy; raises `NoRoomError`."""
        await self.journal.durable()

    def mark(self, name: str, value: Any) -> None:
        """Store a mark, or remove it if the value is None."""
        self.journal.mark(name, value)

    def take(self, message: StoredMessage) -> None:
        """Write a new message, a channel's after its position. Raises `NoRoomError`, and then nothing is taken."""
        if message.channel is None:
            self.journal.take(message)
            return
        self.table.take(self._now_ms(), message.channel, message.id, message.number)
        self.flush()
        try:
            self.adopt(message)
        except NoRoomError:
            self.table.withdraw(self._now_ms(), message.id)
            self.flush()
            raise

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """Write the start of an attempt, right before its first byte."""
        self.journal.attempt(message, number, at_ms, endpoint)
        if self._note_change(message):
            self._open_attempts.setdefault(message, set()).add(number)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """Write the outcome of an attempt whose message continues."""
        if may_have_run and self._note_change(message):
            self.table.attempt_unclear(self._now_ms(), message)
            self.flush()
        self.journal.outcome(message, number, may_have_run)
        if self._note_change(message):
            self._close_attempt(message, number)
            if may_have_run:
                self.on_unclear(message)

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """Write the end of a message, whose notification is owed from then on. A channel's message that may have run is
        given up instead of handed back: its number has ended, and later messages follow."""
        if (held := self.messages.get(message)) is not None and held.channel is not None:
            may_have_run = held.may_have_run() is not None
            if outcome == "handed_back" and may_have_run:
                outcome, retry_ms = "given_up", 0
            unclear = outcome == "given_up" and may_have_run
            self.table.ended(self._now_ms(), message, _OUTCOMES[outcome], unclear)
            self.flush()
            self._open_attempts.pop(message, None)
            self._note_change(message)
            self.on_change()
        self.journal.end(message, outcome, retry_ms)

    def over(self, message: str) -> None:
        """Write that nothing more is owed of a message: delivered, withdrawn, or its notification was answered."""
        held = self.messages.get(message)
        if held is not None and held.channel is not None:
            if held.notice is None:
                self.table.ended(self._now_ms(), message, "delivered", False)
                self.flush()
            self.forget(message)
            self.on_change()
        else:
            self.journal.over(message)

    # --- parts ---

    def part_of(self, message: StoredMessage) -> int:
        """Return the part of a channel's message."""
        assert message.channel is not None
        return part_of(message.channel, self._parts)

    def undecided(self, part: int) -> list[StoredMessage]:
        """Return the part's messages that have not ended, in the order of each channel."""
        messages = [self.messages[name] for name in self._by_part.get(part, ())]
        return sorted((m for m in messages if m.notice is None), key=lambda m: (m.channel or "", m.number))

    def has_open_call(self, message: str) -> bool:
        """Return whether a call of this process for the message has no outcome yet."""
        return message in self._open_attempts

    def under_way(self, part: int) -> int:
        """Return the number of the part's messages with a call under way."""
        return sum(name in self._open_attempts for name in self._by_part.get(part, ()))

    def adopt(self, message: StoredMessage) -> None:
        """Write a message whose position is stored already. Raises `NoRoomError`."""
        self.journal.take(message)
        self._index(message)
        self._note_change(message.id)
        self.on_message(message)

    def forget(self, message: str) -> None:
        """Remove a message that is not owed here any more, without changing its position."""
        if (held := self.messages.get(message)) is not None and held.channel is not None:
            self._note_change(message)
            self._by_part.get(self.part_of(held), {}).pop(message, None)
            self._open_attempts.pop(message, None)
        self.journal.over(message)

    def late_outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """Write the outcome of a call whose message the core has let go."""
        held = self.messages.get(message)
        if held is not None and number in held.out:
            self.outcome(message, number, may_have_run)
        self._close_attempt(message, number)

    def _close_attempt(self, message: str, number: int) -> None:
        """Note that an attempt of this process has its outcome."""
        if (numbers := self._open_attempts.get(message)) is not None:
            numbers.discard(number)
            if not numbers:
                del self._open_attempts[message]

    def flush(self) -> None:
        """Write the positions that have changed."""
        for mark, value in self.table.changed_marks():
            self.journal.mark(mark, value)
            name = mark[2:]
            part = part_of(name, self._parts)
            if part in self._changed_pieces and not name.startswith(" "):
                self._changed_pieces[part]["c:" + name] = None

    def track_changes(self, part: int) -> None:
        """Start recording which pieces of the part change, for `take_changes`."""
        self._changed_pieces[part] = {}

    def take_changes(self, part: int) -> list[str]:
        """Return the names of the pieces that changed since the last call."""
        names = self._changed_pieces.get(part, {})
        self._changed_pieces[part] = {}
        return list(names)

    def stop_tracking(self, part: int) -> None:
        """Stop recording changes of the part."""
        self._changed_pieces.pop(part, None)

    def _index(self, message: StoredMessage) -> None:
        """Add a channel's message to its part."""
        if message.channel is not None:
            self._by_part.setdefault(self.part_of(message), {})[message.id] = None

    def _note_change(self, message: str) -> bool:
        """Record that a message has changed. Return whether it belongs to a channel."""
        held = self.messages.get(message)
        if held is None or held.channel is None:
            return False
        part = self.part_of(held)
        if part in self._changed_pieces:
            self._changed_pieces[part]["m:" + message] = None
        return True
