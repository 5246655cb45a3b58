"""The partners of real couriers: one listener for all destinations, each at its own loopback address.

`python -m wheelstep.rehearsal.scale.standin PLAN.json` prints its port, then answers commands on stdin (`figures`,
`tracked`) and ends with its stdin. A destination that is down accepts connections but answers nothing.
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

from wheelstep.rehearsal.scale.downs import LONG_OUTAGE_S, OutageSchedule
from wheelstep.rehearsal.scale.nursery import kill_with_parent, read_stdin_lines
from wheelstep.rehearsal.scale.partners import TRACKED_PREFIX
from wheelstep.rehearsal.scale.plan import Plan, decode_plan
from wheelstep.rehearsal.standins.wire import Request, Server

_ANSWER_DELAY_RANGE_S = (0.02, 0.12)
_LOOPBACK_DEVICE = b"lo"


class StandinPartners:
    """The state of all partners: outages, counters and the deliveries of tracked messages."""

    def __init__(self, plan: Plan) -> None:
        self._base, self._epoch_s = plan.base + 100, plan.epoch_s
        self.outages = OutageSchedule(plan.seed, plan.down_share, plan.down_s)
        self.rng = random.Random(f"{plan.seed}/partners")
        self.counts = {"calls": 0, "down": 0, "down_long": 0, "probes": 0, "handshakes": 0, "delivered": 0,
                       "strangers": 0}
        self.tracked: dict[str, list[float]] = {}

    def destination(self, ip: str) -> int:
        """Return the destination with this address."""
        parts = [int(part) for part in ip.split(".")]
        return (parts[1] - self._base) << 16 | parts[2] << 8 | parts[3]

    def down_s(self, destination: int) -> float | None:
        """Return for how many seconds the destination has been down, or None if it is up."""
        return self.outages.down_for_s(destination, time.monotonic() - self._epoch_s)

    def record_delivery(self, message: str) -> None:
        """Record that a message was delivered now."""
        self.counts["delivered"] += 1
        if message.startswith(TRACKED_PREFIX):
            self.tracked.setdefault(message, []).append(time.monotonic() - self._epoch_s)


class _PartnerConnection(Server):
    """A connection from a courier to one destination."""

    def __init__(self, partners: StandinPartners) -> None:
        super().__init__()
        self._partners = partners
        self._destination = -1

    def on_connect(self) -> None:
        """Find the destination by the local address; abort connections from outside the loopback network."""
        assert self.transport is not None
        peer, own = self.transport.get_extra_info("peername"), self.transport.get_extra_info("sockname")
        if not peer or not peer[0].startswith("127."):
            self._partners.counts["strangers"] += 1
            self.abort()
            return
        self._partners.counts["handshakes"] += 1
        self._destination = self._partners.destination(own[0])

    def on_request(self, request: Request) -> None:
        """Answer 200 to probes at once and to calls after a random delay; nothing while the destination is down."""
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
            partners.counts["down_long"] += down_s >= LONG_OUTAGE_S
            return
        partners.record_delivery(request.headers.get("x-request-id", ""))
        asyncio.get_running_loop().call_later(partners.rng.uniform(*_ANSWER_DELAY_RANGE_S), self.answer, 200)


def open_listener() -> socket.socket:
    """Return a socket that accepts connections on every address of the loopback device and on no other device."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):  # if this is not permitted, `on_connect` rejects other peers
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, _LOOPBACK_DEVICE)
    listener.bind(("0.0.0.0", 0))
    listener.setblocking(False)
    return listener


async def _serve(plan: Plan) -> None:
    partners, listener = StandinPartners(plan), open_listener()
    server = await asyncio.get_running_loop().create_server(lambda: _PartnerConnection(partners), sock=listener,
                                                            backlog=1024)
    print(json.dumps({"port": listener.getsockname()[1]}), flush=True)
    async for line in read_stdin_lines():
        answer: Any = partners.tracked if line == "tracked" else {**partners.counts, "cpu_s": time.process_time()}
        print(json.dumps(answer), flush=True)
    server.close()


def main() -> int:
    """Serve until stdin ends."""
    kill_with_parent()
    asyncio.run(_serve(decode_plan(Path(sys.argv[1]).read_bytes())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
