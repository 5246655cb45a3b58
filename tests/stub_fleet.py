"""A minimal courier of a fleet, independent of umberchute, for the fleet rig. Parts belong to voters by number and do
not move; nothing is stored. `python stub_fleet.py VARIANT --operator FILE`: `plain` keeps the order of each channel
while all couriers run; `greedy` serves every channel itself instead of naming its owner; `hasty` starts each delivery
without waiting for the one before.
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

VARIANT, OPERATOR = sys.argv[1], tomllib.loads(Path(sys.argv[3]).read_text())
CONFIG = json.loads(Path(os.environ["RELAY_CONFIG"]).read_text())
ENDPOINT_ADDRESSES = [row["dial"].split(":") for row in CONFIG["known"]["hosts"]]
ADDRESS_DIR = Path(os.environ["RELAY_STATE"]).parent.parent
NAME, VOTERS, PARTS = CONFIG["name"], OPERATOR["fleet"]["voters"], OPERATOR["fleet"]["parts"]


class Channel:
    """Messages of one channel: the next number to deliver, and those that wait for a lower number."""

    def __init__(self, name: str) -> None:
        self.name, self.next_number = name, 1
        self.waiting: dict[int, tuple[str, bytes]] = {}
        self.order_lock = asyncio.Lock()


CHANNELS: dict[str, Channel] = {}
TASKS: set[asyncio.Task[None]] = set()
LINKS: dict[str, list[Client]] = defaultdict(list)


async def deliver(channel: Channel, number: int, message: str, body: bytes) -> None:
    """Deliver a message to the first endpoint of the configuration; unless `hasty`, one at a time per channel."""
    async with asyncio.Lock() if VARIANT == "hasty" else channel.order_lock:
        head = (f"POST /inbox HTTP/1.1\r\nHost: x\r\nX-Request-Id: {message}\r\nX-Channel: {channel.name}\r\n"
                f"X-Channel-Number: {number}\r\nX-Channel-Epoch: 1\r\nIdempotency-Key: {TOKENS[message]}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        link = await Client.dial(ENDPOINT_ADDRESSES[0][0], int(ENDPOINT_ADDRESSES[0][1]))
        await link.exchange(head.encode() + body)
        link.close()


TOKENS: dict[str, str] = {}  # idempotency key by message


class ClientConnection(Server):
    """A client's connection. The owner of the channel accepts messages; others answer 503 with the owner's address."""

    def on_request(self, request: Request) -> None:
        """Answer a health check, a request for the channel's next number, or a message."""
        path = request.target.split("/")
        if request.target == "/healthz":
            self.answer(200)
            return
        name = f"updates/1/{path[-1]}"
        owner = VOTERS[xxhash.xxh3_64_intdigest(name.encode()) % PARTS % len(VOTERS)]
        if owner != NAME and VARIANT != "greedy":
            address = (ADDRESS_DIR / f"{owner}.door").read_text() if (ADDRESS_DIR / f"{owner}.door").exists() else ""
            self.answer(503, {"X-Channel-Owner": address, "Retry-After": "0.1"})
            return
        channel = CHANNELS.setdefault(name, Channel(name))
        if request.method == "GET":
            self.answer(200, {}, json.dumps({"next": channel.next_number, "session": 0}).encode())
            return
        message, number = request.headers["x-request-id"], int(request.headers["x-channel-number"])
        if message not in TOKENS:
            TOKENS[message] = request.headers["idempotency-key"]
            channel.waiting[number] = message, request.body
        while channel.next_number in channel.waiting:
            task = asyncio.create_task(deliver(channel, channel.next_number, *channel.waiting.pop(channel.next_number)))
            TASKS.add(task)
            channel.next_number += 1
        self.answer(202, {"X-Channel-Next": str(channel.next_number)})


async def main() -> None:
    """Serve clients until the process ends. The address is written to a file that the other couriers read."""
    host, port = os.environ["RELAY_LISTEN"].split(":")
    server = await asyncio.get_running_loop().create_server(ClientConnection, host, int(port))
    (ADDRESS_DIR / f"{NAME}.door").write_text(f"{host}:{port}")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
