"""Couriers made to break one rule each: ours with one behaviour replaced, to show that the kit catches them.

`python -m wheelstep.rehearsal.broken NAME` runs one. This package alone of the kit imports the daemon, and only
in the courier's own process. One module a rule.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheelstep.rehearsal.judge import Rule


@dataclass(frozen=True, slots=True)
class Broken:
    """One broken courier: the rule it breaks, and what it does wrong."""

    rule: Rule
    what: str


BUILDS: dict[str, Broken] = {
    "answers-only": Broken(Rule.LOST, "answers 202 and does nothing more"),
    "drops-on-kill": Broken(Rule.LOST, "writes nothing down: what it held is gone after SIGKILL"),
    "drops-on-term": Broken(Rule.LOST, "leaves nothing for the next process after SIGTERM"),
    "two-ends": Broken(Rule.LOST, "tells each end twice, differently"),
    "pays-after-reset": Broken(Rule.TWICE, "takes a broken connection for proof that nothing ran"),
    "pays-after-restart": Broken(Rule.TWICE, "forgets over a restart that calls were out"),
    "forgets-key-life": Broken(Rule.TWICE, "repeats a keyed message after its key was forgotten"),
    "hands-back-what-ran": Broken(Rule.TWICE, "hands back, safe to come again, what may have run"),
    "ignores-drains": Broken(Rule.DRAINS, "takes a draining endpoint for one that serves"),
    "late-lists": Broken(Rule.DRAINS, "heeds changes of the list 1.5 s late"),
    "keeps-the-gone": Broken(Rule.DRAINS, "goes on calling endpoints that are gone"),
    "rushes-back": Broken(Rule.RETURNS, "goes back to full rate with the first success"),
    "warms-too-fast": Broken(Rule.RETURNS, "takes a cold endpoint for a warm one"),
    "never-backs-off": Broken(Rule.RETURNS, "goes on calling through an outage at full rate"),
    "no-rest": Broken(Rule.ORDER, "lets no key rest after a break or time-out"),
    "no-order-over-restart": Broken(Rule.ORDER, "forgets the order of keys over a restart"),
    "ignores-keys": Broken(Rule.ORDER, "sends messages of one key side by side"),
    "heeds-for-one": Broken(Rule.WAITS, "heeds a wait for the message that was refused only"),
    "halves-waits": Broken(Rule.WAITS, "heeds half of each wait"),
    "waits-at-one-endpoint": Broken(Rule.WAITS, "heeds a wait at the one endpoint that told it"),
}
