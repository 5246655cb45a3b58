"""The messages of one key, in the order of their acceptance."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class Queued(Protocol):
    """A message of a key."""

    done: bool
    settled_us: int  # until when a call of it may still run

    @property
    def call(self) -> object | None:
        """The call that it is part of, None if there is none."""


Item = TypeVar("Item", bound=Queued)


@dataclass(slots=True)
class KeyQueue(Generic[Item]):
    """The messages of one key, and when the last one that has ended is settled."""

    messages: deque[Item] = field(default_factory=deque)
    settled_us: int = 0
    inherited_settled_us: int = 0  # as an earlier process reported it; no matter to a message tried there

    def drop_ended(self) -> None:
        """Drop the first messages that have ended and have no call."""
        while self.messages and self.messages[0].done and self.messages[0].call is None:
            self.settled_us = max(self.settled_us, self.messages.popleft().settled_us)
