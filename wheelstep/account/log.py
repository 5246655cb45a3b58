"""What one courier's log tells of itself: its classes, when it ran, what held it up, whose turn a key was. No I/O."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass

from wheelstep.account.lines import Line
from wheelstep.account.spans import Cause, Span
from wheelstep.interface import Holdup

_HELD = {
    Holdup.SLOTS: Cause.SLOTS, Holdup.WINDOW: Cause.SLOTS, Holdup.LIMIT: Cause.LIMIT, Holdup.SICK: Cause.SICK,
    Holdup.RETURNING: Cause.RETURNING, Holdup.CROWDED: Cause.CONNECTION, Holdup.GONE: Cause.GONE,
    Holdup.DOUBT: Cause.DOUBT}


@dataclass(frozen=True, slots=True)
class Class:
    """A message class as a courier's first line tells it."""

    worth: float
    promise_ms: int
    deadline_ms: int
    late_worth: float
    halves: bool

    def worth_after(self, taken_ms: int) -> float:
        """What a delivery after so long earns."""
        if taken_ms >= self.deadline_ms:
            return 0.0
        late_ms = taken_ms - self.promise_ms
        if late_ms <= 0:
            return self.worth
        if self.halves:
            return self.worth * float(max(0.5 ** (late_ms / self.promise_ms), self.late_worth))
        return self.worth * (1 - (1 - self.late_worth) * late_ms / max(self.deadline_ms - self.promise_ms, 1))


Turns = dict[str, tuple[int, str]]


class Log:
    """What one courier's log tells of itself: when it ran, what held it up, which key was whose turn."""

    def __init__(self, courier: str) -> None:
        self.courier = courier
        self.classes: dict[str, Class] = {}
        self.last_ms = 0  # 0: no line yet
        self.downs: list[tuple[int, int]] = []  # from the last line of a process to the first of the next
        self._gauges: list[int] = []
        self._holds: list[dict[int, Cause]] = []
        self._keys: dict[str, list[str]] = {}  # the messages of each, in their order
        self._closed: dict[str, int] = {}  # message -> when it was over here

    def take(self, line: Line) -> None:
        """The next line, whatever its kind."""
        match line.kind:
            case "head":
                if self.last_ms:
                    self.downs.append((self.last_ms, line.at_ms))
                self._keys.clear()  # a process hashes keys in its own way
                self.classes.update({name: Class(*values) for name, values in line.fields[1].items()})
            case "gauge":
                self._holds.append({number: _HELD[Holdup(why)] for number, why, _ in line.fields[4]
                                    if Holdup(why) in _HELD})
                self._gauges.append(line.at_ms)
            case "take" | "back" if line.fields[3] is not None:
                self._keys.setdefault(line.fields[3], []).append(line.fields[0])
                self._closed.pop(line.fields[0], None)
            case "out" if line.fields[5]:
                self._closed[line.fields[0]] = line.at_ms
            case "end":
                self._closed[line.fields[0]] = line.at_ms
        self.last_ms = max(self.last_ms, line.at_ms)

    def turns(self) -> Turns:
        """Until when each message had others of its key before it, and the last of these. Once all lines are taken."""
        found: Turns = {}
        for messages in self._keys.values():
            until_ms, last = 0, ""
            for message in messages:
                if until_ms:
                    found[message] = until_ms, last
                if self._closed.get(message, 0) >= until_ms:
                    until_ms, last = self._closed.get(message, 0), message
        return found

    def waited(self, span: Span, destination: int) -> Iterator[Span]:
        """Divide the time that a message waited here, by the gauges: each tells of the time up to it. Where the
        destination is not held up, the message waits by itself, for the cause that the span has."""
        at_ms = span.from_ms
        for place in range(bisect_right(self._gauges, at_ms), len(self._gauges)):
            if at_ms >= span.to_ms:
                return
            to_ms = min(self._gauges[place], span.to_ms)
            yield Span(at_ms, to_ms, self._holds[place].get(destination, span.cause))
            at_ms = to_ms
        if at_ms < span.to_ms:
            yield Span(at_ms, span.to_ms, span.cause)

    def without_downs(self, span: Span) -> Iterator[Span]:
        """The span, with the time in which no process of this courier ran put on that."""
        at_ms = span.from_ms
        for down_ms, up_ms in self.downs[max(0, bisect_left(self.downs, (at_ms, at_ms)) - 1):]:
            if down_ms >= span.to_ms:
                break
            if up_ms <= at_ms:
                continue
            if down_ms > at_ms:
                yield span.within(at_ms, down_ms)
            at_ms = min(up_ms, span.to_ms)
            yield Span(max(down_ms, span.from_ms), at_ms, Cause.RESTART)
        if at_ms < span.to_ms:
            yield span.within(at_ms, span.to_ms)
