"""Measures deliveries a second with 0, 1, 2 and 4 workers, beside a bare aiohttp relay on one core, in one run.

    python benchmarks/workers_rate.py [--workers 0,1,2,4] [--seconds 6] [--destinations 64] [--clients 128]
        [--half]

Closed loop: each client submits a message as soon as the last one is answered; destinations answer at once. Clients and
destinations have four cores, the courier as many as it has workers (a relay or a courier without workers: one). Prints
the share of messages that hop to another worker, as expected from the number of workers, how even the workers'
processor time is, and the processor time of a message, which a busy machine changes less than the rate.
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


class OkServer(asyncio.Protocol):
    """Answers 200 to each request at once; parses only its length. Counts requests (0) and connections (1)."""

    def __init__(self, count: Any) -> None:
        self._count, self._buffer = count, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._count[1] += 1

    def data_received(self, data: bytes) -> None:
        data = self._buffer + data
        while (end := data.find(b"\r\n\r\n")) >= 0:
            at = data.lower().find(b"content-length:", 0, end)
            size = int(data[at + 15:data.find(b"\r\n", at)]) if at >= 0 else 0
            if len(data) < end + 4 + size:
                break
            data = data[end + 4 + size:]
            self._count[0] += 1
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # type: ignore[attr-defined]
        self._buffer = data


def serve_destination(core: int, ports: Any, count: Any) -> None:
    """Run an `OkServer` in this process, pinned to `core`, and put its port into `ports`. Never returns."""
    os.sched_setaffinity(0, {core})

    async def work() -> None:
        server = await asyncio.get_running_loop().create_server(lambda: OkServer(count), "127.0.0.1", 0, backlog=1000)
        ports.put(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()
    asyncio.run(work())


class LoadClient(asyncio.Protocol):
    """A client that sends one request at a time. Raises `SystemExit` if it is rejected, unless the courier is full."""

    def __init__(self, number: int, first: int, given: Load, accept_times: list[float]) -> None:
        self._number, self._destination, self._first = number, first, first
        self._given, self._accept_times = given, accept_times
        self._ids = itertools.count()
        self._due = time.perf_counter() + given.interval_s * random.random()
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._schedule()

    def _schedule(self) -> None:
        """Send the next request. In an open loop its time counts from when it was due, even if it is sent late."""
        if not self._given.interval_s:
            self._due = time.perf_counter()
            self._send()
            return
        self._due += self._given.interval_s
        asyncio.get_running_loop().call_later(max(0.0, self._due - time.perf_counter()), self._send)

    def _send(self) -> None:
        self._destination = (self._destination + 1) % self._given.destinations
        name, _, keyed = CLASSES[self._destination % 2]
        message = f"{self._number}-{self._first}-{next(self._ids)}"
        key_header = f"Idempotency-Key: t{message}\r\n" if keyed else ""
        self._transport.write((  # type: ignore[attr-defined]
            f"POST /api/k{self._first} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r{message}\r\nX-Class: {name}\r\n"
            f"X-Deadline-Ms: 20000\r\nX-Consignee: dest={self._destination}\r\n{key_header}"
            "Content-Length: 200\r\n\r\n").encode() + b"x" * 200)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if b"\r\n\r\n" not in self._buffer:
            return
        if self._buffer.startswith(b"HTTP/1.1 202"):
            self._accept_times.append(time.perf_counter() - self._due)
        elif b"\r\n\r\nholds all" not in self._buffer and b"\r\n\r\nno room" not in self._buffer:
            raise SystemExit(f"message rejected: {self._buffer[:200]!r}")
        self._buffer = b""
        self._schedule()


@dataclass(frozen=True)
class Load:
    """What the clients of one process do."""

    connections: int
    destinations: int
    interval_s: float = 0.0  # between two messages of a client; 0: each is sent when the last one is answered


def run_clients(core: int, number: int, port: int, given: Load, begin: Any, stop: Any, results: Any) -> None:
    """Run the clients, pinned to `core`, and put into `results` the seconds until each 202 from `begin` to `stop`."""
    os.sched_setaffinity(0, {core})
    accept_times: list[float] = []

    async def work() -> None:
        loop = asyncio.get_running_loop()
        for first in range(given.connections):
            await loop.create_connection(
                functools.partial(LoadClient, number, first, given, accept_times), "127.0.0.1", port)
        while not begin.is_set():
            await asyncio.sleep(0.05)
        accept_times.clear()
        while not stop.is_set():
            await asyncio.sleep(0.05)
        results.put(list(accept_times))
    asyncio.run(work())


async def measure(what: str, given: argparse.Namespace, ports: list[int], counts: list[Any],
                  full_rate: float = 0.0) -> float:
    """Return deliveries a second of "relay" or so many workers; `full_rate`: open loop at half of it (times of 202)."""
    workers = int(what) if what != "relay" else 0
    cores = sorted(os.sched_getaffinity(0))
    courier_cores, client_cores = cores[:max(workers, 1)], cores[4:6]
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
                # Without a price, connections are closed after each call, which was half of the cost of a message.
                "prices": {"handshake": 0.06, "probe": 0.01}}}))
        command = [sys.executable, "-c", RELAY, str(port), f"http://127.0.0.1:{ports[0]}/inbox"] if what == "relay" \
            else [sys.executable, "-m", "wheelstep.cli", "serve", "--workers", str(workers)]
        process = subprocess.Popen(
            ["taskset", "-c", ",".join(map(str, courier_cores)), *command], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, env={
                **os.environ, "RELAY_CONFIG": f"{folder}/config.json", "RELAY_STATE": f"{folder}/state"})
        begin, stop, results = mp.Event(), mp.Event(), mp.Queue()
        await asyncio.sleep(3.0)
        load = Load(given.clients // 2, given.destinations, given.clients / (full_rate / 2) if full_rate else 0.0)
        loads = [mp.Process(target=run_clients, args=(client_cores[number], number, port, load, begin, stop, results),
                            daemon=True) for number in range(2)]
        for one in loads:
            one.start()
        await asyncio.sleep(3.0)
        begin.set()
        before, dialled, began = sum(c[0] for c in counts), sum(c[1] for c in counts), time.perf_counter()
        ticks = [cpu_ticks(child) for child in children(process.pid)]
        own = cpu_ticks(process.pid)
        await asyncio.sleep(given.seconds)
        done = sum(count[0] for count in counts) - before
        rate = done / (time.perf_counter() - began)
        dials = (sum(count[1] for count in counts) - dialled) / max(done, 1)
        after = [cpu_ticks(child) for child in children(process.pid)]
        own = cpu_ticks(process.pid) - own + sum(after) - sum(ticks)
        stop.set()
        times = sorted(itertools.chain.from_iterable([await asyncio.to_thread(results.get, timeout=30) for _ in loads]))
        for one in loads:
            one.join()
        process.send_signal(signal.SIGTERM)
        process.wait(10)
    agent.close()
    busiest = ""
    if workers > 1 and len(after) == len(ticks) == workers:
        shares = [late - early for late, early in zip(after, ticks, strict=True)]
        busiest = f", busiest worker {max(shares) / (sum(shares) / len(shares)):.2f} of the mean"
    hop = f", {1 - 1 / workers:.0%} hop to another worker" if workers > 1 else ""
    cores_used = own / os.sysconf("SC_CLK_TCK") / given.seconds
    print(f"{what:>6}{' at half load' if full_rate else ''}: {rate:7.0f} a second, "
          f"{cores_used / rate * 1e6:.0f} us of a core each, {cores_used / max(workers, 1):.0%} of its cores, "
          f"202 after {times[len(times) // 2] * 1e3:.1f} ms, "
          f"p99 {times[int(len(times) * 0.99)] * 1e3:.1f} ms, {dials:.3f} dials a message{hop}{busiest}", flush=True)
    return rate


def cpu_ticks(pid: int) -> int:
    """Return the processor time that a process has used so far, in clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def main() -> None:
    """Measure the relay and each number of workers in turn, and print the ratios."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--workers", default="0,1,2,4")
    options.add_argument("--seconds", type=float, default=6.0)
    options.add_argument("--destinations", type=int, default=64)
    options.add_argument("--clients", type=int, default=128)
    options.add_argument("--half", action="store_true", help="measure each again in an open loop at half of its rate")
    given = options.parse_args()
    mp.set_start_method("spawn")
    cores = sorted(os.sched_getaffinity(0))
    ports, counts = mp.Queue(), [mp.Array("q", 2, lock=False) for _ in range(2)]
    servers = [mp.Process(target=serve_destination, args=(cores[6 + number], ports, counts[number]), daemon=True)
               for number in range(2)]
    for one in servers:
        one.start()
    found = [ports.get(timeout=20) for _ in servers]
    rates = {name: asyncio.run(measure(name, given, found, counts)) for name in ["relay", *given.workers.split(",")]}
    if given.half:
        for name, rate in rates.items():
            asyncio.run(measure(name, given, found, counts, rate))
    relay, first = rates["relay"], rates.get("1")
    for name, rate in rates.items():
        beside = f", {rate / first:.2f} times one worker" if first and name not in ("relay", "0", "1") else ""
        print(f"{name:>6}: {rate / relay:.2f} of the relay{beside}")
    for one in servers:
        one.terminate()


if __name__ == "__main__":
    main()
