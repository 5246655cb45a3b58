"""All of the clients' connections together: bounded in number and time."""

from __future__ import annotations

import logging
import time
from typing import Protocol

from wheelstep.courier.client_connection import ClientConnection, Phase
from wheelstep.courier.request import Request

ACCEPT = 16  # connections taken on in one turn of the loop; the count may pass its limit by so many
_ASK_S = 2.5  # for a request to come whole, from connecting or, on a kept connection, from its first byte
_IDLE_S = 20.0  # an idle connection is kept so long while there is room
_SPARE_S = 2.0  # and is the first to go after this when there is none
_HELD_S = 65.0

log = logging.getLogger(__name__)


class Server(Protocol):
    """Who answers requests."""

    closing: bool
    bad: int

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer one, or let its connection wait."""


_MOST_S = {Phase.IDLE: _IDLE_S, Phase.HELD: _HELD_S}


class ClientConnections:
    """All connections of clients. Guards descriptors and memory against crowds, silent or slow clients, and
    ones that keep what they don't use; when there is no room, the good ones are let in first."""

    def __init__(self, server: Server, limit: int, keep: bool) -> None:
        self._server, self._limit, self.keep = server, max(ACCEPT, limit - ACCEPT), keep
        self._phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self._turned_away = 0
        self.paused = False

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer it, or let its connection wait."""
        self._server.serve(request, connection)

    def refused(self) -> None:
        """What came can't be used."""
        self._server.bad += 1

    def keeps(self) -> bool:
        """May a connection go on after an answer?"""
        return not self._server.closing and not self.crowded()

    def crowded(self) -> bool:
        """Is room short? Then an answer had better end its connection."""
        return sum(map(len, self._phases.values())) * 4 > self._limit * 3

    def opened(self, connection: ClientConnection) -> None:
        connection.since = time.monotonic()
        if self.paused:  # accepted in the turn in which the pause began
            connection.flow()
        if sum(map(len, self._phases.values())) >= self._limit and not self._make_room():
            self._turned_away += 1
            connection.close()
            return
        self._phases[Phase.SILENT][connection] = None

    def _make_room(self) -> bool:
        """Close one: idle for a while, or silent or slow for longest. Each phase is in order of time."""
        idle = next(iter(self._phases[Phase.IDLE]), None)
        if idle is not None and time.monotonic() - idle.since >= _SPARE_S:
            return self._close(idle)
        owing = next(iter([*self._phases[Phase.SILENT], *self._phases[Phase.ASKING]]), None)
        return owing is not None and self._close(owing)

    def _close(self, connection: ClientConnection) -> bool:
        self.closed(connection)
        connection.close()
        return True

    def turn(self, connection: ClientConnection, phase: Phase) -> None:
        """Into another phase. The first request must come whole in time from connecting."""
        if connection not in self._phases[connection.phase]:
            return
        del self._phases[connection.phase][connection]
        if connection.phase is not Phase.SILENT:
            connection.since = time.monotonic()
        connection.phase = phase
        self._phases[phase][connection] = None

    def closed(self, connection: ClientConnection) -> None:
        self._phases[connection.phase].pop(connection, None)

    def sweep(self) -> None:
        """Close what has owed a request, or been idle, for too long."""
        now = time.monotonic()
        for phase, connections in self._phases.items():
            most_s = _MOST_S.get(phase, _ASK_S)
            for connection in [connection for connection in connections if now - connection.since >= most_s]:
                self._close(connection)
        if self._turned_away:
            log.info("turned away %d connections", self._turned_away)
            self._turned_away = 0

    def all(self) -> list[ClientConnection]:
        """Every connection."""
        return [connection for connections in self._phases.values() for connection in connections]

    def close(self) -> None:
        """End those that wait for nothing."""
        for phase in (Phase.SILENT, Phase.IDLE):
            for connection in list(self._phases[phase]):
                self._close(connection)
