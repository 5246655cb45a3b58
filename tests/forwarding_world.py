"""An asker, a home, and what is between them: a connection in memory, or a sealed stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from shard_streams import Node

from wheelstep.forwarding.client import ForwardClient, RemoteDesk
from wheelstep.forwarding.link import Heard, Link, Lost
from wheelstep.forwarding.server import ForwardServer, Turned
from wheelstep.journal import StoredMessage
from wheelstep.shards.forward_link import ForwardLink
from wheelstep.shards.net import Sockets
from wheelstep.shards.streams import StreamLink
from wheelstep.shards.types import Forwarded, Frame


def message(name: str, destination: int = 7) -> StoredMessage:
    return StoredMessage(name, "once", destination, 10**13, "key", "token", True, b"body of " + name.encode())


class Home:
    """A desk whose `durable` waits until the test ends it."""

    ready = True

    def __init__(self) -> None:
        self.syncs = self.is_full = False
        self.taken: dict[str, StoredMessage] = {}
        self.begun: list[str] = []
        self.withdrawn: list[str] = []
        self.noted: list[tuple[str, int]] = []
        self.waits: list[asyncio.Future[None]] = []
        self.news = asyncio.Event()

    def full(self) -> bool:
        return self.is_full

    def serves(self, destination: int) -> bool:
        return destination == 7

    def holds(self, name: str) -> bool:
        return name in self.taken

    def is_unconfirmed(self, name: str) -> bool:
        return name in self.taken and name not in self.begun

    def take(self, one: StoredMessage) -> None:
        self.taken[one.id] = one
        self.news.set()

    def durable(self) -> asyncio.Future[None]:
        self.waits.append(asyncio.get_running_loop().create_future())
        self.news.set()
        return self.waits[-1]

    def begin(self, name: str) -> None:
        self.begun.append(name)
        self.news.set()

    def withdraw(self, name: str) -> None:
        del self.taken[name]
        self.withdrawn.append(name)
        self.news.set()

    def record_answer(self, one: StoredMessage, status: int) -> None:
        self.noted.append((one.id, status))

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not holds():
                self.news.clear()
                await self.news.wait()


class End:
    """One end of a connection in memory; what it sends can be held back."""

    def __init__(self) -> None:
        self.open, self.held, self.hold = True, list[Any](), False
        self.other: End
        self.heard: Heard
        self.lost: Lost

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        if self.open:
            self.held.append((head, body))
            if not self.hold:
                self.let_go()
        return self.open

    def let_go(self) -> None:
        held, self.held = self.held, []
        for one in held:
            asyncio.get_running_loop().call_soon(self.other.heard, *one)

    def close(self) -> None:
        for end in (self, self.other):
            if end.open:
                end.open = False
                asyncio.get_running_loop().call_soon(end.lost)


class World:
    """An asker and a home; `kind` tells what is between them."""

    def __init__(self, kind: str, **settings: Any) -> None:
        self.kind, self.home = kind, Home()
        self.turned: Turned | None = None
        self.servers: list[ForwardServer] = []
        self.links: list[Link] = []  # the home's ends
        self.reachable, self.dials = True, 0
        self.client = ForwardClient(self._dial, what="its home", **{"wait_s": 10, **settings})

    async def __aenter__(self) -> World:
        if self.kind == "streams":
            self._asker, self._home = Node("a", net=Sockets()), Node("b", net=Sockets())
            self._asker.streams._heard, self._asker.streams._lost = self._told, self._end
            self._home.streams._heard, self._home.streams._lost = self._asked, self._end
            self._address = await self._home.net.listen("127.0.0.1:0", self._home.streams.accept, lambda *_: None)
            self._ends: dict[StreamLink, tuple[Heard, Lost]] = {}
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        if self.kind == "streams":
            await self._asker.net.close()
            await self._home.net.close()

    def _serve(self) -> ForwardServer:
        self.servers.append(ForwardServer(lambda one: self.turned or self.home))
        return self.servers[-1]

    async def _dial(self, heard: Heard, lost: Lost) -> Link | None:
        self.dials += 1
        if not self.reachable:
            return None
        if self.kind == "streams":
            link = await self._asker.streams.dial("b", self._address, 10)
            assert link is not None
            self._ends[link] = heard, lost
            return ForwardLink(link)
        mine, far, server = End(), End(), self._serve()
        mine.other, far.other, mine.heard, mine.lost = far, mine, heard, lost
        far.heard, far.lost = server.heard, server.lost
        server.attach(far)
        self.links.append(far)
        return mine

    def _told(self, link: StreamLink, frame: Frame) -> None:
        assert isinstance(frame, Forwarded)
        self._ends[link][0](frame.head, frame.body)

    def _asked(self, link: StreamLink, frame: Frame) -> None:
        if link not in self._ends:
            server = self._serve()
            self.links.append(ForwardLink(link))
            server.attach(self.links[-1])
            self._ends[link] = server.heard, server.lost
        self._told(link, frame)

    def _end(self, link: StreamLink) -> None:
        self._ends.pop(link)[1]()

    def time_is_up(self) -> None:
        """For all that was asked: as if `wait_s` had passed."""
        for number, (desk, answer, _) in list(self.client._asked.items()):
            self.client._asked[number] = desk, answer, 0.0
        assert self.client._late is not None
        self.client._late.cancel()
        self.client._expire()

    def ask(self, one: StoredMessage) -> tuple[RemoteDesk, asyncio.Future[None]]:
        desk = RemoteDesk(self.client)
        desk.take(one)
        return desk, desk.durable()
