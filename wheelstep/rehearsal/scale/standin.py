"""The partners of real couriers: one listener for all destinations, each at a loopback address of its own.

`python -m wheelstep.rehearsal.scale.standin PLAN.json`: prints its port, then obeys lines on stdin (`figures`,
`tracked`) and ends with its stdin. A destination that is down takes connections and answers nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from wheelstep.rehearsal.scale.downs import LONG_S, Downs
from wheelstep.rehearsal.scale.nursery import die_with_parent, end_with_stdin
from wheelstep.rehearsal.scale.partners import TRACKED
from wheelstep.rehearsal.scale.plan import Plan, read
from wheelstep.rehearsal.standins.wire import Request, Server

_WORK_S = (0.02, 0.12)
_LOOPBACK = b"lo"


class Partners:
    """All of them."""

    def __init__(self, plan: Plan) -> None:
        self._base, self._epoch_s = plan.base + 100, plan.epoch_s
        self.downs = Downs(plan.seed, plan.down_share, plan.down_s)
        self.rng = random.Random(f"{plan.seed}/partners")
        self.counts = {"calls": 0, "down": 0, "down_long": 0, "probes": 0, "handshakes": 0, "delivered": 0,
                       "strangers": 0}
        self.tracked: dict[str, list[float]] = {}

    def destination(self, ip: str) -> int:
        """Whose address it is."""
        parts = [int(part) for part in ip.split(".")]
        return (parts[1] - self._base) << 16 | parts[2] << 8 | parts[3]

    def down_s(self, destination: int) -> float | None:
        """For how long it has been down."""
        return self.downs.for_s(destination, time.monotonic() - self._epoch_s)

    def deliver(self, message: str) -> None:
        """It has taken effect."""
        self.counts["delivered"] += 1
        if message.startswith(TRACKED):
            self.tracked.setdefault(message, []).append(time.monotonic() - self._epoch_s)


class _Link(Server):
    def __init__(self, partners: Partners) -> None:
        super().__init__()
        self._partners = partners
        self._destination = -1

    def on_connect(self) -> None:
        assert self.transport is not None
        peer, here = self.transport.get_extra_info("peername"), self.transport.get_extra_info("sockname")
        if not peer or not peer[0].startswith("127."):
            self._partners.counts["strangers"] += 1
            self.abort()
            return
        self._partners.counts["handshakes"] += 1
        self._destination = self._partners.destination(here[0])

    def on_request(self, request: Request) -> None:
        partners = self._partners
        down_s = partners.down_s(self._destination)
        if request.method != "POST":
            partners.counts["probes"] += 1
            if down_s is None:
                self.answer(200)
            return
        partners.counts["calls"] += 1
        if down_s is not None:
            partners.counts["down"] += 1
            partners.counts["down_long"] += down_s >= LONG_S
            return
        partners.deliver(request.headers.get("x-request-id", ""))
        asyncio.get_running_loop().call_later(partners.rng.uniform(*_WORK_S), self.answer, 200)


def _listener() -> socket.socket:
    """On every address of the loopback device, and on no other."""
    found = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):  # where it is not allowed, `connected` turns others away
        found.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, _LOOPBACK)
    found.bind(("0.0.0.0", 0))
    found.setblocking(False)
    return found


async def _serve(plan: Plan) -> None:
    partners, listener = Partners(plan), _listener()
    server = await asyncio.get_running_loop().create_server(lambda: _Link(partners), sock=listener, backlog=1024)
    print(json.dumps({"port": listener.getsockname()[1]}), flush=True)
    async for line in end_with_stdin():
        said: Any = partners.tracked if line == "tracked" else {**partners.counts, "cpu_s": time.process_time()}
        print(json.dumps(said), flush=True)
    server.close()


def main() -> int:
    """Serve until stdin ends."""
    die_with_parent()
    asyncio.run(_serve(read(Path(sys.argv[1]).read_bytes())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
