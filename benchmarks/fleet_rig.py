"""A fleet of real couriers with faults between them, played at many seeds and judged.

    python benchmarks/fleet_rig.py --scene killed --seeds 1-20 [--couriers 3] [--channels 24] [--rate 40]
        [--lease 2] [--length 8] [--broken NAME] [--repeat 2] [--log FOLDER]

For each seed a line: the verdict, the rules broken, worth delivered, pauses of channels where their owner changed and
waits of messages (half, 99 of 100, the longest), changes of owner, doubles and reorders; then the breaches. The exit
code is 1 where a rule was broken (with --broken: where none was), or where one seed gave two verdicts.
`--scene list` names the scenes and the broken couriers.
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
    """`A-B` or one number."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _ms(spans: tuple[int, int, int]) -> str:
    return "/".join(f"{span / 1e3:.0f}" for span in spans)


def _line(seed: int, verdict: FleetVerdict, found: Cost, played: RunResult, took_s: float) -> str:
    rules = [rule.name.lower() for rule, ruling in [*verdict.rulings.items(), *verdict.base.rulings.items()]
             if ruling is Ruling.BROKEN]
    left = f", left in {max(played.leave_times_s):.1f} s at most" if played.leave_times_s else ""
    stayed = f", left with something: {','.join(played.incomplete_leaves)}" if played.incomplete_leaves else ""
    fell = f", fell: {','.join(played.killed_at_point)}" if played.killed_at_point else ""
    return (f"seed {seed}: {verdict.ruling.value} {','.join(rules) or '-'}; worth {found.share:.4f}, "
            f"{found.delivered}/{found.messages} delivered, {played.given_up} not taken; pause {_ms(found.pauses)} ms, "
            f"wait {_ms(found.waits)} ms; {found.changes} changes of owner, {found.doubles} doubles, "
            f"{found.reorders} reorders; {played.lost_packets} packets lost{left}{stayed}{fell}; late "
            f"{verdict.base.late_us / 1e3:.0f} ms ({verdict.base.late_who}); {took_s:.0f} s")


def _keep(folder: Path, seed: int, played: RunResult) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in played.logs.items():
        (folder / f"{seed}-{name}.log").write_text(text)
    (folder / f"{seed}-seen.txt").write_text("\n".join(map(str, played.history.facts)) + "\n")


async def _played(scene: Scene, broken: str) -> RunResult:
    """SIGTERM ends it as Ctrl-C does: no courier stays behind."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_scene(scene, broken)


def main() -> int:
    """Play and print."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--scene", required=True, choices=["list", *scenes.SCENES])
    options.add_argument("--seeds", type=seeds, default=range(1, 2))
    options.add_argument("--couriers", type=int, default=3)
    options.add_argument("--channels", type=int, default=24)
    options.add_argument("--rate", type=float, default=40.0, help="messages a second")
    options.add_argument("--lease", type=float, default=2.0, help="seconds")
    options.add_argument("--length", type=float, default=8.0, help="seconds; longer where the scene takes longer")
    options.add_argument("--broken", choices=list(BROKEN_COURIERS), default="")
    options.add_argument("--repeat", type=int, default=1, help="play each seed so often")
    options.add_argument("--log", type=Path, help="keep the couriers' logs and what was seen in this folder")
    given = options.parse_args()
    if given.scene == "list":
        print("scenes:", ", ".join(scenes.SCENES))
        for name, what in BROKEN_COURIERS.items():
            print(f"broken: {name}: {what.what} ({what.rule.name.lower()}; scene {what.scene})")
        return 0
    size = scenes.SceneSize(given.couriers, given.channels, given.rate, round(given.lease * 1e6),
                            round(given.length * 1e6))
    print(f"{given.scene}, {given.couriers} couriers, {given.channels} channels, {given.rate:.0f} messages a second, "
          f"lease {given.lease:.1f} s{', broken: ' + given.broken if given.broken else ''}", flush=True)
    counts: Counter[str] = Counter()
    differ = 0
    for seed in given.seeds:
        verdicts = set()
        for _ in range(given.repeat):
            scene = scenes.draw_scene(given.scene, seed, size)
            began = time.monotonic()
            try:
                played = asyncio.run(_played(scene, given.broken))
            except NeverServedError as error:
                print(f"seed {seed}: never served: {error}", flush=True)
                counts["never served"] += 1
                continue
            verdict = judge_fleet(played.history)
            verdicts.add(verdict.canonical(seed=seed, scene=scene.digest()))
            counts[verdict.ruling.value] += 1
            print(_line(seed, verdict, measure_cost(played.history, verdict), played, time.monotonic() - began))
            for breach in verdict.breaches[:5]:
                print(f"    {breach}")
            for finding in verdict.base.findings[:5]:
                print(f"    {finding.rule.name.lower()} {finding.at_us / 1e6:.3f} s {finding.courier}: {finding.text} "
                      f"{' '.join(finding.messages)}", flush=True)
            if given.log:
                _keep(given.log, seed, played)
        differ += len(verdicts) > 1
    print(", ".join(f"{count} {what}" for what, count in counts.items())
          + (f"; {differ} seeds gave two verdicts" if given.repeat > 1 else ""))
    wrong = not counts["broken"] if given.broken else counts["broken"] + counts["never served"]
    return 1 if wrong or differ else 0


if __name__ == "__main__":
    sys.exit(main())
