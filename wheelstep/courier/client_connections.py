"""All client connections of a courier together: their limits in number and time."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from wheelstep.courier.charged_connections import ChargedConnections
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_listener import MAX_ACCEPTS_PER_TURN
from wheelstep.courier.client_phases import Phase
from wheelstep.courier.memory_budget import MemoryBudget
from wheelstep.courier.request import Request
from wheelstep.courier.serving_queue import ServingQueue

# For a request to arrive completely: from connecting, or on a kept connection from its first byte.
_REQUEST_TIMEOUT_S = 2.5
_IDLE_TIMEOUT_S = 20.0  # of an idle connection while there is room
_EVICTABLE_AFTER_S = 2.0  # an idle connection is the first to be closed after this when there is no room
_HELD_TIMEOUT_S = 65.0
# A client waits this long for its answer and then closes the connection (PROTOCOL, clients to couriers): a client that
# has not read the answer by then won't.
LINGER_S = 0.4

log = logging.getLogger(__name__)


class Intake(Protocol):
    """What counts and reports requests that have no regular answer."""

    bad_requests: int

    @property
    def on_unanswered(self) -> Callable[[str], None]:
        """Called with the reason when a complete request is closed without an answer."""


class Server(Protocol):
    """What answers the requests."""

    closing: bool

    @property
    def intake(self) -> Intake:
        """What accepts messages."""

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer a request, or make its connection wait."""


_PHASE_TIMEOUT_S = {Phase.IDLE: _IDLE_TIMEOUT_S, Phase.HELD: _HELD_TIMEOUT_S, Phase.ENDING: LINGER_S}


