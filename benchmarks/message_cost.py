"""What a message costs one courier: processor time and memory, beside another tree of the project in the same run.

    python benchmarks/message_cost.py [--tree FOLDER] [--messages 5000] [--rounds 5] [--links 32] [--seed 1]

One real process a play, on loopback with partners and clients that answer at once; each client hands in as soon as it
has heard, so many messages in all. With `--tree` (`git worktree add FOLDER COMMIT`) both are played in turn, in each
round the other one first, and the ratios are those of the two plays of a round, this tree over the other. The same
tree as FOLDER shows the noise. Nothing absolute is asserted.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing as mp
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from channels_rig.courier import Courier  # noqa: E402
from channels_rig.load import DESTINATIONS, Load, clients, partner  # noqa: E402

from wheelstep.rehearsal.history import Figures, History  # noqa: E402
from wheelstep.rehearsal.standins import wire  # noqa: E402
from wheelstep.rehearsal.standins.platform import Agent, row  # noqa: E402

MEASURES = ("CPU us a message", "RSS at rest MB", "RSS after MB", "RSS at most MB")
MOST_S = 120.0  # for all messages of a play
WARM = 200  # messages before it counts: what is imported and grown once


def cpu_ns(pid: int) -> int:
    """Processor time of a process, of all its threads."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir())


async def measure(tree: Path, partners: list[int], counts: list[Any], orders: Any,
                  given: argparse.Namespace) -> tuple[float, ...]:
    """As `MEASURES`. Raises `RuntimeError` where not all is delivered."""
    def done() -> int:
        return sum(count[0] for count in counts)

    async def play(each: int, name: str) -> None:
        before, ends = done(), time.monotonic() + MOST_S
        orders.send(Load(courier.address, given.links, 4 * DESTINATIONS, given.seed, 0.0, MOST_S, name, each))
        seen = await asyncio.to_thread(orders.recv)
        if isinstance(seen, str):
            raise RuntimeError(f"{tree}: {seen}: {courier.log.read_text()[-2000:]}")
        while done() < before + each * given.links:
            if time.monotonic() > ends:
                raise RuntimeError(f"{tree}: {done() - before} of {each * given.links} delivered")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)  # for what follows the last delivery

    free = wire.Port(wire.Server)
    await free.listen()
    free.close()
    agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
    agent.hosts = {f"e{place}": row(f"e{place}", f"127.0.0.1:{partners[place % len(partners)]}", place, "k")
                   for place in range(DESTINATIONS)}
    await agent.open()
    with tempfile.TemporaryDirectory(prefix="umberchute-cost-") as folder:
        courier = Courier("n0", Path(folder) / "n0", free.port, agent, "", tree, given.seed, None)
        try:
            await courier.until(lambda: courier.get("/healthz") == 200)
            resting = courier.figure("status", "VmRSS") / 1e3
            await play(max(WARM // given.links, 1), "w")
            before = cpu_ns(courier.process.pid)
            each = given.messages // given.links
            await play(each, "c")
            spent_us = (cpu_ns(courier.process.pid) - before) / 1e3
            return (spent_us / (each * given.links), resting, courier.figure("status", "VmRSS") / 1e3,
                    courier.figure("status", "VmHWM") / 1e3)
        finally:
            courier.end()
            agent.close()


async def run(given: argparse.Namespace, partners: list[int], counts: list[Any], orders: Any) -> None:
    """All plays in turn, then the middle of each and of the ratios."""
    trees = {"this": ROOT, **({"other": given.tree} if given.tree else {})}
    rows: dict[str, list[tuple[float, ...]]] = {what: [] for what in trees}
    for number in range(given.rounds):
        for what in list(trees) if number % 2 == 0 else reversed(trees):
            rows[what].append(await measure(trees[what], partners, counts, orders, given))
            print(f"round {number + 1} {what:>5}: " + ", ".join(
                f"{name} {value:.4g}" for name, value in zip(MEASURES, rows[what][-1], strict=True)), flush=True)
    for place, name in enumerate(MEASURES):
        text = ", ".join(f"{what} {statistics.median(found[place] for found in played):.4g}"
                         for what, played in rows.items())
        if given.tree:
            ratios = sorted(own[place] / other[place] for own, other in zip(rows["this"], rows["other"], strict=True))
            text += (f"; this over other {statistics.median(ratios):.3f} "
                     f"({ratios[0]:.3f} to {ratios[-1]:.3f} in {len(ratios)} pairs)")
        print(f"{name}: median {text}")


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--tree", type=lambda text: Path(text).resolve(), default=None)
    options.add_argument("--messages", type=int, default=5_000)
    options.add_argument("--rounds", type=int, default=5)
    options.add_argument("--links", type=int, default=32)
    options.add_argument("--seed", type=int, default=1)
    given = options.parse_args()
    if given.tree and not (given.tree / "wheelstep").is_dir():
        options.error(f"--tree: no wheelstep in {given.tree}; expected a checkout of the project")
    if not 1 <= given.links <= given.messages:
        options.error("--links: expected from 1 to as many as there are messages")
    mp.set_start_method("spawn")
    print(f"seed {given.seed}, {given.rounds} rounds of {given.messages} messages over {given.links} connections, "
          f"{DESTINATIONS} destinations; {os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}, "
          f"Python {sys.version.split()[0]}", flush=True)
    ports, counts = mp.Queue(), [mp.Array("q", 2, lock=False)]
    orders, others = mp.Pipe()
    helpers = [mp.Process(target=partner, args=(ports, counts[0]), daemon=True),
               mp.Process(target=clients, args=(others,), daemon=True)]
    for one in helpers:
        one.start()
    try:
        asyncio.run(run(given, [ports.get(timeout=20)], counts, orders))
    finally:
        for one in helpers:
            one.terminate()
            one.join()


if __name__ == "__main__":
    main()
