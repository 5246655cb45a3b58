"""Parses discovery's stream: JSON objects out of bytes, and the entries of one. No I/O."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import ROW_ERRORS, Address, Names

MAX_BYTES = 24 << 20  # of one list, which is buffered whole: 80,000 indented entries; bounds the memory

# Possessive quantifiers never backtrack, so the cost is linear in the input.
_BLANKS = re.compile(rb"[ \t\r]*+")
_OUTSIDE = re.compile(rb'(?:[^"{}]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)  # up to a brace or an unfinished string
_INSIDE = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)  # up to a string's end, or to a backslash that is the last byte

log = logging.getLogger(__name__)


class ListParser:
    """Splits the bytes of one watch into objects, however they are laid out over lines and reads. Objects longer
    than `max_bytes` are skipped and not buffered. `loads` parses one object's bytes and may raise `ValueError`."""

    def __init__(self, max_bytes: int = MAX_BYTES, loads: Callable[[bytearray], dict[str, Any]] = json.loads) -> None:
        self._limit, self._loads, self._buffer = max_bytes, loads, bytearray()
        self._position = self._depth = 0  # bytes before `_position` have been scanned
        self._in_string = self._too_long = False  # inside a string; inside an object that is too long
        self._skipped = 0

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Yield every sign of life, in order: a complete object, or None for a line end between objects and for an
        object that was too long. Raises `ValueError` for anything else."""
        buffer, begin = self._buffer, 0
        buffer += data
        while self._position < len(buffer):
            if not self._depth:
                begin = self._position = self._skip_blanks(buffer)
                if self._position == len(buffer):
                    break
                if buffer[self._position] == 0x0A:
                    begin = self._position = self._position + 1
                    yield None
                    continue
                if buffer[self._position] != 0x7B:
                    raise ValueError(f"expected a JSON object: {bytes(buffer[self._position:self._position + 80])!r}")
            if not self._scan_object(buffer):
                break
            if self._too_long or self._position - begin > self._limit:
                self._too_long = False
                self._report_skipped()
                yield None
            else:
                yield self._loads(buffer[begin:self._position])
            begin = self._position
        if self._depth and (self._too_long or len(buffer) - begin > self._limit):
            self._too_long, begin = True, self._position
        del buffer[:begin]
        self._position -= begin

    def _skip_blanks(self, buffer: bytearray) -> int:
        found = _BLANKS.match(buffer, self._position)
        assert found is not None  # it also matches the empty string
        return found.end()

    def _scan_object(self, buffer: bytearray) -> bool:
        """Scan to the end of the object; return False if it has not come yet."""
        while self._position < len(buffer):
            found = (_INSIDE if self._in_string else _OUTSIDE).match(buffer, self._position)
            assert found is not None
            self._position = found.end()
            if self._position == len(buffer) or (byte := buffer[self._position]) == 0x5C:
                return False
            self._position += 1
            if byte == 0x22:
                self._in_string = not self._in_string
            else:
                self._depth += 1 if byte == 0x7B else -1
                if not self._depth:
                    return True
        return False

    def _report_skipped(self) -> None:
        self._skipped += 1
        log.warning("discovery: passed over a list of more than %d bytes, %d on this watch", self._limit, self._skipped)


def entries(data: Mapping[str, Any], names: Names) -> list[tuple[api.EndpointInfo, Address]]:
    """Return the entries of a list that can be read; others are counted and logged. Raises `ValueError` if `hosts`
    is not a list."""
    found, passed, first = [], 0, ""
    rows = data.get("hosts") or ()
    if not isinstance(rows, list | tuple):
        raise ValueError("hosts is not a list")
    for row in rows:
        try:
            found.append(names.parse_row(row))
        except ROW_ERRORS as error:
            passed += 1
            first = first or f"{row!r:.200}: {error!r:.200}"
    if passed:
        log.warning("discovery: passed over %d of %d entries, the first: %s", passed, len(rows), first)
    return found
