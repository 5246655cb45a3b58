"""State of a courier's channels, by name, part and message, with their timers and the journal marks to be written. The
mark of a channel is named ":c" and its name; its value is that of `Position.to_data`. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from itertools import count
from typing import Any

from wheelstep.channels.contracts import Contracts, part_of
from wheelstep.channels.line import ChannelQueue
from wheelstep.channels.position import MAX_NUMBER, Position, PositionError
from wheelstep.channels.stored import from_data
from wheelstep.channels.terms import Contract, End

MARK_PREFIX = ":c"  # prefix of the mark that holds a channel's position
INHERITED = " inherited"  # in place of a channel's name, which never starts with a space: the mark of inherited parts
_END_OUTCOMES = {"delivered": "delivered", "failed": "failed"}  # with any other, the message never ran: "refused"


class ChannelStore:
    """The channels of this courier: at most `max_channels`, divided into `parts` parts. Times are milliseconds of a
    clock of this process."""

    def __init__(self, contracts: Contracts, parts: int, max_channels: int, now_ms: int) -> None:
        self.contracts = contracts  # replaced by a reload; channels that hold messages keep their terms
        self._parts, self._max_channels, self._began_ms = parts, max_channels, now_ms
        self._queues: dict[str, ChannelQueue] = {}
        self._by_part: dict[int, dict[str, None]] = {}
        self._by_message: dict[str, tuple[ChannelQueue, int]] = {}
        self._shut: set[int] = set()
        self._inherited: set[int] = set()  # parts of which a former owner has positions that are missing here
        self._release_due: dict[str, None] = {}  # names of channels that `release` has to visit
        self._timers: list[tuple[int, int, ChannelQueue]] = []  # heap; entries may be obsolete
        self._expiries: list[tuple[int, int, ChannelQueue]] = []  # heap, one per channel: when it may be forgotten
        self._serials = count()
        self._changed_names: dict[str, None] = {}
        self.unreadable: list[str] = []  # a line for each mark that `restore` could not use

    def __len__(self) -> int:
        return len(self._queues)

    def _add(self, now_ms: int, name: str, position: Position) -> ChannelQueue:
        """Add a channel with this position and the messages held in it."""
        queue = ChannelQueue(name, part_of(name, self._parts), position, now_ms)
        self._queues[name] = queue
        self._by_part.setdefault(queue.part, {})[name] = None
        heapq.heappush(self._expiries, (now_ms + position.terms.keep_ms, next(self._serials), queue))
        for number, entry in position.entries.items():
            self._by_message[entry.message] = (queue, number)
        return queue

    def _new_position(self, terms: Contract, channel: str, number: int | None) -> Position:
        """Return a position for a channel that is not known here. It starts at the client's number if positions of the
        part are missing here, else at 1."""
        at_one = number is None or not 1 <= number <= MAX_NUMBER \
            or part_of(channel, self._parts) not in self._inherited
        return Position(terms, 1 if at_one or number is None else number)

    def _forget(self, queue: ChannelQueue) -> None:
        """Remove a channel and its messages; its mark will be removed too."""
        del self._queues[queue.name]
        names = self._by_part[queue.part]
        del names[queue.name]
        if not names:
            del self._by_part[queue.part]
        for entry in queue.position.entries.values():
            self._by_message.pop(entry.message, None)
        self._release_due.pop(queue.name, None)
        self._changed_names[queue.name] = None

    def _note_change(self, now_ms: int, queue: ChannelQueue, release_due: bool = True) -> None:
        """Record that a channel may have changed: its mark if the position did, its timer, and with `release_due` that
        `release` has to visit it."""
        if queue.noted_revision != queue.position.revision:
            queue.noted_revision, queue.changed_ms = queue.position.revision, now_ms
            self._changed_names[queue.name] = None
        if release_due:
            self._release_due[queue.name] = None
        due_ms = queue.next_due_ms()
        if due_ms is not None and (queue.due_ms is None or due_ms < queue.due_ms):
            queue.due_ms = due_ms
            heapq.heappush(self._timers, (due_ms, next(self._serials), queue))

    def _run_timers(self, now_ms: int) -> None:
        """Mark channels whose timer has expired for `release`, and forget empty channels unchanged for their contract's
        `keep`."""
        while self._timers and self._timers[0][0] <= now_ms:
            at_ms, _, queue = heapq.heappop(self._timers)
            if queue.due_ms == at_ms and self._queues.get(queue.name) is queue:
                queue.due_ms = None
                self._release_due[queue.name] = None
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, _, queue = heapq.heappop(self._expiries)
            if self._queues.get(queue.name) is not queue:
                continue
            keep_ms = queue.position.terms.keep_ms
            if not queue.position.entries and queue.changed_ms + keep_ms <= now_ms:
                self._forget(queue)
                continue
            check_ms = now_ms + keep_ms if queue.position.entries else queue.changed_ms + keep_ms
            heapq.heappush(self._expiries, (check_ms, next(self._serials), queue))

    def next_ms(self) -> int | None:
        """Return the time in milliseconds at which `release` has to be called again: 0 for now, None for not before the
        next change."""
        if self._release_due:
            return 0
        return min((heap[0][0] for heap in (self._timers, self._expiries) if heap), default=None)

    # --- the journal ---

    def changed_marks(self) -> list[tuple[str, Any | None]]:
        """Return the marks that changed since the last call; None as the value removes a mark."""
        names, self._changed_names = self._changed_names, {}
        return [(MARK_PREFIX + name, self._mark_value(name)) for name in names]

    def _mark_value(self, name: str) -> Any | None:
        """Return the value of a mark, or None if it is to be removed."""
        if name == INHERITED:
            return sorted(self._inherited) or None
        queue = self._queues.get(name)
        return None if queue is None else queue.position.to_data()

    def restore(self, now_ms: int, marks: Mapping[str, Any], owed: Mapping[str, bool]) -> list[End]:
        """Restore the state that a journal holds.

        `owed` has the messages that have not ended, each with whether an attempt may have run. Returns the ends of
        those that have ended according to their position: the journal was cut off before it said so. A message that a
        position holds and that is not in `owed` was cut off before its 202, and is withdrawn. For a message of `owed`
        that no position knows, `holds` returns False. Unusable marks are left out, with one line each in `unreadable`.
        """
        ended: dict[str, str] = {}
        for mark, value in marks.items():
            if not mark.startswith(MARK_PREFIX):
                continue
            name = mark.removeprefix(MARK_PREFIX)
            if name == INHERITED:
                self._inherited.update(value)
                continue
            try:
                position = from_data(value)
            except PositionError as error:
                self.unreadable.append(f"channel {name!r}: {error}")
                continue
            if not position.entries:
                position.terms = self._current_terms(name) or position.terms
            queue = self._add(now_ms, name, position)
            ended |= {message: outcome for message, outcome in position.recorded_outcomes() if message in owed}
            for number, entry in list(position.entries.items()):
                if entry.message not in owed:
                    del self._by_message[entry.message]
                    queue.withdrawn(number)
                elif owed[entry.message]:
                    position.mark_unclear(number)
            self._note_change(now_ms, queue)
        return [End(message, _END_OUTCOMES.get(outcome, "refused")) for message, outcome in ended.items()
                if message not in self._by_message]

    def _current_terms(self, channel: str) -> Contract | None:
        """Return the terms in force for a channel's contract, or None if it is not declared any more."""
        return self.contracts.named(channel.partition("/")[0])
