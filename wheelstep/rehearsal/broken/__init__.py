"""Couriers that break one rule each: our courier with one behaviour replaced. They show that the judge detects it.

`python -m wheelstep.rehearsal.broken NAME` runs one. The modules of this package, one per rule, import the
daemon and patch it, so they are imported only in the courier's own process. The package itself doesn't import it.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheelstep.rehearsal.judge import Rule


@dataclass(frozen=True, slots=True)
class BrokenCourier:
    """A broken courier: the rule that it breaks and its wrong behaviour."""

    rule: Rule
    description: str


BROKEN_COURIERS: dict[str, BrokenCourier] = {
    "answers-only": BrokenCourier(Rule.LOST, "answers 202 and drops the message"),
    "drops-on-kill": BrokenCourier(Rule.LOST, "writes no journal: accepted messages are lost at SIGKILL"),
    "drops-on-term": BrokenCourier(Rule.LOST, "empties its journal at SIGTERM"),
    "two-ends": BrokenCourier(Rule.LOST, "sends each notification twice, with different outcomes"),
    "pays-after-reset": BrokenCourier(Rule.TWICE, "treats a reset connection as proof that the call did not run"),
    "pays-after-restart": BrokenCourier(Rule.TWICE, "forgets at a restart that calls were in progress"),
    "forgets-key-life": BrokenCourier(Rule.TWICE, "repeats a keyed message after the partner forgot its key"),
    "hands-back-what-ran": BrokenCourier(Rule.TWICE, "hands messages back as safe to repeat that may have run"),
    "ignores-drains": BrokenCourier(Rule.DRAINS, "treats a draining endpoint as serving"),
    "late-lists": BrokenCourier(Rule.DRAINS, "applies changes of the endpoint list 1.5 s late"),
    "keeps-the-gone": BrokenCourier(Rule.DRAINS, "keeps calling removed endpoints"),
    "rushes-back": BrokenCourier(Rule.RETURNS, "returns to full rate at the first success"),
    "warms-too-fast": BrokenCourier(Rule.RETURNS, "treats a cold endpoint as warm"),
    "never-backs-off": BrokenCourier(Rule.RETURNS, "keeps calling at full rate during an outage"),
    "no-rest": BrokenCourier(Rule.ORDER, "sends a key's next message right after a reset or timeout"),
    "no-order-over-restart": BrokenCourier(Rule.ORDER, "forgets the order of keys at a restart"),
    "ignores-keys": BrokenCourier(Rule.ORDER, "sends messages of one key concurrently"),
    "heeds-for-one": BrokenCourier(Rule.WAITS, "applies a wait only to the rejected message"),
    "halves-waits": BrokenCourier(Rule.WAITS, "waits half the announced time"),
    "waits-at-one-endpoint": BrokenCourier(Rule.WAITS, "applies a wait only to the endpoint that announced it"),
}
