"""Sums over all messages and couriers. No I/O: lines come in, tables come out."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from wheelstep.account.lines import Line, LineError, read
from wheelstep.account.log import Log
from wheelstep.account.spans import Cause
from wheelstep.account.timeline import Loss, MessageTimeline, MessageTimelines

_MESSAGE_KINDS = frozenset({"take", "back", "door", "go", "out", "end"})


@dataclass(slots=True)
class FleetCounts:
    """Counts of all couriers in one second; `links` are the connections open at its end."""

    calls: int = 0
    refused: int = 0
    untold: int = 0  # refusals that reported no limit
    probes: int = 0
    handshakes: int = 0
    lists: int = 0
    links: int = 0


@dataclass(slots=True)
class Account:
    """The result: losses by cause, second, class and courier, and counts of the fleet per second."""

    messages: int = 0
    pending: int = 0  # messages whose deadline had not passed when the logs ended
    worth: float = 0.0
    lost: float = 0.0
    how: Counter[str] = field(default_factory=Counter)
    causes: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    # of ORDER: what the messages in front spent the time on
    behind: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    seconds: dict[int, dict[str, float]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(float)))
    classes: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(lambda: defaultdict(float)))
    couriers: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    fleet: dict[int, FleetCounts] = field(default_factory=lambda: defaultdict(FleetCounts))
    losses: list[Loss] = field(default_factory=list)


class AccountBuilder:
    """Collects the lines of all logs, courier by courier, each in the order of its lines."""

    def __init__(self) -> None:
        """Start with no lines."""
        self.timelines: dict[str, MessageTimeline] = {}
        self.logs: dict[str, Log] = {}
        self.damaged = self.read = 0
        self._fleet: dict[int, FleetCounts] = defaultdict(FleetCounts)
        self._links: dict[tuple[int, str], int] = {}
        self._counted: dict[str, tuple[int, int]] = {}  # courier -> handshakes and list calls of its process

    def courier(self, name: str) -> Callable[[str], None]:
        """Return a function that takes the lines of one log. `name` is the courier's until a line states its own
        name."""
        log = Log(name)

        def take(text: str) -> None:
            """Add one line of text; a damaged one is counted and skipped."""
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
            if line.kind in _MESSAGE_KINDS:
                message = str(line.fields[0])
                self.timelines.setdefault(message, MessageTimeline(message)).add(log.courier, line)
        return take

    def _count(self, courier: str, line: Line) -> None:
        """Add a line to the counts of its second."""
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
        """Compute the account. Seconds are counted from the first line."""
        found = Account()
        timelines = MessageTimelines(self.timelines, self.logs)
        first_s = min(self._fleet, default=0)
        for timeline in self.timelines.values():
            found.messages += 1
            row = timelines.loss(timeline)
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
