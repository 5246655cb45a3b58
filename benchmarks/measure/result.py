"""Result files: what was measured, of which state, on which machine, and the rows. And one size in one process, so that
memory and time of one size say nothing of another."""

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
BOUND_S = 240.0  # one size

Row = dict[str, Any]


def resident() -> int:
    """Bytes of memory that this process has now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def peak() -> int:
    """The most bytes of memory that this process has had."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def commit() -> str:
    """The commit that is measured; "+" where files under `wheelstep` differ from it."""
    def git(*words: str) -> str:
        return subprocess.run(["git", "-C", str(ROOT), *words], capture_output=True, text=True).stdout.strip()
    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "wheelstep") else "")


def machine() -> str:
    """Processor, cores, memory, Python."""
    info = Path("/proc/cpuinfo").read_text()
    name = next((line.split(":")[1].strip() for line in info.splitlines() if line.startswith("model name")), "unknown")
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{name}, {os.cpu_count()} cores, {memory:.0f} GB, Python {platform.python_version()}"


def write(name: str, what: str, state: str, parameters: Mapping[str, Any], seed: int, rows: Sequence[Row],
          load: str) -> Path:
    """Write `benchmarks/results/NAME.json`; `state`: the commit when it began, `load`: the machine's before and
    after."""
    path = RESULTS / f"{name}.json"
    RESULTS.mkdir(exist_ok=True)
    path.write_text(json.dumps({"what": what, "commit": state, "machine": machine(), "parameters": dict(parameters),
                                "seed": seed, "load": load, "rows": list(rows)}, indent=1) + "\n")
    return path


def apart(case: Callable[..., Row], **parameters: Any) -> Row | None:
    """One case in a process of its own; None, and a line, where it is not done within the bound or fails."""
    forked = multiprocessing.get_context("fork")
    ours, theirs = forked.Pipe(duplex=False)
    child = forked.Process(target=lambda: theirs.send(case(**parameters)))
    began = time.monotonic()
    child.start()
    theirs.close()
    try:
        row: Row | None = ours.recv() if ours.poll(BOUND_S) else None
    except EOFError:
        row = None
    if row is None:
        child.kill()
    child.join()
    print(f"{parameters}: {row if row is not None else 'no row'} ({time.monotonic() - began:.0f} s)", flush=True)
    return row


def measure(name: str, what: str, doc: str | None, cases: Iterable[Mapping[str, Any]], case: Callable[..., Row],
            parameters: Mapping[str, Any], seed: int = 1) -> None:
    """A measurement's command: all cases, one after another, to a result file."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--name", default=name, help="of the result file")
    args = parser.parse_args()
    before, state, rows = os.getloadavg()[0], commit(), []
    for one in cases:
        row = apart(case, **one)
        if row is not None:
            rows.append({**one, **row})
            load = f"{before:.1f} before, {os.getloadavg()[0]:.1f} after"
            write(args.name, what, state, parameters, seed, rows, load)
    print(f"{len(rows)} rows: benchmarks/results/{args.name}.json")
