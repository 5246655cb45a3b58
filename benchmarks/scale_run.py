"""Runs a fleet on this machine: hollow couriers, real ones, control machines, and a day of faults.

    python benchmarks/scale_run.py --hollow 1060 --real 24 --destinations 140000 --regions 2 --zones 6 --control 17
        --shards 16384 --rate 0.01 --seed 1 --json benchmarks/results/scale-1084.json [--parts idle,spread,dense,...]
        [--undivided] [--spell 20] [--minutes 10]

    python benchmarks/scale_run.py --sweep 100,300,600,1100 --sweep-destinations 14000,140000 ...

`--rate` is the fraction of 327 messages a second that is submitted at each courier. The quiet period `dense` submits
them to that fraction of the destinations, so that each has its real rate. With `--undivided`, each hollow courier holds
every destination instead of a share of them, and only quiet periods run. `--sweep` runs the quiet periods alone, for
each number of couriers and of destinations, with a file each: `{couriers}` and `{destinations}` in `--json` are
replaced. Everything uses loopback addresses, ends after `--minutes` per run, and ends with this process even if that is
killed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from wheelstep.rehearsal.scale.day import PARTS  # noqa: E402
from wheelstep.rehearsal.scale.fleet import FleetStartError  # noqa: E402
from wheelstep.rehearsal.scale.plan import Plan  # noqa: E402
from wheelstep.rehearsal.scale.play import RunOptions, run_scale  # noqa: E402

_QUIET_PARTS = ("idle", "spread", "dense")
_MAX_INDENTED_BYTES = 100_000  # a larger result file is written without indentation
_TYPICAL_S = {"start": 40, "restarts": 45, "machines": 40, "rack": 45, "zone": 60, "control": 12, "regions": 100,
            "drain": 25, "end": 10}


class Progress:
    """Prints each phase and an estimate of the time left, from the typical length of phases."""

    def __init__(self, parts: list[str], quiet_s: float) -> None:
        self._remaining = ["start", *[part for part in PARTS if part in parts], "drain", "end"]
        self._quiet_s, self._began_s = quiet_s, time.monotonic()

    def report_phase(self, phase: str) -> None:
        """Print that a phase begins."""
        while phase in self._remaining and self._remaining[0] != phase:
            self._remaining.pop(0)
        remaining_s = sum(_TYPICAL_S.get(part, self._quiet_s * 1.25) for part in self._remaining)
        print(f"{time.monotonic() - self._began_s:6.1f} s  {phase}, about {remaining_s:.0f} s left", file=sys.stderr,
              flush=True)


def _plan(args: argparse.Namespace, couriers: int, destinations: int) -> Plan:
    hosts = args.hosts or max(1, min(16, couriers // 30))
    return Plan(seed=args.seed, hollow=couriers, real=args.real, destinations=destinations, regions=args.regions,
                zones=args.zones, control=args.control, shards=args.shards, rate=args.rate, hosts=hosts, base=16,
                epoch_s=0.0, boot=0, links="", undivided=args.undivided, changes_per_s=args.changes,
                down_share=args.down, down_s=args.down_seconds)


def _run(args: argparse.Namespace, couriers: int, destinations: int, parts: list[str]) -> bool:
    """Run once and write the result; return whether its checks passed."""
    progress = Progress(parts, args.spell)
    print(f"{couriers} hollow and {args.real} real couriers, {destinations} destinations", file=sys.stderr, flush=True)
    result = asyncio.run(_run_until_signal(RunOptions(_plan(args, couriers, destinations), parts, args.spell,
                                                      min(180.0, args.minutes * 30), args.minutes, args.folder),
                                           progress))
    encoded = json.dumps(result, indent=1) + "\n"
    if len(encoded) > _MAX_INDENTED_BYTES:
        encoded = json.dumps(result, separators=(",", ":")) + "\n"
    if args.json:
        path = Path(str(args.json).format(couriers=couriers, destinations=destinations))
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(encoded)
        print(f"written: {path}, {len(encoded)} bytes", file=sys.stderr)
    else:
        print(encoded)
    checks = result["checks"]
    if (followed := checks.get("followed")) is None:
        return False
    return not (followed["lost"] or followed["doubled"] or checks["left_running"] or checks["hollow_without_end"]
                or checks["hollow_exceptions"])


async def _run_until_signal(options: RunOptions, progress: Progress) -> dict[str, object]:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await run_scale(options, progress.report_phase)


def main() -> int:
    """Return 0 if all checks passed; 1 if there is no result or something was lost, doubled or left running; 130 if
    interrupted."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name, default in (("hollow", 100), ("real", 3), ("destinations", 14_000), ("regions", 2), ("zones", 6),
                          ("control", 2), ("shards", 16_384), ("seed", 1), ("hosts", 0)):
        options.add_argument(f"--{name}", type=int, default=default)
    options.add_argument("--rate", type=float, default=0.01,
                         help="fraction of 327 messages a second submitted at each courier")
    options.add_argument("--spell", type=float, default=20.0, help="length of each quiet period in seconds")
    options.add_argument("--minutes", type=float, default=10.0, help="time limit of each run")
    options.add_argument("--changes", type=float, default=0.043, help="changes of the list per second")
    options.add_argument("--down", type=float, default=0.01, help="share of destinations that are down at any time")
    options.add_argument("--down-seconds", type=float, default=40.0, help="length of each outage in seconds")
    options.add_argument("--parts", default=",".join(PARTS))
    options.add_argument("--undivided", action="store_true")
    options.add_argument("--sweep", default="", help="numbers of hollow couriers, separated by commas")
    options.add_argument("--sweep-destinations", default="14000,140000")
    options.add_argument("--json", type=Path)
    options.add_argument("--folder", type=Path, help="new folder for logs and files, kept after the run")
    args = options.parse_args()
    parts = [part for part in args.parts.split(",") if part]
    if unknown := set(parts) - set(PARTS):
        options.error(f"--parts: {', '.join(unknown)}; expected some of {', '.join(PARTS)}")
    if args.undivided or args.sweep:
        parts = [part for part in parts if part in _QUIET_PARTS]
    if args.undivided:
        args.real = 0  # a real courier would belong to a fleet of its own
    cases = [(args.hollow, args.destinations)]
    if args.sweep:
        cases = [(int(couriers), int(destinations)) for destinations in args.sweep_destinations.split(",")
                 for couriers in args.sweep.split(",")]
    passed = True
    for couriers, destinations in cases:
        try:
            passed = _run(args, couriers, destinations, parts) and passed
        except (FleetStartError, TimeoutError, EOFError) as error:
            print(f"no result: {error or 'the time limit was reached'}", file=sys.stderr)
            passed = False
        except (KeyboardInterrupt, asyncio.CancelledError):
            return 130
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
