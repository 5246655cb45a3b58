"""How the answer of an endpoint reads, also a spoilt one. httptools gives the framing, bytes are bounded. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import httptools

MOST_BODY = 256 * 1024  # bytes of an answer's body that are read
MOST_HEAD = 64 * 1024  # and of its head
_MOST_AHEAD = 32  # 1xx answers in front of it
_AHEAD = re.compile(rb"HTTP/1\.[01] 1\d\d[^\n]*\n(?:[^\r\n][^\n]*\n)*\r?\n")
_DELIVERED = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")


class SpoiltError(Exception):
    """What came is no answer that can be used."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back. A spoilt answer has status 0, or 200 where its first line still said so; either way the
    call may have run."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    spoilt: bool = False


class AnswerReader:
    """One answer, with those ahead of it: httptools' parser tells it what comes."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.done = False  # the answer is whole
        self.keep = False  # and its connection may go on
        self.until_end = False  # its body ends with the connection
        self.between = False  # an answer ahead is whole, and nothing of the next has come
        self._ahead = self._head = self._all = 0
        self._in_head = True
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Raises `SpoiltError`. What comes behind a whole answer spoils the connection only."""
        self._all += len(data)  # trailers and what frames chunks have no bound of their own
        if self._all > MOST_HEAD + 2 * MOST_BODY:
            raise SpoiltError("without end")
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise SpoiltError("too long") from error
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.done:
                raise SpoiltError(str(error)) from error
            self.keep = False
        if self._in_head and self._head > MOST_HEAD:
            raise SpoiltError("a head without end")

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
        if len(self.body) > MOST_BODY:
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


def first(start: bytes) -> bytes:
    """How the answer itself begins, behind those ahead of it."""
    at = 0
    while found := _AHEAD.match(start, at):
        at = found.end()
    return start[at:at + 16]


def delivered(start: bytes) -> bool:
    """Did its first line say 200, whatever came of the rest?"""
    return _DELIVERED.match(first(start)) is not None
