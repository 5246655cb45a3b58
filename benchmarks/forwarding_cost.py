"""What a forwarded message costs: asks a second, and processor time of the asker and of the home, between two processes
over the workers' Unix socket and over a sealed stream on loopback, in turns.

    python benchmarks/forwarding_cost.py [--seconds 4] [--runs 3] [--body 200] [--under-way 64] [--json FILE]

Closed loop: each of `--under-way` askers asks, begins, and asks again. The home only remembers the messages; nothing
is written to disk. Processor time is that of the whole processes, by message.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing as mp
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from wheelstep.forwarding.client import ForwardClient, RemoteAdmission  # noqa: E402
from wheelstep.forwarding.link import Link, OnEnd, OnFrame  # noqa: E402
from wheelstep.forwarding.server import ForwardServer  # noqa: E402
from wheelstep.journal import StoredMessage  # noqa: E402
from wheelstep.shards.forward_link import ForwardLink  # noqa: E402
from wheelstep.shards.net import Sockets  # noqa: E402
from wheelstep.shards.streams import StreamLink, Streams  # noqa: E402
from wheelstep.shards.types import Forwarded, Frame  # noqa: E402
from wheelstep.workers.between import OwnerSide, forward_client  # noqa: E402

KEY = b"a key of this run only"
ROOT = Path(__file__).resolve().parents[1]


class Remembers:
    """Admits every message (admission.Admission)."""

    ready, syncs = True, False

    def __init__(self) -> None:
        self.held: set[str] = set()
        self.begun = 0

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return True

    def holds(self, name: str) -> bool:
        return name in self.held

    def is_unconfirmed(self, name: str) -> bool:
        return False

    def take(self, message: StoredMessage) -> None:
        self.held.add(message.id)

    def durable(self) -> asyncio.Future[None]:
        raise NotImplementedError

    def begin(self, name: str) -> None:
        self.held.discard(name)
        self.begun += 1

    def withdraw(self, name: str) -> None:
        self.held.discard(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        pass


def streams(net: Sockets, me: str, heard: Any, lost: Any) -> Streams:
    """Of one process."""
    return Streams(net, [KEY], "bench", me, 1, heard, lost, lambda: time.monotonic_ns() // 1000)


def home(pipe: Connection, path: str) -> None:
    """The process that is asked, until it is told to tell its processor time and end."""
    async def serve() -> None:
        admission, loop = Remembers(), asyncio.get_running_loop()
        servers: dict[StreamLink, ForwardServer] = {}

        def heard(link: StreamLink, frame: Frame) -> None:
            assert isinstance(frame, Forwarded)
            if link not in servers:
                servers[link] = ForwardServer(lambda message: admission)
                servers[link].attach(ForwardLink(link))
            servers[link].on_frame(frame.head, frame.body)
        net = Sockets()
        mine = streams(net, "home", heard, lambda link: servers.pop(link).on_end())
        address = await net.listen("127.0.0.1:0", mine.accept, lambda *_: None)
        server = await loop.create_unix_server(lambda: OwnerSide(lambda destination: admission).connection, path)
        told = asyncio.Event()
        loop.add_reader(pipe.fileno(), told.set)
        pipe.send(address)
        while True:
            await told.wait()
            told.clear()
            if not pipe.poll():
                continue
            if pipe.recv() == "end":
                break
            pipe.send((time.process_time(), admission.begun))
        loop.remove_reader(pipe.fileno())
        server.close()
        await net.close()
    asyncio.run(serve())


async def ask(client: ForwardClient, name: str, body: bytes) -> None:
    """One message: asked, taken, begun."""
    admission = RemoteAdmission(client)
    admission.take(StoredMessage(name, "once", 7, 10**13, body=body))
    await admission.durable()
    admission.begin(name)


async def measure(kind: str, pipe: Connection, address: str, path: str, options: argparse.Namespace) -> dict[str, Any]:
    """One run."""
    net = Sockets()
    ends: dict[StreamLink, tuple[OnFrame, OnEnd]] = {}

    def heard(link: StreamLink, frame: Frame) -> None:
        assert isinstance(frame, Forwarded)
        ends[link][0](frame.head, frame.body)
    mine = streams(net, "asker", heard, lambda link: ends.pop(link)[1]())

    async def dial(on_frame: OnFrame, on_end: OnEnd) -> Link | None:
        link = await mine.dial("home", address, 5)
        if link is None:
            return None
        ends[link] = on_frame, on_end
        return ForwardLink(link)
    client = forward_client(path) if kind == "unix" else ForwardClient(dial, peer_name="the home")
    body, done = b"b" * options.body, 0
    await ask(client, f"{kind}-first", body)

    async def loop(number: int, until_s: float) -> None:
        nonlocal done
        turn = 0
        while time.monotonic() < until_s:
            await ask(client, f"{kind}-{number}-{turn}", body)
            turn += 1
            done += 1
    pipe.send("figures")
    far_s, _ = pipe.recv()
    near_s, began_s = time.process_time(), time.monotonic()
    await asyncio.gather(*(loop(number, began_s + options.seconds) for number in range(options.under_way)))
    took_s, near_s = time.monotonic() - began_s, time.process_time() - near_s
    pipe.send("figures")
    far_s = pipe.recv()[0] - far_s
    client.close()
    await net.close()
    return {"kind": kind, "under_way": options.under_way, "asks": done, "rate": round(done / took_s),
            "asker_us": round(near_s / done * 1e6, 1), "home_us": round(far_s / done * 1e6, 1)}


def main() -> int:
    """Prints a line for each kind: medians of the runs."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--body", type=int, default=200)
    parser.add_argument("--under-way", type=int, default=64)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as ends:
        near, far = mp.get_context("spawn").Pipe()
        path = f"{folder}/home"
        process = mp.get_context("spawn").Process(target=home, args=(far, path))
        process.start()
        ends.callback(process.join, 10)
        ends.callback(near.send, "end")
        address = near.recv()
        for _ in range(options.runs):
            rows += [asyncio.run(measure(kind, near, address, path, options)) for kind in ("unix", "stream")]
    for kind in ("unix", "stream"):
        mine = [row for row in rows if row["kind"] == kind]
        rate, asker, there = (statistics.median(row[name] for row in mine) for name in ("rate", "asker_us", "home_us"))
        print(f"{kind}: {rate:.0f} asks/s, processor time a message: asker {asker:.1f} us, home {there:.1f} us "
              f"(medians of {len(mine)} runs of {options.seconds:g} s, {options.under_way} under way, "
              f"{options.body} bytes)", flush=True)
    if options.json is not None:
        commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True).stdout.strip()
        options.json.write_text(json.dumps({
            "what": "forwarding_cost", "commit": commit,
            "machine": {"cores": os.cpu_count(), "python": platform.python_version(), "load": os.getloadavg()[0]},
            "parameters": {"seconds": options.seconds, "runs": options.runs, "body": options.body,
                           "under_way": options.under_way}, "seed": None, "rows": rows}, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
