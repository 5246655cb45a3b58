"""One client's connection: answers its requests in turn."""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from collections.abc import Callable

from wheelstep.courier.client_phases import Connections, Phase
from wheelstep.courier.request import MOST_BODY, MOST_HEAD, Request, RequestReader, answer

# What is thrown away behind the half-close: one request of the largest size, since a client sends one at a time on a
# connection (PROTOCOL, clients to couriers). Beyond it nothing is read, and the client's sending stands still.
MOST_THROWN = MOST_BODY + MOST_HEAD
_MOST_RAW = 16 * 1024  # bytes of a request under way that can be passed on to another process

log = logging.getLogger(__name__)


class ClientConnection(asyncio.Protocol):
    """One client's connection: answers its requests in turn, and notes in which phase it is since when.

    It ends by a lingering close (RFC 9112, 9.6): half-closed for writing behind the last answer, read and thrown away
    until the client closes or a bound is reached (`ClientConnections`). A close over unread bytes would be a reset, and
    that can destroy the answer on its way. What is read after the half-close is never served."""

    def __init__(self, connections: Connections) -> None:
        self._connections = connections
        self._reader: RequestReader | None = None  # made with the first byte
        self._whole: deque[Request] = deque()  # of one piece of bytes, while the one before them has to wait
        self._waits: asyncio.Future[None] | None = None  # what the answer under way has to wait for
        self._clogged = False
        self._last = False  # what lies in the kernel's buffer by now is still answered, and nothing after
        self._ended = False  # nothing more is answered: half-closed or gone
        self._client_ended = False  # the client has half-closed
        self._reading_out = False  # the loop has not polled yet since it was to end
        self._thrown = 0  # bytes thrown away
        self.transport: asyncio.Transport | None = None
        self.phase, self.since = Phase.SILENT, 0.0
        self.raw: bytes | None = b""  # what came of the request under way, for another process; None: too much
        self.taking = False  # its message is written down, and its client has not heard yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._connections.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._ended:
            self._thrown += len(data)
            self.flow()
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
        while self._whole and self._waits is None and not self._ended:
            self._connections.serve(self._whole.popleft(), self)
        if self._waits is None and not self._whole and not self._ended:
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
            if self._client_ended or (self._last and not self._reading_out):
                self._half_close()
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
                self._half_close()
            if not self._ended:
                self._serve()
        work.add_done_callback(done)

    def say(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
            keep: bool = True) -> bool:
        """Answer; False if there is nobody any more to hear it."""
        if self.transport is None or self.gone:
            return False
        keep = keep and request.keep  # the courier ends it only behind the last of what has come whole
        keep = keep and (bool(self._whole) or not (self._last or self._client_ended) and self._connections.keeps())
        self.transport.write(answer(status, text, headers, keep, request.version))
        heard = not self.transport.is_closing()  # a write that fails closes at once
        if not keep:
            self._half_close()
        return heard

    def end(self) -> None:
        """Answer what lies in the kernel's buffer by now, or waits for its answer, and no more: a request whose last
        byte was written is not lost (PROTOCOL, the rules on sockets)."""
        if self._last or self.gone:
            return
        self._last = self._reading_out = True
        self.flow()
        self._read_on()

    def _read_on(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._read_out)  # the loop polls between the two, and reads before the second

    def _read_out(self) -> None:
        if not self._ended and not self.busy and self._unread():  # with many to end, this turn may have been long
            self._read_on()
            return
        self._reading_out = False
        if not self.busy:
            self._half_close()

    def _unread(self) -> bool:
        """Has something come since the loop last read?"""
        if self.transport is None or not self.transport.is_reading():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def hurry(self) -> None:
        """Answer by what is known now."""
        if self._waits is not None:
            self._waits.cancel()

    @property
    def busy(self) -> bool:
        """Is an answer owed to a request that was read whole?"""
        return self._waits is not None or bool(self._whole)

    @property
    def unheard(self) -> bool:
        """Would a close take something from the client: an answer that it has not taken yet, or its way to it?"""
        return (self.busy or self._thrown >= MOST_THROWN
                or (self.transport is not None and self.transport.get_write_buffer_size() > 0))

    def _half_close(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._whole.clear()
        self._reader, self.raw = None, b""
        if self.transport is None or self.transport.is_closing():
            return
        self._connections.lingers(self)
        if self._client_ended:
            self.transport.close()  # nothing more can come
            return
        try:
            self.transport.write_eof()
        except OSError:  # reset meanwhile
            self.transport.abort()
        self.flow()

    def eof_received(self) -> bool:
        """A client that has half-closed gets its answers, then the connection ends."""
        self._client_ended = True
        return self.busy and not self._ended

    @property
    def gone(self) -> bool:
        """Is there nobody any more to hear an answer?"""
        return self._ended or self.transport is None or self.transport.is_closing()

    def flow(self) -> None:
        """Read on unless something has to be waited for first."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._ended:
            wait = self._thrown >= MOST_THROWN
        else:
            wait = self._clogged or self._waits is not None or (self._connections.paused and not self._last)
        if wait:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.closed(self)
        self._ended = True
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
        """At once. A client may be reset over what it has sent, and not hear what it was told."""
        if self.busy and not self.gone:
            self._connections.unanswered(self)
        self._ended = True
        if self.transport is not None:
            self.transport.abort()
