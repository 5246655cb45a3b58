"""One play of the soak: real processes, the faults of its seed, and what the judge and the couriers' own checks say."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wheelstep.rehearsal.history import Answer, Call, HandIn, Life, Turn
from wheelstep.rehearsal.judge import Finding, Ruling, judge
from wheelstep.rehearsal.planned import Plan
from wheelstep.rehearsal.rig import Played, module_command, play
from wheelstep.rehearsal.soak.courier import SoakCourier

COMMAND = module_command("wheelstep.rehearsal.soak.faulty")


@dataclass(slots=True)
class SoakResult:
    """What came of one seed."""

    seed: int
    ruling: Ruling
    findings: tuple[Finding, ...]
    suspect: list[str]  # lines of logs that tell of a fault of the program, violated invariants among them
    late_us: int
    counts: dict[str, int] = field(default_factory=dict)

    @property
    def clean(self) -> bool:
        """Nothing was broken, and something was played."""
        return self.ruling is not Ruling.BROKEN and not self.suspect and self.counts.get("accepted", 0) > 0


async def run(plan: Plan, command: str = COMMAND) -> tuple[SoakResult, Played]:
    """Play and judge. Raises `NoStartError` where the command can't be started."""
    played = await play(plan, command, courier_type=SoakCourier)
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
