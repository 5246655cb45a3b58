"""Measures the share of untried messages that are tried after a restart at the hold limit, with new traffic from the
start.

    python benchmarks/restart_at_limit.py [--tree FOLDER] [--hold 300] [--hanging 0,4] [--rates 0,150,300,1000]
        [--restarts 1,2] [--left-ms 6000] [--work-ms 20,200]

A courier process is filled to its limit while its eight endpoints drain, killed with SIGKILL, and started again; then
some of the endpoints hang and the others answer. `--tree` selects another checkout of the project to measure.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import loopback  # noqa: E402
from restart import play  # noqa: E402


def _numbers(text: str) -> list[int]:
    return [int(one) for one in text.split(",")]


def main() -> int:
    """Run each combination of the options and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--tree", type=Path, default=ROOT)
    parser.add_argument("--hold", type=int, default=300)
    parser.add_argument("--hanging", type=_numbers, default=[0, 4])
    parser.add_argument("--rates", type=_numbers, default=[0, 150, 300, 1000])
    parser.add_argument("--restarts", type=_numbers, default=[1, 2])
    parser.add_argument("--left-ms", type=int, default=6000)
    parser.add_argument("--work-ms", type=_numbers, default=[20, 200], help="time of a call at an endpoint")
    given = parser.parse_args()
    loopback.ROOT = given.tree.resolve()
    for restarts in given.restarts:
        for hanging in given.hanging:
            for rate in given.rates:
                for work_ms in given.work_ms:
                    with tempfile.TemporaryDirectory() as folder:
                        share = asyncio.run(play(Path(folder), given.hold, given.left_ms, max(rate, 0.001), 8, hanging,
                                                 restarts, work_ms / 1000))
                    print(f"{restarts} restart(s), {hanging} of 8 hang, {rate} fresh a second, calls of {work_ms} ms: "
                          f"{share.line()}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
