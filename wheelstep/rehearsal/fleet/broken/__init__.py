"""Couriers of a fleet made to break one rule each: ours with one behaviour replaced, in the courier's own process, to
show that the judge catches them. One module a package of ours; they alone import the daemon's decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.rehearsal.fleet.evidence import FleetRule


@dataclass(frozen=True, slots=True)
class Broken:
    """One broken courier: the rule it breaks, what it does wrong, and a scene that shows it."""

    rule: FleetRule
    what: str
    scene: str


BUILDS: dict[str, Broken] = {
    "ignores-epoch": Broken(FleetRule.FENCE, "looks at no epoch before an attempt's first byte", "frozen"),
    "outlives-lease": Broken(FleetRule.FENCE, "sends on after its lease has ended", "single"),
    "forgets-position": Broken(FleetRule.POSITIONS, "knows no position after a restart", "restarted"),
    "moves-with-a-call-out": Broken(FleetRule.NUMBERS, "gives a part away as if no call were out", "swap-slow"),
    "skips-gaps": Broken(FleetRule.GAPS, "passes a missing number over without a word", "gaps"),
    "needs-no-majority": Broken(FleetRule.EPOCHS, "takes a part over by its own voice alone", "thirds"),
}


def breakers() -> dict[str, Callable[[], None]]:
    """By name: what replaces the behaviour."""
    from wheelstep.rehearsal.fleet.broken import channels, moves, ownership
    return {
        "ignores-epoch": ownership.ignores_epoch, "outlives-lease": ownership.outlives_lease,
        "needs-no-majority": ownership.needs_no_majority, "forgets-position": channels.forgets_position,
        "skips-gaps": channels.skips_gaps, "moves-with-a-call-out": moves.moves_with_a_call_out,
    }
