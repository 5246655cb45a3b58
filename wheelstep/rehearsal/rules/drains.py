"""Rule 3: no call begins at an endpoint that a courier was told to leave."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, millis
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """Calls that began too long after a drain was told."""
    for call in e.calls:
        rows = e.told.get((call.courier, call.endpoint), [])
        before = [row for row in rows if row.at_us <= call.first_us]
        since_us: int | None = None
        for row in before:
            if row.state == "SERVING":
                since_us = None
            elif since_us is None:
                since_us = row.at_us
        if since_us is None:
            continue
        for begin, end in e.away.get(call.courier, ()):  # a process that stands still hears nothing
            if begin <= since_us <= end:
                since_us = end
        until_us = since_us + e.figures.drain_grace_us + e.figures.socket_slack_us + e.late.near(call.first_us)
        if call.first_us > until_us:
            yield Finding(Rule.DRAINS, call.first_us, call.courier,
                          f"a call began at {call.endpoint} {millis(call.first_us - since_us)} after it was told "
                          f"to be {before[-1].state}", call.messages, (call,))
