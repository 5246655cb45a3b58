"""The form that every courier keeps to: it runs, and passes messages on as they came."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence
from wheelstep.rehearsal.history import Turn
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(e: Evidence) -> Iterable[Finding]:
    """What no courier may do at all."""
    for fact in e.strange:
        yield Finding(Rule.FORM, fact.at_us, fact.courier, f"{fact.what} at {fact.endpoint}")
    for courier, lives in e.lives.items():
        for life in lives:
            if life.turn is Turn.CRASHED:
                yield Finding(Rule.FORM, life.at_us, courier, f"ended by itself, exit code {life.code}")
            elif life.turn is Turn.NEVER_READY:
                yield Finding(Rule.FORM, life.at_us, courier, "was not ready in time")
            elif life.turn is Turn.EXITED and life.code > 0:
                yield Finding(Rule.FORM, life.at_us, courier, f"left with exit code {life.code}")
