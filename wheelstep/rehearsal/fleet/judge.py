"""The judge of a fleet's history: the kit's judge applies the six rules for couriers, this module the seven rules for
channels. No I/O, and nothing imported from the daemon.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass

from wheelstep.rehearsal.fleet import rules
from wheelstep.rehearsal.fleet.evidence import Breach, Evidence, FleetRule
from wheelstep.rehearsal.fleet.history import FleetHistory
from wheelstep.rehearsal.judge import Ruling, Verdict, judge

_MAX_BREACHES_PER_RULE = 20


@dataclass(frozen=True, slots=True)
class FleetVerdict:
    """The verdict on the six rules for couriers (`base`) and the rulings on the rules for channels."""

    base: Verdict
    rulings: dict[FleetRule, Ruling]
    breaches: tuple[Breach, ...]

    @property
    def ruling(self) -> Ruling:
        """The ruling on all rules together. A breach of a rule for channels counts however late the machine ran."""
        if Ruling.BROKEN in self.rulings.values():
            return Ruling.BROKEN
        return self.base.ruling

    def canonical(self, **about: str | int) -> str:
        """The verdict and its rulings as canonical JSON, with the entries of `about`."""
        rules = {rule.name.lower(): ruling.value for rule, ruling in self.base.rulings.items()}
        fleet = {rule.name.lower(): ruling.value for rule, ruling in self.rulings.items()}
        return json.dumps({**about, "verdict": self.ruling.value, "rules": rules, "channels": fleet}, sort_keys=True,
                          separators=(",", ":"))


def judge_fleet(history: FleetHistory) -> FleetVerdict:
    """Judge a fleet's history by all rules."""
    evidence = Evidence(history)
    breaches = _find_breaches(evidence)
    broken = {breach.rule for breach in breaches}
    rulings = {rule: Ruling.BROKEN if rule in broken else Ruling.KEPT for rule in FleetRule}
    return FleetVerdict(judge(history.courier_history(evidence.lost_with_disk)), rulings, tuple(breaches))


def _find_breaches(evidence: Evidence) -> list[Breach]:
    """All breaches in order of time, at most `_MAX_BREACHES_PER_RULE` of each rule."""
    breaches = [*rules.check_epochs(evidence)]
    for name, channel in evidence.channels.items():
        for check in (rules.check_order, rules.check_gaps, rules.check_numbers, rules.check_owner,
                     rules.check_positions):
            breaches += check(evidence, name, channel)
    breaches.sort(key=lambda breach: breach.at_us)
    counts: dict[FleetRule, int] = defaultdict(int)
    kept = []
    for breach in breaches:
        counts[breach.rule] += 1
        if counts[breach.rule] <= _MAX_BREACHES_PER_RULE:
            kept.append(breach)
    return kept
