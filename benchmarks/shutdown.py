"""Measures what clients lose when a courier shuts down: a courier process gets SIGTERM while its clients go on sending,
many times.

    python benchmarks/shutdown.py [--runs 20] [--clients 500] [--rest 1.0] [--tree DIR]

`--tree` runs the courier of another checkout. A request is lost if it was written completely before the client's kernel
knew of the connection's end, and the connection then ended without an answer. A client that notices the end before it
writes connects again, and stops when no one listens any more.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from loopback import SETTINGS, Call, Endpoint, Platform, Reply, host  # noqa: E402

_TRAFFIC_S = 1.0  # of traffic before SIGTERM, after the first pause of all clients
_CLIENT_TIMEOUT_S = 0.4  # see PROTOCOL, clients to couriers
_KILL_DELAY_S = 3.7  # shortest delay from SIGTERM to SIGKILL (PROTOCOL, figures)


class Clients:
    """All clients of a run, each pausing up to `rest_s` seconds before a request.

    `count` holds the number of requests by their result, which `main` prints: "refused" was answered 503, and "ended
    between" could not be written, because the connection had ended.
    """

    def __init__(self, address: tuple[str, int], rest_s: float) -> None:
        self._address, self._rest_s, self.count = address, rest_s, Counter[str]()
        self._number = 0

    async def run_one(self) -> None:
        """Run one client: connect and send one request after another, until no one listens."""
        while True:
            link = socket.socket()
            link.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(link, self._address)
                await self._send(link)
            except OSError:
                self.count["not connected"] += 1
                return
            finally:
                link.close()

    async def _send(self, link: socket.socket) -> None:
        while True:
            await asyncio.sleep(random.uniform(0.0, self._rest_s))
            self._number += 1
            data = (f"POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: m{self._number}\r\nX-Class: once\r\n"
                    f"X-Deadline-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 1\r\n\r\nx").encode()
            if has_ended(link) or not send_at_once(link, data):
                self.count["ended between"] += 1
                return
            try:
                async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                    answer = await asyncio.get_running_loop().sock_recv(link, 4096)
            except TimeoutError:
                self.count["late"] += 1
                return
            except OSError:
                answer = b""
            if not answer:
                self.count["lost"] += 1
                return
            self.count[{b"202": "answered", b"503": "refused"}.get(answer[9:12], "failed")] += 1
            if b"connection: close" in answer.lower():
                return


def has_ended(link: socket.socket) -> bool:
    """Return whether the kernel knows that the connection has ended."""
    try:
        return not link.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def send_at_once(link: socket.socket, data: bytes) -> bool:
    """Send the data without waiting and return whether that worked; a few hundred bytes always fit into the buffer."""
    try:
        return link.send(data) == len(data)
    except OSError:
        return False


async def measure_shutdown(tree: Path, clients: int, rest_s: float) -> tuple[Counter[str], float, int]:
    """Run one courier of the checkout `tree` and shut it down. Returns the results of requests since SIGTERM, the
    seconds until the courier's end, and its exit code. Raises `RuntimeError` with its log if it doesn't start."""
    platform, endpoint = Platform(), Endpoint()

    async def answer_ok(call: Call) -> Reply:
        await asyncio.sleep(0.01)
        return 200, {}, b""
    endpoint.reply = answer_ok
    await platform.start()
    platform.list(host("e0", await endpoint.start()))
    with tempfile.TemporaryDirectory() as folder:
        state, config = Path(folder, "state"), Path(folder, "config.json")
        state.mkdir()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        settings = {**SETTINGS, "specifics": {"calls_out": 64, "per_call": [1], "kind_apart": [False]},
                    "caps": {**SETTINGS["caps"], "open_cap": 20_000}}
        config.write_text(json.dumps({
            "name": "n0", "listen": f"{address[0]}:{address[1]}", "discovery": platform.address, "seed": "5",
            "limits": {"disk_mb": 50, "sockets": 3 * clients * 2}, "settings": settings,
            "known": platform.full_list()}))
        env = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_STATE": str(state), "PYTHONPATH": str(tree),
               "RELAY_DISCOVERY": platform.address}
        with open(Path(folder, "log"), "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "wheelstep.courier", cwd=tree, env=env, stderr=log)
        while b"serves on" not in Path(folder, "log").read_bytes():
            if process.returncode is not None:
                raise RuntimeError(Path(folder, "log").read_text())
            await asyncio.sleep(0.02)
        all_clients = Clients(address, rest_s)
        async with asyncio.TaskGroup() as group:
            for _ in range(clients):
                group.create_task(all_clients.run_one())
            await asyncio.sleep(rest_s + _TRAFFIC_S)
            before, began = Counter(all_clients.count), time.monotonic()
            process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(_KILL_DELAY_S):
                    await process.wait()
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):  # the process ended in the meantime
                    process.kill()
                await process.wait()
            took_s = time.monotonic() - began
    await platform.stop()
    all_clients.count.subtract(before)
    return all_clients.count, took_s, process.returncode or 0


def main() -> None:
    """Run the shutdowns and print the results of each and their sums."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--rest", type=float, default=1.0,
                        help="longest pause of a client between two requests, in seconds")
    parser.add_argument("--tree", type=Path, default=ROOT, help="checkout whose courier runs")
    given = parser.parse_args()
    total, slowest, codes = Counter[str](), 0.0, Counter[int]()
    for run in range(given.runs):
        count, took_s, code = asyncio.run(measure_shutdown(given.tree.resolve(), given.clients, given.rest))
        total += count
        slowest, codes = max(slowest, took_s), codes + Counter([code])
        print(f"run {run + 1}: {dict(sorted(count.items()))}, {took_s:.2f} s, exit {code}", flush=True)
    print(f"{given.runs} runs, {given.clients} clients: lost {total['lost']}, late {total['late']}, "
          f"answered {total['answered']}, refused {total['refused']}, failed {total['failed']}, "
          f"ended between {total['ended between']}; slowest {slowest:.2f} s, exit {dict(codes)}")


if __name__ == "__main__":
    main()
