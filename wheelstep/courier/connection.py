"""One connection to an endpoint: what is written when, and how long an answer may take. `answer` reads it.

Bytes and times of an answer are bounded, and nothing that comes outside of a call is ever taken for an answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import math
import select
import socket
import struct
import termios
import time

from wheelstep.courier.answer import MOST_BODY, MOST_HEAD, Answer, AnswerReader, SpoiltError, delivered, first
from wheelstep.courier.call_errors import BrokenError, LateError

_AT_ONCE = 8 * 1024  # bytes that the system takes at once where nothing waits: under half of Linux's first buffer
_TAIL_S = 0.5  # an answer has come whole so long after its first byte, or it is spoilt


class Connection(asyncio.Protocol):
    """It carries one call at a time."""

    def __init__(self) -> None:
        self._reader: AnswerReader | None = None  # of the last answer, until the next call
        self._transport: asyncio.Transport | None = None
        self._news = asyncio.Event()
        self._busy = self._ended = self._closed = False
        self._paused = False
        self._raw = b""  # what came and is not yet read
        self._began: float | None = None
        self.idle_since = time.monotonic()
        self.spent_s = 0.0  # on its last call
        self.left_at: float | None = None  # when its endpoint ended it, without a word, while nothing was under way
        self._sent_at = 0.0
        self._given_up = False
        self._held_back = False  # the last byte of the call is not yet given to the transport
        self._lapse: asyncio.TimerHandle | None = None
        self.written = False  # the last byte of the call under way went out: from then on it may run

    # --- what asyncio tells ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that writing resumes when all is written

    def data_received(self, data: bytes) -> None:
        if not self._busy:
            self.close()  # nobody asked: it would be taken for the next call's answer
            return
        if self._began is None:
            self._began = time.monotonic()
        self._raw += data
        if len(self._raw) > MOST_BODY and self._transport is not None:
            self._transport.pause_reading()  # for good: what is not read by now ends in a close
        self._news.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        self._left()
        self._rest()
        self._take_back()  # the socket is closed after this
        self._news.set()

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        # Told in the very step that writes the last byte, also where this side closes. Guards against a call that
        # ends between that and the turn in which its task wakes up: it would pass for one that never ran.
        self._paused, self.written = False, not self._held_back
        self._news.set()

    # --- what the outlet asks ---

    def usable(self) -> bool:
        """May a call be written? Looks at the socket itself: an end, or bytes that nobody asked for, may have
        come since the loop last read."""
        if self._ended or self._transport is None or self._transport.is_closing():
            self._left()
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        found = poll.poll(0)
        if found and found[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
            self._left()
        return not found

    def _left(self) -> None:
        if not self._busy and not self._closed and self.left_at is None:
            self.left_at = time.monotonic()

    @property
    def awaits_answer(self) -> bool:
        """Is a call under way whose answer is not complete?"""
        return self._busy and not (self._reader is not None and self._reader.done)

    def close(self) -> None:
        """At once. What the system still holds of a call without its answer is thrown away, and never read later."""
        if self._transport is None:
            return
        self._closed = True
        self._rest()
        self._take_back()
        self._transport.abort()

    def _take_back(self) -> None:
        if self._transport is not None and self.awaits_answer:
            # Guards against an effect long after: a cut that heals would bring the last byte of a call given up.
            with contextlib.suppress(OSError):
                self._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def send(self, request: bytes, until_s: float = math.inf) -> None:
        """Write one request whole, or raise `BrokenError`, or `LateError` where that would last past `until_s`;
        `written` tells whether its last byte went out."""
        assert self._transport is not None
        self._busy, self._raw, self._began, self.written = True, b"", None, False
        self._sent_at = time.monotonic()
        self._given_up = False  # the last call may have been, with its answer there already
        # Guards against a last byte that the transport writes late, right after the loop has stood still: of what may
        # have to wait for the endpoint, it goes out alone, and only after a look at the clock.
        ahead = len(request) - 1 if len(request) > _AT_ONCE and until_s < math.inf else 0
        for part in (request[:ahead], request[ahead:]) if ahead else (request,):
            self._held_back = bool(ahead) and len(part) > 1
            if time.monotonic() >= until_s:
                raise LateError
            await self._write(part, until_s)
            if self._ended:
                break
        if not self.written:
            raise BrokenError("ended while the call was written")
        if until_s < math.inf:
            self._lapse = asyncio.get_running_loop().call_at(until_s, self._lapsed)

    async def _write(self, part: bytes, until_s: float) -> None:
        assert self._transport is not None
        self._transport.write(part)
        if not self._paused:
            self.written = not self._transport.is_closing() and not self._held_back  # a failed write closes at once
            return
        try:
            async with asyncio.timeout_at(until_s if until_s < math.inf else None):
                while self._paused and not self._ended:
                    self._news.clear()
                    await self._news.wait()
        except TimeoutError:
            if self._paused:
                raise LateError from None

    def _rest(self) -> None:
        if self._lapse is not None:
            self._lapse.cancel()

    def _lapsed(self) -> None:
        """Guards against a last byte that the system holds, and that a cut which heals would bring too late."""
        if self._began is None and self._busy and self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):
                left = fcntl.ioctl(self._transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
                if any(left):
                    self.close()

    async def answer(self, alone: bool = True) -> Answer:
        """Read the answer, or raise `BrokenError` if the connection ends with nothing of one. Given up in the middle
        of it, the call of a message `alone` is delivered by a first line that said so."""
        reader = self._reader = AnswerReader()
        start = b""  # what came, as far as it may be needed to tell what a spoilt answer said first
        try:
            while not reader.done:
                if not (data := await self._more()):
                    if not first(start):
                        raise BrokenError("ended before its answer")
                    if not reader.until_end:
                        raise SpoiltError("ended too early")
                    break
                if len(start) < MOST_HEAD:
                    start += data
                reader.feed(data)
                if reader.between:
                    self._began = None  # the answer itself may take its time
        except SpoiltError:
            return Answer(200 if delivered(start) else 0, reader.headers, spoilt=True)
        except asyncio.CancelledError:
            if not alone or not delivered(start):
                raise
            return Answer(200, reader.headers, spoilt=True)
        return Answer(reader.status, reader.headers, bytes(reader.body))

    async def _more(self) -> bytes:
        """Further bytes of the answer; none once the connection has ended."""
        if self._given_up:
            raise asyncio.CancelledError
        while not self._raw and not self._ended:
            self._news.clear()
            left_s = None if self._began is None else self._began + _TAIL_S - time.monotonic()
            try:
                async with asyncio.timeout(left_s):
                    await self._news.wait()
            except TimeoutError:
                if not self._news.is_set():  # it may have come while the loop was late itself
                    raise SpoiltError("hangs") from None
            except asyncio.CancelledError:
                # Guards the wait and the end that an answer tells when it came before the call was given up: what is
                # there is still read, what is missing is not waited for. One more turn reads what the system has
                # got meanwhile, such as while the loop stood still.
                if not self._raw and not self._ended:
                    with contextlib.suppress(asyncio.CancelledError):  # given up twice: cancel and time-out
                        await asyncio.sleep(0)
                if not self._raw:
                    raise
                self._given_up = True
        if self._began is not None and time.monotonic() - self._began > 4 * _TAIL_S:
            raise SpoiltError("trickles")
        data, self._raw = self._raw, b""
        return data

    def next_cycle(self) -> bool:
        """May another call follow here? Not if anything is left over from the last one."""
        reader = self._reader
        kept = reader is not None and reader.done and reader.keep and not self._raw and self.usable()
        if kept:
            self._rest()
            self._reader = None
            self._busy, self.written, self.idle_since = False, False, time.monotonic()
            self.spent_s = self.idle_since - self._sent_at
        return kept
