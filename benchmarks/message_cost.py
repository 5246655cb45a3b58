"""What a message costs one courier: processor time and memory, beside another tree of the project in the same run.

    python benchmarks/message_cost.py [--tree FOLDER] [--messages 5000] [--slices 10] [--rounds 3]
        [--links 32] [--seed 1]

One real process, on loopback with partners and clients that answer at once; each client hands in as soon as it has
heard. With `--tree` (`git worktree add FOLDER COMMIT`) there is a process of each tree, and the messages of a round go
in slices to one and the other in turn; the ratios are those of two slices side by side, this tree over the other. The
same state as FOLDER shows the noise. Nothing absolute is asserted.
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
MOST_S = 120.0  # for all messages of a slice
SETTLE_S = 0.1  # for what follows the last delivery
WARM = 200  # messages before it counts: what is imported and grown once


def cpu_ns(pid: int) -> int:
    """Processor time of a process, of all its threads."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir())


class Measured:
    """One courier and its agent. Messages go to it in slices."""

    def __init__(self, what: str, tree: Path, given: argparse.Namespace, counts: list[Any], orders: Any) -> None:
        self.what, self._tree, self._given, self._counts, self._orders = what, tree, given, counts, orders
        self._slices = 0

    async def start(self, folder: Path, partners: list[int]) -> None:
        """Until it is ready, and has seen some messages."""
        free = wire.Port(wire.Server)
        await free.listen()
        free.close()
        self._agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
        self._agent.hosts = {f"e{place}": row(f"e{place}", f"127.0.0.1:{partners[place % len(partners)]}", place, "k")
                             for place in range(DESTINATIONS)}
        await self._agent.open()
        self._courier = Courier(self.what, folder, free.port, self._agent, "", self._tree, self._given.seed, None)
        await self._courier.until(lambda: self._courier.get("/healthz") == 200)
        self.resting = self._courier.figure("status", "VmRSS") / 1e3
        await self.play(WARM)

    async def play(self, messages: int) -> float:
        """Microseconds of processor time a message. Raises `RuntimeError` where not all is delivered."""
        each = max(messages // self._given.links, 1)
        total, before, ends = each * self._given.links, self._done(), time.monotonic() + MOST_S
        began, self._slices = cpu_ns(self._courier.process.pid), self._slices + 1
        self._orders.send(Load(self._courier.address, self._given.links, 4 * DESTINATIONS, self._given.seed, 0.0,
                               MOST_S, f"s{self._slices}", each))
        seen = await asyncio.to_thread(self._orders.recv)
        if isinstance(seen, str):
            raise RuntimeError(f"{self._tree}: {seen}: {self._courier.log.read_text()[-2000:]}")
        while self._done() < before + total:
            if time.monotonic() > ends:
                raise RuntimeError(f"{self._tree}: {self._done() - before} of {total} delivered")
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)
        return (cpu_ns(self._courier.process.pid) - began) / 1e3 / total

    def memory(self) -> tuple[float, float]:
        """MB: now, and at most so far."""
        return self._courier.figure("status", "VmRSS") / 1e3, self._courier.figure("status", "VmHWM") / 1e3

    def end(self) -> None:
        self._courier.end()
        self._agent.close()

    def _done(self) -> int:
        return sum(count[0] for count in self._counts)


async def measure(given: argparse.Namespace, partners: list[int], counts: list[Any],
                  orders: Any) -> dict[str, list[tuple[float, ...]]]:
    """One round: for each tree, processor time of each slice, then memory at rest, now and at most."""
    both = [Measured("this", ROOT, given, counts, orders)]
    if given.tree:
        both.append(Measured("other", given.tree, given, counts, orders))
    started: list[Measured] = []
    with tempfile.TemporaryDirectory(prefix="umberchute-cost-") as folder:
        try:
            for one in both:
                await one.start(Path(folder) / one.what, partners)
                started.append(one)
            spent: dict[str, list[float]] = {one.what: [] for one in both}
            for number in range(given.slices):
                for one in both if number % 2 == 0 else both[::-1]:
                    spent[one.what].append(await one.play(given.messages // given.slices))
            return {one.what: [tuple(spent[one.what]), (one.resting, *one.memory())] for one in both}
        finally:
            for one in started:
                one.end()


async def run(given: argparse.Namespace, partners: list[int], counts: list[Any], orders: Any) -> None:
    """All rounds, then the middle of each figure and of the ratios."""
    rows: dict[str, list[list[float]]] = {}  # by tree, for each of `MEASURES`
    for number in range(given.rounds):
        found = await measure(given, partners, counts, orders)
        for what, (slices, memory) in found.items():
            kept = rows.setdefault(what, [[] for _ in MEASURES])
            kept[0] += slices
            for place, value in enumerate(memory, 1):
                kept[place].append(value)
            print(f"round {number + 1} {what:>5}: CPU us a message {statistics.mean(slices):.1f} ({min(slices):.1f} to "
                  f"{max(slices):.1f}), MB at rest, after, at most: " + ", ".join(f"{one:.1f}" for one in memory),
                  flush=True)
    for place, name in enumerate(MEASURES):
        text = ", ".join(f"{what} {statistics.median(kept[place]):.4g}" for what, kept in rows.items())
        if given.tree:
            ratios = sorted(own / other for own, other in zip(rows["this"][place], rows["other"][place], strict=True))
            tenth = len(ratios) // 10
            text += (f"; this over other {statistics.median(ratios):.3f} ({ratios[tenth]:.3f} to "
                     f"{ratios[-1 - tenth]:.3f} without a tenth at each end, {len(ratios)} pairs)")
        print(f"{name}: median {text}")


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--tree", type=lambda text: Path(text).resolve(), default=None)
    options.add_argument("--messages", type=int, default=5_000)
    options.add_argument("--slices", type=int, default=10)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--links", type=int, default=32)
    options.add_argument("--seed", type=int, default=1)
    given = options.parse_args()
    if given.tree and not (given.tree / "wheelstep").is_dir():
        options.error(f"--tree: no wheelstep in {given.tree}; expected a checkout of the project")
    if not 1 <= given.links * given.slices <= given.messages:
        options.error("--links: expected at least one message for each connection in a slice")
    mp.set_start_method("spawn")
    print(f"seed {given.seed}, {given.rounds} rounds of {given.messages} messages in {given.slices} slices over "
          f"{given.links} connections, "
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
