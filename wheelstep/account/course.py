"""What a message's time went on, from the lines of all couriers that had it. Decisions only: no I/O, no clock.

A course runs from the moment at which the first courier was asked until the message was delivered, or had its last end.
It falls into spans, each with one cause. What the message lost of its worth is put on the spans by their length: who
made it wait twice as long has cost twice as much.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from wheelstep.account.lines import Line
from wheelstep.interface import Holdup

SLACK_MS = 500  # an end may be told so long after its time (the rules' slack); later ones count as never told


class Cause(Enum):
    """What a message's time goes on, in the words of the tables."""

    LIMIT = "limit waited for"
    REFUSED = "refused"
    SICK = "sick destination"
    RETURNING = "destination on its way back"
    GONE = "no endpoint up"
    ORDER = "order"
    SLOTS = "slots or window"
    CONNECTION = "connection not to be had"
    DOUBT = "no endpoint that it may go to"
    RESTART = "courier down"
    ANSWERING = "being answered"
    DOOR = "refused at the door"
    CLIENT = "with its client"
    NEVER = "never answered"
    UNKNOWN = "not told"


_HELD = {
    Holdup.SLOTS: Cause.SLOTS, Holdup.WINDOW: Cause.SLOTS, Holdup.LIMIT: Cause.LIMIT, Holdup.SICK: Cause.SICK,
    Holdup.RETURNING: Cause.RETURNING, Holdup.CROWDED: Cause.CONNECTION, Holdup.GONE: Cause.GONE,
    Holdup.DOUBT: Cause.DOUBT}
_CALLED = {"ok": Cause.ANSWERING, "full": Cause.REFUSED, "connect_failed": Cause.CONNECTION,
           "not_sent": Cause.CONNECTION}


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


@dataclass(frozen=True, slots=True)
class Span:
    """Some of a course, with what it went on."""

    from_ms: int
    to_ms: int
    cause: Cause
    behind: Cause | None = None  # ORDER: what the message in front spent the time on

    def within(self, from_ms: int, to_ms: int) -> Span:
        """The part of it in these bounds; empty where there is none."""
        start_ms = min(max(self.from_ms, from_ms), to_ms)
        return Span(start_ms, max(min(self.to_ms, to_ms), start_ms), self.cause, self.behind)


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


@dataclass(slots=True)
class Course:
    """One message's lines over all couriers."""

    message: str
    cls: str = ""
    destination: int = -1
    lines: list[tuple[int, int, str, Line]] = field(default_factory=list)  # when, which, courier, line

    def add(self, courier: str, line: Line) -> None:
        """One more line with this message."""
        if line.kind in ("take", "back"):
            self.cls, self.destination = line.fields[1], line.fields[2]
        elif line.kind == "door":
            self.cls = line.fields[1]
        self.lines.append((line.at_ms, len(self.lines), courier, line))

    def began_ms(self, classes: dict[str, Class]) -> int:
        """When its client first asked anybody, also where that was before the first line."""
        first = self.lines[0][3]
        if first.kind in ("take", "back") and first.fields[5] and self.cls in classes:
            return first.at_ms - max(0, classes[self.cls].deadline_ms - int(first.fields[4]))
        return first.at_ms

    def delivered_ms(self) -> int | None:
        """When it was, by what couriers heard."""
        return next((at_ms for at_ms, _, _, line in self.lines if line.kind == "out" and line.fields[5]), None)

    def answered(self) -> bool:
        """Has the last courier that took it on told an end?"""
        owed: set[str] = set()
        for _, _, courier, line in self.lines:
            if line.kind in ("take", "back"):
                owed.add(courier)
            elif line.kind == "end" or line.kind == "out" and line.fields[5]:
                owed.discard(courier)
        return not owed

    def spans(self, logs: dict[str, Log], turns: dict[str, Turns], until_ms: int,
              front: Callable[[str], Sequence[Span]]) -> list[Span]:
        """All its time, up to its delivery or `until_ms`. `front` gives the spans of a message before it."""
        found: list[Span] = []
        over_ms = min(self.delivered_ms() or until_ms, until_ms)
        for at, (at_ms, _, courier, line) in enumerate(self.lines):
            if at_ms >= over_ms:
                break
            later = self.lines[at + 1] if at + 1 < len(self.lines) else None
            to_ms = min(later[0] if later is not None else over_ms, over_ms)
            turn = turns[courier].get(self.message, (0, ""))
            found += self._after(line, at, Span(at_ms, to_ms, Cause.UNKNOWN), logs[courier], turn, front)
        return joined(found)

    def _after(self, line: Line, at: int, span: Span, log: Log, turn: tuple[int, str],
               front: Callable[[str], Sequence[Span]]) -> Iterable[Span]:
        """What the time from this line to the next went on."""
        match line.kind:
            case "door":
                return [Span(span.from_ms, span.to_ms, Cause.DOOR)]
            case "end":
                return [Span(span.from_ms, span.to_ms, Cause.CLIENT)]
            case "go":
                out = next((row[3] for row in self.lines[at + 1:]
                            if row[3].kind == "out" and row[3].fields[:3] == line.fields[:3]), None)
                cause = Cause.UNKNOWN if out is None else _CALLED.get(out.fields[3], Cause.SICK)
                return log.without_downs(Span(span.from_ms, span.to_ms, cause))
            case "out":
                cause = _CALLED.get(line.fields[3], Cause.SICK)
            case _:
                cause = Cause.CONNECTION  # on its way to one: nothing holds its destination up
        parts: list[Span] = []
        turn_ms = min(turn[0], span.to_ms)
        if turn_ms > span.from_ms:
            parts += behind(front(turn[1]), span.from_ms, turn_ms)
        start_ms = max(span.from_ms, turn_ms)
        parts += log.waited(Span(start_ms, span.to_ms, cause), self.destination)
        return [piece for part in parts for piece in log.without_downs(part)]


