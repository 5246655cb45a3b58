"""The worth of delivered messages: full within the promise, then linearly less until the deadline. No I/O."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from wheelstep.rehearsal.history import Call, ClassFigures, Fate, HandIn, History


@dataclass(frozen=True, slots=True)
class Worth:
    """The messages of one class: their number and worth, submitted and delivered."""

    messages: int
    delivered: int
    offered: float
    earned_worth: float

    @property
    def share(self) -> float:
        """The delivered share of the offered worth; 1 if none was offered."""
        return self.earned_worth / self.offered if self.offered else 1.0


def earned_worth(figures: ClassFigures, spent_us: int) -> float:
    """Return the worth of a message delivered `spent_us` after its first submission."""
    if spent_us <= figures.promise_us:
        return figures.worth
    if spent_us > figures.deadline_us or figures.deadline_us <= figures.promise_us:
        return 0.0
    late = (spent_us - figures.promise_us) / (figures.deadline_us - figures.promise_us)
    return figures.worth * (1 - (1 - figures.late_worth) * late)


def tally(history: History) -> dict[str, Worth]:
    """Return the worth by class. All submissions of a planned message count as its first one."""
    first: dict[int, HandIn] = {}
    origins: dict[str, int] = {}
    done: dict[int, int] = {}
    for fact in history.facts:
        if isinstance(fact, HandIn):
            origins[fact.message] = fact.origin
            if fact.origin not in first or fact.at_us < first[fact.origin].at_us:
                first[fact.origin] = fact
    for fact in history.facts:
        if isinstance(fact, Call):
            for name, fate in zip(fact.messages, fact.fates, strict=True):
                if fate is Fate.DELIVERED and name in origins:
                    origin = origins[name]
                    done[origin] = min(done.get(origin, fact.ended_us), fact.ended_us)
    rows: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0.0, 0.0])
    for origin, hand_in in first.items():
        figures = history.figures.classes[hand_in.message_class]
        row = rows[hand_in.message_class]
        row[0] += 1
        row[2] += figures.worth
        if origin in done:
            row[1] += 1
            row[3] += earned_worth(figures, done[origin] - hand_in.at_us)
    return {name: Worth(int(row[0]), int(row[1]), row[2], row[3]) for name, row in sorted(rows.items())}
