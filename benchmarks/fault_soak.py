"""Soak test: random, overlapping faults on real couriers, checked by the judge's six rules and run-time invariants.

    .venv/bin/python benchmarks/fault_soak.py --seeds 1-20
    .venv/bin/python benchmarks/fault_soak.py --seeds 7 --couriers 24 --length 12 --keep FOLDER

Each seed is one run of real processes on loopback: restarts, upgrades, faults inside the processes (the wall clock,
sockets, the disk), at endpoints and at discovery, at random times. A run is inconclusive where the machine was late.
Exit status 1 if any run is not clean. `--without KIND,...` leaves out kinds of faults; `--keep` writes history and
logs.
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
from wheelstep.rehearsal.soak.plan import (
    COURIER_FAULTS,
    CROWD_FAULTS,
    ENDPOINT_FAULTS,
    IN_PROCESS_FAULTS,
    SoakConfig,
    draw_plan,
)
from wheelstep.rehearsal.soak.run import COMMAND, SoakResult, run

MAX_FINDINGS = 12  # printed for a run; the same limit holds for suspect log lines


def keep(folder: Path, played: Played, result: SoakResult) -> None:
    """Write a run's history and its couriers' logs below `folder`."""
    at = folder / f"seed-{result.seed}"
    at.mkdir(parents=True, exist_ok=True)
    (at / "history.jsonl").write_text("\n".join(dump(played.history)))
    for name, text in played.logs.items():
        (at / f"{name}.log").write_text(text)


def show(result: SoakResult, wall_s: float) -> None:
    """Print one line for a run and, if it is not clean, its findings and suspect log lines."""
    counts = result.counts
    faults = sum(count for name, count in counts.items() if name.startswith("fault "))
    print(f"seed {result.seed}: {'clean' if result.clean else 'NOT CLEAN'}, rules {result.ruling.value}, "
          f"{faults} faults, {counts.get('starts', 0)} starts, {counts.get('accepted', 0)} of "
          f"{counts.get('submitted', 0)} accepted, {counts.get('calls', 0)} calls, "
          f"{result.late_us / 1000:.0f} ms late at most, {wall_s:.0f} s", flush=True)
    if not result.clean:
        for finding in result.findings[:MAX_FINDINGS]:
            print(f"  {finding.at_us / 1e6:.3f} {finding.courier} {finding.rule.name}: {finding.text} "
                  f"{' '.join(finding.messages)}")
        for line in result.suspect_lines[:MAX_FINDINGS]:
            print(f"  {line}")
        sys.stdout.flush()


def main() -> int:
    """Run the seeds one after another; return 1 if any run is not clean."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1-3", help="a seed, or a range such as 1-20")
    parser.add_argument("--couriers", type=int, default=24)
    parser.add_argument("--length", type=float, default=12.0, help="seconds in which messages are submitted")
    parser.add_argument("--without", default="", help="kinds of faults to leave out, separated by commas")
    parser.add_argument("--command", default=COMMAND, help="command that starts a courier")
    parser.add_argument("--keep", type=Path, help="folder for the history and logs of runs that are not clean")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends a run as Ctrl-C does: no courier is left behind
    first, _, last = arguments.seeds.partition("-")
    without = set(filter(None, arguments.without.split(",")))
    config = SoakConfig(arguments.couriers, arguments.length, *(
        tuple(kind for kind in kinds if kind not in without)
        for kinds in (COURIER_FAULTS, IN_PROCESS_FAULTS, ENDPOINT_FAULTS, CROWD_FAULTS)))
    broken = inconclusive = 0
    seeds = range(int(first), int(last or first) + 1)
    for seed in seeds:
        began = time.monotonic()
        result, played = asyncio.run(run(draw_plan(seed, config), arguments.command))
        broken += not result.clean
        inconclusive += result.ruling is Ruling.INCONCLUSIVE
        show(result, time.monotonic() - began)
        if arguments.keep is not None and not result.clean:
            keep(arguments.keep, played, result)
    print(f"{len(seeds)} seeds, {broken} not clean, {inconclusive} inconclusive")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
