"""Measures how evenly many courier processes spread their calls over endpoints, beside a random choice and the fewest
outstanding calls with complete knowledge.

    python benchmarks/spread_processes.py [--couriers 200] [--seeds 1,2,3] [--rate 500] [--seconds 18]
        [--shapes 8:0.5,20:0.3] [--scenes plain,killed,replaced,stalled] [--reports both|off|on]
        [--command "python -m wheelstep.courier"] [--tree FOLDER]

Each courier is a process with a loopback address, a folder and a configuration of its own. Stand-in endpoints (4 lanes,
exponential times, a queue) record the calls; all destinations are measured at once and share the rate. The traffic is
thin and uneven: some couriers get several times the mean. The two baselines are computed on the same messages, with the
same times, at the same endpoints in virtual time: without processes, network and faults of couriers, and they wait out
a stall. Shares are those of every second that begins at a multiple of 0.1 s, from the fault on (plain: after a sixth of
the scene). `--command` and `--tree` select another version of the courier, to measure in turn with this one.
`--command fork` forks the couriers from one process that has imported them: a third of the memory, and of the time to
start. With reports, answers report a limit of twice the actual rate, which never applies; `--reports both` runs only
the plain scene this way. The lateness of this process shows what a busy machine adds to the times.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from spread_rig.figures import TABLE_HEADER
from spread_rig.fleet import FleetStartError
from spread_rig.plan import Fault, Shape
from spread_rig.play import RunOptions, cancel_on_signal, make_scenes, run_scenes

ROOT = Path(__file__).resolve().parents[1]


def _parse_shapes(text: str) -> tuple[Shape, ...]:
    rows = [one.split(":") for one in text.split(",")]
    return tuple(Shape(number + 1, int(count), float(load)) for number, (count, load) in enumerate(rows))


async def _run_seeds(given: argparse.Namespace) -> None:
    asked = [Fault(name) for name in given.scenes.split(",")]
    cancel_on_signal()
    for seed in map(int, given.seeds.split(",")):
        for reports in {"off": [False], "on": [True], "both": [False, True]}[given.reports]:
            which = [Fault.PLAIN] if reports and given.reports == "both" else asked
            seen = await run_scenes(
                RunOptions(given.couriers, given.command, given.tree, given.shapes, make_scenes(given.seconds, which),
                           given.rate, given.slots, reports), seed, _print_progress)
            print(f"\nseed {seed}, {given.couriers} couriers, {given.rate:g} messages a second, "
                  f"reports {'on' if reports else 'off'}\n{TABLE_HEADER}", flush=True)
            for line in seen.rows:
                print(line.text())
            for note in seen.notes:
                print(f"  {note}")
            print(flush=True)


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    """Run each seed and print its tables. Returns the exit code: 1 if the couriers can't be started, 130 after a
    signal."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--couriers", type=int, default=200)
    options.add_argument("--seeds", default="1,2,3")
    options.add_argument("--rate", type=float, default=500.0)
    options.add_argument("--seconds", type=float, default=18.0, help="of each scene")
    options.add_argument("--slots", type=int, default=4)
    options.add_argument("--shapes", type=_parse_shapes, default="8:0.5,20:0.3",
                         help="endpoints:load of each destination")
    options.add_argument("--scenes", default=",".join(Fault))
    options.add_argument("--reports", choices=("off", "on", "both"), default="both")
    options.add_argument("--command", default=f"{sys.executable} -m wheelstep.courier")
    options.add_argument("--tree", type=Path, default=ROOT, help="where the command runs")
    given = options.parse_args()
    try:
        asyncio.run(_run_seeds(given))
    except FleetStartError as error:
        print(error, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
