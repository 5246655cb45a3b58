"""Rule 4: an endpoint that comes back cold is not pushed over by those that saw it fail."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.evidence import Evidence, millis, seconds
from wheelstep.rehearsal.history import Fate
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """Endpoints that were pushed beyond what they bear."""
    pushes: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
    failed: dict[int, list[tuple[int, str, str]]] = defaultdict(list)  # by destination: when, who, where
    for call in e.calls:
        pushes[call.endpoint].append((call.last_us, warmth.weight(len(call.messages)), call.courier))
        if any(fate is not Fate.DELIVERED for fate in call.fates):
            failed[call.destination].append((call.ended_us, call.courier, call.endpoint))
    for probe in e.probes:
        pushes[probe.endpoint].append((probe.at_us, 1.0, probe.courier))
        if not probe.fine:
            failed[probe.destination].append((probe.at_us, probe.courier, probe.endpoint))
    for outage in e.outages:
        apart = outage.destination in e.figures.routes_apart
        # What failed as the outage began or ended is read by its time at the endpoint.
        knew = {who for at_us, who, where in failed[outage.destination]
                if outage.start_us <= at_us <= outage.end_us and (not apart or where == outage.endpoint)}
        rows = sorted(pushes[outage.endpoint])
        over = warmth.overload([(at_us, work) for at_us, work, _ in rows], outage.end_us, outage.per_s,
                               e.figures.fall_multiple, e.figures.overload_for_us, e.figures.cold_from,
                               e.figures.cold_us)
        if over is None:
            continue
        begin_us, total, most = over
        span = [row for row in rows if begin_us <= row[0] < begin_us + e.figures.overload_for_us]
        came = sum(work for _, work, _ in span)
        by_knowing = sum(work for _, work, who in span if who in knew)
        if by_knowing >= came * 2 / 3:
            yield Finding(Rule.RETURNS, begin_us, ",".join(sorted(knew)),
                          f"{outage.endpoint} came back at {seconds(outage.end_us)} and got {total:.1f} calls within "
                          f"{millis(e.figures.overload_for_us)}, it bears {most:.1f}; {by_knowing / came:.0%} came "
                          "from couriers that had seen it fail")
