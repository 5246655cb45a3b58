"""The messages that ended a short while ago. No I/O; the clock is handed in.

A request may come twice: a client, or a proxy before the courier, may send it again on another connection because it
saw no answer to the first one. Until a message ends, the journal knows it; after that, the second request would be
accepted as a new message with the same id, and run again.
"""

from __future__ import annotations

from collections.abc import Iterable

KEEP_S = 60.0
"""For so long after its end a message is known."""
MAX_MESSAGES = 4_096
"""Messages that are known at most; the oldest is forgotten for a further one."""


class EndedMessages:
    """The ids of messages that ended in the last `KEEP_S` seconds of monotonic time."""

    def __init__(self) -> None:
        self._ended_at: dict[str, float] = {}  # by id, oldest first

    def add(self, message: str, now_s: float) -> None:
        """Note that a message has ended and that nothing more is owed of it."""
        self._ended_at.pop(message, None)
        self._ended_at[message] = now_s
        while (len(self._ended_at) > MAX_MESSAGES
               or now_s - self._ended_at[next(iter(self._ended_at))] > KEEP_S):
            del self._ended_at[next(iter(self._ended_at))]

    def holds(self, message: str, now_s: float) -> bool:
        """Return whether the message ended within the last `KEEP_S` seconds."""
        ended_at = self._ended_at.get(message)
        return ended_at is not None and now_s - ended_at <= KEEP_S

    def ages_us(self, now_s: float) -> list[tuple[str, int]]:
        """Return the known messages, oldest first, with the microseconds since each ended."""
        return [(message, int((now_s - ended_at) * 1e6)) for message, ended_at in self._ended_at.items()]

    def restore(self, ages_us: Iterable[tuple[str, int]], now_s: float) -> None:
        """Take over what `ages_us` of the process before returned."""
        for message, age_us in ages_us:
            self.add(message, now_s - age_us / 1e6)
