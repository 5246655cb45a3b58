"""Parses an endpoint's answer, also a malformed one. httptools does the framing; sizes are bounded. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import httptools

MAX_BODY = 256 * 1024  # limit for an answer's body, in bytes
MAX_HEAD = 64 * 1024  # and for its head
_MAX_FIELDS = 256  # limit for the number of fields: a short one takes some 200 bytes
_MAX_INTERIM = 32  # limit for the number of interim (1xx) answers before it
_INTERIM = re.compile(rb"HTTP/1\.[01] 1\d\d[^\n]*\n(?:[^\r\n][^\n]*\n)*\r?\n")
_STATUS = re.compile(rb"HTTP/1\.[01] (\d{3})")
_DELIVERED = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")


class MalformedError(Exception):
    """The received bytes are not a usable answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A received answer. A malformed one has status 0, or 200 if its first line said so; the call may have run
    either way."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    malformed: bool = False


class AnswerReader:
    """Parses one final answer and the interim ones before it; httptools calls its `on_` methods."""

    def __init__(self, keeps_body: bool = True) -> None:
        """`keeps_body`: the body means something."""
        self._keeps_body, self._body_bytes = keeps_body, 0
        self._field_count = self._unreported_bytes = 0  # given to the parser since it last called back
        self.status = 0
        self.start = b""  # received bytes, as far as needed to read a malformed answer's first line
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        self.ends_with_connection = False  # the body has no length: it ends with the connection
        self.has_surplus = False  # bytes came behind the complete answer
        self.awaits_next = False  # an interim answer is complete, and nothing of the next has come
        self._interim_count = self._head_bytes = self._total_bytes = 0
        self._in_head = True
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse further bytes; raises `MalformedError`. Bytes behind a complete answer only prevent the
        connection's reuse."""
        if self.status >= 200:
            self.start = final_start(self.start)
        elif len(self.start) < MAX_HEAD:
            self.start += data
        self._total_bytes += len(data)  # trailers and chunk framing have no separate limit
        if self._total_bytes > MAX_HEAD + 2 * MAX_BODY:
            raise MalformedError("the answer is too long")
        if self._in_head:
            self._head_bytes += len(data)
        self._unreported_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise MalformedError("the body is too long, or too many fields or interim answers came") from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedError(str(error)) from error
            self.has_surplus = True
        if (self._in_head and self._head_bytes > MAX_HEAD) or self._unreported_bytes > MAX_HEAD:
            raise MalformedError("the head is too long")

    def release(self) -> None:
        """Release the parser; nothing may be fed any more. It and its callbacks refer to each other."""
        del self._parser

    # --- callbacks of httptools ---

    def on_message_begin(self) -> None:
        """Note the start of an interim or final answer."""
        self.awaits_next = False
        if self.complete:
            self.has_surplus = True
        else:
            self.headers, self._in_head = {}, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; raises `ValueError` at too many."""
        self._unreported_bytes = 0
        self._field_count += 1
        if self._field_count > _MAX_FIELDS:
            raise ValueError("too many fields")
        if not self.complete:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Read the status and how the body ends."""
        if self.complete:
            return
        self.status, self._in_head = self._parser.get_status_code(), False
        self.keep_alive = self._parser.should_keep_alive()
        self.ends_with_connection = (self.status >= 200 and "content-length" not in self.headers
                                     and "transfer-encoding" not in self.headers)

    def on_body(self, data: bytes) -> None:
        """Append body bytes; raises `ValueError` above the limit."""
        if self.complete:
            return
        self._unreported_bytes = 0
        self._body_bytes += len(data)
        if self._keeps_body:
            self.body += data
        if self._body_bytes > MAX_BODY:
            raise ValueError("the body is too long")

    def on_message_complete(self) -> None:
        """Note the end of an answer; raises `ValueError` at too many interim answers."""
        if self.complete:
            return
        if 100 <= self.status < 200 and self.status != 101:
            self._interim_count += 1
            if self._interim_count > _MAX_INTERIM:
                raise ValueError("too many interim answers")
            self.awaits_next, self._in_head, self._head_bytes = True, True, 0
        else:
            self.complete = True


def final_start(start: bytes) -> bytes:
    """Return the first 16 bytes of the final answer, behind any interim answers."""
    at = 0
    while found := _INTERIM.match(start, at):
        at = found.end()
    return start[at:at + 16]


def says_200(start: bytes) -> bool:
    """Return whether the final answer's first line says 200, whatever became of the rest."""
    return _DELIVERED.match(final_start(start)) is not None


def status_of(start: bytes) -> int | None:
    """Return the status of the answer that begins with these bytes, None if they hold none."""
    found = _STATUS.match(final_start(start))
    return int(found[1]) if found is not None else None
