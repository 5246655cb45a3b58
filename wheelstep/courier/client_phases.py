"""The phases of a client's connection, and what it asks of all of them together. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from wheelstep.courier.request import Request

if TYPE_CHECKING:
    from wheelstep.courier.client_connection import ClientConnection


class Phase(Enum):
    SILENT = "silent"  # connected, and nothing came yet
    ASKING = "asking"  # a request has begun
    IDLE = "idle"  # the last request was answered
    HELD = "held"  # its request waits for something that may take a minute
    ENDING = "ending"  # what has come by now is answered, what comes later is thrown away


class Connections(Protocol):
    """What a connection asks of all of them together: see `ClientConnections`."""

    keep: bool
    paused: bool

    def opened(self, connection: ClientConnection) -> None: ...

    def turn(self, connection: ClientConnection, phase: Phase) -> None: ...

    def lingers(self, connection: ClientConnection) -> None: ...

    def closed(self, connection: ClientConnection) -> None: ...

    def serve(self, request: Request, connection: ClientConnection) -> None: ...

    def refused(self) -> None: ...

    def unanswered(self, connection: ClientConnection) -> None: ...

    def keeps(self) -> bool: ...
