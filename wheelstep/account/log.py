"""What one courier's log states about the courier: its classes, when it ran, what held messages up, the order within
keys. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass

from wheelstep.account.lines import Line
from wheelstep.account.spans import Cause, Span
from wheelstep.interface import WaitReason

_CAUSE_BY_WAIT_REASON = {
    WaitReason.SLOTS: Cause.SLOTS, WaitReason.WINDOW: Cause.SLOTS, WaitReason.LIMIT: Cause.LIMIT,
    WaitReason.SICK: Cause.SICK, WaitReason.RETURNING: Cause.RETURNING, WaitReason.CROWDED: Cause.CONNECTION,
    WaitReason.GONE: Cause.GONE, WaitReason.DOUBT: Cause.DOUBT}


@dataclass(frozen=True, slots=True)
class Class:
    """A message class as the first line of a courier's log states it."""

    worth: float
    promise_ms: int
    deadline_ms: int
    late_worth: float
    halves: bool

    def worth_after(self, taken_ms: int) -> float:
        """Return the worth of a delivery this long after the client's first request."""
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
    """The state of one courier over time, read from its log."""

    def __init__(self, courier: str) -> None:
        """Start with no lines."""
        self.courier = courier
        self.classes: dict[str, Class] = {}
        self.last_ms = 0  # 0: no line yet
        self.downtimes: list[tuple[int, int]] = []  # (last line of a process, first line of the next)
        self._gauges: list[int] = []
        self._wait_causes: list[dict[int, Cause]] = []
        self._key_queues: dict[str, list[str]] = {}  # key -> its messages, in order
        self._ended_ms: dict[str, int] = {}  # message -> when it ended at this courier

    def take(self, line: Line) -> None:
        """Add the next line, whatever its kind."""
        match line.kind:
            case "head":
                if self.last_ms:
                    self.downtimes.append((self.last_ms, line.at_ms))
                self._key_queues.clear()  # each process hashes keys with its own salt
                self.classes.update({name: Class(*values) for name, values in line.fields[1].items()})
            case "gauge":
                self._wait_causes.append({
                    number: _CAUSE_BY_WAIT_REASON[WaitReason(reason)] for number, reason, _ in line.fields[4]
                    if WaitReason(reason) in _CAUSE_BY_WAIT_REASON})
                self._gauges.append(line.at_ms)
            case "take" | "back" if line.fields[3] is not None:
                self._key_queues.setdefault(line.fields[3], []).append(line.fields[0])
                self._ended_ms.pop(line.fields[0], None)
            case "out" if line.fields[5]:
                self._ended_ms[line.fields[0]] = line.at_ms
            case "end":
                self._ended_ms[line.fields[0]] = line.at_ms
        self.last_ms = max(self.last_ms, line.at_ms)

    def turns(self) -> Turns:
        """Return for each message until when others of its key were before it, and the last of these. Call this after
        all lines are added."""
        found: Turns = {}
        for messages in self._key_queues.values():
            until_ms, last = 0, ""
            for message in messages:
                if until_ms:
                    found[message] = until_ms, last
                if self._ended_ms.get(message, 0) >= until_ms:
                    until_ms, last = self._ended_ms.get(message, 0), message
        return found

    def split_by_wait_reason(self, span: Span, destination: int) -> Iterator[Span]:
        """Divide the time that a message waited here by the gauge lines, each of which covers the time up to it.

        Where the destination is not held up, the time keeps the span's own cause.
        """
        at_ms = span.from_ms
        for index in range(bisect_right(self._gauges, at_ms), len(self._gauges)):
            if at_ms >= span.to_ms:
                return
            to_ms = min(self._gauges[index], span.to_ms)
            yield Span(at_ms, to_ms, self._wait_causes[index].get(destination, span.cause))
            at_ms = to_ms
        if at_ms < span.to_ms:
            yield Span(at_ms, span.to_ms, span.cause)

    def split_by_downtime(self, span: Span) -> Iterator[Span]:
        """Yield the span, with the time in which no process of this courier ran attributed to `Cause.RESTART`."""
        at_ms = span.from_ms
        for down_ms, up_ms in self.downtimes[max(0, bisect_left(self.downtimes, (at_ms, at_ms)) - 1):]:
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
