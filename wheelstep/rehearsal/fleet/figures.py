"""What a fleet's rehearsal cost: worth delivered, pauses of channels, changes of owner. No I/O."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wheelstep.rehearsal import worth
from wheelstep.rehearsal.fleet.evidence import FleetRule
from wheelstep.rehearsal.fleet.history import Asked, FleetHistory, Touch
from wheelstep.rehearsal.fleet.judge import FleetVerdict


@dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one rehearsal. A pause is how long a channel's message stood without a call where its owner changed:
    from its hand-in, or the last owner's last call's end if that is later, until the new owner's first call. A wait is
    the same of any message, from its hand-in. Spans are microseconds: half, 99 of 100, all of them are no longer."""

    share: float  # of the worth asked for
    messages: int
    delivered: int
    pauses: tuple[int, int, int]
    waits: tuple[int, int, int]
    changes: int  # of a part's epoch, as partners saw them
    doubles: int  # breaches that say that a number ran again
    reorders: int


def cost(history: FleetHistory, verdict: FleetVerdict) -> Cost:
    """The figures of a history that was judged."""
    tallied = worth.tally(history.plain()).values()
    asked, earned = sum(row.offered for row in tallied), sum(row.earned_worth for row in tallied)
    begun: dict[str, int] = {}
    channels: dict[str, list[Touch]] = defaultdict(list)
    for fact in history.seen:
        if isinstance(fact, Asked):
            begun[fact.message] = min(fact.at_us, begun.get(fact.message, fact.at_us))
        elif isinstance(fact, Touch):
            channels[fact.channel].append(fact)
    pauses, waits, epochs = [], [], set()
    for name, touches in channels.items():
        touches.sort(key=lambda touch: touch.first_us)
        called: set[str] = set()
        for place, touch in enumerate(touches):
            epochs.add((history.part(name), touch.epoch))
            if touch.message not in called:
                called.add(touch.message)
                waits.append(touch.first_us - begun[touch.message])
            if place and touches[place - 1].epoch != touch.epoch:
                pauses.append(touch.first_us - max(begun[touch.message], touches[place - 1].ended_us))
    parts = {part for part, _ in epochs}
    return Cost(earned / asked if asked else 1.0, sum(row.messages for row in tallied),
                sum(row.delivered for row in tallied), spread(pauses), spread(waits), len(epochs) - len(parts),
                sum(breach.rule is FleetRule.NUMBERS and "again" in breach.text for breach in verdict.breaches),
                sum(breach.rule is FleetRule.ORDER for breach in verdict.breaches))


def spread(spans: Sequence[int]) -> tuple[int, int, int]:
    """The median, the 99th of 100, and the longest; zeros of none."""
    if not spans:
        return 0, 0, 0
    rows = sorted(max(0, span) for span in spans)
    return rows[(len(rows) - 1) // 2], rows[math.ceil(len(rows) * 0.99) - 1], rows[-1]
