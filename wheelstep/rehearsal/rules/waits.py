"""Rule 6: after an announced wait, no call or probe is sent there until the wait is over."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, millis
from wheelstep.rehearsal.history import Call, How
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield the first call or probe during each wait. The wait covers the destination, or one endpoint if its
    endpoints are separate routes."""
    announced: dict[tuple[str, int | str], list[Call]] = defaultdict(list)
    sent: dict[tuple[str, int | str], list[tuple[int, str, Call | None]]] = defaultdict(list)

    def route(destination: int, endpoint: str) -> int | str:
        return endpoint if destination in evidence.figures.routes_apart else destination

    for call in evidence.calls:
        place = call.courier, route(call.destination, call.endpoint)
        if call.wait_us and call.how is How.ANSWERED:
            announced[place].append(call)
        sent[place].append((call.last_us, call.endpoint, call))
    for probe in evidence.probes:
        sent[probe.courier, route(probe.destination, probe.endpoint)].append((probe.at_us, probe.endpoint, None))
    for place, calls in announced.items():
        rows = sorted(sent[place], key=lambda row: row[0])
        times = [row[0] for row in rows]
        for call in calls:
            from_us = call.ended_us + evidence.figures.wait_grace_us + evidence.figures.socket_slack_us
            from_us += evidence.lateness.around(call.ended_us)
            until_us = call.ended_us + call.wait_us
            for begin, _ in evidence.unavailable.get(place[0], ()):  # a restart or pause ends a wait
                if begin >= call.ended_us:
                    until_us = min(until_us, begin)
            first = bisect.bisect_right(times, from_us)
            if first < len(rows) and times[first] < until_us:
                at_us, endpoint, other = rows[first]
                yield Finding(Rule.WAITS, at_us, place[0],
                              f"{'a call' if other else 'a probe'} came to {endpoint} "
                              f"{millis(at_us - call.ended_us)} after a wait of {millis(call.wait_us)} was announced",
                              other.messages if other else (), (call, other) if other else (call,))
