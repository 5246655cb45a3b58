"""Checks that a courier doesn't leak: sends a hundred thousand messages through one process and samples its size.

    python benchmarks/growth_run.py [--messages 100000] [--rate 1200] [--share 0.04] [--seed 1]
        [--command "python -m wheelstep.courier"] [--tree FOLDER]

Endpoints answer at once; some calls are rejected, reset or fail, and every four seconds an endpoint of each destination
is replaced. Prints resident memory, descriptors and journal bytes by tenths, and the first tenth beside the last. Exits
with 1 if the last fifth's resident memory is more than `--share` above the second fifth's, if an accepted message has
no terminal outcome, or if descriptors grew by half. `--command "python -m benchmarks.spread_rig.leaking_courier"` is a
courier that leaks one small entry for each message, which must be detected.
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

from spread_rig.fleet import Fleet, FleetStartError, cpu_s, settings
from spread_rig.growth import GrowthSite, Load, Sample, median_sample
from spread_rig.play import cancel_on_signal

ROOT = Path(__file__).resolve().parents[1]
SAMPLE_INTERVAL_S = 0.25
SETTLE_S = 8.0  # from the last submission until all messages must have a terminal outcome
SLOTS = 64
MIN_MESSAGES = 10_000  # with fewer, a tenth may hold no sample


async def _run(given: argparse.Namespace) -> int:
    cancel_on_signal()
    site, samples = GrowthSite(random.Random(given.seed)), list[Sample]()
    folder, fleet, tasks = Path(tempfile.mkdtemp(prefix="umberchute-growth-")), None, list[asyncio.Task[None]]()
    try:
        await site.open()
        fleet = Fleet(given.command, given.tree, folder, 1, lambda: {
            "discovery": site.agent.port.address, "known": site.agent.full_list(),
            "limits": {"disk_mb": 20, "sockets": 256}, "settings": settings(1, True, SLOTS)})
        await fleet.start(fleet.members)
        member = fleet.members[0]
        load = Load(member.host, given.messages, given.rate)
        began, used = time.monotonic(), cpu_s(member.pid)
        tasks = [asyncio.create_task(site.replace_endpoints_forever()), asyncio.create_task(load.run())]
        while not tasks[1].done():
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if tasks[0].done():
                tasks[0].result()
            if fleet.exited():
                raise FleetStartError(f"the courier has ended after {len(load.accepted)} messages")
            samples.append(Sample.measure(member.pid, member.folder / "state", len(load.accepted)))
            if len(samples) % 20 == 0:
                print(f"{len(load.accepted)} messages, {samples[-1].rss_kb / 1024:.1f} MB", file=sys.stderr, flush=True)
        tasks[1].result()
        took_s, used = time.monotonic() - began, cpu_s(member.pid) - used
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while load.accepted - site.delivered - site.undelivered:
                    await asyncio.sleep(0.1)
        return _report(given, load, site, samples, took_s, used)
    finally:
        for task in tasks:
            task.cancel()
        if fleet is not None:
            fleet.close()
        site.close()
        shutil.rmtree(folder, ignore_errors=True)


def _report(given: argparse.Namespace, load: Load, site: GrowthSite, samples: list[Sample], took_s: float,
            used_s: float) -> int:
    """Print the table and return the exit code."""
    unfinished = load.accepted - site.delivered - site.undelivered
    print(f"seed {given.seed}: {len(load.accepted)} messages accepted in {took_s:.0f} s, answers {dict(load.answers)}, "
          f"{site.calls} calls, {site.replaced} endpoints replaced, notifications {dict(site.notifications)}, "
          f"without a terminal outcome: {len(unfinished)}; {used_s / took_s:.2f} of a core")
    print(f"{'messages':>9} {'RSS MB':>8} {'descriptors':>12} {'journal KB':>11}")
    tenths = [median_sample(samples, load.messages, number / 10, (number + 1) / 10) for number in range(10)]
    for one in tenths:
        print(f"{one.messages:9d} {one.rss_kb / 1024:8.2f} {one.descriptors:12d} {one.journal_bytes / 1000:11.0f}")
    first, last = tenths[0], tenths[-1]
    print(f"last tenth over the first: RSS {last.rss_kb / first.rss_kb:.3f}, descriptors "
          f"{last.descriptors / first.descriptors:.2f}, journal {last.journal_bytes / max(1, first.journal_bytes):.2f}")
    second, fifth = median_sample(samples, load.messages, 0.2, 0.4), median_sample(samples, load.messages, 0.8, 1.0)
    growth = fifth.rss_kb / second.rss_kb - 1
    bytes_per_message = (fifth.rss_kb - second.rss_kb) * 1024 / (fifth.messages - second.messages)
    passed = growth <= given.share and not unfinished and fifth.descriptors <= 1.5 * second.descriptors
    print(f"last fifth over the second: RSS {growth:+.1%} ({bytes_per_message:+.0f} bytes a message), "
          f"{given.share:.0%} is allowed: "
          f"{'passed' if passed else 'FAILED: leaks, or messages without a terminal outcome'}", flush=True)
    return 0 if passed else 1


def main() -> int:
    """Run and return the exit code: 1 if the run failed, 130 after a signal."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--messages", type=int, default=100_000)
    options.add_argument("--rate", type=float, default=1200.0, help="messages a second at most")
    options.add_argument("--share", type=float, default=0.04)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--command", default=f"{sys.executable} -m wheelstep.courier")
    options.add_argument("--tree", type=Path, default=ROOT, help="where the command runs")
    given = options.parse_args()
    if given.messages < MIN_MESSAGES:
        options.error(f"--messages {given.messages}: expected {MIN_MESSAGES} or more")
    try:
        return asyncio.run(_run(given))
    except FleetStartError as error:
        print(error, file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130


if __name__ == "__main__":
    sys.exit(main())
