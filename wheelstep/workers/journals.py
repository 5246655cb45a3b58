"""The journals of a worker's shares as one: what the daemon's core asks of a journal, each message in its share's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from wheelstep.journal import Journal, NoRoomError, StoredMessage


class Journals:
    """Journals by share. `share_of` tells a destination's share; `share_at` that of an endpoint, None if unknown."""

    def __init__(self, share_of: Callable[[int], int], share_at: Callable[[str], int | None]) -> None:
        self._share_of, self._share_at = share_of, share_at
        self._parts: dict[int, Journal] = {}
        self._mark_home: dict[str, int] = {}
        # of all shares; each one's in the order in which they were taken on
        self.messages: dict[str, StoredMessage] = {}
        self.marks: dict[str, Any] = {}

    def __contains__(self, share: int) -> bool:
        return share in self._parts

    def add(self, share: int, journal: Journal) -> None:
        """From now on what belongs to the share goes there, and what it holds counts."""
        self._parts[share] = journal
        self.messages.update(journal.messages)
        for name, value in journal.marks.items():
            self.marks[name], self._mark_home[name] = value, share

    def _of(self, message: str) -> Journal:
        return self._parts[self._share_of(self.messages[message].destination)]

    @property
    def waits(self) -> bool:
        """Does `durable` ever wait?"""
        return any(part.waits for part in self._parts.values())

    def take(self, message: StoredMessage) -> None:
        """As `Journal.take`."""
        part = self._parts.get(self._share_of(message.destination))
        if part is None:
            raise NoRoomError("its share is not open here")
        part.take(message)
        self.messages[message.id] = message

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """As `Journal.attempt`."""
        self._of(message).attempt(message, number, at_ms, endpoint)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """As `Journal.outcome`."""
        self._of(message).outcome(message, number, may_have_run)

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """As `Journal.end`."""
        self._of(message).end(message, outcome, retry_ms)

    def over(self, message: str) -> None:
        """As `Journal.over`."""
        if message in self.messages:
            self._of(message).over(message)
            del self.messages[message]

    def mark(self, name: str, value: Any) -> None:
        """As `Journal.mark`. A fact on an endpoint is in the journal of its share."""
        share = self._mark_home.get(name, self._share_at(name))
        if share is None or share not in self._parts:
            return  # a fact is no debt
        self._parts[share].mark(name, value)
        if value is None:
            self.marks.pop(name, None)
            self._mark_home.pop(name, None)
        else:
            self.marks[name], self._mark_home[name] = value, share

    async def durable(self) -> None:
        """As `Journal.durable`, for all shares."""
        waiting = [part.durable() for part in self._parts.values() if part.waits]
        if len(waiting) == 1:
            await waiting[0]
        elif waiting:
            await asyncio.gather(*waiting)

    def close(self) -> None:
        """Give all folders back."""
        for part in self._parts.values():
            part.close()
