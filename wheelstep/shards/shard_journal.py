"""The courier's journal with an index of owed messages by shard (`courier.ports.JournalPort`)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from wheelstep.courier.ports import JournalPort
from wheelstep.journal import StoredMessage
from wheelstep.shards.types import shard_of


class ShardBook:
    """Passes everything on to the journal. A message is owed until its end is written."""

    def __init__(self, journal: JournalPort, shards: int) -> None:
        self._journal, self._shards = journal, shards
        self._owed: dict[int, dict[str, StoredMessage]] = {}
        for message in journal.messages.values():
            if message.notice is None:
                self._add(message)

    def of(self, shard: int) -> Mapping[str, StoredMessage]:
        """The shard's owed messages, in the order in which they were taken."""
        return self._owed.get(shard, {})

    def counts(self) -> dict[int, int]:
        """The number of owed messages, by shard."""
        return {shard: len(messages) for shard, messages in self._owed.items()}

    def _add(self, message: StoredMessage) -> None:
        self._owed.setdefault(shard_of(message.destination, self._shards), {})[message.id] = message

    def _remove(self, name: str) -> None:
        if (message := self._journal.messages.get(name)) is None:
            return
        shard = shard_of(message.destination, self._shards)
        if (owed := self._owed.get(shard)) is not None:
            owed.pop(name, None)
            if not owed:
                del self._owed[shard]

    # --- courier.ports.JournalPort ---

    @property
    def messages(self) -> dict[str, StoredMessage]:
        """The messages in the journal, by id."""
        return self._journal.messages

    @property
    def marks(self) -> dict[str, Any]:
        """The marks in the journal, by name."""
        return self._journal.marks

    @property
    def live(self) -> int:
        """As the journal's."""
        return self._journal.live

    @property
    def waits(self) -> bool:
        """As the journal's."""
        return self._journal.waits

    def take(self, message: StoredMessage) -> None:
        """Writes a new message and counts it as owed."""
        self._journal.take(message)
        self._add(self._journal.messages[message.id])

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """Writes the start of an attempt."""
        self._journal.attempt(message, number, at_ms, endpoint)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """Writes the outcome of an attempt."""
        self._journal.outcome(message, number, may_have_run)

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """Writes the message's end; it is no longer owed."""
        self._remove(message)
        self._journal.end(message, outcome, retry_ms)

    def over(self, message: str) -> None:
        """Writes that the message is over; it is no longer owed."""
        self._remove(message)
        self._journal.over(message)

    def mark(self, name: str, value: Any) -> None:
        """Writes a mark."""
        self._journal.mark(name, value)

    async def durable(self) -> None:
        """Returns once what was written is durable."""
        await self._journal.durable()
