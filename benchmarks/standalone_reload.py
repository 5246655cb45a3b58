"""What a reload costs a standalone courier: the longest turn of its loop, with many destinations and messages held.

    python benchmarks/standalone_reload.py [--destinations 2000] [--held 20000] [--reloads 20]

Each reload changes the endpoints of one destination in twenty, a route and a tenant. Beside it: the turns of as long a
time without a reload, and the time that reading and checking the file takes in its own thread.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import tempfile
import time
from pathlib import Path

from turns import Turns

from wheelstep.journal import Journal, StoredMessage
from wheelstep.standalone import model, serve


def text(destinations: int, version: int, held: int) -> str:
    """A file; endpoints drain, so that what is held waits."""
    lines = ['listen = "127.0.0.1:0"', 'state = "state"', "[limits]", f"held = {2 * held}", "disk_mb = 500",
             "[class.a]", 'effect = "safe"', 'deadline = "10min"']
    for number in range(destinations):
        port = 20_000 + number + (version * 7 if number % 20 == 0 else 0)
        lines += [f"[destination.d{number}]", f'endpoints = ["127.0.0.1:{port}"]', f'drain = ["127.0.0.1:{port}"]',
                  "[[route]]", f'path = "/d{number}/*"', f'to = "d{number}"']
    return "\n".join([*lines, "[tenant.t]", "open = true", f"rate_per_s = {1000 + version}", ""])


async def work(given: argparse.Namespace) -> None:
    """Run one courier in this process."""
    with tempfile.TemporaryDirectory(prefix="umberchute-reload-") as folder:
        path = Path(folder) / "umberchute.toml"
        path.write_text(text(given.destinations, 0, given.held))
        (Path(folder) / "state").mkdir()
        journal = Journal(Path(folder) / "state", 500_000_000)
        due_ms = int(time.time() * 1000) + 600_000
        for number in range(given.held):
            destination = model.destination_number(f"d{number % given.destinations}")
            journal.take(StoredMessage(f"t~m{number}", "a", destination, due_ms, None, None, False, b"x"))
        journal.close()
        began = time.perf_counter()
        found = model.load(path)
        loaded = time.perf_counter() - began
        courier = serve.Courier(path, found)
        renewed = asyncio.Event()
        serving = asyncio.create_task(courier.serve(renewed))
        await asyncio.sleep(8)  # all is restored
        gc.freeze()
        turns = Turns()
        await asyncio.sleep(5)
        calm = turns.take()
        longest, spent = [], []
        for version in range(1, given.reloads + 1):
            path.with_suffix(".new").write_text(text(given.destinations, version, given.held))
            path.with_suffix(".new").replace(path)
            await asyncio.sleep(0.05)  # the turn that made the file is none of the courier's
            turns.take()
            began = time.perf_counter()
            renewed.set()
            while courier.loads < version:
                await asyncio.sleep(0.001)
            spent.append(time.perf_counter() - began)
            await asyncio.sleep(0.3)
            longest.append(turns.take()[0])
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
    longest.sort()
    print(f"{given.destinations} destinations, {given.held} held: file read in {loaded * 1e3:.0f} ms at the start; a "
          f"reload takes {sorted(spent)[len(spent) // 2] * 1e3:.0f} ms; longest turn in {len(longest)} reloads: middle "
          f"{longest[len(longest) // 2]:.1f} ms, worst {longest[-1]:.1f} ms; in 5 s without: worst {calm[0]:.1f} ms, "
          f"99 of 100 {calm[len(calm) // 100]:.1f} ms")


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--destinations", type=int, default=2_000)
    options.add_argument("--held", type=int, default=20_000)
    options.add_argument("--reloads", type=int, default=20)
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(work(options.parse_args()))


if __name__ == "__main__":
    main()
