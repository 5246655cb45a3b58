"""Takes clients' connections from the kernel's queue, some in each turn of the loop.

An `asyncio.Server` can't end without loss: a connection that it has accepted in the turn in which it is closed fails an
assertion of its own, and its client is reset. What ends here is told apart: taking on, what was taken on, the socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import Any

ACCEPT = 16  # connections taken on in one turn of the loop; their count may pass its limit by so many
_RETRY_S = 0.1  # without descriptors the kernel goes on saying that one waits; its client waits 400 ms (PROTOCOL)

log = logging.getLogger(__name__)


class ClientListener:
    """A listening socket; `made` gives the protocol of a new connection."""

    def __init__(self, listening: socket.socket, made: Callable[[], asyncio.Protocol]) -> None:
        self.socket, self._made = listening, made
        self._opening: set[asyncio.Task[Any]] = set()  # accepted, and without a transport yet
        self._retry: asyncio.TimerHandle | None = None
        listening.setblocking(False)

    def resume(self) -> None:
        """Take connections on."""
        self._retry = None
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.accept)

    def pause(self) -> None:
        """Leave them in the kernel's queue."""
        if self._retry is not None:
            self._retry.cancel()
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())

    def accept(self) -> bool:
        """Take some on. False if nobody waits any more."""
        if self.socket.fileno() < 0:
            return False
        for _ in range(ACCEPT):
            try:
                client, _ = self.socket.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                return False
            except OSError as error:
                log.error("no connection can be accepted: %s", error)
                self.pause()
                self._retry = asyncio.get_running_loop().call_later(_RETRY_S, self.resume)
                return False
            task = asyncio.get_running_loop().create_task(self._open(client))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        return True

    async def _open(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):  # it has gone meanwhile
            await asyncio.get_running_loop().connect_accepted_socket(self._made, client)

    @property
    def opening(self) -> bool:
        """Was one accepted that is not served yet?"""
        return bool(self._opening)

    def close(self) -> None:
        """For good. What waits in the kernel's queue is reset."""
        self.pause()
        self.socket.close()
