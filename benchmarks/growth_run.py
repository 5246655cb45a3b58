"""Does a courier grow? A hundred thousand messages through one process, its size sampled throughout.

    python benchmarks/growth_run.py [--messages 100000] [--rate 1200] [--share 0.04] [--seed 1]
        [--command "python -m wheelstep.courier"] [--tree FOLDER]

Endpoints answer at once; some calls are refused, reset or fail, and every four seconds an endpoint of each destination
is replaced. Prints resident memory, descriptors and journal bytes by tenths, and the first tenth beside the last. Ends
with 1 if the last fifth's resident memory is more than `--share` above the second fifth's, if a message that was
taken on has no end, or if descriptors grew by half. `--command "python -m benchmarks.spread_rig.leaking_courier"` is a
courier that keeps one small entry a message, and has to be caught.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

from spread_rig.fleet import Fleet, NoFleetError, cpu_s, settings
from spread_rig.growth import Load, Place, Sample, part
from spread_rig.play import end_by_signal

ROOT = Path(__file__).resolve().parents[1]
EVERY_S = 0.25  # a sample
SETTLE_S = 8.0  # after the last message until all must have ended
SLOTS = 64
LEAST = 10_000  # messages: with fewer, a tenth holds no sample


async def _run(given: argparse.Namespace) -> int:
    end_by_signal()
    place, samples = Place(random.Random(given.seed)), list[Sample]()
    folder, fleet, tasks = Path(tempfile.mkdtemp(prefix="umberchute-growth-")), None, list[asyncio.Task[None]]()
    try:
        await place.open()
        fleet = Fleet(given.command, given.tree, folder, 1, lambda: {
            "discovery": place.agent.port.address, "known": place.agent.full_list(),
            "limits": {"disk_mb": 20, "sockets": 256}, "settings": settings(1, True, SLOTS)})
        await fleet.start(fleet.members)
        member = fleet.members[0]
        load = Load(member.host, given.messages, given.rate)
        began, used = time.monotonic(), cpu_s(member.pid)
        tasks = [asyncio.create_task(place.replace_for_good()), asyncio.create_task(load.run())]
        while not tasks[1].done():
            await asyncio.sleep(EVERY_S)
            if tasks[0].done():
                tasks[0].result()
            if fleet.fallen():
                raise NoFleetError(f"the courier has ended after {len(load.taken)} messages")
            samples.append(Sample.of(member.pid, member.folder / "state", len(load.taken)))
            if len(samples) % 20 == 0:
                print(f"{len(load.taken)} messages, {samples[-1].rss_kb / 1024:.1f} MB", file=sys.stderr, flush=True)
        tasks[1].result()
        took_s, used = time.monotonic() - began, cpu_s(member.pid) - used
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while load.taken - place.delivered - place.over:
                    await asyncio.sleep(0.1)
        return _judge(given, load, place, samples, took_s, used)
    finally:
        for task in tasks:
            task.cancel()
        if fleet is not None:
            fleet.close()
        place.close()
        shutil.rmtree(folder, ignore_errors=True)


def _judge(given: argparse.Namespace, load: Load, place: Place, samples: list[Sample], took_s: float,
           used_s: float) -> int:
    owed = load.taken - place.delivered - place.over
    print(f"seed {given.seed}: {len(load.taken)} messages taken on in {took_s:.0f} s, answers {dict(load.answers)}, "
          f"{place.calls} calls, {place.replaced} endpoints replaced, notices {dict(place.notices)}, "
          f"no end: {len(owed)}; {used_s / took_s:.2f} of a core")
    print(f"{'messages':>9} {'RSS MB':>8} {'descriptors':>12} {'journal KB':>11}")
    tenths = [part(samples, load.messages, number / 10, (number + 1) / 10) for number in range(10)]
    for one in tenths:
        print(f"{one.messages:9d} {one.rss_kb / 1024:8.2f} {one.descriptors:12d} {one.journal_bytes / 1000:11.0f}")
    first, last = tenths[0], tenths[-1]
    print(f"last tenth over the first: RSS {last.rss_kb / first.rss_kb:.3f}, descriptors "
          f"{last.descriptors / first.descriptors:.2f}, journal {last.journal_bytes / max(1, first.journal_bytes):.2f}")
    second, fifth = part(samples, load.messages, 0.2, 0.4), part(samples, load.messages, 0.8, 1.0)
    growth = fifth.rss_kb / second.rss_kb - 1
    each = (fifth.rss_kb - second.rss_kb) * 1024 / (fifth.messages - second.messages)
    fine = growth <= given.share and not owed and fifth.descriptors <= 1.5 * second.descriptors
    print(f"last fifth over the second: RSS {growth:+.1%} ({each:+.0f} bytes a message), {given.share:.0%} is allowed: "
          f"{'fine' if fine else 'GROWS or owes'}", flush=True)
    return 0 if fine else 1


def main() -> int:
    """Play the run and judge it."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--messages", type=int, default=100_000)
    options.add_argument("--rate", type=float, default=1200.0, help="messages a second at most")
    options.add_argument("--share", type=float, default=0.04)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--command", default=f"{sys.executable} -m wheelstep.courier")
    options.add_argument("--tree", type=Path, default=ROOT, help="where the command runs")
    given = options.parse_args()
    if given.messages < LEAST:
        options.error(f"--messages {given.messages}: expected {LEAST} or more")
    try:
        return asyncio.run(_run(given))
    except NoFleetError as error:
        print(error, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130


if __name__ == "__main__":
    sys.exit(main())
