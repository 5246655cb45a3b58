"""What has happened and is not on disk yet, because the disk did not take it: messages and facts by name.

Records reach the disk in the order of events. Nothing that may rely on an event is written before the event is, so
that after a kill the journal shows a state that the process really was in, at most an older one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from wheelstep.journal import codec
from wheelstep.journal.segments import Segment
from wheelstep.journal.state import State, StoredMessage


class RecordWriter(Protocol):
    """The part of a journal that writes records."""

    def append_reserved(self, record: bytes) -> Segment:
        """Append a record that may use the reserve. Raises `OSError`."""

    def assign_segment(self, message: StoredMessage, segment: Segment) -> None:
        """Record that a message's current full record is in this segment."""

    def assign_fact(self, name: str, segment: Segment) -> None:
        """Record that a fact's current record is in this segment."""


class DeferredEvents:
    """Messages and facts whose state in memory is newer than the one on disk."""

    def __init__(self, state: State, writer: RecordWriter, on_deferred: Callable[[str, OSError], None]) -> None:
        """`on_deferred` is called for the first event that the disk does not take."""
        self._state, self._writer, self._on_deferred = state, writer, on_deferred
        self._messages: dict[str, None] = {}
        self._facts: dict[str, None] = {}
        self.total = 0  # events since the start that could not be written at once

    def __bool__(self) -> bool:
        return bool(self._messages or self._facts)

    def write_event(self, name: str, record: bytes) -> None:
        """Write an event of a message that has already happened, or defer it until the disk accepts writes.

        A full or broken disk must not stop the process: memory stays current.
        """
        if self:
            self.defer_message(name)
            self.write()
            return
        try:
            self._writer.append_reserved(record)
        except OSError as error:
            self.defer_message(name)
            self._on_deferred(name, error)

    def write_fact(self, name: str) -> None:
        """Write a fact, or defer it until the disk accepts writes."""
        self._facts[name] = None
        if not self.write():
            self.total += 1

    def defer_message(self, name: str) -> None:
        """Note that the disk has an older state of a message than memory."""
        self.total += 1
        self._messages[name] = None
        if (message := self._state.messages.get(name)) is not None:
            message.unwritten = True

    def write(self) -> bool:
        """Write what was deferred. True once nothing is left."""
        try:
            for name in list(self._messages):
                self._write_message(name)
                del self._messages[name]
            for name in list(self._facts):
                value = self._state.marks.get(name)
                segment = self._writer.append_reserved(codec.fact(name, value))
                if value is not None:
                    self._writer.assign_fact(name, segment)
                del self._facts[name]
        except OSError:
            return False
        return True

    def _write_message(self, name: str) -> None:
        message = self._state.messages.get(name)
        if message is None:
            self._writer.append_reserved(codec.over(name))
            return
        self._writer.assign_segment(message, self._writer.append_reserved(codec.take(message)))
        message.unwritten = False
