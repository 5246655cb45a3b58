"""Deliveries a second with 0, 1, 2 and 4 workers, beside a bare aiohttp relay on one core, in one run.

    python benchmarks/workers_rate.py [--workers 0,1,2,4] [--seconds 6] [--destinations 64] [--clients 128]
        [--half]

Closed loop: each client hands in a message as soon as the last one is answered; partners answer at once. Clients and
partners have four cores, the courier as many as it has workers (a relay or a courier without workers: one). Prints the
share of messages that were passed on by another worker as expected from the number of workers, how even the workers'
processor time is, and what a message costs of a core, which a busy machine changes less than the rate.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import itertools
import json
import multiprocessing as mp
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.history import Figures, History
from wheelstep.rehearsal.standins import wire
from wheelstep.rehearsal.standins.machine import children
from wheelstep.rehearsal.standins.platform import Agent, row

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


class Plain(asyncio.Protocol):
    """Answers 200 to each request. Reads no more of it than where it ends: a partner that answers at once."""

    def __init__(self, count: Any) -> None:
        self._count, self._left = count, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._count[1] += 1

    def data_received(self, data: bytes) -> None:
        data = self._left + data
        while (end := data.find(b"\r\n\r\n")) >= 0:
            at = data.lower().find(b"content-length:", 0, end)
            size = int(data[at + 15:data.find(b"\r\n", at)]) if at >= 0 else 0
            if len(data) < end + 4 + size:
                break
            data = data[end + 4 + size:]
            self._count[0] += 1
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # type: ignore[attr-defined]
        self._left = data


def partner(core: int, ports: Any, count: Any) -> None:
    """A process that answers 200 to all, on one port; counts requests and connections."""
    os.sched_setaffinity(0, {core})

    async def work() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Plain(count), "127.0.0.1", 0, backlog=1000)
        ports.put(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()
    asyncio.run(work())


class Asker(asyncio.Protocol):
    """A client: one request at a time, the next as soon as the last is answered, or at its time."""

    def __init__(self, number: int, first: int, given: Load, spent: list[float]) -> None:
        self._number, self._destination, self._first = number, first, first
        self._given, self._spent = given, spent
        self._ids = itertools.count()
        self._due = time.perf_counter() + given.every_s * random.random()
        self._left = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._wait()

    def _wait(self) -> None:
        """An open loop: a request's time counts from when it was due, however late its client is."""
        if not self._given.every_s:
            self._due = time.perf_counter()
            self._ask()
            return
        self._due += self._given.every_s
        asyncio.get_running_loop().call_later(max(0.0, self._due - time.perf_counter()), self._ask)

    def _ask(self) -> None:
        self._destination = (self._destination + 1) % self._given.destinations
        name, _, keyed = CLASSES[self._destination % 2]
        one = f"{self._number}-{self._first}-{next(self._ids)}"
        token = f"Idempotency-Key: t{one}\r\n" if keyed else ""
        self._transport.write((  # type: ignore[attr-defined]
            f"POST /api/k{self._first} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r{one}\r\nX-Class: {name}\r\n"
            f"X-Deadline-Ms: 20000\r\nX-Consignee: dest={self._destination}\r\n{token}"
            "Content-Length: 200\r\n\r\n").encode() + b"x" * 200)

    def data_received(self, data: bytes) -> None:
        self._left += data
        if b"\r\n\r\n" not in self._left:
            return
        if self._left.startswith(b"HTTP/1.1 202"):
            self._spent.append(time.perf_counter() - self._due)
        elif b"\r\n\r\nholds all" not in self._left and b"\r\n\r\nno room" not in self._left:
            raise SystemExit(f"not taken: {self._left[:200]!r}")
        self._left = b""
        self._wait()


@dataclass(frozen=True)
class Load:
    """What the clients of one process do."""

    links: int
    destinations: int
    every_s: float = 0.0  # each sends so often; 0: as soon as it is answered


def clients(core: int, number: int, port: int, given: Load, begin: Any, stop: Any, waits: Any) -> None:
    """A process with so many clients. What it saw from `begin` to `stop` counts."""
    os.sched_setaffinity(0, {core})
    spent: list[float] = []

    async def work() -> None:
        loop = asyncio.get_running_loop()
        for first in range(given.links):
            await loop.create_connection(
                functools.partial(Asker, number, first, given, spent), "127.0.0.1", port)
        while not begin.is_set():
            await asyncio.sleep(0.05)
        spent.clear()
        while not stop.is_set():
            await asyncio.sleep(0.05)
        waits.put(list(spent))
    asyncio.run(work())


