"""A courier of a fleet that is none of ours, for the rig: parts belong to voters by number and for good, nothing is
written down. `python stub_fleet.py WHAT --operator FILE`: `plain` keeps order while all live; `greedy` serves every
channel itself; `hasty` calls what it is handed at once.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tomllib
from collections import defaultdict
from pathlib import Path

import xxhash

from wheelstep.rehearsal.standins.wire import Client, Request, Server

WHAT, OPERATOR = sys.argv[1], tomllib.loads(Path(sys.argv[3]).read_text())
CONFIG = json.loads(Path(os.environ["RELAY_CONFIG"]).read_text())
DIALS = [row["dial"].split(":") for row in CONFIG["known"]["hosts"]]
DOORS = Path(os.environ["RELAY_STATE"]).parent.parent
NAME, VOTERS, PARTS = CONFIG["name"], OPERATOR["fleet"]["voters"], OPERATOR["fleet"]["parts"]


class Channel:
    def __init__(self, name: str) -> None:
        self.name, self.next = name, 1
        self.waiting: dict[int, tuple[str, bytes]] = {}
        self.turn = asyncio.Lock()


CHANNELS: dict[str, Channel] = {}
TASKS: set[asyncio.Task[None]] = set()
LINKS: dict[str, list[Client]] = defaultdict(list)


async def deliver(channel: Channel, number: int, message: str, body: bytes) -> None:
    async with asyncio.Lock() if WHAT == "hasty" else channel.turn:
        head = (f"POST /inbox HTTP/1.1\r\nHost: x\r\nX-Request-Id: {message}\r\nX-Channel: {channel.name}\r\n"
                f"X-Channel-Number: {number}\r\nX-Channel-Epoch: 1\r\nIdempotency-Key: {TOKENS[message]}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        link = await Client.dial(DIALS[0][0], int(DIALS[0][1]))
        await link.exchange(head.encode() + body)
        link.close()


TOKENS: dict[str, str] = {}


class Door(Server):
    def on_request(self, request: Request) -> None:
        path = request.target.split("/")
        if request.target == "/healthz":
            self.answer(200)
            return
        name = f"updates/1/{path[-1]}"
        owner = VOTERS[xxhash.xxh3_64_intdigest(name.encode()) % PARTS % len(VOTERS)]
        if owner != NAME and WHAT != "greedy":
            address = (DOORS / f"{owner}.door").read_text() if (DOORS / f"{owner}.door").exists() else ""
            self.answer(503, {"X-Channel-Owner": address, "Retry-After": "0.1"})
            return
        channel = CHANNELS.setdefault(name, Channel(name))
        if request.method == "GET":
            self.answer(200, {}, json.dumps({"next": channel.next, "session": 0}).encode())
            return
        message, number = request.headers["x-request-id"], int(request.headers["x-channel-number"])
        if message not in TOKENS:
            TOKENS[message] = request.headers["idempotency-key"]
            channel.waiting[number] = message, request.body
        while channel.next in channel.waiting:
            task = asyncio.create_task(deliver(channel, channel.next, *channel.waiting.pop(channel.next)))
            TASKS.add(task)
            channel.next += 1
        self.answer(202, {"X-Channel-Next": str(channel.next)})


async def main() -> None:
    host, port = os.environ["RELAY_LISTEN"].split(":")
    server = await asyncio.get_running_loop().create_server(Door, host, int(port))
    (DOORS / f"{NAME}.door").write_text(f"{host}:{port}")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
