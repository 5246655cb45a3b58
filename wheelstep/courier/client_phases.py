"""Phases of a client connection, and the interface by which a connection reports to its manager. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from wheelstep.courier.request import Request
from wheelstep.courier.serving_queue import ServingQueue

if TYPE_CHECKING:
    from wheelstep.courier.client_connection import ClientConnection


class Phase(Enum):
    """Phase of a client connection. The values appear in log lines."""

    SILENT = "silent"  # connected, nothing received yet
    ASKING = "asking"  # a request has begun and is not answered yet
    IDLE = "idle"  # the last request was answered, and no byte of another has come
    HELD = "held"  # the answer is delayed until its work is done, up to a minute (long polling)
    ENDING = "ending"  # requests that have arrived are still answered, later input is discarded


class ConnectionManager(Protocol):
    """What a connection needs from the manager of all connections, see `ClientConnections`."""

    transferable: bool  # connections can be passed on to another process
    paused: bool  # nothing is read
    serving: ServingQueue  # connections whose requests wait for their turn

    def add(self, connection: ClientConnection) -> None:
        """Register a connection that has just been opened."""
        ...

    def set_phase(self, connection: ClientConnection, phase: Phase) -> None:
        """Move a connection to another phase."""
        ...

    def start_close_timeout(self, connection: ClientConnection) -> None:
        """Start the time limit of a connection that is about to close."""
        ...

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        ...

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer a request, or make its connection wait."""
        ...

    def charge(self, connection: ClientConnection) -> None:
        """Charge what the connection keeps to the memory of clients, which may end it or others."""
        ...

    def count_malformed(self) -> None:
        """Count input that is no valid request."""
        ...

    def report_unanswered(self, connection: ClientConnection) -> None:
        """Report a connection that is closed before a complete request was answered."""
        ...

    def may_keep_alive(self) -> bool:
        """Return whether a connection may stay open after an answer."""
        ...
