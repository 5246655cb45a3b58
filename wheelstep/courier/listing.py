"""What discovery writes: JSON objects out of a stream of bytes, and the entries of one. No I/O."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from wheelstep import interface as api
from wheelstep.courier.config import UNREADABLE, Address, Names

MOST_BYTES = 24 << 20  # of one list: 80,000 indented entries; it is held whole until its end, so this bounds memory

# Possessive: nothing is ever tried twice, so the cost is linear in what comes.
_BETWEEN = re.compile(rb"[ \t\r]*+")
_BARE = re.compile(rb'(?:[^"{}]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)  # up to a brace, or to a string's open end
_QUOTED = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)  # up to a string's end, or to a backslash that is the last byte

log = logging.getLogger(__name__)


class Listing:
    """The objects in what one watch brings, however they are laid out over lines and reads. What is over `most` bytes
    is passed over and not kept. `loads` reads one object's bytes; raises `ValueError`."""

    def __init__(self, most: int = MOST_BYTES, loads: Callable[[bytearray], dict[str, Any]] = json.loads) -> None:
        self._most, self._loads, self._held = most, loads, bytearray()
        self._at = self._depth = 0  # what stands before `_at` has been looked at
        self._quoted = self._over = False  # inside a string; inside an object that is too long
        self._passed = 0

    def feed(self, data: bytes) -> Iterator[dict[str, Any] | None]:
        """Every sign that the other side is well, in order: an object that has come whole, or None for the end of a
        line between objects and for an object that was too long. Raises `ValueError` at what is no such thing."""
        held, begin = self._held, 0
        held += data
        while self._at < len(held):
            if not self._depth:
                begin = self._at = self._skip(held)
                if self._at == len(held):
                    break
                if held[self._at] == 0x0A:
                    begin = self._at = self._at + 1
                    yield None
                    continue
                if held[self._at] != 0x7B:
                    raise ValueError(f"no list: {bytes(held[self._at:self._at + 80])!r}")
            if not self._walk(held):
                break
            if self._over or self._at - begin > self._most:
                self._over = False
                self._pass_over()
                yield None
            else:
                yield self._loads(held[begin:self._at])
            begin = self._at
        if self._depth and (self._over or len(held) - begin > self._most):
            self._over, begin = True, self._at
        del held[:begin]
        self._at -= begin

    def _skip(self, held: bytearray) -> int:
        found = _BETWEEN.match(held, self._at)
        assert found is not None  # it matches nothing too
        return found.end()

    def _walk(self, held: bytearray) -> bool:
        """Go on to the end of the object; False where it has not come yet."""
        while self._at < len(held):
            found = (_QUOTED if self._quoted else _BARE).match(held, self._at)
            assert found is not None
            self._at = found.end()
            if self._at == len(held) or (byte := held[self._at]) == 0x5C:
                return False
            self._at += 1
            if byte == 0x22:
                self._quoted = not self._quoted
            else:
                self._depth += 1 if byte == 0x7B else -1
                if not self._depth:
                    return True
        return False

    def _pass_over(self) -> None:
        self._passed += 1
        log.warning("discovery: passed over a list of more than %d bytes, %d on this watch", self._most, self._passed)


def entries(data: Mapping[str, Any], names: Names) -> list[tuple[api.EndpointInfo, Address]]:
    """The entries of a list that can be read."""
    found, passed, first = [], 0, ""
    rows = data.get("hosts") or ()
    if not isinstance(rows, list | tuple):
        raise ValueError("hosts is no list")
    for row in rows:
        try:
            found.append(names.entry(row))
        except UNREADABLE as error:
            passed += 1
            first = first or f"{row!r:.200}: {error!r:.200}"
    if passed:
        log.warning("discovery: passed over %d of %d entries, the first: %s", passed, len(rows), first)
    return found
