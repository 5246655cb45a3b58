"""Runs one plan of the soak test on real processes, and collects the judge's verdict and the couriers' own checks."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wheelstep.rehearsal.history import Answer, Call, HandIn, Life, Turn
from wheelstep.rehearsal.judge import Finding, Ruling, judge
from wheelstep.rehearsal.planned import Plan
from wheelstep.rehearsal.rig import Played, module_command, play
from wheelstep.rehearsal.soak.courier import SoakCourier
from wheelstep.rehearsal.soak.plan import courier_limits
from wheelstep.rehearsal.standins.clients import ClientHabits

COMMAND = module_command("wheelstep.rehearsal.soak.faulty")
HABITS = ClientHabits(rotate=True, copy_share=0.05)


@dataclass(slots=True)
class SoakResult:
    """The result of one seed."""

    seed: int
    ruling: Ruling
    findings: tuple[Finding, ...]
    suspect_lines: list[str]  # log lines that tell of a fault in the courier, such as a violated invariant
    late_us: int  # the longest that the rig or a courier waited for a core; too long a wait makes a run inconclusive
    counts: dict[str, int] = field(default_factory=dict)  # messages, calls, starts, and faults of each kind

    @property
    def clean(self) -> bool:
        """Whether no rule was broken, no suspect line was logged, and at least one message was accepted. An
        inconclusive run may be clean."""
        return self.ruling is not Ruling.BROKEN and not self.suspect_lines and self.counts.get("accepted", 0) > 0


async def run(plan: Plan, command: str = COMMAND) -> tuple[SoakResult, Played]:
    """Run a plan against couriers that `command` starts, and judge what was seen. Raises `NoStartError` where the
    command can't be started."""
    played = await play(plan, command, courier_limits(plan), courier_type=SoakCourier, habits=HABITS)
    verdict = judge(played.history)
    counts: Counter[str] = Counter(f"fault {fault.kind}" for fault in plan.faults)
    for fact in played.history.facts:
        match fact:
            case HandIn():
                counts["submitted"] += 1
            case Answer(status=202):
                counts["accepted"] += 1
            case Call():
                counts["calls"] += 1
            case Life(turn=Turn.READY):
                counts["starts"] += 1
    return SoakResult(plan.seed, verdict.ruling, verdict.findings, played.suspect, verdict.late_us,
                      dict(counts)), played
