"""The discovery service of a run: the whole list of destinations, and changes at a given rate.

`python -m wheelstep.rehearsal.scale.discovery PLAN.json` prints its address, then answers commands on stdin (`figures`,
`changes PER_S`, `ended`) and ends with its stdin. A change replaces a destination's endpoint: the old name is deleted
and a new one is listed at the same address.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.scale.nursery import kill_with_parent, read_stdin_lines
from wheelstep.rehearsal.scale.partners import TRACKED_PREFIX
from wheelstep.rehearsal.scale.plan import Plan, decode_plan
from wheelstep.rehearsal.scale.settings import destination_row
from wheelstep.rehearsal.standins.wire import Port, Request, Server

_KEEPALIVE_S = 2.0
_MAX_CHANGES_KEPT = 4_096  # times of the latest changes


def as_json_row(plan: Plan, destination: int, generation: int, health: str = "SERVING") -> dict[str, Any]:
    """Return a destination's row in the JSON form of discovery."""
    list_row = destination_row(plan, destination, generation, health)
    return {"host": list_row.host, "dial": list_row.dial, "site": list_row.site, "class": list_row.kind,
            "block": list_row.block, "health": list_row.health, "share": list_row.share, "born_ms": 0}


class Discovery:
    """The list of endpoints and the connections that watch it."""

    def __init__(self, plan: Plan) -> None:
        self._plan, self._rng = plan, random.Random(f"{plan.seed}/discovery")
        self.generations = [0] * plan.destinations
        self.seq = 1
        self.per_s = plan.changes_per_s
        self.whole_lists_sent = self.bytes_out = self.changes = 0
        self.changed_at: dict[str, float] = {}  # new endpoint -> time of the change on the monotonic clock
        self.ended: dict[str, str] = {}  # tracked messages that ended undelivered -> outcome
        self._encoded_list: bytes | None = None
        self.watches: set[_Connection] = set()
        self.port = Port(lambda: _Connection(self))

    def whole_list_line(self) -> bytes:
        """Return the current list as one line of JSON, which is kept until the next change."""
        if self._encoded_list is None:
            hosts = [as_json_row(self._plan, destination, generation)
                     for destination, generation in enumerate(self.generations)]
            self._encoded_list = json.dumps({"seq": self.seq, "whole": True, "hosts": hosts},
                                            separators=(",", ":")).encode() + b"\n"
        return self._encoded_list

    def change(self) -> None:
        """Replace the endpoint of a random destination and tell all watches."""
        destination = self._rng.randrange(self._plan.destinations)
        generation = self.generations[destination]
        self.generations[destination] = generation + 1
        self.seq += 1
        self.changes += 1
        self._encoded_list = None
        rows = [as_json_row(self._plan, destination, generation + 1),
                as_json_row(self._plan, destination, generation, "DELETED")]
        self.changed_at[rows[0]["host"]] = time.monotonic()
        while len(self.changed_at) > _MAX_CHANGES_KEPT:
            del self.changed_at[next(iter(self.changed_at))]
        self.send_to_watches(json.dumps({"seq": self.seq, "whole": False, "hosts": rows}).encode() + b"\n")

    def send_to_watches(self, line: bytes) -> None:
        """Send a line to every watch."""
        for watch in self.watches:
            watch.send_line(line)

    def record_notices(self, body: bytes) -> None:
        """Record the notices of real couriers about tracked messages that ended undelivered."""
        for line in body.splitlines():
            notice = json.loads(line)
            if str(notice["message"]).startswith(TRACKED_PREFIX):
                self.ended[notice["message"]] = notice["outcome"]

    async def run(self) -> None:
        """Make changes at the given rate, and send an empty line to all watches about every `_KEEPALIVE_S`."""
        loop = asyncio.get_running_loop()
        last_keepalive_s = loop.time()
        while True:
            wait_s = self._rng.expovariate(self.per_s) if self.per_s else _KEEPALIVE_S
            await asyncio.sleep(min(wait_s, _KEEPALIVE_S))
            if self.per_s and wait_s < _KEEPALIVE_S:
                self.change()
            if loop.time() - last_keepalive_s >= _KEEPALIVE_S:
                last_keepalive_s = loop.time()
                self.send_to_watches(b"\n")

    def figures(self) -> dict[str, Any]:
        """Return the figures since the start."""
        return {"seq": self.seq, "changes": self.changes, "whole_lists": self.whole_lists_sent,
                "bytes_out": self.bytes_out, "watches": len(self.watches), "list_bytes": len(self.whole_list_line()),
                "changed_at": self.changed_at}


class _Connection(Server):
    """A connection of a courier or control machine; it becomes a watch with `watch=1`."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self._discovery = discovery

    def on_request(self, request: Request) -> None:
        """Serve the list, start a watch, or take notices; 404 for anything else."""
        path, _, query = request.target.partition("?")
        if request.method == "POST":
            self._discovery.record_notices(request.body)
            self.answer(204)
        elif path == "/v1/servers" and "watch=1" in query:
            discovery = self._discovery
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            discovery.whole_lists_sent += 1
            discovery.watches.add(self)
            self.send_line(discovery.whole_list_line())
        elif path == "/v1/servers":
            self.answer(200, {"Content-Type": "application/json"}, self._discovery.whole_list_line())
        else:
            self.answer(404)

    def send_line(self, data: bytes) -> None:
        """Send one line as a chunk of the watch's answer."""
        self._discovery.bytes_out += len(data)
        self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def on_disconnect(self) -> None:
        """Forget the watch."""
        self._discovery.watches.discard(self)


async def _serve(plan: Plan) -> None:
    discovery = Discovery(plan)
    await discovery.port.listen()
    discovery.whole_list_line()
    print(json.dumps({"address": discovery.port.address}), flush=True)
    change_task = asyncio.create_task(discovery.run())
    async for command_line in read_stdin_lines():
        command, _, argument = command_line.partition(" ")
        if command == "changes":
            discovery.per_s = float(argument)
        print(json.dumps(discovery.ended if command == "ended" else discovery.figures()), flush=True)
    change_task.cancel()


def main() -> int:
    """Serve until stdin ends."""
    kill_with_parent()
    asyncio.run(_serve(decode_plan(Path(sys.argv[1]).read_bytes())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
