"""The recording format: lines of text, each a checksum and a JSON value. No I/O.

The checksum (CRC-32 as eight hex digits) covers all lines so far, so that a missing line is detected as well as a
changed one. The first line holds what a replay needs to know; the last one states why the recording ended.
"""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

FORMAT = "umberchute-record"
VERSION = 1
_MAX_LINE_BYTES = 1 << 20


class RecordError(Exception):
    """A recording that cannot be read; the text names the line."""


@dataclass(frozen=True, slots=True)
class Head:
    """What a replay needs to know of the courier: its settings and endpoint list, in the form of its configuration."""

    name: str
    began_ms: int  # Unix time
    settings: dict[str, Any]
    hosts: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Row:
    """One message as it was received; `body` is set only where bodies are recorded."""

    at_us: int  # since the recording began
    message_class: str
    destination: int
    key: str | None
    keyed: bool  # whether it had an idempotency key
    size: int
    deadline_ms: int  # time left until its deadline
    status: int  # HTTP status of the answer
    again: bool = False  # whether the client sent it again
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """A recording that was read. `damage` states where and why reading stopped, if not at the end."""

    head: Head
    rows: tuple[Row, ...]
    ended: str  # "closed", "full", or "" if it was cut off
    damage: str = ""


class Encoder:
    """Encodes lines, one after another."""

    def __init__(self) -> None:
        """Start a new recording."""
        self._checksum = 0

    def _line(self, value: Any) -> bytes:
        """Encode a value as a line and update the checksum."""
        text = json.dumps(value, separators=(",", ":")).encode()
        self._checksum = zlib.crc32(text, self._checksum)
        return b"%08x %b\n" % (self._checksum, text)

    def state(self) -> int:
        """Return the checksum so far, for `rewind`."""
        return self._checksum

    def rewind(self, state: int) -> None:
        """Restore the checksum to an earlier `state`, because the lines since then were not written."""
        self._checksum = state

    def head(self, head: Head) -> bytes:
        """Encode the first line."""
        return self._line({"format": FORMAT, "version": VERSION, "name": head.name, "began_ms": head.began_ms,
                           "settings": head.settings, "hosts": head.hosts})

    def row(self, row: Row) -> bytes:
        """Encode one message."""
        body = [base64.b64encode(row.body).decode()] if row.body is not None else []
        return self._line([row.at_us, row.message_class, row.destination, row.key, int(row.keyed), row.size,
                           row.deadline_ms, row.status, int(row.again), *body])

    def end(self, reason: str) -> bytes:
        """Encode the last line, with the reason why the recording ended."""
        return self._line({"end": reason})


def read(lines: Iterable[bytes], up_to_damage: bool = False) -> Record:
    """Read a recording.

    If it is cut off or damaged, raise `RecordError`, or with `up_to_damage` return what precedes the damage and
    describe that in `damage`.
    """
    head: Head | None = None
    rows: list[Row] = []
    checksum, number, ended, damage = 0, 0, "", ""
    for number, line in enumerate(lines, 1):
        try:
            if ended:
                raise ValueError("found a line after the last one; expected the end")
            checksum, value = _verified(line, checksum)
            if head is None:
                head = _head(value)
            elif isinstance(value, dict):
                ended = str(value["end"])
            else:
                rows.append(_row(value))
        except (ValueError, KeyError, TypeError, IndexError, binascii.Error) as error:
            damage = f"line {number}: {error}"
            break
    if not damage and not ended:
        damage = f"cut off after line {number}"
    if head is None:
        raise RecordError(damage if damage.startswith("line") else "line 1: missing; expected the head of a recording")
    if damage and not up_to_damage:
        raise RecordError(f"{damage}; {len(rows)} messages before it can be read")
    return Record(head, tuple(rows), ended, damage)


def _verified(line: bytes, checksum: int) -> tuple[int, Any]:
    """Check a line's checksum and return the new checksum and the line's value."""
    stated, _, text = line.rstrip(b"\n").partition(b" ")
    if not line.endswith(b"\n") or len(line) > _MAX_LINE_BYTES:
        raise ValueError("no whole line")
    updated = zlib.crc32(text, checksum)
    if stated != b"%08x" % updated:
        raise ValueError("the checksum does not match")
    return updated, json.loads(text)


def _head(value: Any) -> Head:
    """Decode the first line's value."""
    if not isinstance(value, dict) or value.get("format") != FORMAT:
        raise ValueError(f"not the head of a recording; expected format {FORMAT}")
    if value.get("version") != VERSION:
        raise ValueError(f"version {value.get('version')}; expected {VERSION}")
    return Head(str(value["name"]), int(value["began_ms"]), dict(value["settings"]), list(value["hosts"]))


def _row(value: Any) -> Row:
    """Decode a message's value."""
    at_us, cls, destination, key, keyed, size, deadline_ms, status, again, *body = value
    return Row(int(at_us), str(cls), int(destination), key, bool(keyed), int(size), int(deadline_ms), int(status),
               bool(again), base64.b64decode(body[0], validate=True) if body else None)
