"""One client's connection: answers its requests in turn."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from wheelstep.courier.request import Request, RequestReader, answer

_MOST_RAW = 16 * 1024  # bytes of a request under way that can be passed on to another process

log = logging.getLogger(__name__)


class Phase(Enum):
    SILENT = "silent"  # connected, and nothing came yet
    ASKING = "asking"  # a request has begun
    IDLE = "idle"  # the last request was answered
    HELD = "held"  # its request waits for something that may take a minute


class Connections(Protocol):
    """What a connection asks of all of them together: see `ClientConnections`."""

    keep: bool
    paused: bool

    def opened(self, connection: ClientConnection) -> None: ...

    def turn(self, connection: ClientConnection, phase: Phase) -> None: ...

    def closed(self, connection: ClientConnection) -> None: ...

    def serve(self, request: Request, connection: ClientConnection) -> None: ...

    def refused(self) -> None: ...

    def keeps(self) -> bool: ...


class ClientConnection(asyncio.Protocol):
    """One client's connection: answers its requests in turn, and notes in which phase it is since when."""

    def __init__(self, connections: Connections) -> None:
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
