"""The rule of form: the courier keeps running and forwards messages unchanged."""

from __future__ import annotations

from collections.abc import Iterable

from wheelstep.rehearsal.evidence import Evidence
from wheelstep.rehearsal.history import Turn
from wheelstep.rehearsal.verdict import Finding, Rule


def findings(evidence: Evidence) -> Iterable[Finding]:
    """Yield protocol violations, crashes, failed starts and exits with an error code."""
    for fact in evidence.violations:
        yield Finding(Rule.FORM, fact.at_us, fact.courier, f"{fact.what} at {fact.endpoint}")
    for courier, lives in evidence.lives.items():
        for life in lives:
            if life.turn is Turn.CRASHED:
                yield Finding(Rule.FORM, life.at_us, courier, f"exited unexpectedly with exit code {life.code}")
            elif life.turn is Turn.NEVER_READY:
                yield Finding(Rule.FORM, life.at_us, courier, "was not ready in time")
            elif life.turn is Turn.EXITED and life.code > 0:
                yield Finding(Rule.FORM, life.at_us, courier, f"exited after a signal with exit code {life.code}")
