"""The fleet's judge: the six rules by the kit's judge, and seven more that only channels have. No I/O, nothing of the
daemon.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass

from wheelstep.rehearsal.fleet import rules
from wheelstep.rehearsal.fleet.evidence import Breach, Evidence, FleetRule
from wheelstep.rehearsal.fleet.history import FleetHistory
from wheelstep.rehearsal.judge import Ruling, Verdict, judge

_MOST = 20  # breaches kept for each rule


@dataclass(frozen=True, slots=True)
class FleetVerdict:
    """What the judge says of both."""

    plain: Verdict
    rulings: dict[FleetRule, Ruling]
    breaches: tuple[Breach, ...]

    @property
    def ruling(self) -> Ruling:
        """Of all rules together: a breach of a channel's rules stands however late the machine was."""
        if Ruling.BROKEN in self.rulings.values():
            return Ruling.BROKEN
        return self.plain.ruling

    def canonical(self, **about: str | int) -> str:
        """The verdict alone as canonical JSON."""
        rules = {rule.name.lower(): ruling.value for rule, ruling in self.plain.rulings.items()}
        fleet = {rule.name.lower(): ruling.value for rule, ruling in self.rulings.items()}
        return json.dumps({**about, "verdict": self.ruling.value, "rules": rules, "channels": fleet}, sort_keys=True,
                          separators=(",", ":"))


def judge_fleet(history: FleetHistory) -> FleetVerdict:
    """The verdict on a fleet's history."""
    seen = Evidence(history)
    breaches = _breaches(seen)
    broken = {breach.rule for breach in breaches}
    rulings = {rule: Ruling.BROKEN if rule in broken else Ruling.KEPT for rule in FleetRule}
    return FleetVerdict(judge(history.plain(seen.excused)), rulings, tuple(breaches))


def _breaches(seen: Evidence) -> list[Breach]:
    """All, in order of time, so many of each rule at most."""
    found = [*rules.epochs(seen)]
    for name, channel in seen.channels.items():
        for rule in (rules.order, rules.gaps, rules.numbers, rules.owner, rules.positions):
            found += rule(seen, name, channel)
    found.sort(key=lambda breach: breach.at_us)
    counts: dict[FleetRule, int] = defaultdict(int)
    kept = []
    for breach in found:
        counts[breach.rule] += 1
        if counts[breach.rule] <= _MOST:
            kept.append(breach)
    return kept
