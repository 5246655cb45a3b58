"""Performance figures of a fleet's rehearsal: worth delivered, pauses of channels, changes of owner. No I/O."""

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
    """Figures of one rehearsal.

    A pause spans a change of a channel's owner: it begins when the next message is submitted, or when the last owner's
    last call ends if that is later, and lasts until the new owner's first call. A wait is the time from a message's
    submission to its first call. Both are given as median, 99th percentile and maximum in microseconds.
    """

    share: float  # of the worth of all messages, the part delivered
    messages: int
    delivered: int
    pauses: tuple[int, int, int]
    waits: tuple[int, int, int]
    changes: int  # of parts' epochs, as seen by partners
    doubles: int  # breaches because a number was called again
    reorders: int  # breaches of the order


def measure_cost(history: FleetHistory, verdict: FleetVerdict) -> Cost:
    """Compute the figures of a history and its verdict."""
    tallied = worth.tally(history.courier_history()).values()
    asked, earned = sum(row.offered for row in tallied), sum(row.earned_worth for row in tallied)
    submitted_us: dict[str, int] = {}
    channels: dict[str, list[Touch]] = defaultdict(list)
    for fact in history.facts:
        if isinstance(fact, Asked):
            submitted_us[fact.message] = min(fact.at_us, submitted_us.get(fact.message, fact.at_us))
        elif isinstance(fact, Touch):
            channels[fact.channel].append(fact)
    pauses, waits, epochs = [], [], set()
    for name, calls in channels.items():
        calls.sort(key=lambda call: call.first_us)
        called: set[str] = set()
        for index, call in enumerate(calls):
            epochs.add((history.part_of(name), call.epoch))
            if call.message not in called:
                called.add(call.message)
                waits.append(call.first_us - submitted_us[call.message])
            if index and calls[index - 1].epoch != call.epoch:
                pauses.append(call.first_us - max(submitted_us[call.message], calls[index - 1].ended_us))
    parts = {part for part, _ in epochs}
    return Cost(earned / asked if asked else 1.0, sum(row.messages for row in tallied),
                sum(row.delivered for row in tallied), percentiles(pauses), percentiles(waits),
                len(epochs) - len(parts),
                sum(breach.rule is FleetRule.NUMBERS and "again" in breach.text for breach in verdict.breaches),
                sum(breach.rule is FleetRule.ORDER for breach in verdict.breaches))


def percentiles(spans: Sequence[int]) -> tuple[int, int, int]:
    """The median, the 99th percentile and the maximum; zeros for an empty sequence. Negative spans count as 0."""
    if not spans:
        return 0, 0, 0
    rows = sorted(max(0, span) for span in spans)
    return rows[(len(rows) - 1) // 2], rows[math.ceil(len(rows) * 0.99) - 1], rows[-1]
