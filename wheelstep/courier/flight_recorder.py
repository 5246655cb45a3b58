"""The newest events of a courier in memory, written to its log when an invariant is violated. No I/O.

The log of an incident seldom holds the seconds that matter: most events are too frequent for a line each. The recorder
keeps them in a ring of a fixed size, and gives those that concern one message and its key.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

CAPACITY = 4_096
"""Events that are kept: about half a megabyte, some ten seconds at 100 messages a second."""


class EventKind(Enum):
    """What happened."""

    ACCEPTED = "accepted"
    RESTORED = "restored"
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"
    COMPLETED = "completed"
    NOTIFIED = "notified"
    CONNECTION_CLOSED = "connection closed"
    STATE = "state"


@dataclass(frozen=True, slots=True)
class Event:
    """One event. `at_s` is monotonic; `detail` says why, or how."""

    at_s: float
    kind: EventKind
    message: str = ""
    key: str | None = None
    detail: str = ""

    def __str__(self) -> str:
        return " ".join(filter(None, [f"{self.at_s:.3f}", self.kind.value, self.message, self.detail]))


class FlightRecorder:
    """A ring of events."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._events: deque[Event] = deque(maxlen=capacity)

    def note(self, at_s: float, kind: EventKind, message: str = "", key: str | None = None, detail: str = "") -> None:
        """Keep one event, and drop the oldest one where the ring is full."""
        self._events.append(Event(at_s, kind, message, key, detail))

    def about(self, message: str, key: str | None) -> list[Event]:
        """Return the events of a message, those of other messages of its key, and changes of state, oldest first."""
        return [event for event in self._events
                if event.kind is EventKind.STATE or event.message == message
                or key is not None and event.key == key]
