"""A recorded Monday at speed 1 and at speed 10: the verdict and the worth delivered side by side.

    python benchmarks/monday_speed.py [--speeds 1,10]

Records the scenario `monday` as one courier was handed it, then replays the record with Monday's partners and
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


def umberchute(*words: str) -> dict[str, Any]:
    """One command's JSON."""
    done = subprocess.run([sys.executable, "-m", "wheelstep.cli", "rehearse", *words, "--json"],
                          capture_output=True, text=True)
    if done.returncode not in (0, 1, 3):
        raise SystemExit(done.stderr)
    report: dict[str, Any] = json.loads(done.stdout)
    return report


def main() -> None:
    """Record, replay, print."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--speeds", default="1,10")
    given = options.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        record = str(Path(folder) / "monday.record")
        show("recorded", umberchute("record", "monday", record))
        for speed in given.speeds.split(","):
            show(f"speed {speed}", umberchute("replay", record, "--speed", speed, "--scenario", "monday"))


def show(name: str, report: dict[str, Any]) -> None:
    """One line."""
    beside, classes = report["beside"], report["beside"]["worth"]
    worth = ", ".join(f"{cls} {row['share']:.3f} of {row['messages']}" for cls, row in classes.items())
    print(f"{name}: {report['verdict']['verdict']}; worth {beside['worth_share']:.3f} ({worth}); "
          f"late {beside['late_ms']:.0f} ms; {beside['wall_s']:.0f} s")
    for finding in report["findings"][:3]:
        print(f"   {finding['rule']}: {finding['at_s']:.2f} s {finding['what']}")


if __name__ == "__main__":
    main()
