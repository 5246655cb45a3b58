"""What order contracts cost a courier: one load without a fleet, in a fleet without a contract, and under contracts.

    python benchmarks/channels_cost.py [--rounds 3] [--seconds 3] [--links 64] [--rate 300] [--seed 1]
        [--lease 3] [--only plain,strict-100] [--before FOLDER] [--profile FILE]

One courier is measured, with partners and clients on loopback that answer at once; in a fleet two more couriers of
weight 0 only vote. The arrangements come in turn, so often as there are rounds; ratios are of medians, to `plain`.
First each client hands in as soon as it has heard (deliveries a second, processor time and bytes written to files a
message), then `rate` messages a second come in an open loop (the time until 202). Nothing absolute is asserted.
`--before` also measures the courier of another tree of the project (`git worktree add FOLDER COMMIT`). `--profile`
runs the measured courier under cProfile, once, and needs one arrangement in `--only`.
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
from channels_rig.load import DESTINATIONS, Load, Seen, clients, partner  # noqa: E402
from workers_rate import spent  # noqa: E402

from wheelstep.rehearsal.fleet.courier import operator_file  # noqa: E402
from wheelstep.rehearsal.history import Figures, History  # noqa: E402
from wheelstep.rehearsal.standins import wire  # noqa: E402
from wheelstep.rehearsal.standins.platform import Agent, row  # noqa: E402

CONTRACTS: dict[str, tuple[int, dict[str, Any] | None]] = {  # channels of the load, contract; None: no file
    "before": (100, None), "plain": (100, None),
    "fleet": (100, {"classes": ["keyed"], "order": "strict"}),  # declared for a class that nobody sends
    "strict-1": (1, {"order": "strict"}), "strict-100": (100, {"order": "strict"}),
    "strict-5000": (5_000, {"order": "strict"}), "window-100": (100, {"order": "window", "open": 8}),
    "none-100": (100, {"order": "none"})}
MEASURES = ("delivered/s", "CPU us", "file bytes", "202 p50 ms", "202 p99 ms", "RSS MB", "503 a message")
PARTS = 64
DRAIN_S = 15.0
STARTS = 3  # another program may take a port between its choice and its use


async def start(what: str, folder: Path, partners: list[int], given: argparse.Namespace) -> list[Courier]:
    """The measured courier is first. Raises `RuntimeError`, with none left, where one does not come up."""
    contract = CONTRACTS[what][1]
    names = ["n0"] if contract is None else ["n0", "n1", "n2"]
    free = [wire.Port(wire.Server) for _ in range(2 * len(names))]
    for one in free:
        await one.listen()
    ports = [one.port for one in free]
    peers = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports[len(names):], strict=True)}
    for one in free:
        one.close()
    (folder / "key").write_text("5a" * 32)
    couriers: list[Courier] = []
    for number, name in enumerate(names):
        agent = Agent(name, History(Figures({})), lambda: 0, lambda courier, notice: None)
        agent.hosts = {f"e{place}": row(f"e{place}", f"127.0.0.1:{partners[place % len(partners)]}", place, "k")
                       for place in range(DESTINATIONS)}
        await agent.open()
        operator = "" if contract is None else operator_file(
            {"on": True, "key_file": str(folder / "key"), "listen": peers[name], "voters": names, "parts": PARTS,
             "lease": f"{given.lease:g}s", "weight": float(number == 0)},
            {key: at for key, at in peers.items() if key != name}, ({"name": "c", **contract},))
        tree = Path(given.before) if what == "before" else ROOT
        couriers.append(Courier(name, folder / name, ports[number], agent, operator, tree, given.seed + number,
                                given.profile if number == 0 else None))
    paths = [f"/channels/c/0/k{number}" for number in range(4 * PARTS)]  # nearly surely one in each part
    try:
        for one in couriers:
            await one.until(lambda one=one: one.get("/healthz") == 200)  # type: ignore[misc]
        if contract is not None:
            await couriers[0].until(lambda: all(couriers[0].get(path) == 200 for path in paths))
    except BaseException:
        for one in couriers:
            one.end()
        raise
    return couriers


async def started(what: str, folder: Path, partners: list[int], given: argparse.Namespace) -> list[Courier]:
    """As `start`, again with other ports where one was taken."""
    for number in range(STARTS):
        (folder / str(number)).mkdir()
        try:
            return await start(what, folder / str(number), partners, given)
        except RuntimeError as error:
            if "Address already in use" not in str(error) or number == STARTS - 1:
                raise
    raise AssertionError


async def measure(what: str, partners: list[int], counts: list[Any], orders: Any,
                  given: argparse.Namespace) -> tuple[float, ...]:
    """As `MEASURES`."""
    def done() -> int:
        return sum(count[0] for count in counts)

    async def play(every_s: float, seconds: float, name: str) -> Seen:
        orders.send(Load(couriers[0].address, given.links, CONTRACTS[what][0], given.seed, every_s, seconds, name))
        seen = await asyncio.to_thread(orders.recv)
        if isinstance(seen, str):
            raise RuntimeError(f"{what}: {seen}: {couriers[0].log.read_text()[-2000:]}")
        return seen

    async def drain() -> None:
        last, ends = -1, time.monotonic() + DRAIN_S
        while last != done() and time.monotonic() < ends:
            last = done()
            await asyncio.sleep(0.3)

    with tempfile.TemporaryDirectory(prefix="umberchute-channels-") as folder:
        couriers = await started(what, Path(folder), partners, given)
        try:
            own = couriers[0]
            resting = own.figure("status", "VmRSS") / 1e3
            await play(0.0, 0.5, "w")
            await drain()
            before, ticks, written, began = done(), spent(own.process.pid), own.written(), time.monotonic()
            seen = await play(0.0, given.seconds, "c")
            rate = (done() - before) / (time.monotonic() - began)
            await drain()
            count = max(done() - before, 1)
            cpu = (spent(own.process.pid) - ticks) / os.sysconf("SC_CLK_TCK") / count * 1e6
            bytes_each = (own.written() - written) / count
            timed = sorted((await play(given.links / given.rate, given.seconds, "o")).spent)
            await drain()
        finally:
            for one in couriers:
                one.end()
    return (rate, cpu, bytes_each, timed[len(timed) // 2] * 1e3, timed[int(len(timed) * 0.99)] * 1e3, resting,
            seen.again / count)


async def run(given: argparse.Namespace, partners: list[int], counts: list[Any], orders: Any) -> None:
    """All arrangements in turn, then the table."""
    rows: dict[str, list[tuple[float, ...]]] = {what: [] for what in given.only}
    for number in range(given.rounds):
        for what in given.only:
            async with asyncio.timeout(180):
                rows[what].append(await measure(what, partners, counts, orders, given))
            print(f"round {number + 1} {what}: " + ", ".join(
                f"{name} {value:.4g}" for name, value in zip(MEASURES, rows[what][-1], strict=True)), flush=True)
    print("| arrangement | " + " | ".join(MEASURES) + " |\n|" + " --- |" * (len(MEASURES) + 1))
    middle = {what: [statistics.median(values) for values in zip(*found, strict=True)] for what, found in rows.items()}
    for what, values in middle.items():
        cells = []
        for place, value in enumerate(values):
            base = middle["plain"][place] if "plain" in middle else 0
            cells.append(f"{value:.4g}" + (f" ({value / base:.2f})" if base and what != "plain" else ""))
        print(f"| {what} | " + " | ".join(cells) + " |")


def main() -> None:
    """Measure and print."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--seconds", type=float, default=3.0)
    options.add_argument("--links", type=int, default=64)
    options.add_argument("--rate", type=float, default=300.0)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--lease", type=float, default=3.0, help="seconds; longer where the machine is overloaded")
    options.add_argument("--only", type=lambda text: text.split(","), default=None)
    options.add_argument("--before", default="")
    options.add_argument("--profile", type=Path, default=None)
    given = options.parse_args()
    given.only = given.only or [what for what in CONTRACTS if what != "before" or given.before]
    if given.profile is not None and len(given.only) != 1:
        options.error("--profile: expected one arrangement in --only")
    mp.set_start_method("spawn")
    print(f"seed {given.seed}, {given.rounds} rounds of {given.seconds:g} s, {given.links} connections, {given.rate:g} "
          f"a second in the open loop, {DESTINATIONS} destinations, {PARTS} parts, lease {given.lease:g} s; "
          f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}, Python {sys.version.split()[0]}", flush=True)
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
