"""Deliveries a second with 0, 1, 2 and 4 workers, beside a bare aiohttp relay on one core, in one run.

    python benchmarks/workers_rate.py [--workers 0,1,2,4] [--seconds 6] [--destinations 64] [--clients 64]

Closed loop: each client hands in a message as soon as the last one is answered; partners answer at once. Clients and
partners have four cores, the courier as many as it has workers (a relay or a courier without workers: one). Prints the
share of messages that were passed on by another worker as expected from the number of workers, how even the workers'
processor time is, and what a message costs of a core, which a busy machine changes less than the rate.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import multiprocessing as mp
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins import wire
from wheelstep.rehearsal.standins.platform import Agent, row
from wheelstep.rehearsal.standins.process import _children

ROOT = Path(__file__).resolve().parents[1]
CLASSES = (("once", "once", False), ("keyed", "by_key", True))
RELAY = """
import asyncio, aiohttp, sys
from aiohttp import web
async def main(port, target):
    http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    async def relay(request):
        body = await request.read()
        async with http.post(target, data=body, headers={"X-Request-Id": request.headers["X-Request-Id"]}) as answer:
            await answer.read()
        return web.Response(status=202)
    app = web.Application(); app.router.add_post("/{path:.*}", relay)
    runner = web.AppRunner(app, access_log=None); await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()
