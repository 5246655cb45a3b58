"""Broken variants of a fleet's courier, to show that the judge finds each kind of breach.

Each variant replaces one behaviour of our courier in the courier's own process. There is one module for each package
that is patched; within this package, only these modules import the daemon.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wheelstep.rehearsal.fleet.evidence import FleetRule


@dataclass(frozen=True, slots=True)
class BrokenCourier:
    """A broken variant: the rule that it breaks, its wrong behaviour, and a scene in which it shows."""

    rule: FleetRule
    what: str
    scene: str


BROKEN_COURIERS: dict[str, BrokenCourier] = {
    "ignores-epoch": BrokenCourier(FleetRule.FENCE, "doesn't check the epoch before a call's first byte", "frozen"),
    "outlives-lease": BrokenCourier(FleetRule.FENCE, "sends calls after its lease has ended", "single"),
    "forgets-position": BrokenCourier(FleetRule.POSITIONS, "restores no position after a restart", "restarted"),
    "moves-with-a-call-out": BrokenCourier(FleetRule.NUMBERS, "gives a part away although calls are open", "swap-slow"),
    "skips-gaps": BrokenCourier(FleetRule.GAPS, "skips a missing number whatever the contract says", "gaps"),
    "needs-no-majority": BrokenCourier(FleetRule.EPOCHS, "takes a part over by its own vote alone", "thirds"),
}


def patches() -> dict[str, Callable[[], None]]:
    """Return, by variant, the function that patches the daemon in this process."""
    from wheelstep.rehearsal.fleet.broken import channels, moves, ownership
    return {
        "ignores-epoch": ownership.ignores_epoch, "outlives-lease": ownership.outlives_lease,
        "needs-no-majority": ownership.needs_no_majority, "forgets-position": channels.forgets_position,
        "skips-gaps": channels.skips_gaps, "moves-with-a-call-out": moves.moves_with_a_call_out,
    }
