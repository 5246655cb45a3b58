"""Presents the journals of a worker's shares to the core as one; each message goes to the journal of its share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from wheelstep.journal import Journal, NoRoomError, StoredMessage

_GLOBAL_PREFIX = ":"  # of marks that name no endpoint


class Journals:
    """Journals of the shares that are open here. `share_of` returns the share of a destination, `share_at` that of an
    endpoint, None if unknown."""

    def __init__(self, share_of: Callable[[int], int], share_at: Callable[[str], int | None]) -> None:
        self._share_of, self._share_at = share_of, share_at
        self._journals: dict[int, Journal] = {}
        self._mark_shares: dict[str, int] = {}
        self.messages: dict[str, StoredMessage] = {}  # of all shares; those of one share in the order of acceptance
        self.marks: dict[str, Any] = {}

    def __contains__(self, share: int) -> bool:
        return share in self._journals

    def add(self, share: int, journal: Journal) -> None:
        """Add the journal of a share that was opened, with its messages and marks."""
        self._journals[share] = journal
        self.messages.update(journal.messages)
        for name, value in journal.marks.items():
            self.marks[name], self._mark_shares[name] = value, share

    def _journal_of(self, message: str) -> Journal:
        return self._journals[self._share_of(self.messages[message].destination)]

    @property
    def live(self) -> int:
        """As `Journal.live`."""
        return sum(journal.live for journal in self._journals.values())

    @property
    def waits(self) -> bool:
        """Whether `durable` may wait, as `Journal.waits`."""
        return any(journal.waits for journal in self._journals.values())

    def take(self, message: StoredMessage) -> None:
        """As `Journal.take`. Raises `NoRoomError` also if the share is not open here."""
        journal = self._journals.get(self._share_of(message.destination))
        if journal is None:
            raise NoRoomError("its share is not open here")
        journal.take(message)
        self.messages[message.id] = message

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """As `Journal.attempt`."""
        self._journal_of(message).attempt(message, number, at_ms, endpoint)

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """As `Journal.outcome`."""
        self._journal_of(message).outcome(message, number, may_have_run)

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """As `Journal.end`."""
        self._journal_of(message).end(message, outcome, retry_ms)

    def over(self, message: str) -> None:
        """As `Journal.over`."""
        if message in self.messages:
            self._journal_of(message).over(message)
            del self.messages[message]

    def mark(self, name: str, value: Any) -> None:
        """As `Journal.mark`, in the journal that has the mark, or else in that of the share of the endpoint `name`;
        dropped if that share is unknown or not open here. A mark that names no endpoint goes to all journals."""
        if name.startswith(_GLOBAL_PREFIX):
            self._mark_all(name, value)
            return
        share = self._mark_shares.get(name, self._share_at(name))
        if share is None or share not in self._journals:
            return  # no message depends on a mark
        self._journals[share].mark(name, value)
        if value is None:
            self.marks.pop(name, None)
            self._mark_shares.pop(name, None)
        else:
            self.marks[name], self._mark_shares[name] = value, share

    def _mark_all(self, name: str, value: Any) -> None:
        for journal in self._journals.values():
            journal.mark(name, value)
        self.marks.pop(name, None)
        if value is not None:
            self.marks[name] = value

    def partition_of(self, message: StoredMessage) -> int:
        """Return the share of a message (`courier.ports.Partitions`)."""
        return self._share_of(message.destination)

    def mark_partition(self, partition: int, name: str, value: Any) -> None:
        """Store a mark of one share (`courier.ports.Partitions`)."""
        self._journals[partition].mark(name, value)

    async def durable(self) -> None:
        """As `Journal.durable`, for all shares."""
        waiting = [journal.durable() for journal in self._journals.values() if journal.waits]
        if len(waiting) == 1:
            await waiting[0]
        elif waiting:
            await asyncio.gather(*waiting)

    def close(self) -> None:
        """Close all journals and release their folders."""
        for journal in self._journals.values():
            journal.close()
