"""What the judge says: the rules, the ruling on each, and the findings that prove it. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum

from wheelstep.rehearsal.history import Call


class Rule(StrEnum):
    """The six rules, and the form that every courier keeps to."""

    LOST = "no message is lost"
    TWICE = "no effect happens twice"
    DRAINS = "drains are kept"
    RETURNS = "a returning destination is not pushed over"
    ORDER = "order is kept"
    WAITS = "waits are heeded"
    FORM = "the courier runs and passes messages on as they came"


class Ruling(StrEnum):
    """What was found of a rule."""

    KEPT = "kept"
    BROKEN = "broken"
    INCONCLUSIVE = "inconclusive"


@dataclass(frozen=True, slots=True)
class Finding:
    """One breach: where in time, what, and the messages and calls that prove it."""

    rule: Rule
    at_us: int
    courier: str
    text: str
    messages: tuple[str, ...] = ()
    calls: tuple[Call, ...] = ()


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the judge says. `late_us` is the most that the machine ran late, and who."""

    rulings: dict[Rule, Ruling]
    findings: tuple[Finding, ...]
    late_us: int
    late_who: str

    @property
    def ruling(self) -> Ruling:
        """Of all rules together."""
        for ruling in (Ruling.INCONCLUSIVE, Ruling.BROKEN):
            if ruling in self.rulings.values():
                return ruling
        return Ruling.KEPT

    def canonical(self, **about: str | int) -> str:
        """The verdict alone as canonical JSON: no figure in it hangs on the machine."""
        rules = {rule.name.lower(): ruling.value for rule, ruling in self.rulings.items()}
        return json.dumps({**about, "verdict": self.ruling.value, "rules": rules}, sort_keys=True,
                          separators=(",", ":"))
