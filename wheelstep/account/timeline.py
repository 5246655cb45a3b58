"""Attributes each message's time to causes, from the lines of all couriers that had it. No I/O, no clock.

A message's timeline runs from its client's first request until its delivery or its last end. It is divided into spans
with one cause each. The value that the message lost is distributed over the spans by their length: a cause that delayed
it twice as long has cost twice as much. `spans` has the causes, `log` the state of each courier.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from wheelstep.account.lines import Line
from wheelstep.account.log import Class, Log, Turns
from wheelstep.account.spans import Cause, Span, behind, merged, share

SLACK_MS = 500  # an end may be logged this long after the deadline (the rules' slack); later ones count as missing
_CAUSE_BY_OUTCOME = {"ok": Cause.ANSWERING, "full": Cause.REFUSED, "connect_failed": Cause.CONNECTION,
           "not_sent": Cause.CONNECTION}


@dataclass(slots=True)
class MessageTimeline:
    """One message's lines from all couriers."""

    message: str
    cls: str = ""
    destination: int = -1
    lines: list[tuple[int, int, str, Line]] = field(default_factory=list)  # time, index, courier, line

    def add(self, courier: str, line: Line) -> None:
        """Add a line about this message."""
        if line.kind in ("take", "back"):
            self.cls, self.destination = line.fields[1], line.fields[2]
        elif line.kind == "door":
            self.cls = line.fields[1]
        self.lines.append((line.at_ms, len(self.lines), courier, line))

    def began_ms(self, classes: dict[str, Class]) -> int:
        """Return when the client sent its first request, which may be before the first line."""
        first = self.lines[0][3]
        if first.kind in ("take", "back") and first.fields[5] and self.cls in classes:
            return first.at_ms - max(0, classes[self.cls].deadline_ms - int(first.fields[4]))
        return first.at_ms

    def delivered_ms(self) -> int | None:
        """Return when the message was delivered as far as couriers know, or None."""
        return next((at_ms for at_ms, _, _, line in self.lines if line.kind == "out" and line.fields[5]), None)

    def answered(self) -> bool:
        """Return whether each courier that accepted the message has logged its end."""
        owed: set[str] = set()
        for _, _, courier, line in self.lines:
            if line.kind in ("take", "back"):
                owed.add(courier)
            elif line.kind == "end" or line.kind == "out" and line.fields[5]:
                owed.discard(courier)
        return not owed

    def spans(self, logs: dict[str, Log], turns: dict[str, Turns], until_ms: int,
              front: Callable[[str], Sequence[Span]]) -> list[Span]:
        """Return the spans up to the delivery or `until_ms`. `front` returns the spans of the message before it in its
        key's order."""
        found: list[Span] = []
        end_ms = min(self.delivered_ms() or until_ms, until_ms)
        for index, (at_ms, _, courier, line) in enumerate(self.lines):
            if at_ms >= end_ms:
                break
            later = self.lines[index + 1] if index + 1 < len(self.lines) else None
            to_ms = min(later[0] if later is not None else end_ms, end_ms)
            turn = turns[courier].get(self.message, (0, ""))
            found += self._spans_after(line, index, Span(at_ms, to_ms, Cause.UNKNOWN), logs[courier], turn, front)
        return merged(found)

    def _spans_after(self, line: Line, index: int, span: Span, log: Log, turn: tuple[int, str],
               front: Callable[[str], Sequence[Span]]) -> Iterable[Span]:
        """Return the spans between this line and the next."""
        match line.kind:
            case "door":
                return [Span(span.from_ms, span.to_ms, Cause.DOOR)]
            case "end":
                return [Span(span.from_ms, span.to_ms, Cause.CLIENT)]
            case "go":
                out = next((row[3] for row in self.lines[index + 1:]
                            if row[3].kind == "out" and row[3].fields[:3] == line.fields[:3]), None)
                cause = Cause.UNKNOWN if out is None else _CAUSE_BY_OUTCOME.get(out.fields[3], Cause.SICK)
                return log.split_by_downtime(Span(span.from_ms, span.to_ms, cause))
            case "out":
                cause = _CAUSE_BY_OUTCOME.get(line.fields[3], Cause.SICK)
            case _:
                cause = Cause.CONNECTION  # being connected: nothing holds its destination up
        parts: list[Span] = []
        turn_ms = min(turn[0], span.to_ms)
        if turn_ms > span.from_ms:
            parts += behind(front(turn[1]), span.from_ms, turn_ms)
        start_ms = max(span.from_ms, turn_ms)
        parts += log.split_by_wait_reason(Span(start_ms, span.to_ms, cause), self.destination)
        return [piece for part in parts for piece in log.split_by_downtime(part)]


