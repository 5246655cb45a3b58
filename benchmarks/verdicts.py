"""Checks that a seed always gives the same verdict: runs a scenario many times, half of them with all cores kept busy.

    python benchmarks/verdicts.py [--scenario lost-kill] [--broken NAME] [--runs 20]

Prints each distinct canonical verdict and how often it came, separately for the quiet and the busy machine, and the
lateness.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from collections import Counter

BUSY_LOOP = "while True: pass"


def rehearse(scenario: str, broken: str | None) -> tuple[str, float]:
    """Run one rehearsal, against the courier named by `broken` if not None, and return its canonical verdict and how
    late the machine ran, in milliseconds."""
    command = [sys.executable, "-m", "wheelstep.cli", "rehearse", "run", scenario, "--json", "--seed", "1"]
    finished = subprocess.run(command + (["--broken", broken] if broken else []), capture_output=True, text=True)
    report = json.loads(finished.stdout)
    return json.dumps(report["verdict"], sort_keys=True, separators=(",", ":")), report["beside"]["late_ms"]


def main() -> None:
    """Run the rehearsals on the quiet, then on the busy machine, and print the verdicts."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--scenario", default="lost-kill")
    options.add_argument("--broken")
    options.add_argument("--runs", type=int, default=20)
    given = options.parse_args()
    cores = os.cpu_count() or 1
    print(f"{given.scenario} against {given.broken or 'ours'}, {cores} cores, Python {sys.version.split()[0]}")
    for name, busy, runs in (("quiet", 0, given.runs // 2), ("busy", cores, given.runs - given.runs // 2)):
        spinners = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(busy)]
        try:
            results = [rehearse(given.scenario, given.broken) for _ in range(runs)]
        finally:
            for spinner in spinners:
                spinner.kill()
                spinner.wait()
        late = sorted(late_ms for _, late_ms in results)
        print(f"{name}: {runs} runs, {busy} processes spin; late {late[0]:.0f} to {late[-1]:.0f} ms")
        for verdict, count in Counter(verdict for verdict, _ in results).most_common():
            print(f"  {count} x {verdict}")


if __name__ == "__main__":
    main()
