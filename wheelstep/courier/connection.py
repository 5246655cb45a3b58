"""One connection to an endpoint: what is written when, and how an answer reads, also a spoilt one.

httptools gives the framing. Bytes and times of an answer are bounded, and nothing that comes outside of a call is
ever taken for an answer.
"""

from __future__ import annotations

import asyncio
import re
import select
import time
from dataclasses import dataclass, field

import httptools

from wheelstep.courier.config import Address

_MOST_BODY = 256 * 1024  # bytes of an answer's body that are read
_MOST_AHEAD = 32  # 1xx answers in front of it
_TAIL_S = 0.5  # an answer has come whole so long after its first byte, or it is spoilt
_MOST_HEAD = 64 * 1024  # and of its head
_AHEAD = re.compile(rb"HTTP/1\.[01] 1\d\d[^\n]*\n(?:[^\r\n][^\n]*\n)*\r?\n")
_DELIVERED = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")


class BrokenError(Exception):
    """The connection could not be made or ended, and nothing of an answer had come."""


class _SpoiltError(Exception):
    """What came is no answer that can be used."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back. A spoilt answer has status 0, or 200 where its first line still said so; either way the
    call may have run."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    spoilt: bool = False


class Connection(asyncio.Protocol):
    """It carries one call at a time."""

    def __init__(self) -> None:
        self._reader: _Reader | None = None  # of the last answer, until the next call
        self._transport: asyncio.Transport | None = None
        self._news = asyncio.Event()
        self._busy = self._ended = False
        self._paused = False
        self._raw = b""  # what came and is not yet read
        self._began: float | None = None
        self.idle_since = 0.0
        self._given_up = False
        self.written = False  # the last byte of the call under way went out: from then on it may run

    @classmethod
    async def dial(cls, address: Address) -> Connection:
        """Connect, or raise `BrokenError`."""
        try:
            _, made = await asyncio.get_running_loop().create_connection(cls, address.host, address.port)
        except OSError as error:
            raise BrokenError(f"no connection: {error}") from error
        return made

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
        if len(self._raw) > _MOST_BODY and self._transport is not None:
            self._transport.pause_reading()  # for good: what is not read by now ends in a close
        self._news.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        self._news.set()

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        # Told in the very step that writes the last byte, also where this side closes. Guards against a call that
        # ends between that and the turn in which its task wakes up: it would pass for one that never ran.
        self._paused, self.written = False, True
        self._news.set()

    # --- what the outlet asks ---

    def usable(self) -> bool:
        """May a call be written? Looks at the socket itself: an end, or bytes that nobody asked for, may have
        come since the loop last read."""
        if self._ended or self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """At once."""
        if self._transport is not None:
            self._transport.abort()

    async def send(self, request: bytes) -> None:
        """Write one request whole, or raise `BrokenError`; `written` tells whether its last byte went out."""
        assert self._transport is not None
        self._busy, self._raw, self._began, self.written = True, b"", None, False
        self._transport.write(request)
        if not self._paused:
            self.written = not self._transport.is_closing()  # a write that fails closes at once
        while self._paused and not self._ended:
            self._news.clear()
            await self._news.wait()
        if not self.written:
            raise BrokenError("ended while the call was written")

    async def answer(self) -> Answer:
        """Read the answer, or raise `BrokenError` if the connection ends with nothing of one."""
        reader = self._reader = _Reader()
        start = b""  # what came, as far as it may be needed to tell what a spoilt answer said first
        try:
            while not reader.done:
                if not (data := await self._more()):
                    if not _first(start):
                        raise BrokenError("ended before its answer")
                    if not reader.until_end:
                        raise _SpoiltError("ended too early")
                    break
                if len(start) < _MOST_HEAD:
                    start += data
                reader.feed(data)
                if reader.between:
                    self._began = None  # the answer itself may take its time
        except _SpoiltError:
            return Answer(200 if _DELIVERED.match(_first(start)) else 0, reader.headers, spoilt=True)
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
                    raise _SpoiltError("hangs") from None
            except asyncio.CancelledError:
                # Guards the wait and the end that an answer tells when it came in the turn in which the call was
                # given up: what is there is still read, what is missing is not waited for.
                if not self._raw:
                    raise
                self._given_up = True
        if self._began is not None and time.monotonic() - self._began > 4 * _TAIL_S:
            raise _SpoiltError("trickles")
        data, self._raw = self._raw, b""
        return data

    def next_cycle(self) -> bool:
        """May another call follow here? Not if anything is left over from the last one."""
        reader = self._reader
        kept = reader is not None and reader.done and reader.keep and not self._raw and self.usable()
        if kept:
            self._reader = None
            self._busy, self.written, self.idle_since = False, False, time.monotonic()
        return kept


class _Reader:
    """One answer, with those ahead of it: httptools' parser tells it what comes."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.done = False  # the answer is whole
        self.keep = False  # and its connection may go on
        self.until_end = False  # its body ends with the connection
        self.between = False  # an answer ahead is whole, and nothing of the next has come
        self._ahead = self._head = 0
        self._in_head = True
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Raises `_SpoiltError`. What comes behind a whole answer spoils the connection only."""
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise _SpoiltError("too long") from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.done:
                raise _SpoiltError(str(error)) from error
            self.keep = False
        if self._in_head and self._head > _MOST_HEAD:
            raise _SpoiltError("a head without end")

    # --- what httptools tells ---

    def on_message_begin(self) -> None:
        self.between = False
        if self.done:
            self.keep = False
        else:
            self.headers, self._in_head = {}, True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.done:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.done:
            return
        self.status, self._in_head = self._parser.get_status_code(), False
        self.keep = self._parser.should_keep_alive()
        self.until_end = (self.status >= 200 and "content-length" not in self.headers
                          and "transfer-encoding" not in self.headers)

    def on_body(self, data: bytes) -> None:
        if self.done:
            return
        self.body += data
        if len(self.body) > _MOST_BODY:
            raise ValueError("too long")

    def on_message_complete(self) -> None:
        if self.done:
            return
        if 100 <= self.status < 200 and self.status != 101:
            self._ahead += 1
            if self._ahead > _MOST_AHEAD:
                raise ValueError("too many answers ahead")
            self.between, self._in_head, self._head = True, True, 0
        else:
            self.done = True


def _first(start: bytes) -> bytes:
    """How the answer itself begins, behind those ahead of it."""
    at = 0
    while found := _AHEAD.match(start, at):
        at = found.end()
    return start[at:at + 16]