async def measure(what: str, given: argparse.Namespace, ports: list[int], counts: list[Any],
                  most: float = 0.0) -> float:
    """Deliveries a second of one arrangement; with `most`, at half of that rate and with the time until the 202."""
    workers = int(what) if what != "relay" else 0
    cores = sorted(os.sched_getaffinity(0))
    mine, others = cores[:max(workers, 1)], cores[4:6]
    agent = Agent("n0", History(Figures({})), lambda: 0, lambda courier, notice: None)
    agent.hosts = {f"e{number}": row(f"e{number}", f"127.0.0.1:{ports[number % len(ports)]}", number, "k")
                   for number in range(given.destinations)}
    await agent.open()
    with tempfile.TemporaryDirectory(prefix="umberchute-rate-") as folder:
        free = wire.Port(wire.Server)
        await free.listen()
        port = free.port
        free.close()
        (Path(folder) / "state").mkdir()
        (Path(folder) / "config.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": agent.port.address, "seed": "1",
            "limits": {"disk_mb": 200, "sockets": 4096}, "known": agent.full_list(), "settings": {
                "services": [{"name": name, "promise_us": 2_000_000, "deadline_us": 20_000_000, "effect": effect,
                              "group": "all", "key_ttl_us": 15_000_000, "by_arrival": False}
                             for name, effect, _ in CLASSES],
                "specifics": {"calls_out": 512, "per_call": [1], "kind_apart": [False]}, "kinds": ["k"], "areas": ["a"],
                "caps": {"open_cap": 20_000, "most_tries": 12, "conn_idle_us": 10_000_000, "may_duplicate": True,
                         "dial_timeout_us": 1_000_000}, "tick_us": 1000, "rules": {},
                # Without a price connections are given up after each call, which was half of the cost of a message.
                "prices": {"handshake": 0.06, "probe": 0.01}}}))
        command = [sys.executable, "-c", RELAY, str(port), f"http://127.0.0.1:{ports[0]}/inbox"] if what == "relay" \
            else [sys.executable, "-m", "wheelstep.cli", "serve", "--workers", str(workers)]
        process = subprocess.Popen(
            ["taskset", "-c", ",".join(map(str, mine)), *command], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, env={
                **os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state"})
        begin, stop, waits = mp.Event(), mp.Event(), mp.Queue()
        await asyncio.sleep(3.0)
        load = Load(given.clients // 2, given.destinations, given.clients / (most / 2) if most else 0.0)
        loads = [mp.Process(target=clients, args=(others[number], number, port, load, begin, stop, waits), daemon=True)
                 for number in range(2)]
        for one in loads:
            one.start()
        await asyncio.sleep(3.0)
        begin.set()
        before, dialled, began = sum(c[0] for c in counts), sum(c[1] for c in counts), time.perf_counter()
        ticks = [spent(child) for child in children(process.pid)]
        own = spent(process.pid)
        await asyncio.sleep(given.seconds)
        done = sum(count[0] for count in counts) - before
        rate = done / (time.perf_counter() - began)
        dials = (sum(count[1] for count in counts) - dialled) / max(done, 1)
        after = [spent(child) for child in children(process.pid)]
        own = spent(process.pid) - own + sum(after) - sum(ticks)
        stop.set()
        seen = sorted(itertools.chain.from_iterable([await asyncio.to_thread(waits.get, timeout=30) for _ in loads]))
        for one in loads:
            one.join()
        process.send_signal(signal.SIGTERM)
        process.wait(10)
    agent.close()
    even = ""
    if workers > 1 and len(after) == len(ticks) == workers:
        shares = [late - early for late, early in zip(after, ticks, strict=True)]
        even = f", busiest worker {max(shares) / (sum(shares) / len(shares)):.2f} of the mean"
    hop = f", {1 - 1 / workers:.0%} passed on" if workers > 1 else ""
    used = own / os.sysconf("SC_CLK_TCK") / given.seconds
    print(f"{what:>6}{' at half load' if most else ''}: {rate:7.0f} a second, "
          f"{used / rate * 1e6:.0f} us of a core each, {used / max(workers, 1):.0%} of its cores, "
          f"202 after {seen[len(seen) // 2] * 1e3:.1f} ms, "
          f"p99 {seen[int(len(seen) * 0.99)] * 1e3:.1f} ms, {dials:.3f} dials a message{hop}{even}", flush=True)
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
    options.add_argument("--clients", type=int, default=128)
    options.add_argument("--half", action="store_true", help="each again at half of its rate, as an open loop")
    given = options.parse_args()
    mp.set_start_method("spawn")
    cores = sorted(os.sched_getaffinity(0))
    ports, counts = mp.Queue(), [mp.Array("q", 2, lock=False) for _ in range(2)]
    partners = [mp.Process(target=partner, args=(cores[6 + number], ports, counts[number]), daemon=True)
                for number in range(2)]
    for one in partners:
        one.start()
    found = [ports.get(timeout=20) for _ in partners]
    rates = {what: asyncio.run(measure(what, given, found, counts)) for what in ["relay", *given.workers.split(",")]}
    if given.half:
        for what, rate in rates.items():
            asyncio.run(measure(what, given, found, counts, rate))
    relay, first = rates["relay"], rates.get("1")
    for what, rate in rates.items():
        beside = f", {rate / first:.2f} times one worker" if first and what not in ("relay", "0", "1") else ""
        print(f"{what:>6}: {rate / relay:.2f} of the relay{beside}")
    for one in partners:
        one.terminate()


if __name__ == "__main__":
    main()
