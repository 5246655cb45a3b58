"""The progress of a rehearsal, derived from its facts: submitted, completed and pending messages. No I/O."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from wheelstep.rehearsal.history import Answer, Call, Fate, History, Late, Notice


@dataclass(slots=True)
class Progress:
    """The progress of a rehearsal, for display."""

    phase: str = "starting"
    at_us: int = 0
    total_us: int = 1
    submitted: int = 0
    delivered: int = 0
    ended: int = 0
    late_us: int = 0


class OutcomeTracker:
    """Tracks which messages were accepted and which have a terminal outcome."""

    def __init__(self, history: History, progress: Progress) -> None:
        self._history, self._progress = history, progress
        self._facts_read = 0  # number of facts processed
        self._accepted: set[str] = set()
        self._completed: set[str] = set()

    def has_pending(self) -> bool:
        """Return whether any accepted message has no terminal outcome yet, and update the progress.

        Reads each fact once.
        """
        for fact in itertools.islice(self._history.facts, self._facts_read, None):
            if isinstance(fact, Answer) and fact.status in (200, 202):
                self._accepted.add(fact.message)
            elif isinstance(fact, Notice):
                self._completed.add(fact.message)
            elif isinstance(fact, Call):
                names = [name for name, fate in zip(fact.messages, fact.fates, strict=True)
                         if fate is Fate.DELIVERED]
                self._completed.update(names)
                self._progress.delivered += len(names)
            elif isinstance(fact, Late):
                self._progress.late_us = max(self._progress.late_us, fact.late_us)
        self._facts_read = len(self._history.facts)
        self._progress.ended = len(self._completed)
        return not self._accepted <= self._completed