@dataclass(frozen=True, slots=True)
class Loss:
    """What one message lost, and on what."""

    message: str
    cls: str
    worth: float
    lost: float
    how: str  # in time, late, handed_back, given_up, never
    courier: str  # the last that had it
    parts: list[tuple[Span, float]]


def joined(spans: Iterable[Span]) -> list[Span]:
    """The same with neighbours of one cause as one, and without empty ones. Guards against messages of a long queue,
    each of which would carry the pieces of all in front."""
    found: list[Span] = []
    for span in spans:
        last = found[-1] if found else None
        if last is not None and (last.to_ms, last.cause, last.behind) == (span.from_ms, span.cause, span.behind):
            found[-1] = Span(last.from_ms, span.to_ms, last.cause, last.behind)
        elif span.to_ms > span.from_ms:
            found.append(span)
    return found


def behind(spans: Sequence[Span], from_ms: int, to_ms: int) -> Iterator[Span]:
    """The time in which a message waited for its turn, by what the one in front spent it on."""
    at_ms = from_ms
    for span in (span.within(from_ms, to_ms) for span in spans):
        if span.from_ms > at_ms:  # rest between two ends, or time that no line tells of
            yield Span(at_ms, span.from_ms, Cause.ORDER)
        if span.to_ms > span.from_ms:
            yield Span(span.from_ms, span.to_ms, Cause.ORDER, span.behind or span.cause)
        at_ms = max(at_ms, span.to_ms)
    if at_ms < to_ms:
        yield Span(at_ms, to_ms, Cause.ORDER)


class Courses:
    """All of them, with the spans of each worked out once. `until_ms`: when the logs end."""

    def __init__(self, courses: dict[str, Course], logs: dict[str, Log]) -> None:
        self._courses, self._logs, self._spans = courses, logs, dict[str, list[Span]]()
        self._turns = {name: log.turns() for name, log in logs.items()}
        self._until_ms = max((log.last_ms for log in logs.values()), default=0)
        self.classes: dict[str, Class] = {}
        for log in logs.values():
            self.classes.update(log.classes)
        for course in courses.values():  # by time: its lines came courier by courier
            course.lines.sort(key=lambda row: row[:2])

    def _due_ms(self, course: Course) -> int:
        return course.began_ms(self.classes) + self.classes[course.cls].deadline_ms

    def _fronts(self, course: Course) -> set[str]:
        return {turn[1] for _, _, courier, _ in course.lines
                if (turn := self._turns[courier].get(course.message)) is not None}

    def spans(self, message: str) -> list[Span]:
        """What its time went on. Those in front come first; a stack of its own, since a key may have thousands."""
        stack = [message]
        opened: set[str] = set()
        while stack:
            course = self._courses[stack[-1]]
            if course.message in self._spans or course.cls not in self.classes:
                stack.pop()
            elif course.message not in opened:
                opened.add(course.message)
                stack += [front for front in self._fronts(course) if front not in opened]
            else:
                until_ms = min(self._until_ms, self._due_ms(course))
                self._spans[stack.pop()] = course.spans(
                    self._logs, self._turns, until_ms, lambda front: self._spans.get(front, ()))
        return self._spans.get(message, [])

    def loss(self, course: Course) -> Loss | None:
        """What became of it; None while its time has not passed, or where no log tells its class."""
        cls = self.classes.get(course.cls)
        if cls is None:
            return None
        began_ms, due_ms = course.began_ms(self.classes), self._due_ms(course)
        delivered_ms, courier = course.delivered_ms(), course.lines[-1][2]
        if delivered_ms is not None:
            lost = cls.worth - cls.worth_after(delivered_ms - began_ms)
            how = "late" if lost > 0 else "in time"
        elif not course.answered():
            if self._until_ms < due_ms + SLACK_MS:
                return None
            return Loss(course.message, course.cls, cls.worth, cls.worth, "never", courier,
                        [(Span(course.lines[-1][0], due_ms, Cause.NEVER), cls.worth)])
        else:
            ends = [row[3] for row in course.lines if row[3].kind in ("end", "door")]
            lost, how = cls.worth, str(ends[-1].fields[1]) if ends[-1].kind == "end" else "refused at the door"
        return Loss(course.message, course.cls, cls.worth, lost, how, courier,
                    share(self.spans(course.message), lost, course.lines[-1][0]))


def share(spans: Sequence[Span], lost: float, at_ms: int) -> list[tuple[Span, float]]:
    """Put a loss on spans by their length, second by second; where there is none, on what nobody tells."""
    if not lost:
        return []
    total_ms = sum(span.to_ms - span.from_ms for span in spans)
    if not total_ms:
        return [(Span(at_ms, at_ms, Cause.UNKNOWN), lost)]
    seconds = [span.within(at_s * 1000, at_s * 1000 + 1000) for span in spans
               for at_s in range(span.from_ms // 1000, (span.to_ms - 1) // 1000 + 1)]
    return [(span, lost * (span.to_ms - span.from_ms) / total_ms) for span in seconds]
