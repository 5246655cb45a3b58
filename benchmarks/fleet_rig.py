"""Runs scenes with a fleet of real couriers and faults at many seeds, and judges each run.

    python benchmarks/fleet_rig.py --scene killed --seeds 1-20 [--couriers 3] [--channels 24] [--rate 40]
        [--lease 2] [--length 8] [--broken NAME] [--repeat 2] [--log FOLDER]

It prints a line for each seed: the verdict, the rules broken, worth delivered, pauses of channels where their owner
changed and waits of messages (median, 99th percentile, maximum), changes of owner, doubles and reorders; then the
breaches. The exit code is 1 if a rule was broken (with --broken: if none was), or if one seed gave two verdicts.
`--scene list` prints the scenes and the broken couriers.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from wheelstep.rehearsal.fleet import scenes
from wheelstep.rehearsal.fleet.broken import BROKEN_COURIERS
from wheelstep.rehearsal.fleet.figures import Cost, measure_cost
from wheelstep.rehearsal.fleet.judge import FleetVerdict, judge_fleet
from wheelstep.rehearsal.fleet.plan import Scene
from wheelstep.rehearsal.fleet.rig import NeverServedError, RunResult, run_scene
from wheelstep.rehearsal.judge import Ruling


def seeds(text: str) -> range:
    """Parse `A-B`, or one number, into a range."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _percentiles_ms(spans: tuple[int, int, int]) -> str:
    return "/".join(f"{span / 1e3:.0f}" for span in spans)


def _line(seed: int, verdict: FleetVerdict, figures: Cost, result: RunResult, duration_s: float) -> str:
    rules = [rule.name.lower() for rule, ruling in [*verdict.rulings.items(), *verdict.base.rulings.items()]
             if ruling is Ruling.BROKEN]
    left = f", left in {max(result.leave_times_s):.1f} s at most" if result.leave_times_s else ""
    stayed = f", left with something: {','.join(result.incomplete_leaves)}" if result.incomplete_leaves else ""
    fell = f", fell: {','.join(result.killed_at_point)}" if result.killed_at_point else ""
    return (f"seed {seed}: {verdict.ruling.value} {','.join(rules) or '-'}; worth {figures.share:.4f}, "
            f"{figures.delivered}/{figures.messages} delivered, {result.given_up} not taken; "
            f"pause {_percentiles_ms(figures.pauses)} ms, wait {_percentiles_ms(figures.waits)} ms; "
            f"{figures.changes} changes of owner, {figures.doubles} doubles, "
            f"{figures.reorders} reorders; {result.lost_packets} packets lost{left}{stayed}{fell}; late "
            f"{verdict.base.late_us / 1e3:.0f} ms ({verdict.base.late_who}); {duration_s:.0f} s")


def _write_logs(folder: Path, seed: int, result: RunResult) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in result.logs.items():
        (folder / f"{seed}-{name}.log").write_text(text)
    (folder / f"{seed}-seen.txt").write_text("\n".join(map(str, result.history.facts)) + "\n")


async def _run_scene(scene: Scene, broken: str) -> RunResult:
    """Run the scene. SIGTERM cancels it as Ctrl-C does, so that no courier is left running."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_scene(scene, broken)


def main() -> int:
    """Run the scene at each seed and print the results; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--scene", required=True, choices=["list", *scenes.SCENES])
    parser.add_argument("--seeds", type=seeds, default=range(1, 2))
    parser.add_argument("--couriers", type=int, default=3)
    parser.add_argument("--channels", type=int, default=24)
    parser.add_argument("--rate", type=float, default=40.0, help="messages a second")
    parser.add_argument("--lease", type=float, default=2.0, help="seconds")
    parser.add_argument("--length", type=float, default=8.0, help="seconds; longer where the scene takes longer")
    parser.add_argument("--broken", choices=list(BROKEN_COURIERS), default="")
    parser.add_argument("--repeat", type=int, default=1, help="number of runs of each seed")
    parser.add_argument("--log", type=Path, help="write the couriers' logs and the facts into this folder")
    options = parser.parse_args()
    if options.scene == "list":
        print("scenes:", ", ".join(scenes.SCENES))
        for name, what in BROKEN_COURIERS.items():
            print(f"broken: {name}: {what.what} ({what.rule.name.lower()}; scene {what.scene})")
        return 0
    size = scenes.SceneSize(options.couriers, options.channels, options.rate, round(options.lease * 1e6),
                            round(options.length * 1e6))
    print(f"{options.scene}, {options.couriers} couriers, {options.channels} channels, "
          f"{options.rate:.0f} messages a second, lease {options.lease:.1f} s"
          f"{', broken: ' + options.broken if options.broken else ''}", flush=True)
    counts: Counter[str] = Counter()
    differing = 0
    for seed in options.seeds:
        verdicts = set()
        for _ in range(options.repeat):
            scene = scenes.draw_scene(options.scene, seed, size)
            start = time.monotonic()
            try:
                result = asyncio.run(_run_scene(scene, options.broken))
            except NeverServedError as error:
                print(f"seed {seed}: never served: {error}", flush=True)
                counts["never served"] += 1
                continue
            verdict = judge_fleet(result.history)
            verdicts.add(verdict.canonical(seed=seed, scene=scene.digest()))
            counts[verdict.ruling.value] += 1
            print(_line(seed, verdict, measure_cost(result.history, verdict), result, time.monotonic() - start))
            for breach in verdict.breaches[:5]:
                print(f"    {breach}")
            for finding in verdict.base.findings[:5]:
                print(f"    {finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text} "
                      f"{' '.join(finding.messages)}", flush=True)
            if options.log:
                _write_logs(options.log, seed, result)
        differing += len(verdicts) > 1
    print(", ".join(f"{count} {what}" for what, count in counts.items())
          + (f"; {differing} seeds gave two verdicts" if options.repeat > 1 else ""))
    failed = not counts["broken"] if options.broken else counts["broken"] + counts["never served"]
    return 1 if failed or differing else 0


if __name__ == "__main__":
    sys.exit(main())
