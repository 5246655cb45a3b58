"""Random, overlapping faults over a few dozen real couriers, judged by the six rules and the run-time invariants.

    .venv/bin/python benchmarks/fault_soak.py --seeds 1-20
    .venv/bin/python benchmarks/fault_soak.py --seeds 7 --couriers 24 --length 12 --keep FOLDER

Each seed is one play of real processes on loopback: restarts, new versions, faults inside the processes (the wall
clock, sockets, the disk), at endpoints and at discovery, whenever they come. A play is inconclusive where the machine
ran late.
Exit status 1 if anything was broken. `--without KIND,...` leaves kinds of faults out; `--keep` writes history and logs.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path

from wheelstep.rehearsal.historyfile import dump
from wheelstep.rehearsal.judge import Ruling
from wheelstep.rehearsal.rig import Played
from wheelstep.rehearsal.soak.plan import COURIER_FAULTS, ENDPOINT_FAULTS, PROCESS_INSIDE, Soak, plan
from wheelstep.rehearsal.soak.run import COMMAND, SoakResult, run

MOST_FINDINGS = 12  # of a play, that are shown


def keep(folder: Path, played: Played, result: SoakResult) -> None:
    """Write what was seen."""
    at = folder / f"seed-{result.seed}"
    at.mkdir(parents=True, exist_ok=True)
    (at / "history.jsonl").write_text("\n".join(dump(played.history)))
    for name, text in played.logs.items():
        (at / f"{name}.log").write_text(text)


def show(result: SoakResult, wall_s: float) -> None:
    """One line, and what was broken below it."""
    counts = result.counts
    faults = sum(count for name, count in counts.items() if name.startswith("fault "))
    print(f"seed {result.seed}: {'clean' if result.clean else 'NOT CLEAN'}, rules {result.ruling.value}, "
          f"{faults} faults, {counts.get('starts', 0)} starts, {counts.get('accepted', 0)} of "
          f"{counts.get('submitted', 0)} accepted, {counts.get('calls', 0)} calls, "
          f"{result.late_us / 1000:.0f} ms late at most, {wall_s:.0f} s", flush=True)
    if not result.clean:
        for finding in result.findings[:MOST_FINDINGS]:
            print(f"  {finding.at_us / 1e6:.3f} {finding.courier} {finding.rule.name}: {finding.text} "
                  f"{' '.join(finding.messages)}")
        for line in result.suspect[:MOST_FINDINGS]:
            print(f"  {line}")
        sys.stdout.flush()


def main() -> int:
    """Play the seeds, one after another."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1-3", help="one, or a range such as 1-20")
    parser.add_argument("--couriers", type=int, default=24)
    parser.add_argument("--length", type=float, default=12.0, help="seconds in which messages are submitted")
    parser.add_argument("--without", default="", help="kinds of faults to leave out, with commas")
    parser.add_argument("--command", default=COMMAND, help="what is played")
    parser.add_argument("--keep", type=Path, help="write history and logs of plays that are not clean there")
    given = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends a play as Ctrl-C does: no courier stays
    first, _, last = given.seeds.partition("-")
    without = set(filter(None, given.without.split(",")))
    soak = Soak(given.couriers, given.length, *(tuple(kind for kind in kinds if kind not in without)
                                                for kinds in (COURIER_FAULTS, PROCESS_INSIDE, ENDPOINT_FAULTS)))
    broken = inconclusive = 0
    seeds = range(int(first), int(last or first) + 1)
    for seed in seeds:
        began = time.monotonic()
        result, played = asyncio.run(run(plan(seed, soak), given.command))
        broken += not result.clean
        inconclusive += result.ruling is Ruling.INCONCLUSIVE
        show(result, time.monotonic() - began)
        if given.keep is not None and not result.clean:
            keep(given.keep, played, result)
    print(f"{len(seeds)} seeds, {broken} not clean, {inconclusive} inconclusive")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
