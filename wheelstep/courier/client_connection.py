"""One client connection: answers its requests in order."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from wheelstep.courier.arrival import arrivals
from wheelstep.courier.client_input import ClientInput
from wheelstep.courier.client_phases import ConnectionManager, Phase
from wheelstep.courier.last_read import LastRead
from wheelstep.courier.pending_answer import PendingAnswer
from wheelstep.courier.request import MAX_BODY_BYTES, MAX_HEAD_BYTES, Request
from wheelstep.courier.response import RETRY_AFTER, format_response

# Bytes discarded after the half-close: one request of the largest size, since a client sends one at a time on a
# connection (PROTOCOL, clients to couriers). Beyond that nothing is read, and flow control stops the client.
MAX_DISCARDED_BYTES = MAX_BODY_BYTES + MAX_HEAD_BYTES
_UNSENT_BYTES = 32 * 1024  # of answers that the kernel has not taken: beyond that no request is answered


class ClientConnection(asyncio.Protocol):
    """Answers the requests of one client connection in order, and records its phase and when that began.

    It ends by a lingering close (RFC 9112, 9.6): half-closed for writing after the last answer, then read and discarded
    until the client closes or a limit is reached (`ClientConnections`). Closing with unread input would send a reset,
    which can destroy the answer on its way. What is read after the half-close is never served."""

    def __init__(self, connections: ConnectionManager, queued_since_s: float = math.inf) -> None:
        """`queued_since_s`: since when input may have been waiting, where it came before this process watched it."""
        self._connections, self._queued_since_s, self._polls_before = connections, queued_since_s, 0
        self._input = ClientInput(connections.transferable)
        self._pending = PendingAnswer()
        self._write_paused = False
        self._ended = False  # nothing more is answered: half-closed or disconnected
        self._client_half_closed = False
        self._last_read: LastRead | None = None  # once it closes: what the kernel has by then is still answered
        self._served = False  # a request was answered since no input was left
        self._discarded_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.phase, self.phase_since = Phase.SILENT, 0.0
        self.awaiting_sync = False  # its message is written to the journal, and the client has no answer yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with its manager."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self._polls_before = transport, arrivals.polls
        transport.set_write_buffer_limits(high=_UNSENT_BYTES)
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse input and answer the requests that are complete; discard it after the half-close."""
        if self._ended:
            self._discarded_bytes += len(data)
            self.update_reading()
            return
        if self.phase is not Phase.ASKING:
            self._connections.set_phase(self, Phase.ASKING)
        self._input.add(data, arrivals.earliest_on_connection_s(
            time.monotonic(), self._polls_before, self._queued_since_s))
        if self.transport is not None and self._input.take_expects_continue():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._connections.serving and self.can_serve:
            self._connections.serving.add(self)
            self.update_reading()
        else:
            self._continue()
        self._connections.charge(self)

    @property
    def buffered_bytes(self) -> int:
        """The bytes that are kept: of requests, and of answers that the kernel has not taken."""
        return self._input.size_bytes + (self.transport.get_write_buffer_size() if self.transport is not None else 0)

    @property
    def can_serve(self) -> bool:
        """Whether a complete request can be answered now."""
        return self._input.has_requests and not self._pending and not self._write_paused

    def serve_next(self) -> bool:
        """Answer the next complete request, if that is possible now. Return whether another one can be answered."""
        if self.can_serve and not self._connections.serving.held:
            request = self._input.next_request()
            self._served = True
            self._connections.serve(request, self)
        if not self._ended and not self._unanswered:
            self._finish_input()
        self.update_reading()
        return self.can_serve

    def _finish_input(self) -> None:
        """Refuse invalid input behind the last complete request, or note what is left: nothing, or part of another."""
        client_input = self._input
        if (refusal := client_input.refusal) is not None:
            self._connections.count_malformed()
            self.respond(Request(), refusal.status, refusal.text + "\n", keep_alive=False)
        elif client_input.in_request:
            if self._served:  # its first part came with other requests: its time starts now
                client_input.forget_partial()
                self._connections.set_phase(self, Phase.IDLE)
                self._connections.set_phase(self, Phase.ASKING)
        elif self.phase in (Phase.ASKING, Phase.HELD):
            client_input.restart_partial()
            self._connections.set_phase(self, Phase.IDLE)
        self._served = False
        if self._client_half_closed or (self._last_read is not None and not self._last_read.running):
            self._half_close()

    @property
    def partial_request(self) -> bytes | None:
        """The bytes of an incomplete request, to transfer; None: they can't be transferred."""
        return self._input.partial

    def wait(self, work: asyncio.Future[None], on_done: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Stop reading until `work` is done, then call `on_done`, which answers. `held`: it may take a minute."""
        if held:
            self._connections.set_phase(self, Phase.HELD)
        self._pending.start(work, on_done, self._half_close, self._continue)

    def _continue(self) -> None:
        if not self._ended and self.serve_next():
            self._connections.serving.add(self)

    def respond(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
                keep_alive: bool = True, hold_open: bool = False) -> bool:
        """Write an answer. Return False if the client can no longer receive it. `hold_open`: do not close yet."""
        if self.transport is None or self.write_closed:
            return False
        closing = self._last_read is not None or self._client_half_closed
        keep_alive = keep_alive and request.keep_alive and (  # the courier closes only after the last complete request
            self._input.has_requests or not closing and self._connections.may_keep_alive())
        self.transport.write(format_response(status, text, headers, keep_alive, request.version))
        writable = not self.transport.is_closing()  # a write that fails closes the transport at once
        if not keep_alive and not hold_open:
            self._half_close()
        return writable

    def refuse_incomplete(self) -> None:
        """Refuse a request that has begun and is not complete, for want of memory, and close."""
        self.respond(Request(), 503, "no memory for it now\n", RETRY_AFTER, keep_alive=False)

    def end(self) -> None:
        """Close after answering what is in the kernel's buffer by now or waits for its answer: a request whose last
        byte was written must not be lost (PROTOCOL, the rules on sockets)."""
        if self._last_read is not None or self.write_closed:
            return
        self._last_read = LastRead(self)
        self.update_reading()
        self._last_read.start()

    @property
    def has_read_enough(self) -> bool:
        """Whether nothing more has to be read before the connection is closed."""
        return self._ended or self._unanswered

    def last_read_done(self) -> None:
        """Close, unless a request is still to be answered."""
        if not self.busy:
            self._half_close()

    def cancel_wait(self) -> None:
        """Make a request that waits be answered with what is known now."""
        self._pending.cancel()

    @property
    def _unanswered(self) -> bool:
        return bool(self._pending) or self._input.has_requests

    @property
    def busy(self) -> bool:
        """Whether a complete request is not answered yet, for another reason than that the client reads no answers."""
        return bool(self._pending) or self.can_serve

    @property
    def undelivered(self) -> bool:
        """Whether an immediate close could lose an answer: one is not ready or not sent yet, or unread input would
        cause a reset."""
        return (self.busy or self._discarded_bytes >= MAX_DISCARDED_BYTES
                or (self.transport is not None and self.transport.get_write_buffer_size() > 0))

    def _half_close(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._input.close()
        if self.transport is None or self.transport.is_closing():
            return
        self._connections.start_close_timeout(self)
        if self._client_half_closed:
            self.transport.close()  # no more input can come
            return
        try:
            self.transport.write_eof()
        except OSError:  # reset by the client in the meantime
            self.transport.abort()
        self.update_reading()

    def eof_received(self) -> bool:
        """Answer what the client still waits for, then end the connection."""
        self._client_half_closed = True
        return self.busy and not self._ended

    @property
    def write_closed(self) -> bool:
        """Whether no further answer can be sent."""
        return self._ended or self.transport is None or self.transport.is_closing()

    def update_reading(self) -> None:
        """Pause reading while an answer, a full write buffer or a limit has to be waited for, else resume it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._ended:
            pause = self._discarded_bytes >= MAX_DISCARDED_BYTES
        else:
            pause = self._write_paused or self._unanswered or (self._connections.paused and self._last_read is None)
        (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel what it waits for."""
        self._connections.remove(self)
        self._ended = True
        self._input.close()
        self._last_read = None
        self._pending.cancel()

    def pause_writing(self) -> None:
        """Stop reading and answering: the client sends requests and reads no answers."""
        self._write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        """Read again, as the write buffer has drained."""
        self._write_paused = False
        if self.can_serve:
            self._connections.serving.add(self)
        self.update_reading()

    def close(self) -> None:
        """Close at once. The client may get a reset because of unread input, and so lose an answer."""
        if self.busy and not self.write_closed:
            self._connections.report_unanswered(self)
        self._ended = True
        if self.transport is not None:
            self.transport.abort()
