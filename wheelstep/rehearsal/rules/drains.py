"""Rule 3: no call starts at an endpoint after the courier was told that it is draining, deleted or excluded."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence, millis
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield calls that started later than the grace period after a drain, a removal or an exclusion."""
    yield from _told_by_discovery(evidence)
    yield from _excluded_by_operators(evidence)


def _excluded_by_operators(evidence: Evidence) -> Iterable[Finding]:
    """An exclusion holds over restarts and upgrades, until the endpoint is included again."""
    for call in evidence.calls:
        since_us: int | None = None
        for row in evidence.excluded.get((call.courier, call.endpoint), ()):
            if row.at_us <= call.first_us:
                since_us = None if not row.out else row.at_us if since_us is None else since_us
        if since_us is None:
            continue
        grace_us = evidence.figures.drain_grace_us + evidence.figures.socket_slack_us
        if call.first_us > since_us + grace_us + evidence.lateness.around(call.first_us):
            yield Finding(Rule.DRAINS, call.first_us, call.courier,
                          f"call started at {call.endpoint} {millis(call.first_us - since_us)} after the courier "
                          "agreed to exclude it", call.messages, (call,))


def _told_by_discovery(evidence: Evidence) -> Iterable[Finding]:
    for call in evidence.calls:
        rows = evidence.told.get((call.courier, call.endpoint), [])
        before = [row for row in rows if row.at_us <= call.first_us]
        since_us: int | None = None
        for row in before:
            if row.state == "SERVING":
                since_us = None
            elif since_us is None:
                since_us = row.at_us
        if since_us is None:
            continue
        for begin, end in evidence.unavailable.get(call.courier, ()):  # a stopped or restarting process gets no news
            if begin <= since_us <= end:
                since_us = end
        until_us = since_us + evidence.figures.drain_grace_us + evidence.figures.socket_slack_us \
            + evidence.lateness.around(call.first_us)
        if call.first_us > until_us:
            yield Finding(Rule.DRAINS, call.first_us, call.courier,
                          f"call started at {call.endpoint} {millis(call.first_us - since_us)} after the courier "
                          f"was told {before[-1].state}", call.messages, (call,))
