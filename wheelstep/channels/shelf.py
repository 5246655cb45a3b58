"""What the book of channels keeps: channels by name, part and message, their timers, and the marks that are to be
written. No I/O. A mark is ":c" and the channel's name; its value is what `Position.to_data` gives.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from itertools import count
from typing import Any

from wheelstep.channels.contracts import Contracts, part_of
from wheelstep.channels.line import Line
from wheelstep.channels.position import MAX_NUMBER, Position, PositionError
from wheelstep.channels.stored import from_data
from wheelstep.channels.terms import Contract, End

MARK = ":c"  # before a channel's name: the mark of its position
INHERITED = " inherited"  # in place of a name, which never begins so
_HOW = {"delivered": "delivered", "failed": "failed"}  # of the others it is known that they never ran


class Shelf:
    """The channels that this courier has."""

    def __init__(self, contracts: Contracts, parts: int, most_channels: int, now_ms: int) -> None:
        self.contracts = contracts  # replaced at a reload: channels that hold messages keep their terms
        self._parts, self._most, self._began_ms = parts, most_channels, now_ms
        self._lines: dict[str, Line] = {}
        self._by_part: dict[int, dict[str, None]] = {}
        self._by_message: dict[str, tuple[Line, int]] = {}
        self._shut: set[int] = set()
        self._inherited: set[int] = set()  # parts that came without the positions that their former owner had
        self._ready: dict[str, None] = {}  # to be looked at by `release`
        self._timers: list[tuple[int, int, Line]] = []  # a heap; some are out of date
        self._keeps: list[tuple[int, int, Line]] = []  # a heap, one of each channel: is it to be forgotten?
        self._serial = count()
        self._dirty: dict[str, None] = {}
        self.unreadable: list[str] = []  # marks that `restore` could not use, a line each

    def __len__(self) -> int:
        return len(self._lines)

    def _add(self, now_ms: int, name: str, position: Position) -> Line:
        line = Line(name, part_of(name, self._parts), position, now_ms)
        self._lines[name] = line
        self._by_part.setdefault(line.part, {})[name] = None
        heapq.heappush(self._keeps, (now_ms + position.terms.keep_ms, next(self._serial), line))
        for number, entry in position.entries.items():
            self._by_message[entry.message] = (line, number)
        return line

    def _fresh(self, terms: Contract, channel: str, number: int | None) -> Position:
        """The position of a channel that is not known here."""
        known = number is None or not 1 <= number <= MAX_NUMBER or part_of(channel, self._parts) not in self._inherited
        return Position(terms, 1 if known or number is None else number)

    def _forget(self, line: Line) -> None:
        del self._lines[line.name]
        mine = self._by_part[line.part]
        del mine[line.name]
        if not mine:
            del self._by_part[line.part]
        for entry in line.position.entries.values():
            self._by_message.pop(entry.message, None)
        self._ready.pop(line.name, None)
        self._dirty[line.name] = None

    def _touch(self, now_ms: int, line: Line, look: bool = True) -> None:
        """Something about it may have changed."""
        if line.noted != line.position.revision:
            line.noted, line.changed_ms = line.position.revision, now_ms
            self._dirty[line.name] = None
        if look:
            self._ready[line.name] = None
        due_ms = line.due()
        if due_ms is not None and (line.due_ms is None or due_ms < line.due_ms):
            line.due_ms = due_ms
            heapq.heappush(self._timers, (due_ms, next(self._serial), line))

    def _wake(self, now_ms: int) -> None:
        """Make ready what the clock says, and forget what nothing was heard of for long enough."""
        while self._timers and self._timers[0][0] <= now_ms:
            at_ms, _, line = heapq.heappop(self._timers)
            if line.due_ms == at_ms and self._lines.get(line.name) is line:
                line.due_ms = None
                self._ready[line.name] = None
        while self._keeps and self._keeps[0][0] <= now_ms:
            _, _, line = heapq.heappop(self._keeps)
            if self._lines.get(line.name) is not line:
                continue
            keep_ms = line.position.terms.keep_ms
            if not line.position.entries and line.changed_ms + keep_ms <= now_ms:
                self._forget(line)
                continue
            again_ms = now_ms + keep_ms if line.position.entries else line.changed_ms + keep_ms
            heapq.heappush(self._keeps, (again_ms, next(self._serial), line))

    def next_ms(self) -> int | None:
        """When `release` wants to be asked again: 0 at once, None never."""
        if self._ready:
            return 0
        return min((heap[0][0] for heap in (self._timers, self._keeps) if heap), default=None)

    # --- the journal ---

    def changes(self) -> list[tuple[str, Any | None]]:
        """The marks to write since this was last asked; None forgets one."""
        dirty, self._dirty = self._dirty, {}
        return [(MARK + name, self._value(name)) for name in dirty]

    def _value(self, name: str) -> Any | None:
        if name == INHERITED:
            return sorted(self._inherited) or None
        line = self._lines.get(name)
        return None if line is None else line.position.to_data()

    def restore(self, now_ms: int, marks: Mapping[str, Any], owed: Mapping[str, bool]) -> list[End]:
        """Take up what a journal holds. `owed`: the messages that have not ended, and whether an attempt of each may
        have run. Returns those of them that have ended by their position: they are over. A message that a position
        knows and that isn't owed was cut off before its 202, and is withdrawn. Messages of `owed` that no position
        knows are not this book's: `holds` tells."""
        ended: dict[str, str] = {}
        for mark, value in marks.items():
            if not mark.startswith(MARK):
                continue
            name = mark.removeprefix(MARK)
            if name == INHERITED:
                self._inherited.update(value)
                continue
            try:
                position = from_data(value)
            except PositionError as error:
                self.unreadable.append(f"channel {name!r}: {error}")
                continue
            if not position.entries:
                position.terms = self._terms(name) or position.terms
            line = self._add(now_ms, name, position)
            ended |= {message: outcome for message, outcome in position.recorded_outcomes() if message in owed}
            for number, entry in list(position.entries.items()):
                if entry.message not in owed:
                    del self._by_message[entry.message]
                    line.withdrawn(number)
                elif owed[entry.message]:
                    position.mark_unclear(number)
            self._touch(now_ms, line)
        return [End(message, _HOW.get(outcome, "refused")) for message, outcome in ended.items()
                if message not in self._by_message]

    def _terms(self, channel: str) -> Contract | None:
        return self.contracts.named(channel.partition("/")[0])