class ClientConnections:
    """All connections of clients. Guards descriptors and memory against too many clients, against silent or slow ones,
    and against ones that keep unused connections. When there is no room, those make way for new connections."""

    def __init__(self, server: Server, limit: int, transferable: bool, memory: MemoryBudget) -> None:
        """A fifth of `limit` is reserved for connections that end, so that an answer on its way is not cut off for new
        clients; they may take all of it when the courier shuts down."""
        self._server, self._total_limit, self.transferable = server, limit, transferable
        self._ending_limit = limit // 5
        self._open_limit = max(MAX_ACCEPTS_PER_TURN, limit - self._ending_limit - MAX_ACCEPTS_PER_TURN)
        self._phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self._rejected = self._cut_off = 0
        self._end_reasons: Counter[str] = Counter()  # of connections ended since the last report
        self.serving, self._memory = ServingQueue(), memory
        self._charged: ChargedConnections[ClientConnection] = ChargedConnections(memory)
        self.paused = False

    def serve(self, request: Request, connection: ClientConnection) -> None:
        """Answer a request, or make its connection wait."""
        self._server.serve(request, connection)

    def count_malformed(self) -> None:
        """Count input that is no valid request."""
        self._server.intake.bad_requests += 1

    def report_unanswered(self, connection: ClientConnection) -> None:
        """Report a connection that is closed before a complete request was answered."""
        self._server.intake.on_unanswered(f"its connection was closed in phase {connection.phase.value}")

    def may_keep_alive(self) -> bool:
        """Return whether a connection may stay open after an answer."""
        return not self._server.closing and not self.near_limit()

    def near_limit(self) -> bool:
        """Return whether over three quarters of the limit are in use: answers should then close their connections."""
        return self._count_open() * 4 > self._open_limit * 3

    def _count_open(self) -> int:
        return sum(map(len, self._phases.values())) - len(self._phases[Phase.ENDING])

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection. Without room for it, it is ended after what it has sent already."""
        connection.phase_since = time.monotonic()
        if self.paused:  # accepted in the turn of the loop in which the pause began
            connection.update_reading()
        room = self._count_open() < self._open_limit and not self._memory.exceeded or self._make_room()
        self._phases[Phase.SILENT][connection] = None
        self.charge(connection)
        if not room:
            self._rejected += 1
            self._end(connection, "no room")

    def _make_room(self) -> bool:
        """End a connection that has been idle for a while, or else the oldest one without a complete request. Return
        whether there was one. Each phase is in order of time."""
        if (idle := self._evictable_idle()) is not None:
            return self._end(idle, "idle, replaced by a new one")
        oldest = self._oldest_incomplete()
        return oldest is not None and self._end(oldest, "no complete request, replaced by a new one")

    def _evictable_idle(self) -> ClientConnection | None:
        oldest = next(iter(self._phases[Phase.IDLE]), None)
        return oldest if oldest and time.monotonic() - oldest.phase_since >= _EVICTABLE_AFTER_S else None

    def _oldest_incomplete(self) -> ClientConnection | None:
        """Return the connection without a complete request that was opened first."""
        candidates = (next((connection for connection in self._phases[phase] if not connection.busy), None)
                      for phase in (Phase.SILENT, Phase.ASKING))
        return min((one for one in candidates if one is not None), key=lambda one: one.phase_since, default=None)

    def charge(self, connection: ClientConnection) -> None:
        """Charge what a connection keeps. Beyond the budget, the oldest large requests that are not complete are
        refused, then any that is not complete; connections that only linger are closed."""
        if connection in self._phases[connection.phase]:  # otherwise it is closed
            self._charged.update(connection)
        while self._memory.exceeded and self._free_memory():
            pass

    def _free_memory(self) -> bool:
        """Refuse one incomplete request, or end a connection without one. Return whether there was one: each call takes
        a connection one step nearer to its close."""
        lingering = (one for one in self._phases[Phase.ENDING] if one.write_closed)
        found = (self._charged.first_large() or self._oldest_incomplete() or self._evictable_idle()
                 or next(lingering, None))
        if found is None:
            return False
        if found.phase in (Phase.SILENT, Phase.IDLE):  # the kernel may have a complete request of it
            return self._end(found, "no memory for it")
        if found.write_closed:
            self._close_now(found)
            return True
        self._end_reasons["no memory for its request"] += 1
        found.refuse_incomplete()
        if found.phase is not Phase.ENDING:  # its client has closed the connection
            self._close_now(found)
        return True

    def _end(self, connection: ClientConnection, reason: str) -> bool:
        self._end_reasons[reason] += 1
        self.start_close_timeout(connection)
        connection.end()
        return True

    def start_close_timeout(self, connection: ClientConnection) -> None:
        """Start the time limit of a connection that ends. Beyond the limit in number, the oldest such one is closed."""
        self.remove(connection)
        connection.phase, connection.phase_since = Phase.ENDING, time.monotonic()
        ending = self._phases[Phase.ENDING]
        ending[connection] = None
        self._charged.update(connection)
        if len(ending) > (self._total_limit if self._server.closing else self._ending_limit):
            oldest = next(iter(ending))
            if oldest is not connection and oldest.write_closed:  # otherwise it still has requests to read or answer
                self._close_now(oldest)

    def _close_now(self, connection: ClientConnection) -> None:
        self._cut_off += connection.undelivered
        self.remove(connection)
        connection.close()

    def set_phase(self, connection: ClientConnection, phase: Phase) -> None:
        """Move a connection to another phase. The time limit of its first request counts from connecting."""
        if connection not in self._phases[connection.phase] or connection.phase is Phase.ENDING:
            return
        del self._phases[connection.phase][connection]
        if connection.phase is not Phase.SILENT:
            connection.phase_since = time.monotonic()
        connection.phase = phase
        self._phases[phase][connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._phases[connection.phase].pop(connection, None)
        self._charged.release(connection)

    def sweep(self) -> None:
        """Apply the time limits: end connections that exceed the one of their phase, and close those that linger."""
        if self.paused:
            return
        now = time.monotonic()
        for phase, connections in self._phases.items():
            timeout_s = _PHASE_TIMEOUT_S.get(phase, _REQUEST_TIMEOUT_S)
            for connection in [connection for connection in connections if now - connection.phase_since >= timeout_s]:
                if connection.busy:
                    connection.cancel_wait()
                elif phase is Phase.ENDING:
                    self._close_now(connection)
                else:
                    self._end(connection, f"{phase.value} for {timeout_s:g} s")
        self.report()

    def report(self) -> None:
        """Log the connections ended early since the last report: their reasons, and how many were cut or rejected."""
        if self._end_reasons:
            reasons = ", ".join(f"{count} {reason}" for reason, count in self._end_reasons.items())
            log.info("ended clients' connections: %s", reasons)
            self._end_reasons.clear()
        if self._cut_off:
            log.info("cut %d connections before their clients had received their answers", self._cut_off)
            self._cut_off = 0
        if self._rejected:
            log.info("rejected %d connections, no room", self._rejected)
            self._rejected = 0

    def all(self) -> list[ClientConnection]:
        """Return every connection."""
        return [connection for connections in self._phases.values() for connection in connections]

    def end_idle(self, silent: bool) -> None:
        """End idle connections when the courier shuts down, with `silent` also those that have sent nothing. Requests
        that may wait for a minute are answered now."""
        for connection in [*self._phases[Phase.IDLE], *(self._phases[Phase.SILENT] if silent else ())]:
            self._end(connection, "shutdown")
        for connection in list(self._phases[Phase.HELD]):
            connection.cancel_wait()

    def cancel_waits(self) -> None:
        """Make all requests that wait be answered with what is known now."""
        for connection in self.all():
            connection.cancel_wait()

    def close_all(self) -> None:
        """Close every connection at once."""
        for connection in self.all():
            self._close_now(connection)
        self.report()
