"""Clients' connections: each answers its requests in turn; all together are bounded in number and time."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from wheelstep.courier.request import Request, RequestReader, answer

ACCEPT = 16  # connections taken on in one turn of the loop; the count may pass its limit by so many
_ASK_S = 2.5  # for a request to come whole, from connecting or, on a kept connection, from its first byte
_MOST_RAW = 16 * 1024  # bytes of a request under way that can be passed on to another process
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


class Phase(Enum):
    SILENT = "silent"  # connected, and nothing came yet
    ASKING = "asking"  # a request has begun
    IDLE = "idle"  # the last request was answered
    HELD = "held"  # its request waits for something that may take a minute


_MOST_S = {Phase.IDLE: _IDLE_S, Phase.HELD: _HELD_S}


class ClientConnection(asyncio.Protocol):
    """One client's connection: answers its requests in turn, and notes in which phase it is since when."""

    def __init__(self, connections: ClientConnections) -> None:
        self._connections = connections
        self._reader: RequestReader | None = None  # made with the first byte
        self._whole: deque[Request] = deque()  # of one piece of bytes, while the one before them has to wait
        self._waits: asyncio.Future[None] | None = None  # what the answer under way has to wait for
        self._clogged = self._ending = False
        self.transport: asyncio.Transport | None = None
        self.phase, self.since = Phase.SILENT, 0.0
        self.raw: bytes | None = b""  # what came of the request under way, for another process; None: too much
        self.taking = False  # its message is written down, and its client has not heard yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._connections.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._ending:
            return
        if self.phase is not Phase.ASKING:
            self._connections.turn(self, Phase.ASKING)
        if self._connections.keep and self.raw is not None:
            self.raw = self.raw + data if len(self.raw) + len(data) <= _MOST_RAW else None
        if self._reader is None:
            self._reader = RequestReader()
        self._whole += self._reader.feed(data)
        if self._reader.wants_more and not self._whole and self.transport is not None:
            self._reader.wants_more = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._serve()

    def _serve(self) -> None:
        """Answer what is whole, in turn."""
        reader, served = self._reader, bool(self._whole)
        assert reader is not None
        while self._whole and self._waits is None and not self._ending:
            self._connections.serve(self._whole.popleft(), self)
        if self._waits is None and not self._whole and not self._ending:
            if reader.refusal is not None:
                self._connections.refused()
                self.say(Request(), reader.refusal.status, reader.refusal.text + "\n", keep=False)
            elif reader.inside:
                if served:  # a part of the next came with it: its time begins now, its bytes can't be told apart
                    self.raw = None
                    self._connections.turn(self, Phase.IDLE)
                    self._connections.turn(self, Phase.ASKING)
            elif self.phase in (Phase.ASKING, Phase.HELD):
                self.raw = b""
                self._connections.turn(self, Phase.IDLE)
        self.flow()

    def wait(self, work: asyncio.Future[None], served: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Read no further until the work is done; `served` answers. `held`: it may take a minute."""
        self._waits = work
        if held:
            self._connections.turn(self, Phase.HELD)

        def done(work: asyncio.Future[None]) -> None:
            self._waits = None
            try:
                served(work)
            except Exception:
                log.exception("a request failed unexpectedly")
                self.close()
            if not self._ending:
                self._serve()
        work.add_done_callback(done)

    def say(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
            keep: bool = True) -> bool:
        """Answer; False if there is nobody any more to hear it."""
        if self.transport is None or self.transport.is_closing():
            return False
        keep = keep and request.keep and self._connections.keeps()
        self.transport.write(answer(status, text, headers, keep, request.version))
        heard = not self.transport.is_closing()  # a write that fails closes at once
        if not keep:
            self._ending = True
            self.transport.close()
        return heard

    @property
    def gone(self) -> bool:
        """Is there nobody any more to hear an answer?"""
        return self.transport is None or self.transport.is_closing()

    def flow(self) -> None:
        """Read on unless something has to be waited for first."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._clogged or self._waits is not None or self._connections.paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.closed(self)
        self._ending = True
        self._whole.clear()
        if self._waits is not None:
            self._waits.cancel()

    def pause_writing(self) -> None:
        self._clogged = True  # guards memory against a client that asks on and reads no answer
        self.flow()

    def resume_writing(self) -> None:
        self._clogged = False
        self.flow()

    def close(self) -> None:
        """At once: what a client still sends is not worth reading."""
        self._ending = True
        if self.transport is not None:
            self.transport.abort()


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
