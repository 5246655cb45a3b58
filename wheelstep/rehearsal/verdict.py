"""The judge's result: the rules, the ruling on each and the findings that prove it. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum

from wheelstep.rehearsal.history import Call


class Rule(StrEnum):
    """The six rules, and the rule of form. The values are the texts of reports."""

    LOST = "no message is lost"
    TWICE = "no effect happens twice"
    DRAINS = "drains are kept"
    RETURNS = "a returning destination is not pushed over"
    ORDER = "order is kept"
    WAITS = "waits are heeded"
    FORM = "the courier runs and passes messages on as they came"


class Ruling(StrEnum):
    """The result for a rule."""

    KEPT = "kept"
    BROKEN = "broken"
    INCONCLUSIVE = "inconclusive"


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule: its time, a description, and the messages and calls that prove it."""

    rule: Rule
    at_us: int
    courier: str
    text: str
    messages: tuple[str, ...] = ()
    calls: tuple[Call, ...] = ()


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of all rules. `late_us` is the machine's greatest lateness, `late_who` whose it was."""

    rulings: dict[Rule, Ruling]
    findings: tuple[Finding, ...]
    late_us: int
    late_who: str

    @property
    def ruling(self) -> Ruling:
        """The ruling on all rules together: inconclusive, else broken if any rule is, else kept."""
        for ruling in (Ruling.INCONCLUSIVE, Ruling.BROKEN):
            if ruling in self.rulings.values():
                return ruling
        return Ruling.KEPT

    def canonical(self, **about: str | int) -> str:
        """Return the verdict as canonical JSON with the entries `about`, without figures that depend on the machine."""
        rules = {rule.name.lower(): ruling.value for rule, ruling in self.rulings.items()}
        return json.dumps({**about, "verdict": self.ruling.value, "rules": rules}, sort_keys=True,
                          separators=(",", ":"))
