"""Measures what order contracts cost a courier: one load without a fleet, in a fleet without a contract, and under
contracts.

    python benchmarks/channels_cost.py [--rounds 3] [--seconds 3] [--links 64] [--rate 300] [--seed 1]
        [--lease 3] [--only plain,strict-100] [--before FOLDER] [--profile FILE]

One courier is measured, with destinations and clients on loopback that answer at once; in a fleet two more couriers of
weight 0 only vote. Each round measures the arrangements in turn; ratios are of medians, to `plain`. First the clients
run a closed loop (deliveries a second, processor time and bytes written for each message), then an open loop with
`rate` messages a second (the time until 202). Nothing absolute is asserted.
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
from channels_rig.load import DESTINATIONS, Load, LoadResult, run_clients, serve_destination  # noqa: E402
from workers_rate import cpu_ticks  # noqa: E402

from wheelstep.rehearsal.fleet.courier import operator_file  # noqa: E402
from wheelstep.rehearsal.history import Figures, History  # noqa: E402
from wheelstep.rehearsal.standins import wire  # noqa: E402
from wheelstep.rehearsal.standins.platform import Agent, row  # noqa: E402

ARRANGEMENTS: dict[str, tuple[int, dict[str, Any] | None]] = {  # channels of the load; contract, None for no fleet
    "before": (100, None), "plain": (100, None),
    "fleet": (100, {"classes": ["keyed"], "order": "strict"}),  # the contract is for a class without messages
    "strict-1": (1, {"order": "strict"}), "strict-100": (100, {"order": "strict"}),
    "strict-5000": (5_000, {"order": "strict"}), "window-100": (100, {"order": "window", "open": 8}),
    "none-100": (100, {"order": "none"})}
MEASURES = ("delivered/s", "CPU us", "file bytes", "202 p50 ms", "202 p99 ms", "RSS MB", "503 a message")
PARTS = 64
DRAIN_TIMEOUT_S = 15.0
START_TRIES = 3  # another program may take a port between its choice and its use


async def start_once(arrangement: str, folder: Path, destination_ports: list[int],
                     given: argparse.Namespace) -> list[Courier]:
    """Start an arrangement's couriers, the measured one first. If one fails, stop all and raise `RuntimeError`."""
    contract = ARRANGEMENTS[arrangement][1]
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
        agent.hosts = {
            f"e{index}": row(f"e{index}", f"127.0.0.1:{destination_ports[index % len(destination_ports)]}", index, "k")
            for index in range(DESTINATIONS)}
        await agent.open()
        operator = "" if contract is None else operator_file(
            {"on": True, "key_file": str(folder / "key"), "listen": peers[name], "voters": names, "parts": PARTS,
             "lease": f"{given.lease:g}s", "weight": float(number == 0)},
            {peer: address for peer, address in peers.items() if peer != name}, ({"name": "c", **contract},))
        tree = Path(given.before) if arrangement == "before" else ROOT
        couriers.append(Courier(name, folder / name, ports[number], agent, operator, tree, given.seed + number,
                                given.profile if number == 0 else None))
    paths = [f"/channels/c/0/k{number}" for number in range(4 * PARTS)]  # very likely at least one in each part
    try:
        for one in couriers:
            await one.wait_until(lambda one=one: one.get("/healthz") == 200)  # type: ignore[misc]
        if contract is not None:
            await couriers[0].wait_until(lambda: all(couriers[0].get(path) == 200 for path in paths))
    except BaseException:
        for one in couriers:
            one.stop()
        raise
    return couriers


async def start(arrangement: str, folder: Path, destination_ports: list[int],
                given: argparse.Namespace) -> list[Courier]:
    """Like `start_once`, but tries again with other ports if one is in use."""
    for number in range(START_TRIES):
        (folder / str(number)).mkdir()
        try:
            return await start_once(arrangement, folder / str(number), destination_ports, given)
        except RuntimeError as error:
            if "Address already in use" not in str(error) or number == START_TRIES - 1:
                raise
    raise AssertionError


