"""Forwards messages between the workers of one courier (`wheelstep.forwarding`), over Unix sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheelstep.courier.admission import Admission
from wheelstep.forwarding.client import ForwardClient
from wheelstep.forwarding.link import Link, OnEnd, OnFrame
from wheelstep.forwarding.server import ForwardServer, Refusal
from wheelstep.journal import StoredMessage
from wheelstep.workers.frames import FrameConnection

_DIAL_TIMEOUT_S = 0.2


def forward_client(path: str) -> ForwardClient:
    """Return the client that forwards to the worker that listens at the Unix socket `path`."""
    async def dial(on_frame: OnFrame, on_end: OnEnd) -> Link | None:
        connection = FrameConnection(on_frame, on_end)
        try:
            async with asyncio.timeout(_DIAL_TIMEOUT_S):
                await asyncio.get_running_loop().create_unix_connection(lambda: connection, path)
        except (OSError, TimeoutError):
            return None
        return connection
    return ForwardClient(dial, peer_name="the worker that owns it")


class OwnerSide:
    """One connection from another worker. `find` returns what admits the messages of a destination, None if its share
    is not open here."""

    def __init__(self, find: Callable[[int], Admission | None]) -> None:
        def find_admission(message: StoredMessage) -> Admission | Refusal:
            return find(message.destination) or Refusal("full", "its share is not open here just now")
        server = ForwardServer(find_admission)
        self.connection = FrameConnection(server.on_frame, server.on_end)
        server.attach(self.connection)