@dataclass(frozen=True, slots=True)
class Loss:
    """What one message lost, by cause."""

    message: str
    cls: str
    worth: float
    lost: float
    how: str  # one of: in time, late, handed_back, given_up, never, refused at the door
    courier: str  # the last courier that had it
    parts: list[tuple[Span, float]]


class MessageTimelines:
    """All messages, with the spans of each computed once."""

    def __init__(self, timelines: dict[str, MessageTimeline], logs: dict[str, Log]) -> None:
        """Prepare the lines of all messages. The logs count as complete up to their last line."""
        self._courses, self._logs, self._spans = timelines, logs, dict[str, list[Span]]()
        self._turns = {name: log.turns() for name, log in logs.items()}
        self._until_ms = max((log.last_ms for log in logs.values()), default=0)
        self.classes: dict[str, Class] = {}
        for log in logs.values():
            self.classes.update(log.classes)
        for timeline in timelines.values():  # the lines were added courier by courier; sort them by time
            timeline.lines.sort(key=lambda row: row[:2])

    def _due_ms(self, timeline: MessageTimeline) -> int:
        """Return the message's deadline."""
        return timeline.began_ms(self.classes) + self.classes[timeline.cls].deadline_ms

    def _predecessors(self, timeline: MessageTimeline) -> set[str]:
        """Return the messages that were directly before this one in its key's order, one per courier."""
        return {turn[1] for _, _, courier, _ in timeline.lines
                if (turn := self._turns[courier].get(timeline.message)) is not None}

    def spans(self, message: str) -> list[Span]:
        """Return a message's spans.

        Computes the messages before it in its key's order first, with an explicit stack, since a key may have
        thousands.
        """
        stack = [message]
        visited: set[str] = set()
        while stack:
            timeline = self._courses[stack[-1]]
            if timeline.message in self._spans or timeline.cls not in self.classes:
                stack.pop()
            elif timeline.message not in visited:
                visited.add(timeline.message)
                stack += [front for front in self._predecessors(timeline) if front not in visited]
            else:
                until_ms = min(self._until_ms, self._due_ms(timeline))
                self._spans[stack.pop()] = timeline.spans(
                    self._logs, self._turns, until_ms, lambda front: self._spans.get(front, ()))
        return self._spans.get(message, [])

    def loss(self, timeline: MessageTimeline) -> Loss | None:
        """Return what the message lost, or None while its deadline has not passed or if no log states its class."""
        cls = self.classes.get(timeline.cls)
        if cls is None:
            return None
        began_ms, due_ms = timeline.began_ms(self.classes), self._due_ms(timeline)
        delivered_ms, courier = timeline.delivered_ms(), timeline.lines[-1][2]
        if delivered_ms is not None:
            lost = cls.worth - cls.worth_after(delivered_ms - began_ms)
            how = "late" if lost > 0 else "in time"
        elif not timeline.answered():
            if self._until_ms < due_ms + SLACK_MS:
                return None
            return Loss(timeline.message, timeline.cls, cls.worth, cls.worth, "never", courier,
                        [(Span(timeline.lines[-1][0], due_ms, Cause.NEVER), cls.worth)])
        else:
            ends = [row[3] for row in timeline.lines if row[3].kind in ("end", "door")]
            lost, how = cls.worth, str(ends[-1].fields[1]) if ends[-1].kind == "end" else "refused at the door"
        return Loss(timeline.message, timeline.cls, cls.worth, lost, how, courier,
                    share(self.spans(timeline.message), lost, timeline.lines[-1][0]))
