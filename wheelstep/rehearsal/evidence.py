"""The facts of a history, indexed for the judge: messages with their calls and notifications, processes, lateness.

No I/O. The rules, which read this, are in `rules`.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wheelstep.rehearsal.history import (
    NEVER_RAN,
    Answer,
    Call,
    Excluded,
    Fate,
    HandIn,
    History,
    Late,
    Life,
    Notice,
    Outage,
    Probe,
    Strange,
    Told,
    Turn,
)

_LATENESS_WINDOW_US = 1_000_000  # lateness applies to events within this distance
_RECOVERED_BY = {Turn.KILLED: Turn.READY, Turn.TERMINATED: Turn.READY, Turn.CRASHED: Turn.READY,
                 Turn.PAUSED: Turn.RESUMED, Turn.WORKER_DOWN: Turn.WORKER_REPLACED}
# As above, but a courier that was told to end still runs, and has to answer what it reads, until it has exited.
_RUNNING_BY = {Turn.KILLED: Turn.READY, Turn.EXITED: Turn.READY, Turn.CRASHED: Turn.READY,
               Turn.PAUSED: Turn.RESUMED, Turn.WORKER_DOWN: Turn.WORKER_REPLACED}


@dataclass(slots=True)
class Message:
    """All facts about one message id."""

    submission: HandIn
    answer: Answer | None = None
    calls: list[Call] = field(default_factory=list)  # ordered by the time of their last byte
    notices: list[Notice] = field(default_factory=list)

    @property
    def accepted(self) -> bool:
        """Whether the client got a status that accepts the message."""
        return self.answer is not None and self.answer.status in (200, 202)

    def delivered_us(self) -> int | None:
        """Return when an endpoint first answered that it was delivered; None if never."""
        return min((call.ended_us for call in self.calls if self.fate(call) is Fate.DELIVERED), default=None)

    def fate(self, call: Call) -> Fate:
        """Return what the endpoint answered about this message in a call."""
        return call.fates[call.messages.index(self.submission.message)]

    def outcome_us(self) -> int | None:
        """Return the time of its terminal outcome, a delivery or an answered notification; None if there is none."""
        ends = [notice.at_us for notice in self.notices]
        if (delivered := self.delivered_us()) is not None:
            ends.append(delivered)
        return min(ends, default=None)

    def never_ran(self, call: Call, by_us: int) -> bool:
        """Return whether the courier knew by `by_us` that this call had not run."""
        return self.fate(call) in NEVER_RAN and call.ended_us <= by_us


class Lateness:
    """How late the machine ran: the maximum, whose it was, and the maximum around a time."""

    def __init__(self, facts: Iterable[Late]) -> None:
        self._rows = sorted((fact.at_us, fact.late_us, fact.who) for fact in facts)
        self.max_us, self.who = max(((late, who) for _, late, who in self._rows), default=(0, ""))

    def around(self, at_us: int) -> int:
        """Return the greatest lateness within a second of a time, in microseconds; 0 if none was recorded."""
        begin = bisect.bisect_left(self._rows, (at_us - _LATENESS_WINDOW_US,))
        end = bisect.bisect_right(self._rows, (at_us + _LATENESS_WINDOW_US,))
        return max((late for _, late, _ in self._rows[begin:end]), default=0)


class Evidence:
    """All facts of one history by kind, in order of time.

    `unavailable` has the spans in which a courier was restarting, stopped, or without a worker; `not_running` those of
    them in which its process could not answer: an orderly shutdown is left out.
    """

    def __init__(self, history: History) -> None:
        self.history, self.figures = history, history.figures
        self.lateness = Lateness(fact for fact in history.facts if isinstance(fact, Late))
        self.messages: dict[str, Message] = {}
        self.calls: list[Call] = []
        self.probes: list[Probe] = []
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.excluded: dict[tuple[str, str], list[Excluded]] = defaultdict(list)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.outages: list[Outage] = []
        self.violations: list[Strange] = []
        self._index_facts()
        self.unavailable = {courier: _spans(lives, history.end_us, _RECOVERED_BY)
                            for courier, lives in self.lives.items()}
        self.not_running = {courier: _spans(lives, history.end_us, _RUNNING_BY)
                            for courier, lives in self.lives.items()}

    def _index_facts(self) -> None:
        notices: list[Notice] = []
        answers: list[Answer] = []
        for fact in self.history.facts:
            match fact:
                case HandIn():
                    self.messages.setdefault(fact.message, Message(fact))
                case Answer():
                    answers.append(fact)
                case Call():
                    self.calls.append(fact)
                case Probe():
                    self.probes.append(fact)
                case Told():
                    self.told[fact.courier, fact.endpoint].append(fact)
                case Excluded():
                    self.excluded[fact.courier, fact.endpoint].append(fact)
                case Notice():
                    notices.append(fact)
                case Life():
                    self.lives[fact.courier].append(fact)
                case Outage():
                    self.outages.append(fact)
                case Strange():
                    self.violations.append(fact)
        self.calls.sort(key=lambda call: call.last_us)
        for told in self.told.values():
            told.sort(key=lambda row: row.at_us)
        for excluded in self.excluded.values():
            excluded.sort(key=lambda row: row.at_us)
        for lives in self.lives.values():
            lives.sort(key=lambda row: row.at_us)
        for answer in sorted(answers, key=lambda row: row.at_us):
            if (message := self.messages.get(answer.message)) is not None:
                message.answer = answer
        for call in self.calls:
            for name in call.messages:
                if (message := self.messages.get(name)) is not None:
                    message.calls.append(call)
        for notice in sorted(notices, key=lambda row: row.at_us):
            if (message := self.messages.get(notice.message)) is not None:
                message.notices.append(notice)


def _spans(lives: list[Life], end_us: int, ended_by: Mapping[Turn, Turn]) -> list[tuple[int, int]]:
    """Return the spans of a courier from a turn in `ended_by` until the turn that it names, of all that are open."""
    spans: list[tuple[int, int]] = []
    since_us: int | None = None
    missing: set[Turn] = set()  # events needed to end the span: a pause may lie within a restart
    for life in lives:
        if life.turn in ended_by:
            since_us = life.at_us if since_us is None else since_us
            missing.add(ended_by[life.turn])
        elif life.turn in missing:
            missing = set() if life.turn is Turn.READY else missing - {life.turn}
            if not missing and since_us is not None:
                spans.append((since_us, life.at_us))
                since_us = None
    if since_us is not None:
        spans.append((since_us, end_us))
    return spans


def seconds(at_us: int) -> str:
    """Return a time as it stands in findings."""
    return f"{at_us / 1e6:.3f} s"


def millis(span_us: int) -> str:
    """Return a duration as it stands in findings."""
    return f"{span_us / 1e3:.0f} ms"
