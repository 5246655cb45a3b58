"""Invariants that are checked while the courier runs: each violation is counted, and logged with the events before it.
No I/O but the log.

A violation is a fault of this program, never of its environment. Where the check precedes an action, the action is not
done; so a violation costs one attempt and breaks no rule.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from wheelstep.courier.flight_recorder import FlightRecorder

MAX_LOGGED = 20
"""Violations that are logged with the events before them; later ones are only counted."""

log = logging.getLogger(__name__)


class Invariant(Enum):
    """What always has to hold; the names and values appear in log lines."""

    KEY_ORDER = "a message of a key is sent in its turn"
    SENT_ONCE = "what may not be repeated is not sent once it may have run"
    OWNER = "only the process that owns a message sends it"
    ANSWERED = "a request that was read whole is answered before its connection is closed"


class Invariants:
    """Counts and logs violations."""

    def __init__(self, recorder: FlightRecorder) -> None:
        self._recorder = recorder
        self.violations: Counter[Invariant] = Counter()

    def report_violation(self, invariant: Invariant, detail: str, message: str = "", key: str | None = None) -> None:
        """Count a violation, and log it with the recorded events of the message and its key."""
        self.violations[invariant] += 1
        if self.violations.total() > MAX_LOGGED:
            return
        log.error("invariant violated (%s): %s; %s", invariant.name, invariant.value, detail)
        for event in self._recorder.related(message, key):
            log.error("  before it: %s", event)

    def summary(self) -> str:
        """Return the counts on one line, "none" if nothing was violated."""
        return ", ".join(f"{count} {which.name}" for which, count in self.violations.items()) or "none"
