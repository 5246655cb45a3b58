"""Where a rehearsal stands, read off its facts: what was handed in, what has its end and what is still owed. No I/O."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from wheelstep.rehearsal.history import Answer, Call, Fate, History, Late, Notice


@dataclass(slots=True)
class Progress:
    """Where a rehearsal stands, for whoever shows it."""

    phase: str = "starting"
    at_us: int = 0
    of_us: int = 1
    handed_in: int = 0
    delivered: int = 0
    ended: int = 0
    late_us: int = 0


class Ends:
    """Which messages were taken on and which are over."""

    def __init__(self, history: History, progress: Progress) -> None:
        self._history, self._progress = history, progress
        self._read = 0  # facts that were looked at
        self._taken: set[str] = set()
        self._over: set[str] = set()

    def owed(self) -> bool:
        """Is any message taken on and not yet over? Reads each fact once."""
        for fact in itertools.islice(self._history.facts, self._read, None):
            if isinstance(fact, Answer) and fact.status in (200, 202):
                self._taken.add(fact.message)
            elif isinstance(fact, Notice):
                self._over.add(fact.message)
            elif isinstance(fact, Call):
                names = [name for name, fate in zip(fact.messages, fact.fates, strict=True)
                         if fate is Fate.DELIVERED]
                self._over.update(names)
                self._progress.delivered += len(names)
            elif isinstance(fact, Late):
                self._progress.late_us = max(self._progress.late_us, fact.late_us)
        self._read = len(self._history.facts)
        self._progress.ended = len(self._over)
        return not self._taken <= self._over
