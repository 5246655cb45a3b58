"""A node's links to other couriers and to control machines, found by peer and dialled when needed. Decides nothing
itself."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from wheelstep.forwarding.link import Link, OnEnd, OnFrame
from wheelstep.forwarding.server import ForwardServer
from wheelstep.shards.forward_link import ForwardLink
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import Forwarded, Frame

MAX_WAITING_FRAMES = 64  # maximum number of frames that wait for a link to one courier


class Links:
    """`address_of` returns a peer's address ("" if unknown); `heard` receives every frame except those of forwarding;
    `server` makes the forwarding server for a link that a peer has opened."""

    def __init__(self, address_of: Callable[[str], str], server: Callable[[], ForwardServer],
                 heard: Callable[[StreamLink, Frame], None], lost: Callable[[StreamLink], None], dial_s: float) -> None:
        self._address_of, self._server, self._heard, self._link_lost, self._dial_s = (
            address_of, server, heard, lost, dial_s)
        self.streams: Streams
        self._by_peer: dict[str, list[StreamLink]] = {}
        self._forward_clients: dict[StreamLink, tuple[OnFrame, OnEnd]] = {}  # links for passing messages on
        self._forward_servers: dict[StreamLink, ForwardServer] = {}
        self._waiting: dict[str, deque[Frame]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # --- incoming ---

    def heard(self, link: StreamLink, frame: Frame) -> None:
        """Handles a frame from `Streams`."""
        self._add(link)
        if not isinstance(frame, Forwarded):
            self._heard(link, frame)
        elif (client := self._forward_clients.get(link)) is not None:
            client[0](frame.head, frame.body)
        else:
            if (server := self._forward_servers.get(link)) is None:
                server = self._forward_servers[link] = self._server()
                server.attach(ForwardLink(link))
            server.on_frame(frame.head, frame.body)

    def lost(self, link: StreamLink) -> None:
        """Handles the end of a link, as reported by `Streams`."""
        links = self._by_peer.get(link.peer, [])
        if link in links:
            links.remove(link)
            if not links:
                del self._by_peer[link.peer]
        if (client := self._forward_clients.pop(link, None)) is not None:
            client[1]()
        if (server := self._forward_servers.pop(link, None)) is not None:
            server.on_end()
        self._link_lost(link)

    def _add(self, link: StreamLink) -> None:
        links = self._by_peer.setdefault(link.peer, [])
        if link not in links:
            links.append(link)

    # --- outgoing ---

    async def dial(self, name: str, address: str, within_s: float) -> StreamLink | None:
        """Opens a separate link to the peer; None if that fails within `within_s` seconds."""
        link = await self.streams.dial(name, address, within_s) if address else None
        if link is not None:
            self._add(link)
        return link

    async def forward(self, courier: str, on_frame: OnFrame, on_end: OnEnd) -> Link | None:
        """Opens a link for passing messages on (`forwarding.link.Dial`); None if that fails."""
        link = await self.dial(courier, self._address_of(courier), self._dial_s)
        if link is None or not link.open:
            return None
        self._forward_clients[link] = on_frame, on_end
        return ForwardLink(link)

    def peers(self) -> list[str]:
        """The peers with an open link."""
        return sorted(self._by_peer)

    def send(self, courier: str, frame: Frame) -> None:
        """Sends the frame on any open link to the courier, or on a new one; drops it if that is impossible."""
        for link in self._by_peer.get(courier, ()):
            if link.open and link.send(frame):
                return
        waiting = self._waiting.get(courier)
        if waiting is None:
            self._waiting[courier] = deque([frame], MAX_WAITING_FRAMES)
            self.spawn(self._deliver(courier))
        elif len(waiting) < MAX_WAITING_FRAMES:
            waiting.append(frame)

    async def _deliver(self, courier: str) -> None:
        try:
            link = await self.dial(courier, self._address_of(courier), self._dial_s)
        finally:
            waiting = self._waiting.pop(courier)
        if link is not None:
            for frame in waiting:
                link.send(frame)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs the coroutine as a task until it ends or `close` is called."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends all links and tasks at once."""
        for task in list(self._tasks):
            task.cancel()
        self.streams.close()
