"""Replays a recording of the scenario `monday` at speed 1 and at speed 10 and compares the verdict and the worth
delivered.

    python benchmarks/monday_speed.py [--speeds 1,10]

Records the messages that one courier got in the scenario, then replays the record with the scenario's destinations and
faults. Takes about three minutes.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any


def rehearse(*arguments: str) -> dict[str, Any]:
    """Run `umberchute rehearse` with these arguments and return its JSON report. Raises `SystemExit` with its stderr if
    it fails."""
    finished = subprocess.run([sys.executable, "-m", "wheelstep.cli", "rehearse", *arguments, "--json"],
                              capture_output=True, text=True)
    if finished.returncode not in (0, 1, 3):
        raise SystemExit(finished.stderr)
    report: dict[str, Any] = json.loads(finished.stdout)
    return report


def main() -> None:
    """Record the scenario, then replay it at each speed, and print a line for each."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--speeds", default="1,10")
    given = options.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        record = str(Path(folder) / "monday.record")
        print_report("recorded", rehearse("record", "monday", record))
        for speed in given.speeds.split(","):
            print_report(f"speed {speed}", rehearse("replay", record, "--speed", speed, "--scenario", "monday"))


def print_report(name: str, report: dict[str, Any]) -> None:
    """Print a report in one line, and its first three findings."""
    beside, classes = report["beside"], report["beside"]["worth"]
    worth = ", ".join(f"{cls} {row['share']:.3f} of {row['messages']}" for cls, row in classes.items())
    print(f"{name}: {report['verdict']['verdict']}; worth {beside['worth_share']:.3f} ({worth}); "
          f"late {beside['late_ms']:.0f} ms; {beside['wall_s']:.0f} s")
    for finding in report["findings"][:3]:
        print(f"   {finding['rule']}: {finding['at_s']:.2f} s {finding['what']}")


if __name__ == "__main__":
    main()
