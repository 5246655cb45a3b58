"""Writes result files: what was measured, of which commit, on which machine, and the rows. Runs each size in its own
process, so that one size doesn't affect the memory and time of another."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import platform
import subprocess
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
RESULTS = ROOT / "benchmarks" / "results"
CASE_TIMEOUT_S = 240.0

Row = dict[str, Any]


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def peak_resident_bytes() -> int:
    """Return the largest resident memory that this process has had, or 0 if the system doesn't tell."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def measured_commit() -> str:
    """Return the short hash of the measured commit, followed by "+" if files under `wheelstep` differ from it."""
    def git(*arguments: str) -> str:
        return subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, text=True).stdout.strip()
    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "wheelstep") else "")


def describe_machine() -> str:
    """Return the processor, cores, memory and Python version as text."""
    info = Path("/proc/cpuinfo").read_text()
    name = next((line.split(":")[1].strip() for line in info.splitlines() if line.startswith("model name")), "unknown")
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{name}, {os.cpu_count()} cores, {memory:.0f} GB, Python {platform.python_version()}"


def write_result(name: str, what: str, commit: str, parameters: Mapping[str, Any], seed: int, rows: Sequence[Row],
                 load: str) -> Path:
    """Write `benchmarks/results/NAME.json` and return its path. `commit` is the one at the start of the measurement,
    `load` describes the machine's load average before and after it."""
    path = RESULTS / f"{name}.json"
    RESULTS.mkdir(exist_ok=True)
    path.write_text(json.dumps({"what": what, "commit": commit, "machine": describe_machine(),
                                "parameters": dict(parameters), "seed": seed, "load": load, "rows": list(rows)},
                               indent=1) + "\n")
    return path


def run_in_own_process(case: Callable[..., Row], **parameters: Any) -> Row | None:
    """Run `case` in its own process, print its row and return it, or None if it fails or takes longer than
    `CASE_TIMEOUT_S`."""
    forked = multiprocessing.get_context("fork")
    receiver, sender = forked.Pipe(duplex=False)
    child = forked.Process(target=lambda: sender.send(case(**parameters)))
    began = time.monotonic()
    child.start()
    sender.close()
    try:
        row: Row | None = receiver.recv() if receiver.poll(CASE_TIMEOUT_S) else None
    except EOFError:
        row = None
    if row is None:
        child.kill()
    child.join()
    print(f"{parameters}: {row if row is not None else 'no row'} ({time.monotonic() - began:.0f} s)", flush=True)
    return row


def run_cases(name: str, what: str, doc: str | None, cases: Iterable[Mapping[str, Any]], case: Callable[..., Row],
              parameters: Mapping[str, Any], seed: int = 1) -> None:
    """Run a measurement as a command: call `case` with the parameters of each item of `cases`, one after another, and
    write the rows to the result file after each. `name` is the file's default name, `doc` the text of --help."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--name", default=name, help="name of the result file, without .json")
    args = parser.parse_args()
    before, commit, rows = os.getloadavg()[0], measured_commit(), []
    for one in cases:
        row = run_in_own_process(case, **one)
        if row is not None:
            rows.append({**one, **row})
            load = f"{before:.1f} before, {os.getloadavg()[0]:.1f} after"
            write_result(args.name, what, commit, parameters, seed, rows, load)
    print(f"{len(rows)} rows: benchmarks/results/{args.name}.json")
