"""A courier's side of the list by shard, on real sockets."""

from __future__ import annotations

import asyncio
import random
import time

from loopback import LIMIT_S

from wheelstep.shards.list_client import Dial, Disconnect, ListAction, ListClient, RowsChanged, Send
from wheelstep.shards.net import Sockets
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import Frame, ListRow

KEY = "ab" * 32
SHARDS = 64


class Courier:
    """A courier's side on real sockets: acts of `ListClient` on `Streams`, with what came counted."""

    def __init__(self, addresses: dict[str, str]) -> None:
        self.addresses, self.net, self.frames = addresses, Sockets(), list[Frame]()
        self.client = ListClient("courier", list(addresses), SHARDS, random.Random(1), self.now_us())
        self.streams = Streams(self.net, [bytes.fromhex(KEY)], "fleet", "courier", time.time_ns(), self._heard,
                               self._lost, self.now_us)
        self.links: dict[str, StreamLink] = {}
        self.seen: dict[str, ListRow] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()

    @staticmethod
    def now_us() -> int:
        return time.monotonic_ns() // 1_000

    async def run(self) -> None:
        while True:
            self.act(self.client.tick(self.now_us()))
            await asyncio.sleep(max(0.001, min(0.05, (self.client.next_us() - self.now_us()) / 1e6)))

    def act(self, acts: list[ListAction]) -> None:
        for act in acts:
            match act:
                case Dial(control):
                    self.tasks.add(asyncio.create_task(self._dial(control)))
                case Disconnect(control) if control in self.links:
                    self.links.pop(control).close()
                case Send(control, frame) if control in self.links:
                    self.links[control].send(frame)
                case RowsChanged(_, rows, _):
                    for one in rows:
                        self.seen.pop(one.host, None)
                        if one.health != "DELETED":
                            self.seen[one.host] = one
        self.changed.set()

    async def _dial(self, control: str) -> None:
        link = await self.streams.dial(control, self.addresses[control], 2.0)
        if link is not None:
            self.links[control] = link
        self.act(self.client.dialled(self.now_us(), control, link is not None))

    def _heard(self, link: StreamLink, frame: Frame) -> None:
        self.frames.append(frame)
        self.act(self.client.heard(self.now_us(), link.peer, frame))

    def _lost(self, link: StreamLink) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.act(self.client.lost(self.now_us(), link.peer))

    async def until(self, *health: str | None) -> None:
        """Wait until the first hosts have these states and the rest is as it was."""
        async with asyncio.timeout(LIMIT_S):
            while [one.health if (one := self.seen.get(f"h{n}")) else None for n in range(len(health))] != list(health):
                self.changed.clear()
                await self.changed.wait()

    async def close(self) -> None:
        self.streams.close()
        await self.net.close()
