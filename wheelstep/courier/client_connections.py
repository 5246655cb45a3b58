"""All of the clients' connections together: bounded in number and time."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_listener import ACCEPT
from wheelstep.courier.client_phases import Phase
from wheelstep.courier.request import Request

_ASK_S = 2.5  # for a request to come whole, from connecting or, on a kept connection, from its first byte
_IDLE_S = 20.0  # an idle connection is kept so long while there is room
_SPARE_S = 2.0  # and is the first to go after this when there is none
_HELD_S = 65.0
# A client waits so long for its answer and then closes the connection (PROTOCOL, clients to couriers): whoever has not
# read it by then won't.
LINGER_S = 0.4

log = logging.getLogger(__name__)


class Server(Protocol):
    """Who answers requests."""

    closing: bool
    bad: int
    unanswered: Callable[[str], None]  # told why, where a request that was read is closed without its answer

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer one, or let its connection wait."""


_MOST_S = {Phase.IDLE: _IDLE_S, Phase.HELD: _HELD_S, Phase.ENDING: LINGER_S}


class ClientConnections:
    """All connections of clients. Guards descriptors and memory against crowds, silent or slow clients, and
    ones that keep what they don't use; when there is no room, the good ones are let in first."""

    def __init__(self, server: Server, limit: int, keep: bool) -> None:
        """A fifth of the limit is for those that end, so that an answer on its way is not cut for newcomers; all of it
        when the courier ends."""
        self._server, self._all, self.keep = server, limit, keep
        self._most_ending = limit // 5
        self._limit = max(ACCEPT, limit - self._most_ending - ACCEPT)
        self._phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self._turned_away = self._cut = 0
        self._ended_for: Counter[str] = Counter()  # since the last report: why connections were ended
        self.paused = False

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer it, or let its connection wait."""
        self._server.serve(request, connection)

    def refused(self) -> None:
        """What came can't be used."""
        self._server.bad += 1

    def unanswered(self, connection: ClientConnection) -> None:
        """It is closed though a request that was read whole has no answer."""
        self._server.unanswered(f"its connection was closed in phase {connection.phase.value}")

    def keeps(self) -> bool:
        """May a connection go on after an answer?"""
        return not self._server.closing and not self.crowded()

    def crowded(self) -> bool:
        """Is room short? Then an answer had better end its connection."""
        return self._open() * 4 > self._limit * 3

    def _open(self) -> int:
        return sum(map(len, self._phases.values())) - len(self._phases[Phase.ENDING])

    def opened(self, connection: ClientConnection) -> None:
        connection.since = time.monotonic()
        if self.paused:  # accepted in the turn in which the pause began
            connection.flow()
        room = self._open() < self._limit or self._make_room()
        self._phases[Phase.SILENT][connection] = None
        if not room:
            self._turned_away += 1
            self._end(connection, "no room")

    def _make_room(self) -> bool:
        """End one: idle for a while, or silent or slow for longest. Each phase is in order of time."""
        idle = next(iter(self._phases[Phase.IDLE]), None)
        if idle is not None and time.monotonic() - idle.since >= _SPARE_S:
            return self._end(idle, "idle, room for another")
        owing = (connection for phase in (Phase.SILENT, Phase.ASKING) for connection in self._phases[phase])
        first = next((connection for connection in owing if not connection.busy), None)
        return first is not None and self._end(first, "owes a request, room for another")

    def _end(self, connection: ClientConnection, reason: str) -> bool:
        self._ended_for[reason] += 1
        self.lingers(connection)
        connection.end()
        return True

    def lingers(self, connection: ClientConnection) -> None:
        """It ends, and has so long from now. Beyond the bound the one that has had longest is cut."""
        self.closed(connection)
        connection.phase, connection.since = Phase.ENDING, time.monotonic()
        ending = self._phases[Phase.ENDING]
        ending[connection] = None
        if len(ending) > (self._all if self._server.closing else self._most_ending):
            first = next(iter(ending))
            if first is not connection and first.gone:  # else it is still to be read out, or owed an answer
                self._cut_one(first)

    def _cut_one(self, connection: ClientConnection) -> None:
        self._cut += connection.unheard
        self.closed(connection)
        connection.close()

    def turn(self, connection: ClientConnection, phase: Phase) -> None:
        """Into another phase. The first request must come whole in time from connecting."""
        if connection not in self._phases[connection.phase] or connection.phase is Phase.ENDING:
            return
        del self._phases[connection.phase][connection]
        if connection.phase is not Phase.SILENT:
            connection.since = time.monotonic()
        connection.phase = phase
        self._phases[phase][connection] = None

    def closed(self, connection: ClientConnection) -> None:
        self._phases[connection.phase].pop(connection, None)

    def sweep(self) -> None:
        """End what has owed a request, been idle or waited for too long, and close what has had its time to end."""
        if self.paused:
            return
        now = time.monotonic()
        for phase, connections in self._phases.items():
            most_s = _MOST_S.get(phase, _ASK_S)
            for connection in [connection for connection in connections if now - connection.since >= most_s]:
                if connection.busy:
                    connection.hurry()
                elif phase is Phase.ENDING:
                    self._cut_one(connection)
                else:
                    self._end(connection, f"{phase.value} for {most_s:g} s")
        self.report()

    def report(self) -> None:
        """One line for each kind of what was ended early, and one for why connections were ended."""
        if self._ended_for:
            reasons = ", ".join(f"{count} {reason}" for reason, count in self._ended_for.items())
            log.info("ended clients' connections: %s", reasons)
            self._ended_for.clear()
        if self._cut:
            log.info("cut %d connections before their clients had taken their answers", self._cut)
            self._cut = 0
        if self._turned_away:
            log.info("turned away %d connections", self._turned_away)
            self._turned_away = 0

    def all(self) -> list[ClientConnection]:
        """Every connection."""
        return [connection for connections in self._phases.values() for connection in connections]

    def end(self, silent: bool) -> None:
        """The courier ends: those that rest, also the `silent` ones. What may take a minute is answered now."""
        for connection in [*self._phases[Phase.IDLE], *(self._phases[Phase.SILENT] if silent else ())]:
            self._end(connection, "shutdown")
        for connection in list(self._phases[Phase.HELD]):
            connection.hurry()

    def hurry(self) -> None:
        """What still waits for something is answered by what is known."""
        for connection in self.all():
            connection.hurry()

    def cut(self) -> None:
        """Close all at once."""
        for connection in self.all():
            self._cut_one(connection)
        self.report()
