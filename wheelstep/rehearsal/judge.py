"""The judge: decides from a history which rules were kept, with findings as proof.

`evidence` indexes the facts, `rules` has one file per rule, `verdict` has the result. No I/O; the judge uses neither
the daemon's code nor its log or state. Time limits are extended by how late the machine ran around them. If it ran
later than `MAX_LATENESS_US` at any time, all rulings are inconclusive.
"""

from __future__ import annotations

from collections import defaultdict

from wheelstep.rehearsal.evidence import Evidence
from wheelstep.rehearsal.history import History
from wheelstep.rehearsal.rules import drains, form, lost, order, returns, twice, waits
from wheelstep.rehearsal.verdict import Finding, Rule, Ruling, Verdict

__all__ = ["MAX_LATENESS_US", "Finding", "Rule", "Ruling", "Verdict", "judge"]

MAX_LATENESS_US = 150_000
_MAX_FINDINGS_PER_RULE = 50  # further ones are dropped
_RULES = (form, lost, twice, drains, returns, order, waits)


def judge(history: History) -> Verdict:
    """Return the verdict on a history."""
    evidence = Evidence(history)
    findings = _findings(evidence)
    rulings = {}
    for rule in Rule:
        broken = any(finding.rule is rule for finding in findings)
        rulings[rule] = Ruling.BROKEN if broken else Ruling.KEPT
    if evidence.lateness.max_us > MAX_LATENESS_US:
        rulings = dict.fromkeys(Rule, Ruling.INCONCLUSIVE)
    return Verdict(rulings, tuple(findings), evidence.lateness.max_us, evidence.lateness.who)


def _findings(evidence: Evidence) -> list[Finding]:
    """Return the findings in order of time, at most `_MAX_FINDINGS_PER_RULE` of each rule."""
    found = [finding for rule in _RULES for finding in rule.findings(evidence)]
    found.sort(key=lambda finding: finding.at_us)
    counts: dict[Rule, int] = defaultdict(int)
    kept = []
    for finding in found:
        counts[finding.rule] += 1
        if counts[finding.rule] <= _MAX_FINDINGS_PER_RULE:
            kept.append(finding)
    return kept
