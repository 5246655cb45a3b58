"""An asker and an owner for tests, connected in memory or by a sealed stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from shard_streams import Node

from wheelstep.forwarding.client import ForwardClient, RemoteAdmission
from wheelstep.forwarding.link import Link, OnEnd, OnFrame
from wheelstep.forwarding.server import ForwardServer, Refusal
from wheelstep.journal import StoredMessage
from wheelstep.shards.forward_link import ForwardLink
from wheelstep.shards.net import Sockets
from wheelstep.shards.streams import StreamLink
from wheelstep.shards.types import Forwarded, Frame


def message(name: str, destination: int = 7) -> StoredMessage:
    """Return a message with a body and all optional fields."""
    return StoredMessage(name, "once", destination, 10**13, "key", "token", True, b"body of " + name.encode())


class OwnerAdmission:
    """The admission of the owner. With `syncs`, a message waits in `durable` until the test ends its future."""

    ready = True

    def __init__(self) -> None:
        self.syncs = self.is_full = False
        self.taken: dict[str, StoredMessage] = {}
        self.begun: list[str] = []
        self.withdrawn: list[str] = []
        self.recorded: list[tuple[str, int]] = []
        self.waits: list[asyncio.Future[None]] = []
        self.changed = asyncio.Event()

    def full(self) -> bool:
        """Return `is_full`, which a test sets."""
        return self.is_full

    def serves(self, destination: int) -> bool:
        """Return whether it is destination 7."""
        return destination == 7

    def holds(self, name: str) -> bool:
        """Return whether the message was taken."""
        return name in self.taken

    def is_unconfirmed(self, name: str) -> bool:
        """Return whether the message was taken and not begun."""
        return name in self.taken and name not in self.begun

    def take(self, one: StoredMessage) -> None:
        """Take a message."""
        self.taken[one.id] = one
        self.changed.set()

    def durable(self) -> asyncio.Future[None]:
        """Return a future that the test ends."""
        self.waits.append(asyncio.get_running_loop().create_future())
        self.changed.set()
        return self.waits[-1]

    def begin(self, name: str) -> None:
        """Note that the message began."""
        self.begun.append(name)
        self.changed.set()

    def withdraw(self, name: str) -> None:
        """Forget the message and note that."""
        del self.taken[name]
        self.withdrawn.append(name)
        self.changed.set()

    def record_answer(self, one: StoredMessage, status: int) -> None:
        """Note the status."""
        self.recorded.append((one.id, status))

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until `holds` returns True, at most 20 s."""
        async with asyncio.timeout(20):
            while not holds():
                self.changed.clear()
                await self.changed.wait()


class MemoryLink:
    """One end of a connection in memory. With `hold`, it keeps its frames until `release`."""

    def __init__(self) -> None:
        self.open, self.held, self.hold = True, list[Any](), False
        self.other: MemoryLink
        self.on_frame: OnFrame
        self.on_end: OnEnd

    def send(self, head: dict[str, Any], body: bytes = b"") -> bool:
        """Send a frame, or keep it with `hold`."""
        if self.open:
            self.held.append((head, body))
            if not self.hold:
                self.release()
        return self.open

    def release(self) -> None:
        """Deliver the frames that were kept."""
        held, self.held = self.held, []
        for one in held:
            asyncio.get_running_loop().call_soon(self.other.on_frame, *one)

    def close(self) -> None:
        """End the connection for both sides."""
        for end in (self, self.other):
            if end.open:
                end.open = False
                asyncio.get_running_loop().call_soon(end.on_end)


class ForwardingPair:
    """An asker and an owner; `kind` is "memory" or "streams"."""

    def __init__(self, kind: str, **settings: Any) -> None:
        self.kind, self.owner = kind, OwnerAdmission()
        self.refusal: Refusal | None = None
        self.servers: list[ForwardServer] = []
        self.links: list[Link] = []  # the owner's ends of the connections
        self.reachable, self.dials = True, 0
        self.client = ForwardClient(self._dial, peer_name="its owner", **{"wait_s": 10, **settings})

    async def __aenter__(self) -> ForwardingPair:
        if self.kind == "streams":
            self._asker_node, self._owner_node = Node("a", net=Sockets()), Node("b", net=Sockets())
            self._asker_node.streams._heard, self._asker_node.streams._lost = self._pass_frame, self._end
            self._owner_node.streams._heard, self._owner_node.streams._lost = self._pass_frame_to_owner, self._end
            self._address = await self._owner_node.net.listen("127.0.0.1:0", self._owner_node.streams.accept,
                                                             lambda *_: None)
            self._ends: dict[StreamLink, tuple[OnFrame, OnEnd]] = {}
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        if self.kind == "streams":
            await self._asker_node.net.close()
            await self._owner_node.net.close()

    def _serve(self) -> ForwardServer:
        self.servers.append(ForwardServer(lambda one: self.refusal or self.owner))
        return self.servers[-1]

    async def _dial(self, on_frame: OnFrame, on_end: OnEnd) -> Link | None:
        self.dials += 1
        if not self.reachable:
            return None
        if self.kind == "streams":
            link = await self._asker_node.streams.dial("b", self._address, 10)
            assert link is not None
            self._ends[link] = on_frame, on_end
            return ForwardLink(link)
        asker_end, owner_end, server = MemoryLink(), MemoryLink(), self._serve()
        asker_end.other, owner_end.other, asker_end.on_frame, asker_end.on_end = owner_end, asker_end, on_frame, on_end
        owner_end.on_frame, owner_end.on_end = server.on_frame, server.on_end
        server.attach(owner_end)
        self.links.append(owner_end)
        return asker_end

    def _pass_frame(self, link: StreamLink, frame: Frame) -> None:
        assert isinstance(frame, Forwarded)
        self._ends[link][0](frame.head, frame.body)

    def _pass_frame_to_owner(self, link: StreamLink, frame: Frame) -> None:
        if link not in self._ends:
            server = self._serve()
            self.links.append(ForwardLink(link))
            server.attach(self.links[-1])
            self._ends[link] = server.on_frame, server.on_end
        self._pass_frame(link, frame)

    def _end(self, link: StreamLink) -> None:
        self._ends.pop(link)[1]()

    def time_out_all(self) -> None:
        """Time out all open asks, as if `wait_s` had passed."""
        for number, (remote, answer, _) in list(self.client._asked.items()):
            self.client._asked[number] = remote, answer, 0.0
        assert self.client._expiry_timer is not None
        self.client._expiry_timer.cancel()
        self.client._expire()

    def ask(self, one: StoredMessage) -> tuple[RemoteAdmission, asyncio.Future[None]]:
        """Ask the owner to take a message; return the asking side of the ask and the future of the answer."""
        remote = RemoteAdmission(self.client)
        remote.take(one)
        return remote, remote.durable()
