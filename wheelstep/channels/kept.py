"""A courier's journal with its channels' positions in it. What a position says is written before what it explains: the
hand-in before its message, an end before the message is over. Takes the journal's place beneath the core.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wheelstep.channels.book import Book
from wheelstep.channels.contracts import part_of
from wheelstep.courier.ports import JournalPort as Journal
from wheelstep.journal import NoRoomError, StoredMessage

_OUTCOMES = {"delivered": "delivered", "handed_back": "refused", "given_up": "failed"}


class Kept:
    """As `courier.ports.JournalPort`. `doubted` hears of a message that may have run and goes on."""

    def __init__(self, journal: Journal, book: Book, parts: int, now_ms: Callable[[], int]) -> None:
        self.journal, self.book, self._parts, self._now_ms = journal, book, parts, now_ms
        self._of: dict[int, dict[str, None]] = {}  # part -> its messages, those with notices owed as well
        self._news: dict[int, dict[str, None]] = {}  # part that is being copied -> pieces that have changed
        self._live: dict[str, set[int]] = {}  # message -> attempts of this process that have no outcome
        self.doubted: Callable[[str], None] = lambda name: None
        self.moved: Callable[[], None] = lambda: None  # something of a channel has changed
        self.taken: Callable[[StoredMessage], None] = lambda message: None  # a channel's message is here from now on
        for message in journal.messages.values():
            self._index(message)

    # --- courier.ports.JournalPort ---

    @property
    def messages(self) -> dict[str, StoredMessage]:
        """All that are owed an end."""
        return self.journal.messages

    @property
    def marks(self) -> dict[str, Any]:
        """All facts."""
        return self.journal.marks

    @property
    def waits(self) -> bool:
        """Does `durable` ever wait?"""
        return self.journal.waits

    async def durable(self) -> None:
        """What was written is safe."""
        await self.journal.durable()

    def mark(self, name: str, value: Any) -> None:
        """Remember a small fact."""
        self.journal.mark(name, value)

    def take(self, message: StoredMessage) -> None:
        """A hand-in: its number, then the message. Raises `NoRoomError` with nothing taken."""
        if message.channel is None:
            self.journal.take(message)
            return
        self.book.take(self._now_ms(), message.channel, message.id, message.number)
        self.flush()
        try:
            self.adopt(message)
        except NoRoomError:
            self.book.withdraw(self._now_ms(), message.id)
            self.flush()
            raise

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """Right before its first byte."""
        self.journal.attempt(message, number, at_ms, endpoint)
        if self._touch(message):
            self._live.setdefault(message, set()).add(number)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """The attempt has ended, the message goes on."""
        if may_have_run and self._touch(message):
            self.book.attempt_unclear(self._now_ms(), message)
            self.flush()
        self.journal.outcome(message, number, may_have_run)
        if self._touch(message):
            self._settle(message, number)
            if may_have_run:
                self.doubted(message)

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """The final answer is decided. What may have run is not handed back in a channel: its number has ended, and
        what follows goes on."""
        if (held := self.messages.get(message)) is not None and held.channel is not None:
            ran = held.may_have_run() is not None
            if outcome == "handed_back" and ran:
                outcome, retry_ms = "given_up", 0
            unclear = outcome == "given_up" and ran
            self.book.ended(self._now_ms(), message, _OUTCOMES[outcome], unclear)
            self.flush()
            self._live.pop(message, None)
            self._touch(message)
            self.moved()
        self.journal.end(message, outcome, retry_ms)

    def over(self, message: str) -> None:
        """Delivered, withdrawn, or its notice was answered."""
        held = self.messages.get(message)
        if held is not None and held.channel is not None:
            if held.notice is None:
                self.book.ended(self._now_ms(), message, "delivered", False)
                self.flush()
            self.forget(message)
            self.moved()
        else:
            self.journal.over(message)

    # --- parts ---

    def part(self, message: StoredMessage) -> int:
        """Of a channel's message."""
        assert message.channel is not None
        return part_of(message.channel, self._parts)

    def of(self, part: int) -> list[StoredMessage]:
        """A part's messages whose end is not decided, in the order of each channel."""
        found = [self.messages[name] for name in self._of.get(part, ())]
        return sorted((m for m in found if m.notice is None), key=lambda m: (m.channel or "", m.number))

    def live(self, message: str) -> bool:
        """Is a call of it under way?"""
        return message in self._live

    def under_way(self, part: int) -> int:
        """Calls of the part that have no outcome yet."""
        return sum(name in self._live for name in self._of.get(part, ()))

    def adopt(self, message: StoredMessage) -> None:
        """Take a message whose position is known already."""
        self.journal.take(message)
        self._index(message)
        self._touch(message.id)
        self.taken(message)

    def forget(self, message: str) -> None:
        """It is not owed here any more; its position is none of this."""
        if (held := self.messages.get(message)) is not None and held.channel is not None:
            self._touch(message)
            self._of.get(self.part(held), {}).pop(message, None)
            self._live.pop(message, None)
        self.journal.over(message)

    def late_outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """The outcome of a call that the core no longer follows."""
        held = self.messages.get(message)
        if held is not None and number in held.out:
            self.outcome(message, number, may_have_run)
        self._settle(message, number)

    def _settle(self, message: str, number: int) -> None:
        if (numbers := self._live.get(message)) is not None:
            numbers.discard(number)
            if not numbers:
                del self._live[message]

    def flush(self) -> None:
        """Write the positions that have changed."""
        for mark, value in self.book.changes():
            self.journal.mark(mark, value)
            name = mark[2:]
            part = part_of(name, self._parts)
            if part in self._news and not name.startswith(" "):
                self._news[part]["c:" + name] = None

    def watch(self, part: int) -> None:
        """From now on `news` tells what has changed."""
        self._news[part] = {}

    def news(self, part: int) -> list[str]:
        """Names of pieces that have changed since it was last asked."""
        names = self._news.get(part, {})
        self._news[part] = {}
        return list(names)

    def unwatch(self, part: int) -> None:
        """Nobody asks any more."""
        self._news.pop(part, None)

    def _index(self, message: StoredMessage) -> None:
        if message.channel is not None:
            self._of.setdefault(self.part(message), {})[message.id] = None

    def _touch(self, message: str) -> bool:
        """Note that it has changed; is it a channel's?"""
        held = self.messages.get(message)
        if held is None or held.channel is None:
            return False
        part = self.part(held)
        if part in self._news:
            self._news[part]["m:" + message] = None
        return True
