"""Interfaces of the core to the journal, to notifications and to another process. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from wheelstep.courier.call import Contradiction, Item, Result
from wheelstep.journal import StoredMessage


class JournalPort(Protocol):
    """The part of a journal that the core uses: see `wheelstep.journal.Journal`."""

    @property
    def messages(self) -> dict[str, StoredMessage]:
        """Messages whose end is owed, by id."""
        ...

    @property
    def marks(self) -> dict[str, Any]:
        """Stored marks by name."""
        ...

    @property
    def live(self) -> int:
        """About how many bytes the messages take."""
        ...

    @property
    def waits(self) -> bool:
        """Whether `durable` may have to wait."""
        ...

    def take(self, message: StoredMessage) -> None:
        """Write a new message."""
        ...

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None:
        """Write the start of an attempt."""
        ...

    def outcome(self, message: str, number: int, may_have_run: bool) -> None:
        """Write the outcome of an attempt that did not complete its message."""
        ...

    def end(self, message: str, outcome: str, retry_ms: int) -> None:
        """Write the end of a message, whose notification is owed from then on."""
        ...

    def over(self, message: str) -> None:
        """Write that nothing more is owed of a message."""
        ...

    def mark(self, name: str, value: Any) -> None:
        """Store a mark, or remove it if the value is None."""
        ...

    async def durable(self) -> None:
        """Wait until written records are durable by the sync policy; raises `NoRoomError`."""
        ...


class Partitions(Protocol):
    """The parts of a journal that have folders of their own, such as the shares of a worker. The sequence numbers of
    messages are comparable within one only."""

    def partition_of(self, message: StoredMessage) -> int:
        """Return the partition of a message."""
        ...

    def mark_partition(self, partition: int, name: str, value: Any) -> None:
        """Store a mark in one partition."""
        ...


class NotificationSender(Protocol):
    """Sends notifications of ends; calls `Core.answered` once they are answered."""

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """Send a notification of this end as soon as possible."""


class Successor(Protocol):
    """The process that owns the messages after a handover. What the calls of this process still bring goes to it."""

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Pass on the outcomes of a call that was in flight at the handover."""

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        """Pass on a wait that an endpoint stated in an answer to this process."""

    def contradicted(self, contradiction: Contradiction) -> None:
        """Pass on that an answer to a call of this process was a copy of an earlier one."""


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call under way: its endpoint, its start (Unix time), and its messages with their attempts."""

    endpoint: str
    sent_ms: int
    attempts: list[tuple[str, int]]
