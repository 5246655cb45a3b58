"""Rule 4: couriers that saw an endpoint fail do not overload it after its recovery."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from wheelstep.rehearsal import warmth
from wheelstep.rehearsal.evidence import Evidence, millis, seconds
from wheelstep.rehearsal.history import Fate
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield overloads of cold endpoints if at least two thirds of the load came from couriers that saw the outage."""
    loads: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
    failed: dict[int, list[tuple[int, str, str]]] = defaultdict(list)  # by destination: time, courier, endpoint
    for call in evidence.calls:
        loads[call.endpoint].append((call.last_us, warmth.weight(len(call.messages)), call.courier))
        if any(fate is not Fate.DELIVERED for fate in call.fates):
            failed[call.destination].append((call.ended_us, call.courier, call.endpoint))
    for probe in evidence.probes:
        loads[probe.endpoint].append((probe.at_us, 1.0, probe.courier))
        if not probe.fine:
            failed[probe.destination].append((probe.at_us, probe.courier, probe.endpoint))
    for outage in evidence.outages:
        separate = outage.destination in evidence.figures.routes_apart
        # Failures around the begin and end of an outage count by their time at the endpoint.
        aware = {courier for at_us, courier, endpoint in failed[outage.destination]
                 if outage.start_us <= at_us <= outage.end_us and (not separate or endpoint == outage.endpoint)}
        rows = sorted(loads[outage.endpoint])
        overload = warmth.overload([(at_us, weight) for at_us, weight, _ in rows], outage.end_us, outage.per_s,
                                   evidence.figures.fall_multiple, evidence.figures.overload_for_us,
                                   evidence.figures.cold_from, evidence.figures.cold_us)
        if overload is None:
            continue
        begin_us, load, budget = overload
        window = [row for row in rows if begin_us <= row[0] < begin_us + evidence.figures.overload_for_us]
        window_load = sum(weight for _, weight, _ in window)
        from_aware = sum(weight for _, weight, courier in window if courier in aware)
        if from_aware >= window_load * 2 / 3:
            yield Finding(Rule.RETURNS, begin_us, ",".join(sorted(aware)),
                          f"{outage.endpoint} recovered at {seconds(outage.end_us)} and got {load:.1f} calls within "
                          f"{millis(evidence.figures.overload_for_us)}; its budget is {budget:.1f}, and "
                          f"{from_aware / window_load:.0%} came from couriers that had seen it fail")
