"""Discovery for control machines: the whole list of a run's destinations, and changes at a stated rate.

`python -m wheelstep.rehearsal.scale.discovery PLAN.json`: prints its address, then obeys lines on stdin (`figures`,
`changes PER_S`, `ended`) and ends with its stdin. A change replaces a destination's endpoint: the old name is told as
gone, the new one at the same address.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.scale.nursery import die_with_parent, end_with_stdin
from wheelstep.rehearsal.scale.partners import TRACKED
from wheelstep.rehearsal.scale.plan import Plan, read
from wheelstep.rehearsal.scale.settings import row
from wheelstep.rehearsal.standins.wire import Port, Request, Server

_ALIVE_S = 2.0
_KEPT = 4_096  # changes that a watch may go on from


def as_entry(plan: Plan, destination: int, life: int, health: str = "SERVING") -> dict[str, Any]:
    """A line as discovery writes it."""
    found = row(plan, destination, life, health)
    return {"host": found.host, "dial": found.dial, "site": found.site, "class": found.kind, "block": found.block,
            "health": found.health, "share": found.share, "born_ms": 0}


class Discovery:
    """The list, by destination, and who watches it."""

    def __init__(self, plan: Plan) -> None:
        self._plan, self._rng = plan, random.Random(f"{plan.seed}/discovery")
        self.lives = [0] * plan.destinations
        self.seq = 1
        self.per_s = plan.changes_per_s
        self.wholes = self.bytes_out = self.changes = 0
        self.changed_at: dict[str, float] = {}  # a new endpoint -> the machine's clock
        self.ended: dict[str, str] = {}  # messages that are followed, and ended undelivered
        self._whole: bytes | None = None
        self.watches: set[_Connection] = set()
        self.port = Port(lambda: _Connection(self))

    def whole(self) -> bytes:
        """The list as it stands."""
        if self._whole is None:
            hosts = [as_entry(self._plan, destination, life) for destination, life in enumerate(self.lives)]
            self._whole = json.dumps({"seq": self.seq, "whole": True, "hosts": hosts},
                                     separators=(",", ":")).encode() + b"\n"
        return self._whole

    def change(self) -> None:
        """One destination's endpoint is replaced."""
        destination = self._rng.randrange(self._plan.destinations)
        life = self.lives[destination]
        self.lives[destination] = life + 1
        self.seq += 1
        self.changes += 1
        self._whole = None
        rows = [as_entry(self._plan, destination, life + 1), as_entry(self._plan, destination, life, "DELETED")]
        self.changed_at[rows[0]["host"]] = time.monotonic()
        while len(self.changed_at) > _KEPT:
            del self.changed_at[next(iter(self.changed_at))]
        self.say(json.dumps({"seq": self.seq, "whole": False, "hosts": rows}).encode() + b"\n")

    def say(self, line: bytes) -> None:
        """To every watch."""
        for watch in self.watches:
            watch.line(line)

    def heard(self, body: bytes) -> None:
        """Notices of real couriers."""
        for line in body.splitlines():
            notice = json.loads(line)
            if str(notice["message"]).startswith(TRACKED):
                self.ended[notice["message"]] = notice["outcome"]

    async def run(self) -> None:
        """Change and stay alive, for good."""
        loop = asyncio.get_running_loop()
        alive_s = loop.time()
        while True:
            wait_s = self._rng.expovariate(self.per_s) if self.per_s else _ALIVE_S
            await asyncio.sleep(min(wait_s, _ALIVE_S))
            if self.per_s and wait_s < _ALIVE_S:
                self.change()
            if loop.time() - alive_s >= _ALIVE_S:
                alive_s = loop.time()
                self.say(b"\n")

    def figures(self) -> dict[str, Any]:
        """Since the start."""
        return {"seq": self.seq, "changes": self.changes, "whole_lists": self.wholes, "bytes_out": self.bytes_out,
                "watches": len(self.watches), "list_bytes": len(self.whole()), "changed_at": self.changed_at}


class _Connection(Server):
    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self._discovery = discovery

    def on_request(self, request: Request) -> None:
        path, _, query = request.target.partition("?")
        if request.method == "POST":
            self._discovery.heard(request.body)
            self.answer(204)
        elif path == "/v1/servers" and "watch=1" in query:
            discovery = self._discovery
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            discovery.wholes += 1
            discovery.watches.add(self)
            self.line(discovery.whole())
        elif path == "/v1/servers":
            self.answer(200, {"Content-Type": "application/json"}, self._discovery.whole())
        else:
            self.answer(404)

    def line(self, data: bytes) -> None:
        """One line of the watch."""
        self._discovery.bytes_out += len(data)
        self.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def on_disconnect(self) -> None:
        self._discovery.watches.discard(self)


async def _serve(plan: Plan) -> None:
    discovery = Discovery(plan)
    await discovery.port.listen()
    discovery.whole()
    print(json.dumps({"address": discovery.port.address}), flush=True)
    work = asyncio.create_task(discovery.run())
    async for line in end_with_stdin():
        what, _, rest = line.partition(" ")
        if what == "changes":
            discovery.per_s = float(rest)
        print(json.dumps(discovery.ended if what == "ended" else discovery.figures()), flush=True)
    work.cancel()


def main() -> int:
    """Serve until stdin ends."""
    die_with_parent()
    asyncio.run(_serve(read(Path(sys.argv[1]).read_bytes())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
