"""What the core asks of a journal and of notices, and how it tells of calls. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from wheelstep.courier.call import Item, Result
from wheelstep.journal import Stored

Told = Callable[[str, Sequence[tuple[Item, Result]]], None]


class Book(Protocol):
    """What is asked of a journal: see `wheelstep.journal.Journal`."""

    @property
    def messages(self) -> dict[str, Stored]: ...

    @property
    def marks(self) -> dict[str, Any]: ...

    @property
    def waits(self) -> bool: ...

    def take(self, message: Stored) -> None: ...

    def attempt(self, message: str, number: int, at_ms: int, endpoint: str) -> None: ...

    def outcome(self, message: str, number: int, may_have_run: bool) -> None: ...

    def end(self, message: str, outcome: str, retry_ms: int) -> None: ...

    def over(self, message: str) -> None: ...

    def mark(self, name: str, value: Any) -> None: ...

    async def durable(self) -> None: ...


class Notices(Protocol):
    """Who is told of ends; once it has heard, `Core.answered`."""

    def owe(self, message: str, outcome: str, retry_ms: int) -> None:
        """Tell of this one as soon as can be."""


@dataclass(frozen=True, slots=True)
class CallsOut:
    """A call under way: where, since when (Unix time), and its messages with their attempts."""

    endpoint: str
    sent_ms: int
    attempts: list[tuple[str, int]]
