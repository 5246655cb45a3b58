"""The judge: reads what the stand-ins saw and says for each rule whether it was kept, and what proves it.

`evidence` sorts the facts, `rules` has a file for each rule, `verdict` is what is said of them. No I/O, nothing of
the daemon, neither its log nor its state. A limit in time is widened by how late the machine ran around it; when it
ran later than `MOST_LATE_US` nothing is said at all.
"""

from __future__ import annotations

from collections import defaultdict

from wheelstep.rehearsal.evidence import Evidence
from wheelstep.rehearsal.history import History
from wheelstep.rehearsal.rules import drains, form, lost, order, returns, twice, waits
from wheelstep.rehearsal.verdict import Finding, Rule, Ruling, Verdict

__all__ = ["MOST_LATE_US", "Finding", "Rule", "Ruling", "Verdict", "judge"]

MOST_LATE_US = 150_000
_MOST_FINDINGS = 50  # kept for each rule
_RULES = (form, lost, twice, drains, returns, order, waits)


def judge(history: History) -> Verdict:
    """The verdict on a history."""
    evidence = Evidence(history)
    findings = _findings(evidence)
    rulings = {}
    for rule in Rule:
        broken = any(finding.rule is rule for finding in findings)
        rulings[rule] = Ruling.BROKEN if broken else Ruling.KEPT
    if evidence.lateness.max_us > MOST_LATE_US:
        rulings = dict.fromkeys(Rule, Ruling.INCONCLUSIVE)
    return Verdict(rulings, tuple(findings), evidence.lateness.max_us, evidence.lateness.who)


def _findings(evidence: Evidence) -> list[Finding]:
    """All breaches, in order of time, so many of each rule at most."""
    found = [finding for rule in _RULES for finding in rule.findings(evidence)]
    found.sort(key=lambda finding: finding.at_us)
    counts: dict[Rule, int] = defaultdict(int)
    kept = []
    for finding in found:
        counts[finding.rule] += 1
        if counts[finding.rule] <= _MOST_FINDINGS:
            kept.append(finding)
    return kept
