"""Forwards messages between the workers of one courier (`wheelstep.forwarding`), over Unix sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheelstep.courier.admission import Admission
from wheelstep.forwarding.client import ForwardClient
from wheelstep.forwarding.link import Heard, Link, Lost
from wheelstep.forwarding.server import ForwardServer, Turned
from wheelstep.journal import StoredMessage
from wheelstep.workers.frames import FrameConnection

_DIAL_S = 0.2


def forward_client(path: str) -> ForwardClient:
    """Return the client that forwards to the worker that listens at the Unix socket `path`."""
    async def dial(heard: Heard, lost: Lost) -> Link | None:
        frames = FrameConnection(heard, lost)
        try:
            async with asyncio.timeout(_DIAL_S):
                await asyncio.get_running_loop().create_unix_connection(lambda: frames, path)
        except (OSError, TimeoutError):
            return None
        return frames
    return ForwardClient(dial, what="the worker that owns it")


class OwnerSide:
    """One connection from another worker. `find` returns what admits the messages of a destination, None if its share
    is not open here."""

    def __init__(self, find: Callable[[int], Admission | None]) -> None:
        def desk(message: StoredMessage) -> Admission | Turned:
            return find(message.destination) or Turned("full", "its share is not open here just now")
        server = ForwardServer(desk)
        self.frames = FrameConnection(server.heard, server.lost)
        server.attach(self.frames)