async def measure(arrangement: str, destination_ports: list[int], counts: list[Any], pipe: Any,
                  given: argparse.Namespace) -> tuple[float, ...]:
    """Return an arrangement's figures, as in `MEASURES`. Raises `RuntimeError` if a courier or client fails."""
    def delivered() -> int:
        return sum(count[0] for count in counts)

    async def run_load(interval_s: float, seconds: float, name: str) -> LoadResult:
        pipe.send(Load(couriers[0].address, given.links, ARRANGEMENTS[arrangement][0], given.seed, interval_s, seconds,
                       name))
        result = await asyncio.to_thread(pipe.recv)
        if isinstance(result, str):
            raise RuntimeError(f"{arrangement}: {result}: {couriers[0].log.read_text()[-2000:]}")
        return result

    async def drain() -> None:
        last, deadline = -1, time.monotonic() + DRAIN_TIMEOUT_S
        while last != delivered() and time.monotonic() < deadline:
            last = delivered()
            await asyncio.sleep(0.3)

    with tempfile.TemporaryDirectory(prefix="umberchute-channels-") as folder:
        couriers = await start(arrangement, Path(folder), destination_ports, given)
        try:
            measured = couriers[0]
            rss_at_rest_mb = measured.proc_value("status", "VmRSS") / 1e3
            await run_load(0.0, 0.5, "w")
            await drain()
            before, ticks, written, began = (delivered(), cpu_ticks(measured.process.pid), measured.bytes_written(),
                                             time.monotonic())
            closed_loop = await run_load(0.0, given.seconds, "c")
            rate = (delivered() - before) / (time.monotonic() - began)
            await drain()
            count = max(delivered() - before, 1)
            cpu_us = (cpu_ticks(measured.process.pid) - ticks) / os.sysconf("SC_CLK_TCK") / count * 1e6
            bytes_per_message = (measured.bytes_written() - written) / count
            accept_times = sorted((await run_load(given.links / given.rate, given.seconds, "o")).accept_times)
            await drain()
        finally:
            for one in couriers:
                one.stop()
    return (rate, cpu_us, bytes_per_message, accept_times[len(accept_times) // 2] * 1e3,
            accept_times[int(len(accept_times) * 0.99)] * 1e3, rss_at_rest_mb, closed_loop.retries / count)


async def run(given: argparse.Namespace, destination_ports: list[int], counts: list[Any], pipe: Any) -> None:
    """Measure all arrangements in turn, in each round, then print the table of medians."""
    rows: dict[str, list[tuple[float, ...]]] = {arrangement: [] for arrangement in given.only}
    for number in range(given.rounds):
        for arrangement in given.only:
            async with asyncio.timeout(180):
                rows[arrangement].append(await measure(arrangement, destination_ports, counts, pipe, given))
            print(f"round {number + 1} {arrangement}: " + ", ".join(
                f"{name} {value:.4g}" for name, value in zip(MEASURES, rows[arrangement][-1], strict=True)), flush=True)
    print("| arrangement | " + " | ".join(MEASURES) + " |\n|" + " --- |" * (len(MEASURES) + 1))
    medians = {arrangement: [statistics.median(values) for values in zip(*found, strict=True)]
               for arrangement, found in rows.items()}
    for arrangement, values in medians.items():
        cells = []
        for column, value in enumerate(values):
            base = medians["plain"][column] if "plain" in medians else 0
            cells.append(f"{value:.4g}" + (f" ({value / base:.2f})" if base and arrangement != "plain" else ""))
        print(f"| {arrangement} | " + " | ".join(cells) + " |")


def main() -> None:
    """Measure the arrangements and print the table."""
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
    given.only = given.only or [arrangement for arrangement in ARRANGEMENTS if arrangement != "before" or given.before]
    if given.profile is not None and len(given.only) != 1:
        options.error("--profile: expected one arrangement in --only")
    mp.set_start_method("spawn")
    print(f"seed {given.seed}, {given.rounds} rounds of {given.seconds:g} s, {given.links} connections, {given.rate:g} "
          f"a second in the open loop, {DESTINATIONS} destinations, {PARTS} parts, lease {given.lease:g} s; "
          f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}, Python {sys.version.split()[0]}", flush=True)
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
