"""Accepts client connections from the kernel's queue, a limited number in each turn of the event loop.

`asyncio.Server` can't be closed without losing connections: one that it has accepted in the turn in which it is closed
fails an assertion of asyncio, and its client gets a reset. Here accepting, opening what was accepted, and the socket
end separately.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from wheelstep.courier import reliable_socket
from wheelstep.courier.arrival import arrivals

MAX_ACCEPTS_PER_TURN = 16  # in one turn of the loop; the number of connections may exceed its limit by as many
# Without free descriptors the kernel keeps reporting that a connection waits; its client waits 400 ms (PROTOCOL).
_RETRY_S = 0.02

log = logging.getLogger(__name__)


class Queue(Enum):
    """What is known of the connections that wait in the kernel's queue."""

    EMPTY = "empty"
    UNKNOWN = "unknown"  # perhaps there are more, or accepting failed


class ClientListener:
    """A listening socket; `protocol_factory` creates the protocol of a new connection, given since when its bytes may
    have been waiting (monotonic seconds)."""

    def __init__(self, listening: socket.socket, protocol_factory: Callable[[float], asyncio.Protocol],
                 queued_since_s: float = math.inf, max_accepts: int = MAX_ACCEPTS_PER_TURN) -> None:
        """`queued_since_s`: since when connections may have been waiting, where another process had the socket;
        `max_accepts`: connections that are accepted in one turn of the loop."""
        self.socket, self._protocol_factory, self._queued_since_s = listening, protocol_factory, queued_since_s
        self._max_accepts = max_accepts
        self._opening: set[asyncio.Task[Any]] = set()  # accepted, and without a transport yet
        self._retry: asyncio.TimerHandle | None = None
        listening.setblocking(False)

    def port(self) -> int:
        """Return the port, 0 where the system can't tell (ENOBUFS, see getsockname(2))."""
        try:
            return int(self.socket.getsockname()[1])
        except OSError:
            return 0

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

    def accept(self) -> Queue:
        """Accept up to `max_accepts` connections, and return what is known of the queue then."""
        if self.socket.fileno() < 0:
            return Queue.EMPTY
        self._queued_since_s = arrivals.earliest_s(time.monotonic(), self._queued_since_s)
        for _ in range(self._max_accepts):
            try:
                client = reliable_socket.accept(self.socket)
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                self._queued_since_s = math.inf
                return Queue.EMPTY
            except OSError as error:
                log.error("can't accept a connection, trying again soon: %s", error)
                self.pause()
                self._retry = asyncio.get_running_loop().call_later(_RETRY_S, self.resume)
                return Queue.UNKNOWN
            task = asyncio.get_running_loop().create_task(self._open(client, self._queued_since_s))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        return Queue.UNKNOWN

    async def _open(self, client: socket.socket, queued_since_s: float) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self._protocol_factory(queued_since_s), client)
        except OSError as error:  # the client has disconnected meanwhile
            log.info("an accepted connection could not be opened: %s", error)
            client.close()

    @property
    def opening(self) -> bool:
        """Whether an accepted connection has no transport yet."""
        return bool(self._opening)

    def close(self) -> None:
        """Close the socket for good. Connections in the kernel's queue are reset."""
        self.pause()
        self.socket.close()
