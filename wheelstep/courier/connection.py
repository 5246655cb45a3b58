"""One connection to an endpoint: tracks which bytes were written when, and bounds the time for an answer.

`answer` parses the answer. Its size and time are bounded, and bytes received outside of a call are never read as an
answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from asyncio.trsock import TransportSocket
from collections.abc import Callable
from typing import cast

from wheelstep.courier.answer import MAX_BODY, Answer, AnswerReader, MalformedError, final_start, says_200
from wheelstep.courier.call_errors import ConnectionBrokenError, LocalResourceError, WriteTimeoutError
from wheelstep.courier.socket_state import Unread, discard_unsent_at_close, has_unsent_bytes, unread

_IMMEDIATE_BYTES = 8 * 1024  # bytes the kernel takes at once if none are queued: under half of Linux's first buffer
# A call whose first byte waits longer for this machine is not sent: its endpoint may drain or ask to wait meanwhile.
_FIRST_BYTE_S = 0.02
_ANSWER_TIME_S = 0.5  # seconds from an answer's first byte until it must be complete, else it is malformed


class Connection(asyncio.Protocol):
    """An HTTP/1.1 connection that carries one call at a time."""

    def __init__(self) -> None:
        self._reader: AnswerReader | None = None  # parser of the last answer, until the next call
        self._transport: asyncio.Transport | None = None
        self._changed = asyncio.Event()
        self._busy = self._ended = self._closed = self._paused = False
        self._received = b""  # received bytes that are not parsed yet
        self._answer_at: float | None = None
        self.idle_since = time.monotonic()
        self.last_call_s = 0.0  # duration of its last call
        self.peer_closed_at: float | None = None  # when the endpoint closed it while no call was under way
        self._sent_at = 0.0
        self._cancelled = False
        self._begun = False  # the kernel has a byte of the call
        self._last_byte_held = False  # the call's last byte is not yet passed to the transport
        self._write_timer: asyncio.TimerHandle | None = None
        self.number = 0  # of this connection at its pool, for logs
        self.calls = 0  # calls and probes that were begun on it
        self.on_unrequested: Callable[[bytes], None] = lambda data: None  # told of bytes outside of a call; b"": unread
        self.written = False  # the call's last byte was written, so from then on it may run

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and have asyncio report when all is written."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # `resume_writing` is then called once all bytes are written

    def data_received(self, data: bytes) -> None:
        """Buffer bytes of an answer; close the connection if none is expected."""
        if not self._busy:
            self.on_unrequested(data)
            self.close()  # they would be read as the next call's answer
            return
        if self._answer_at is None:
            self._answer_at = time.monotonic()
        self._received += data
        if len(self._received) > MAX_BODY and self._transport is not None:
            self._transport.pause_reading()  # never resumed: an answer of this size ends in a close
        self._changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self._ended = True
        self._note_peer_close()
        self._cancel_write_timer()
        self._discard_unsent()  # the socket is closed after this
        self._changed.set()

    def pause_writing(self) -> None:
        """Note that written bytes are waiting in the transport."""
        self._paused = True

    def resume_writing(self) -> None:
        """Note that the transport has written all bytes."""
        # asyncio calls this in the step that writes the last byte, also while this side closes. A call that ends
        # between that step and its task's next turn must not count as never run.
        self._paused, self.written = False, not self._last_byte_held
        self._changed.set()

    # --- interface to the endpoint client ---

    def usable(self) -> bool:
        """Return whether a call may be written. Polls the socket, since its end or unrequested bytes may have come."""
        ended = self._ended or self._transport is None or self._transport.is_closing()
        waiting = Unread.END if ended else unread(self._socket)
        if waiting is Unread.END:
            self._note_peer_close()
        elif waiting is Unread.BYTES:
            self.on_unrequested(b"")
        return waiting is Unread.NOTHING

    @property
    def _socket(self) -> TransportSocket:
        assert self._transport is not None
        return cast(TransportSocket, self._transport.get_extra_info("socket"))

    def _note_peer_close(self) -> None:
        if not self._busy and not self._closed and self.peer_closed_at is None:
            self.peer_closed_at = time.monotonic()

    @property
    def awaits_answer(self) -> bool:
        """Whether a call is under way whose answer is not complete."""
        return self._busy and not (self._reader is not None and self._reader.complete)

    def close(self) -> None:
        """Close at once. Bytes of an unanswered call that the kernel still holds are discarded and never sent."""
        if self._transport is not None:
            self._closed = True
            self._cancel_write_timer()
            self._discard_unsent()
            self._transport.abort()

    def _discard_unsent(self) -> None:
        if self._transport is not None and self.awaits_answer:
            discard_unsent_at_close(self._socket)  # a cancelled call's last byte, sent long after, would run it

    async def send(self, request: bytes, write_until_s: float = math.inf) -> None:
        """Write one request whole. Raise `ConnectionBrokenError` if the connection ends, `WriteTimeoutError` if that
        would last past `write_until_s`, `LocalResourceError` if no byte can be written. `written`: all were."""
        assert self._transport is not None
        self._busy, self._received, self._answer_at, self.written = True, b"", None, False
        self.calls += 1
        self._sent_at = time.monotonic()
        self._cancelled = self._begun = False  # may be left over from a last call whose answer had arrived
        # Keeps the transport from writing the last byte late, right after the event loop was blocked: where the request
        # may have to wait for the endpoint, its last byte is written separately, after the clock was checked.
        ahead = len(request) - 1 if len(request) > _IMMEDIATE_BYTES and write_until_s < math.inf else 0
        for part in (request[:ahead], request[ahead:]) if ahead else (request,):
            self._last_byte_held = bool(ahead) and len(part) > 1
            if time.monotonic() >= write_until_s:
                raise WriteTimeoutError
            await self._write(part, write_until_s)
            if self._ended:
                break
        if not self.written:
            raise ConnectionBrokenError("the connection ended while the call was written")
        if write_until_s < math.inf:
            self._write_timer = asyncio.get_running_loop().call_at(write_until_s, self._write_time_up)

    async def _write(self, part: bytes, write_until_s: float) -> None:
        assert self._transport is not None
        self._transport.write(part)
        if not self._paused:
            self.written = not self._transport.is_closing() and not self._last_byte_held  # failed writes close at once
            return
        if (not self._begun and not await self._all_written(time.monotonic() + _FIRST_BYTE_S)
                and self._transport.get_write_buffer_size() == len(part)):
            raise LocalResourceError("no byte of the call could be written")
        self._begun = True
        if not await self._all_written(write_until_s):
            raise WriteTimeoutError

    async def _all_written(self, until_s: float) -> bool:
        """Wait until the kernel has all bytes or the connection has ended. Return False if that lasts too long."""
        try:
            async with asyncio.timeout_at(until_s if until_s < math.inf else None):
                while self._paused and not self._ended:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return not self._paused
        return True

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()

    def _write_time_up(self) -> None:
        """Close if the kernel still holds the last byte, which a network that recovers would deliver too late."""
        open_transport = self._transport is not None and not self._transport.is_closing()
        if self._answer_at is None and self._busy and open_transport and has_unsent_bytes(self._socket):
            self.close()

    async def read_answer(self, single: bool = True) -> Answer:
        """Read the answer. Raise `ConnectionBrokenError` if the connection ends before any byte of it. If the call is
        cancelled in the middle, the message of a `single` call counts as delivered if the first line said so."""
        reader = self._reader = AnswerReader(keeps_body=not single)
        try:
            while not reader.complete:
                if not (data := await self._read_more()):
                    if not final_start(reader.start):
                        raise ConnectionBrokenError("the connection ended before an answer")
                    if not reader.ends_with_connection:
                        raise MalformedError("the connection ended in the middle of an answer")
                    break
                reader.feed(data)
                if reader.awaits_next:
                    self._answer_at = None  # an interim answer does not start the time limit of the final one
        except MalformedError:
            return Answer(200 if says_200(reader.start) else 0, reader.headers, malformed=True)
        except asyncio.CancelledError:
            if not single or not says_200(reader.start):
                raise
            return Answer(200, reader.headers, malformed=True)
        finally:
            reader.release()
        return Answer(reader.status, reader.headers, bytes(reader.body))

    async def _read_more(self) -> bytes:
        """Return further bytes of the answer; none once the connection has ended."""
        if self._cancelled:
            raise asyncio.CancelledError
        while not self._received and not self._ended:
            self._changed.clear()
            left_s = None if self._answer_at is None else self._answer_at + _ANSWER_TIME_S - time.monotonic()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                if not self._changed.is_set():  # it may have come while the event loop was blocked
                    raise MalformedError("the answer was not completed in time") from None
            except asyncio.CancelledError:
                # If an answer came before the call was cancelled, its wait and outcome must count: what came is read,
                # the rest not waited for. One more turn reads what the kernel has received meanwhile.
                if not self._received and not self._ended:
                    with contextlib.suppress(asyncio.CancelledError):  # cancelled twice: cancel and time-out
                        await asyncio.sleep(0)
                if not self._received:
                    raise
                self._cancelled = True
        if self._answer_at is not None and time.monotonic() - self._answer_at > 4 * _ANSWER_TIME_S:
            raise MalformedError("the answer came too slowly")
        data, self._received = self._received, b""
        return data

    def make_idle(self) -> bool:
        """Make the connection idle and return True, or False if it can't carry another call (bytes are left)."""
        reader = self._reader
        if reader is not None and reader.complete and (reader.has_surplus or self._received):
            self.on_unrequested(self._received)
            return False
        kept = reader is not None and reader.complete and reader.keep_alive and self.usable()
        if kept:
            self._cancel_write_timer()
            self._reader = None
            self._busy, self.written, self.idle_since = False, False, time.monotonic()
            self.last_call_s = self.idle_since - self._sent_at
        return kept