asyncio.run(main(int(sys.argv[1]), sys.argv[2]))
"""


def partner(cores: set[int], ports: Any, count: Any) -> None:
    """A process that answers 200 to all, on one port."""
    os.sched_setaffinity(0, cores)

    class Plain(wire.Server):
        def requested(self, request: wire.Request) -> None:
            with count.get_lock():
                count.value += max(1, request.target.endswith("bulk") and request.body.count(b"\r\n") // 2)
            self.answer(200)

    async def work() -> None:
        port = wire.Port(Plain)
        await port.listen()
        ports.put(port.port)
        await asyncio.Event().wait()
    asyncio.run(work())


def clients(cores: set[int], number: int, port: int, links: int, destinations: int, stop: Any, waits: Any) -> None:
    """A process with so many clients."""
    os.sched_setaffinity(0, cores)
    spent: list[float] = []
    ids = itertools.count()

    async def one(first: int) -> None:
        link: wire.Client | None = None
        destination = first
        while not stop.is_set():
            destination = (destination + 1) % destinations
            name, _, keyed = CLASSES[destination % 2]
            token = f"Idempotency-Key: t{number}-{next(ids)}\r\n" if keyed else ""
            request = (f"POST /api/k{first} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r{number}-{next(ids)}\r\nX-Class: "
                       f"{name}\r\nX-Deadline-Ms: 20000\r\nX-Consignee: dest={destination}\r\n{token}"
                       "Content-Length: 200\r\n\r\n").encode() + b"x" * 200
            began = time.perf_counter()
            try:
                link = link or await wire.Client.dial("127.0.0.1", port)
                answer = await link.ask(request)
            except OSError:
                answer = None
            if answer is None or answer[0] != 202:
                link = None
                await asyncio.sleep(0.05)
            else:
                spent.append(time.perf_counter() - began)

    async def work() -> None:
        await asyncio.gather(*(one(first) for first in range(links)))
    asyncio.run(work())
    spent.sort()
    waits.put((spent[len(spent) // 2], spent[int(len(spent) * 0.99)]) if spent else (0.0, 0.0))


async def measure(what: str, given: argparse.Namespace, ports: list[int], count: Any) -> float:
    """Deliveries a second of one arrangement."""
    workers = int(what) if what != "relay" else 0
    cores = sorted(os.sched_getaffinity(0))
    mine, others = cores[:max(workers, 1)], cores[4:]
    agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
    hosts = {f"e{number}": row(f"e{number}", f"127.0.0.1:{ports[number % len(ports)]}", number, "k")
             for number in range(given.destinations)}
    agent.hosts = hosts
    await agent.open()
    with tempfile.TemporaryDirectory(prefix="umberchute-rate-") as folder:
        free = wire.Port(wire.Server)
        await free.listen()
        port = free.port
        free.close()
        (Path(folder) / "state").mkdir()
        (Path(folder) / "config.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": agent.port.address, "seed": "1",
            "limits": {"disk_mb": 200, "sockets": 4096}, "known": agent.whole(), "settings": {
                "services": [{"name": name, "promise_us": 2_000_000, "deadline_us": 20_000_000, "effect": effect,
                              "group": "all", "key_ttl_us": 15_000_000, "by_arrival": False}
                             for name, effect, _ in CLASSES],
                "specifics": {"calls_out": 512, "per_call": [1], "kind_apart": [False]}, "kinds": ["k"], "areas": ["a"],
                "caps": {"open_cap": 20_000, "most_tries": 12, "conn_idle_us": 10_000_000, "may_duplicate": True,
                         "dial_timeout_us": 1_000_000}, "tick_us": 1000, "rules": {}}}))
        command = [sys.executable, "-c", RELAY, str(port), f"http://127.0.0.1:{ports[0]}/inbox"] if what == "relay" \
            else [sys.executable, "-m", "wheelstep.cli", "serve", "--workers", str(workers)]
        process = subprocess.Popen(
            ["taskset", "-c", ",".join(map(str, mine)), *command], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, env={
                **os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state"})
        stop, waits = mp.Event(), mp.Queue()
        await asyncio.sleep(3.0)
        loads = [mp.Process(target=clients, args=({others[number % len(others)]}, number, port,
                                                  given.clients // 2, given.destinations, stop, waits), daemon=True)
                 for number in range(2)]
        for load in loads:
            load.start()
        await asyncio.sleep(1.5)
        before, began = count.value, time.perf_counter()
        ticks = [spent(child) for child in _children(process.pid)]
        own = spent(process.pid)
        await asyncio.sleep(given.seconds)
        rate = (count.value - before) / (time.perf_counter() - began)
        after = [spent(child) for child in _children(process.pid)]
        own = spent(process.pid) - own + sum(after) - sum(ticks)
        stop.set()
        middle, high = zip(*(waits.get(timeout=30) for _ in loads), strict=True)
        for load in loads:
            load.join()
        process.send_signal(signal.SIGTERM)
        process.wait(10)
    agent.close()
    even = ""
    if workers > 1 and len(after) == len(ticks) == workers:
        shares = [late - early for late, early in zip(after, ticks, strict=True)]
        even = f", busiest worker {max(shares) / (sum(shares) / len(shares)):.2f} of the mean"
    hop = f", {1 - 1 / workers:.0%} passed on" if workers > 1 else ""
    each_us = own / os.sysconf("SC_CLK_TCK") / given.seconds / rate * 1e6
    print(f"{what:>6}: {rate:7.0f} a second, {each_us:.0f} us of a core each, 202 after {max(middle) * 1e3:.1f} ms, "
          f"p99 {max(high) * 1e3:.1f} ms"
          f"{hop}{even}", flush=True)
    return rate


def spent(pid: int) -> int:
    """Processor time of a process, in clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def main() -> None:
    """Measure each arrangement in turn."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--workers", default="0,1,2,4")
    options.add_argument("--seconds", type=float, default=6.0)
    options.add_argument("--destinations", type=int, default=64)
    options.add_argument("--clients", type=int, default=64)
    given = options.parse_args()
    mp.set_start_method("spawn")
    cores = sorted(os.sched_getaffinity(0))
    ports, count = mp.Queue(), mp.Value("q", 0)
    partners = [mp.Process(target=partner, args=({cores[6 + number]}, ports, count), daemon=True)
                for number in range(2)]
    for one in partners:
        one.start()
    found = [ports.get(timeout=20) for _ in partners]
    rates = {what: asyncio.run(measure(what, given, found, count)) for what in ["relay", *given.workers.split(",")]}
    relay, first = rates["relay"], rates.get("1")
    for what, rate in rates.items():
        beside = f", {rate / first:.2f} times one worker" if first and what not in ("relay", "0", "1") else ""
        print(f"{what:>6}: {rate / relay:.2f} of the relay{beside}")
    for one in partners:
        one.terminate()


if __name__ == "__main__":
    main()
