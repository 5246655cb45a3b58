"""The newest events of a courier in memory, written to its log when an invariant is violated. No I/O.

The log of an incident seldom covers the seconds that matter, as most events are too frequent for a line each. The
recorder keeps them in a ring buffer, and returns those that concern one message and its key.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

CAPACITY = 4_096
"""Events that are kept: about half a megabyte, some ten seconds at 100 messages a second."""


class EventKind(Enum):
    """Kind of an event; the values appear in log lines."""

    ACCEPTED = "accepted"
    RESTORED = "restored"
    ATTEMPT_STARTED = "attempt started"
    CALL_WRITTEN = "call written"
    ATTEMPT_ENDED = "attempt ended"
    COMPLETED = "completed"
    NOTIFIED = "notified"
    CONNECTION_CLOSED = "connection closed"
    STATE = "state"


@dataclass(frozen=True, slots=True)
class Event:
    """One event. `at_s` is monotonic time; `detail` gives the reason or the circumstances."""

    at_s: float
    kind: EventKind
    message: str = ""
    key: str | None = None
    detail: str = ""

    def __str__(self) -> str:
        return " ".join(filter(None, [f"{self.at_s:.3f}", self.kind.value, self.message, self.detail]))


class FlightRecorder:
    """A ring buffer of events."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._events: deque[Event] = deque(maxlen=capacity)

    def note(self, at_s: float, kind: EventKind, message: str = "", key: str | None = None, detail: str = "") -> None:
        """Store an event; the oldest one is dropped if the buffer is full."""
        self._events.append(Event(at_s, kind, message, key, detail))

    def related(self, message: str, key: str | None) -> list[Event]:
        """Return the events of a message, those of other messages of its key, and changes of state, oldest first."""
        return [event for event in self._events
                if event.kind is EventKind.STATE or event.message == message
                or key is not None and event.key == key]
