"""Formats the answers to clients' requests. No I/O."""

from __future__ import annotations

import time
from collections.abc import Sequence
from email.utils import formatdate
from http import HTTPStatus

RETRY_AFTER = (("Retry-After", "1"),)
"""Of an answer that refuses a message: it may be handed in again after that many seconds."""


class _DateHeader:
    """The Date header, formatted once a second."""

    def __init__(self) -> None:
        self._second, self._line = 0, b""

    def line(self) -> bytes:
        now = int(time.time())
        if now != self._second:
            self._second, self._line = now, f"Date: {formatdate(now, usegmt=True)}\r\n".encode()
        return self._line


_date_header = _DateHeader()
_STATUS_LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus}


def format_response(status: int, text: str = "", headers: Sequence[tuple[str, str]] = (), keep_alive: bool = True,
                    version: str = "1.1") -> bytes:
    """Return the bytes of a response. `status` must be in `HTTPStatus`, headers must be Latin-1; `version` is that of
    the request."""
    parts = [_STATUS_LINES[status], _date_header.line()]
    if not keep_alive:
        parts.append(b"Connection: close\r\n")
    elif version == "1.0":
        parts.append(b"Connection: keep-alive\r\n")
    parts += [f"{name}: {value}\r\n".encode("latin-1") for name, value in headers]
    if text:
        body = text.encode("utf-8", "replace")
        if not any(name == "Content-Type" for name, _ in headers):
            parts.append(b"Content-Type: text/plain; charset=utf-8\r\n")
        parts.append(b"Content-Length: %d\r\n\r\n" % len(body) + body)
    else:
        parts.append(b"Content-Length: 0\r\n\r\n")
    return b"".join(parts)
