"""Sums over all messages and couriers. No I/O: lines come in, tables come out."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.account.course import Course, Courses, Loss
from wheelstep.account.lines import Line, LineError, read
from wheelstep.account.log import Log
from wheelstep.account.spans import Cause

_OF_MESSAGE = frozenset({"take", "back", "door", "go", "out", "end"})


@dataclass(slots=True)
class Fleet:
    """What all couriers did in one second; connections at its end."""

    calls: int = 0
    refused: int = 0
    untold: int = 0  # refusals that told nothing of a limit
    probes: int = 0
    handshakes: int = 0
    lists: int = 0
    links: int = 0


@dataclass(slots=True)
class Account:
    """The whole: what was lost by cause, second, class and courier, beside what the fleet did."""

    messages: int = 0
    pending: int = 0  # their time was not over when the logs ended
    worth: float = 0.0
    lost: float = 0.0
    how: Counter[str] = field(default_factory=Counter)
    causes: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    behind: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # of order: what those in front did
    seconds: dict[int, dict[str, float]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(float)))
    classes: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(float)))
    couriers: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    fleet: dict[int, Fleet] = field(default_factory=lambda: defaultdict(Fleet))
    losses: list[Loss] = field(default_factory=list)


class Book:
    """Takes the logs in, courier by courier, each in the order of its lines."""

    def __init__(self) -> None:
        self.courses: dict[str, Course] = {}
        self.logs: dict[str, Log] = {}
        self.damaged = self.read = 0
        self._fleet: dict[int, Fleet] = defaultdict(Fleet)
        self._links: dict[tuple[int, str], int] = {}
        self._counted: dict[str, tuple[int, int]] = {}  # courier -> handshakes and list calls of its process so far

    def courier(self, name: str) -> Callable[[str], None]:
        """Where the lines of one log go. `name` counts until a line tells the courier's own."""
        log = Log(name)

        def take(text: str) -> None:
            nonlocal log
            try:
                line = read(text)
                if line is None:
                    return
                if line.kind == "head":
                    log = self.logs.setdefault(str(line.fields[0]), Log(str(line.fields[0])))
                log = self.logs.setdefault(log.courier, log)
                log.take(line)
                self._count(log.courier, line)
            except (LineError, TypeError, ValueError, KeyError, AttributeError):
                self.damaged += 1
                return
            self.read += 1
            if line.kind in _OF_MESSAGE:
                message = str(line.fields[0])
                self.courses.setdefault(message, Course(message)).add(log.courier, line)
        return take

    def _count(self, courier: str, line: Line) -> None:
        fleet = self._fleet[line.at_ms // 1000]
        match line.kind:
            case "head":
                self._counted[courier] = 0, 0
            case "go":
                fleet.calls += 1
            case "out" if line.fields[3] == "full":
                fleet.refused += 1
                fleet.untold += line.fields[6] is None
            case "probe":
                fleet.probes += 1
            case "gauge":
                dials, lists = self._counted.get(courier, (0, 0))
                fleet.handshakes += line.fields[2] - dials
                fleet.lists += line.fields[3] - lists
                self._counted[courier] = line.fields[2], line.fields[3]
                self._links[line.at_ms // 1000, courier] = line.fields[1]

    def account(self) -> Account:
        """Add up. Seconds are counted from the first line."""
        found = Account()
        courses = Courses(self.courses, self.logs)
        first_s = min(self._fleet, default=0)
        for course in self.courses.values():
            found.messages += 1
            row = courses.loss(course)
            if row is None:
                found.pending += 1
                continue
            found.worth += row.worth
            found.lost += row.lost
            found.how[row.how] += 1
            found.couriers[row.courier] += row.lost
            if row.lost:
                found.losses.append(row)
            for span, lost in row.parts:
                found.causes[span.cause.value] += lost
                if span.cause is Cause.ORDER:
                    found.behind[(span.behind or Cause.UNKNOWN).value] += lost
                found.classes[row.cls][span.cause.value] += lost
                found.seconds[span.from_ms // 1000 - first_s][span.cause.value] += lost
        for (second, _), links in self._links.items():
            self._fleet[second].links += links
        found.fleet.update({second - first_s: fleet for second, fleet in self._fleet.items()})
        return found
