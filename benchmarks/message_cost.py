"""Measures what a message costs one courier, in processor time and memory, beside another tree of the project.

    python benchmarks/message_cost.py [--tree FOLDER] [--messages 5000] [--slices 10] [--rounds 3]
        [--links 32] [--seed 1]

One courier process, on loopback with destinations and clients that answer at once; the clients run a closed loop. With
`--tree` (`git worktree add FOLDER COMMIT`) there is a process of each tree, and the messages of a round go in slices to
one and the other in turn; the ratios are those of two adjacent slices, this tree over the other. The same commit as
FOLDER shows the noise. Nothing absolute is asserted.
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
from channels_rig.load import DESTINATIONS, Load, run_clients, serve_destination  # noqa: E402

from wheelstep.rehearsal.history import Figures, History  # noqa: E402
from wheelstep.rehearsal.standins import wire  # noqa: E402
from wheelstep.rehearsal.standins.platform import Agent, row  # noqa: E402

MEASURES = ("CPU us a message", "RSS at rest MB", "RSS after MB", "RSS at most MB")
SLICE_TIMEOUT_S = 120.0
SETTLE_S = 0.1  # for work that follows the last delivery
WARM_UP_MESSAGES = 200  # sent before measuring, for imports and first allocations


def cpu_ns(pid: int) -> int:
    """Return the processor time that all threads of a process have used, in nanoseconds."""
    return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{pid}/task").iterdir())


class MeasuredCourier:
    """One courier of `tree` and its discovery agent. Messages are sent to it in slices."""

    def __init__(self, name: str, tree: Path, given: argparse.Namespace, counts: list[Any], pipe: Any) -> None:
        self.name, self._tree, self._given, self._counts, self._pipe = name, tree, given, counts, pipe
        self._slices = 0

    async def start(self, folder: Path, destination_ports: list[int]) -> None:
        """Start the courier, wait until it is ready, and send it the messages of the warm-up."""
        free = wire.Port(wire.Server)
        await free.listen()
        free.close()
        self._agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
        self._agent.hosts = {
            f"e{index}": row(f"e{index}", f"127.0.0.1:{destination_ports[index % len(destination_ports)]}", index, "k")
            for index in range(DESTINATIONS)}
        await self._agent.open()
        self._courier = Courier(self.name, folder, free.port, self._agent, "", self._tree, self._given.seed, None)
        await self._courier.wait_until(lambda: self._courier.get("/healthz") == 200)
        self.rss_at_rest_mb = self._courier.proc_value("status", "VmRSS") / 1e3
        await self.run_slice(WARM_UP_MESSAGES)

    async def run_slice(self, messages: int) -> float:
        """Send messages, wait until they are delivered, and return the processor time for each, in microseconds.

        Raises `RuntimeError` if a client fails or a message isn't delivered within `SLICE_TIMEOUT_S`.
        """
        each = max(messages // self._given.links, 1)
        total, before, deadline = each * self._given.links, self._delivered(), time.monotonic() + SLICE_TIMEOUT_S
        began, self._slices = cpu_ns(self._courier.process.pid), self._slices + 1
        self._pipe.send(Load(self._courier.address, self._given.links, 4 * DESTINATIONS, self._given.seed, 0.0,
                             SLICE_TIMEOUT_S, f"s{self._slices}", each))
        result = await asyncio.to_thread(self._pipe.recv)
        if isinstance(result, str):
            raise RuntimeError(f"{self._tree}: {result}: {self._courier.log.read_text()[-2000:]}")
        while self._delivered() < before + total:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self._tree}: {self._delivered() - before} of {total} messages delivered")
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)
        return (cpu_ns(self._courier.process.pid) - began) / 1e3 / total

    def memory(self) -> tuple[float, float]:
        """Return the resident memory in MB: now, and at its maximum so far."""
        return self._courier.proc_value("status", "VmRSS") / 1e3, self._courier.proc_value("status", "VmHWM") / 1e3

    def stop(self) -> None:
        """Stop the courier and its agent."""
        self._courier.stop()
        self._agent.close()

    def _delivered(self) -> int:
        return sum(count[0] for count in self._counts)


async def measure(given: argparse.Namespace, destination_ports: list[int], counts: list[Any],
                  pipe: Any) -> dict[str, list[tuple[float, ...]]]:
    """Measure one round. Returns for each tree the processor time of each slice (microseconds a message), and the
    memory at rest, at the end and at its maximum (MB)."""
    couriers = [MeasuredCourier("this", ROOT, given, counts, pipe)]
    if given.tree:
        couriers.append(MeasuredCourier("other", given.tree, given, counts, pipe))
    started: list[MeasuredCourier] = []
    with tempfile.TemporaryDirectory(prefix="umberchute-cost-") as folder:
        try:
            for one in couriers:
                await one.start(Path(folder) / one.name, destination_ports)
                started.append(one)
            cpu_us: dict[str, list[float]] = {one.name: [] for one in couriers}
            for number in range(given.slices):
                for one in couriers if number % 2 == 0 else couriers[::-1]:
                    cpu_us[one.name].append(await one.run_slice(given.messages // given.slices))
            return {one.name: [tuple(cpu_us[one.name]), (one.rss_at_rest_mb, *one.memory())] for one in couriers}
        finally:
            for one in started:
                one.stop()


async def run(given: argparse.Namespace, destination_ports: list[int], counts: list[Any], pipe: Any) -> None:
    """Measure all rounds, then print the median of each figure and of the ratios."""
    rows: dict[str, list[list[float]]] = {}  # by tree, for each of `MEASURES`
    for number in range(given.rounds):
        found = await measure(given, destination_ports, counts, pipe)
        for tree, (slices, memory) in found.items():
            samples = rows.setdefault(tree, [[] for _ in MEASURES])
            samples[0] += slices
            for column, value in enumerate(memory, 1):
                samples[column].append(value)
            print(f"round {number + 1} {tree:>5}: CPU us a message {statistics.mean(slices):.1f} ({min(slices):.1f} to "
                  f"{max(slices):.1f}), MB at rest, after, at most: " + ", ".join(f"{one:.1f}" for one in memory),
                  flush=True)
    for column, name in enumerate(MEASURES):
        text = ", ".join(f"{tree} {statistics.median(samples[column]):.4g}" for tree, samples in rows.items())
        if given.tree:
            ratios = sorted(own / other for own, other in zip(rows["this"][column], rows["other"][column], strict=True))
            tenth = len(ratios) // 10
            text += (f"; this over other {statistics.median(ratios):.3f} ({ratios[tenth]:.3f} to "
                     f"{ratios[-1 - tenth]:.3f} without a tenth at each end, {len(ratios)} pairs)")
        print(f"{name}: median {text}")


def main() -> None:
    """Run the measurement and print its figures."""
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
    pipe, clients_pipe = mp.Pipe()
    helpers = [mp.Process(target=serve_destination, args=(ports, counts[0]), daemon=True),
               mp.Process(target=run_clients, args=(clients_pipe,), daemon=True)]
    for one in helpers:
        one.start()
    try:
        asyncio.run(run(given, [ports.get(timeout=20)], counts, pipe))
    finally:
        for one in helpers:
            one.terminate()
            one.join()


if __name__ == "__main__":
    main()
