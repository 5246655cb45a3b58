"""Rule 6: no call or probe goes where a wait was told, until it is over."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, millis
from wheelstep.rehearsal.history import Call, How
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """What was sent in the midst of a wait."""
    told: dict[tuple[str, int | str], list[Call]] = defaultdict(list)
    sent: dict[tuple[str, int | str], list[tuple[int, str, Call | None]]] = defaultdict(list)

    def route(destination: int, endpoint: str) -> int | str:
        return endpoint if destination in e.figures.routes_apart else destination

    for call in e.calls:
        at = call.courier, route(call.destination, call.endpoint)
        if call.wait_us and call.how is How.ANSWERED:
            told[at].append(call)
        sent[at].append((call.last_us, call.endpoint, call))
    for probe in e.probes:
        sent[probe.courier, route(probe.destination, probe.endpoint)].append((probe.at_us, probe.endpoint, None))
    for at, calls in told.items():
        rows = sorted(sent[at], key=lambda row: row[0])
        times = [row[0] for row in rows]
        for call in calls:
            from_us = call.ended_us + e.figures.wait_grace_us + e.figures.socket_slack_us
            from_us += e.late.near(call.ended_us)
            until_us = call.ended_us + call.wait_us
            for begin, _ in e.away.get(at[0], ()):  # a restart ends a wait
                if begin >= call.ended_us:
                    until_us = min(until_us, begin)
            first = bisect.bisect_right(times, from_us)
            if first < len(rows) and times[first] < until_us:
                at_us, endpoint, other = rows[first]
                yield Finding(Rule.WAITS, at_us, at[0],
                              f"{'a call' if other else 'a probe'} came to {endpoint} "
                              f"{millis(at_us - call.ended_us)} after a wait of {millis(call.wait_us)} was told",
                              other.messages if other else (), (call, other) if other else (call,))
