"""Measures what a reload costs a standalone courier with many destinations and held messages: the longest iteration of
its event loop.

    python benchmarks/standalone_reload.py [--destinations 2000] [--held 20000] [--reloads 20]

Each reload changes the endpoints of one destination in twenty, a route and a tenant. Also prints the iterations during
5 seconds without a reload, and the time that reading and checking the file takes, which a reload does in a thread of
its own.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import tempfile
import time
from pathlib import Path

from turns import LoopIterations

from wheelstep.journal import Journal, StoredMessage
from wheelstep.standalone import model, serve


def deploy_file(destinations: int, version: int, held: int) -> str:
    """Return the text of a deploy file. All endpoints drain, so that held messages stay held."""
    lines = ['listen = "127.0.0.1:0"', 'state = "state"', "[limits]", f"held = {2 * held}", "disk_mb = 500",
             "[class.a]", 'effect = "safe"', 'deadline = "10min"']
    for number in range(destinations):
        port = 20_000 + number + (version * 7 if number % 20 == 0 else 0)
        lines += [f"[destination.d{number}]", f'endpoints = ["127.0.0.1:{port}"]', f'drain = ["127.0.0.1:{port}"]',
                  "[[route]]", f'path = "/d{number}/*"', f'to = "d{number}"']
    return "\n".join([*lines, "[tenant.t]", "open = true", f"rate_per_s = {1000 + version}", ""])


async def measure(given: argparse.Namespace) -> None:
    """Run one courier in this process, reload its file many times and print the times."""
    with tempfile.TemporaryDirectory(prefix="umberchute-reload-") as folder:
        path = Path(folder) / "umberchute.toml"
        path.write_text(deploy_file(given.destinations, 0, given.held))
        (Path(folder) / "state").mkdir()
        journal = Journal(Path(folder) / "state", 500_000_000)
        due_ms = int(time.time() * 1000) + 600_000
        for number in range(given.held):
            destination = model.destination_number(f"d{number % given.destinations}")
            journal.take(StoredMessage(f"t~m{number}", "a", destination, due_ms, None, None, False, b"x"))
        journal.close()
        began = time.perf_counter()
        deployment = model.load(path)
        load_s = time.perf_counter() - began
        courier = serve.Courier(path, deployment)
        reload = asyncio.Event()
        serving = asyncio.create_task(courier.serve(reload))
        await asyncio.sleep(8)  # until all messages are restored
        gc.freeze()
        iterations = LoopIterations()
        await asyncio.sleep(5)
        quiet_ms = iterations.take()
        longest_ms, reload_s = [], []
        for version in range(1, given.reloads + 1):
            path.with_suffix(".new").write_text(deploy_file(given.destinations, version, given.held))
            path.with_suffix(".new").replace(path)
            await asyncio.sleep(0.05)  # the iteration that wrote the file doesn't count
            iterations.take()
            began = time.perf_counter()
            reload.set()
            while courier.loads < version:
                await asyncio.sleep(0.001)
            reload_s.append(time.perf_counter() - began)
            await asyncio.sleep(0.3)
            longest_ms.append(iterations.take()[0])
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
    longest_ms.sort()
    print(f"{given.destinations} destinations, {given.held} held: file read in {load_s * 1e3:.0f} ms at the start; a "
          f"reload takes {sorted(reload_s)[len(reload_s) // 2] * 1e3:.0f} ms; longest loop iteration in "
          f"{len(longest_ms)} reloads: median {longest_ms[len(longest_ms) // 2]:.1f} ms, worst {longest_ms[-1]:.1f} "
          f"ms; in 5 s without: worst {quiet_ms[0]:.1f} ms, p99 {quiet_ms[len(quiet_ms) // 100]:.1f} ms")


def main() -> None:
    """Run the measurement with the options of the command line."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--destinations", type=int, default=2_000)
    options.add_argument("--held", type=int, default=20_000)
    options.add_argument("--reloads", type=int, default=20)
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(measure(options.parse_args()))


if __name__ == "__main__":
    main()
