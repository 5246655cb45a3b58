"""How evenly many real couriers spread their calls, beside a choice at random and least calls with the truth known.

    python benchmarks/spread_processes.py [--couriers 200] [--seeds 1,2,3] [--rate 500] [--seconds 18]
        [--shapes 8:0.5,20:0.3] [--scenes plain,killed,replaced,stalled] [--reports both|off|on]
        [--command "python -m wheelstep.courier"] [--tree FOLDER]

Each courier is a process with a loopback address, a folder and a configuration of its own. Stand-in endpoints (4 lanes,
exponential times, a queue) count what comes; all destinations are played at once and share the rate. The traffic is
thin and uneven: some couriers get several times the mean. The two choices to compare with are computed on the same
messages, with the same times, at the same endpoints in virtual time: they know no process, no network and no faults of
couriers, and wait out a stall. Shares are those of every second that begins at a tenth, from the fault on (plain: after
a sixth of the scene). `--command` and `--tree` name another state of the courier, to be measured in turn.
`--command fork` forks the couriers from one process that has imported them: a third of the memory, and of the time to
start. With reports, answers tell of a limit at twice what is asked for, which is never in the way; only the plain scene
is played so. The lateness of this process tells what a busy machine adds to the times.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from spread_rig.figures import HEAD
from spread_rig.fleet import NoFleetError
from spread_rig.plan import Fault, Shape
from spread_rig.play import Given, end_by_signal, play, scenes

ROOT = Path(__file__).resolve().parents[1]


def _shapes(text: str) -> tuple[Shape, ...]:
    rows = [one.split(":") for one in text.split(",")]
    return tuple(Shape(number + 1, int(count), float(load)) for number, (count, load) in enumerate(rows))


async def _all(given: argparse.Namespace) -> None:
    asked = [Fault(name) for name in given.scenes.split(",")]
    end_by_signal()
    for seed in map(int, given.seeds.split(",")):
        for reports in {"off": [False], "on": [True], "both": [False, True]}[given.reports]:
            which = [Fault.PLAIN] if reports and given.reports == "both" else asked
            seen = await play(Given(given.couriers, given.command, given.tree, given.shapes,
                                    scenes(given.seconds, which), given.rate, given.slots, reports), seed, _tell)
            print(f"\nseed {seed}, {given.couriers} couriers, {given.rate:g} messages a second, "
                  f"reports {'on' if reports else 'off'}\n{HEAD}", flush=True)
            for line in seen.rows:
                print(line.text())
            for note in seen.notes:
                print(f"  {note}")
            print(flush=True)


def _tell(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    """Play each seed and print what was seen."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--couriers", type=int, default=200)
    options.add_argument("--seeds", default="1,2,3")
    options.add_argument("--rate", type=float, default=500.0)
    options.add_argument("--seconds", type=float, default=18.0, help="of each scene")
    options.add_argument("--slots", type=int, default=4)
    options.add_argument("--shapes", type=_shapes, default="8:0.5,20:0.3", help="endpoints:load of each destination")
    options.add_argument("--scenes", default=",".join(Fault))
    options.add_argument("--reports", choices=("off", "on", "both"), default="both")
    options.add_argument("--command", default=f"{sys.executable} -m wheelstep.courier")
    options.add_argument("--tree", type=Path, default=ROOT, help="where the command runs")
    given = options.parse_args()
    try:
        asyncio.run(_all(given))
    except NoFleetError as error:
        print(error, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
