"""A node's links to other couriers and to control machines: found by peer, dialled when needed. No policy here."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from wheelstep.forwarding.link import Heard, Link, Lost
from wheelstep.forwarding.server import ForwardServer
from wheelstep.shards.forward_link import ForwardLink
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import Forwarded, Frame

MOST_WAIT = 64  # frames that wait for a link to one courier


class Links:
    """`address_of` gives a peer's address ("" if it is not known); `heard` gets every frame that is not of forwarding;
    `server` makes the asked side of forwarding for a link that another has opened."""

    def __init__(self, address_of: Callable[[str], str], server: Callable[[], ForwardServer],
                 heard: Callable[[StreamLink, Frame], None], lost: Callable[[StreamLink], None], dial_s: float) -> None:
        self._address_of, self._server, self._heard, self._gone, self._dial_s = address_of, server, heard, lost, dial_s
        self.streams: Streams
        self._by_peer: dict[str, list[StreamLink]] = {}
        self._asking: dict[StreamLink, tuple[Heard, Lost]] = {}  # links that this courier forwards on
        self._asked: dict[StreamLink, ForwardServer] = {}
        self._waiting: dict[str, deque[Frame]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # --- what comes ---

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """From `Streams`."""
        self._note(link)
        if not isinstance(frame, Forwarded):
            self._heard(link, frame)
        elif (asking := self._asking.get(link)) is not None:
            asking[0](frame.head, frame.body)
        else:
            if (server := self._asked.get(link)) is None:
                server = self._asked[link] = self._server()
                server.attach(ForwardLink(link))
            server.heard(frame.head, frame.body)

    def lost(self, link: StreamLink) -> None:
        """From `Streams`."""
        links = self._by_peer.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self._by_peer[link.peer]
        if (asking := self._asking.pop(link, None)) is not None:
            asking[1]()
        if (server := self._asked.pop(link, None)) is not None:
            server.lost()
        self._gone(link)

    def _note(self, link: StreamLink) -> None:
        links = self._by_peer.setdefault(link.peer, [])
        if link not in links:
            links.append(link)

    # --- what goes ---

    async def dial(self, name: str, address: str, within_s: float) -> StreamLink | None:
        """A link of its own to a peer."""
        link = await self.streams.dial(name, address, within_s) if address else None
        if link is not None:
            self._note(link)
        return link

    async def forward(self, courier: str, heard: Heard, lost: Lost) -> Link | None:
        """A link that messages are passed on by (`forwarding.link.Dial`)."""
        link = await self.dial(courier, self._address_of(courier), self._dial_s)
        if link is None or not link.open:
            return None
        self._asking[link] = heard, lost
        return ForwardLink(link)

    def peers(self) -> list[str]:
        """Those that a link is open to."""
        return sorted(self._by_peer)

    def send(self, courier: str, frame: Frame) -> None:
        """By any link that is open to it, or by a new one; what can't be sent is dropped."""
        for link in self._by_peer.get(courier, ()):
            if link.open and link.send(frame):
                return
        waiting = self._waiting.get(courier)
        if waiting is None:
            self._waiting[courier] = deque([frame], MOST_WAIT)
            self.keep(self._deliver(courier))
        elif len(waiting) < MOST_WAIT:
            waiting.append(frame)

    async def _deliver(self, courier: str) -> None:
        try:
            link = await self.dial(courier, self._address_of(courier), self._dial_s)
        finally:
            waiting = self._waiting.pop(courier)
        if link is not None:
            for frame in waiting:
                link.send(frame)

    def keep(self, work: Coroutine[Any, Any, None]) -> None:
        """Run it to its end, or to `close`."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """At once."""
        for task in list(self._tasks):
            task.cancel()
        self.streams.close()
