"""Measures what a forwarded message costs: requests a second and processor time of the client and of the home, between
two processes, over the workers' Unix socket and over a sealed stream on loopback in turn.

    python benchmarks/forwarding_cost.py [--seconds 4] [--runs 3] [--body 200] [--under-way 64] [--json FILE]

Closed loop: each of `--under-way` clients admits a message, begins it, and goes on with the next. The home only keeps
the messages in memory; nothing is written to disk. Processor time is that of the whole processes, divided by the
messages.
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


class MemoryAdmission:
    """Admits every message and keeps it in memory (implements `admission.Admission`)."""

    ready, syncs = True, False

    def __init__(self) -> None:
        self.held: set[str] = set()  # ids of messages that are admitted and not begun
        self.begun = 0  # number of messages

    def full(self) -> bool:
        """Return False: there is always room."""
        return False

    def serves(self, destination: int) -> bool:
        """Return True: every destination is served here."""
        return True

    def holds(self, name: str) -> bool:
        """Return whether the message is admitted and not begun."""
        return name in self.held

    def is_unconfirmed(self, name: str) -> bool:
        """Return False: no message waits for its client."""
        return False

    def take(self, message: StoredMessage) -> None:
        """Admit the message."""
        self.held.add(message.id)

    def durable(self) -> asyncio.Future[None]:
        """Not used, because `syncs` is False."""
        raise NotImplementedError

    def begin(self, name: str) -> None:
        """Count the message and forget it."""
        self.held.discard(name)
        self.begun += 1

    def withdraw(self, name: str) -> None:
        """Forget the message."""
        self.held.discard(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing."""
        pass


def make_streams(net: Sockets, name: str, on_frame: Any, on_lost: Any) -> Streams:
    """Return the sealed streams of the process called `name`."""
    return Streams(net, [KEY], "bench", name, 1, on_frame, on_lost, lambda: time.monotonic_ns() // 1000)


def serve_home(pipe: Connection, path: str) -> None:
    """Serve forwarded messages on the Unix socket `path` and on a stream whose address goes through `pipe`.

    The target of a process: answers "figures" on the pipe with its processor time in seconds and the number of begun
    messages, and returns on "end".
    """
    async def serve() -> None:
        admission, loop = MemoryAdmission(), asyncio.get_running_loop()
        servers: dict[StreamLink, ForwardServer] = {}

        def on_frame(link: StreamLink, frame: Frame) -> None:
            assert isinstance(frame, Forwarded)
            if link not in servers:
                servers[link] = ForwardServer(lambda message: admission)
                servers[link].attach(ForwardLink(link))
            servers[link].on_frame(frame.head, frame.body)
        net = Sockets()
        streams = make_streams(net, "home", on_frame, lambda link: servers.pop(link).on_end())
        address = await net.listen("127.0.0.1:0", streams.accept, lambda *_: None)
        server = await loop.create_unix_server(lambda: OwnerSide(lambda destination: admission).connection, path)
        readable = asyncio.Event()
        loop.add_reader(pipe.fileno(), readable.set)
        pipe.send(address)
        while True:
            await readable.wait()
            readable.clear()
            if not pipe.poll():
                continue
            if pipe.recv() == "end":
                break
            pipe.send((time.process_time(), admission.begun))
        loop.remove_reader(pipe.fileno())
        server.close()
        await net.close()
    asyncio.run(serve())


async def forward(client: ForwardClient, name: str, body: bytes) -> None:
    """Forward one message: wait until the home has admitted it, then begin it."""
    admission = RemoteAdmission(client)
    admission.take(StoredMessage(name, "once", 7, 10**13, body=body))
    await admission.durable()
    admission.begin(name)


async def measure(kind: str, pipe: Connection, address: str, path: str, options: argparse.Namespace) -> dict[str, Any]:
    """Forward messages for the given time over `kind`, "unix" or "stream", and return a row of the result file:
    messages per second, and processor time per message in microseconds."""
    net = Sockets()
    callbacks: dict[StreamLink, tuple[OnFrame, OnEnd]] = {}

    def on_stream_frame(link: StreamLink, frame: Frame) -> None:
        assert isinstance(frame, Forwarded)
        callbacks[link][0](frame.head, frame.body)
    streams = make_streams(net, "asker", on_stream_frame, lambda link: callbacks.pop(link)[1]())

    async def dial(on_frame: OnFrame, on_end: OnEnd) -> Link | None:
        link = await streams.dial("home", address, 5)
        if link is None:
            return None
        callbacks[link] = on_frame, on_end
        return ForwardLink(link)
    client = forward_client(path) if kind == "unix" else ForwardClient(dial, peer_name="the home")
    body, forwarded = b"b" * options.body, 0
    await forward(client, f"{kind}-first", body)

    async def loop(number: int, until_s: float) -> None:
        nonlocal forwarded
        sent = 0
        while time.monotonic() < until_s:
            await forward(client, f"{kind}-{number}-{sent}", body)
            sent += 1
            forwarded += 1
    pipe.send("figures")
    home_s, _ = pipe.recv()
    client_s, began_s = time.process_time(), time.monotonic()
    await asyncio.gather(*(loop(number, began_s + options.seconds) for number in range(options.under_way)))
    took_s, client_s = time.monotonic() - began_s, time.process_time() - client_s
    pipe.send("figures")
    home_s = pipe.recv()[0] - home_s
    client.close()
    await net.close()
    return {"kind": kind, "under_way": options.under_way, "asks": forwarded, "rate": round(forwarded / took_s),
            "asker_us": round(client_s / forwarded * 1e6, 1), "home_us": round(home_s / forwarded * 1e6, 1)}


def main() -> int:
    """Print a line with the medians of the runs for each kind of connection, and write the result file if wanted."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--body", type=int, default=200)
    parser.add_argument("--under-way", type=int, default=64)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    rows: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as cleanup:
        pipe, home_pipe = mp.get_context("spawn").Pipe()
        path = f"{folder}/home"
        process = mp.get_context("spawn").Process(target=serve_home, args=(home_pipe, path))
        process.start()
        cleanup.callback(process.join, 10)
        cleanup.callback(pipe.send, "end")
        address = pipe.recv()
        for _ in range(options.runs):
            rows += [asyncio.run(measure(kind, pipe, address, path, options)) for kind in ("unix", "stream")]
    for kind in ("unix", "stream"):
        own = [row for row in rows if row["kind"] == kind]
        rate, client, home = (statistics.median(row[name] for row in own) for name in ("rate", "asker_us", "home_us"))
        print(f"{kind}: {rate:.0f} requests/s, processor time a message: client {client:.1f} us, home {home:.1f} us "
              f"(medians of {len(own)} runs of {options.seconds:g} s, {options.under_way} under way, "
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
