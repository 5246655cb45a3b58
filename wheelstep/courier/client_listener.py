"""Accepts client connections from the kernel's queue, a limited number in each turn of the event loop.

`asyncio.Server` can't be closed without losing connections: one that it has accepted in the turn in which it is closed
fails an assertion of asyncio, and its client gets a reset. Here accepting, opening what was accepted, and the socket
end separately.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import Any

MAX_ACCEPTS_PER_TURN = 16  # in one turn of the loop; the number of connections may exceed its limit by as many
# Without free descriptors the kernel keeps reporting that a connection waits; its client waits 400 ms (PROTOCOL).
_RETRY_S = 0.1

log = logging.getLogger(__name__)


class ClientListener:
    """A listening socket; `protocol_factory` creates the protocol of a new connection."""

    def __init__(self, listening: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self.socket, self._protocol_factory = listening, protocol_factory
        self._opening: set[asyncio.Task[Any]] = set()  # accepted, and without a transport yet
        self._retry: asyncio.TimerHandle | None = None
        listening.setblocking(False)

    def resume(self) -> None:
        """Accept connections."""
        self._retry = None
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.accept)

    def pause(self) -> None:
        """Accept nothing: connections stay in the kernel's queue."""
        if self._retry is not None:
            self._retry.cancel()
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())

    def accept(self) -> bool:
        """Accept up to `MAX_ACCEPTS_PER_TURN` connections. Return False if none is left, or none can be accepted."""
        if self.socket.fileno() < 0:
            return False
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                client, _ = self.socket.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                return False
            except OSError as error:
                log.error("can't accept a connection, trying again soon: %s", error)
                self.pause()
                self._retry = asyncio.get_running_loop().call_later(_RETRY_S, self.resume)
                return False
            task = asyncio.get_running_loop().create_task(self._open(client))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the client has disconnected meanwhile
            await asyncio.get_running_loop().connect_accepted_socket(self._protocol_factory, client)

    @property
    def opening(self) -> bool:
        """Whether an accepted connection has no transport yet."""
        return bool(self._opening)

    def close(self) -> None:
        """Close the socket for good. Connections in the kernel's queue are reset."""
        self.pause()
        self.socket.close()
