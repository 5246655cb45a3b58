"""The record's form: lines of text, each a checksum and a line of JSON.

The checksum (CRC-32, eight hex digits) runs on over all lines so far, so that a missing line shows as well as a
changed one. The first line holds what a replay must know; the last one says why the record ended. No I/O here.
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
_MOST_LINE = 1 << 20


class RecordError(Exception):
    """A record that can't be read; its text names the line."""


@dataclass(frozen=True, slots=True)
class Head:
    """What a replay must know of the courier: its settings and list, in its configuration's form."""

    name: str
    began_ms: int  # Unix time
    settings: dict[str, Any]
    hosts: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Row:
    """One message as it was handed in; `body` only where bodies are recorded."""

    at_us: int  # since the record began
    message_class: str
    destination: int
    key: str | None
    keyed: bool  # did it carry an idempotency key?
    size: int
    deadline_ms: int  # the time it still had
    status: int  # what the courier answered
    again: bool = False  # it had been handed in before
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Record:
    """A record that was read. `damage` says where and why reading stopped, if it was not at the end."""

    head: Head
    rows: tuple[Row, ...]
    ended: str  # "closed", "full" or "" where it was cut off
    damage: str = ""


class Encoder:
    """Makes lines, one after another."""

    def __init__(self) -> None:
        self._sum = 0

    def _line(self, value: Any) -> bytes:
        text = json.dumps(value, separators=(",", ":")).encode()
        self._sum = zlib.crc32(text, self._sum)
        return b"%08x %b\n" % (self._sum, text)

    def state(self) -> int:
        """The sum so far, for `rewind`."""
        return self._sum

    def rewind(self, state: int) -> None:
        """Forget the lines made since `state`: they were not written."""
        self._sum = state

    def head(self, head: Head) -> bytes:
        """The first line."""
        return self._line({"format": FORMAT, "version": VERSION, "name": head.name, "began_ms": head.began_ms,
                           "settings": head.settings, "hosts": head.hosts})

    def row(self, row: Row) -> bytes:
        """One message."""
        body = [base64.b64encode(row.body).decode()] if row.body is not None else []
        return self._line([row.at_us, row.message_class, row.destination, row.key, int(row.keyed), row.size,
                           row.deadline_ms, row.status, int(row.again), *body])

    def end(self, why: str) -> bytes:
        """The last line."""
        return self._line({"end": why})


def read(lines: Iterable[bytes], up_to_damage: bool = False) -> Record:
    """Read a record. Where it is cut off or damaged, raise `RecordError`, or with `up_to_damage` return what came
    before and say so in `damage`."""
    head: Head | None = None
    rows: list[Row] = []
    total, number, ended, damage = 0, 0, "", ""
    for number, line in enumerate(lines, 1):
        try:
            if ended:
                raise ValueError("something follows the last line")
            total, value = _check(line, total)
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
        raise RecordError(damage if damage.startswith("line") else "line 1: missing; expected a record's head")
    if damage and not up_to_damage:
        raise RecordError(f"{damage}; {len(rows)} messages before it can be read")
    return Record(head, tuple(rows), ended, damage)


def _check(line: bytes, total: int) -> tuple[int, Any]:
    mark, _, text = line.rstrip(b"\n").partition(b" ")
    if not line.endswith(b"\n") or len(line) > _MOST_LINE:
        raise ValueError("no whole line")
    now = zlib.crc32(text, total)
    if mark != b"%08x" % now:
        raise ValueError("the checksum does not fit")
    return now, json.loads(text)


def _head(value: Any) -> Head:
    if not isinstance(value, dict) or value.get("format") != FORMAT:
        raise ValueError(f"no {FORMAT}")
    if value.get("version") != VERSION:
        raise ValueError(f"version {value.get('version')}; expected {VERSION}")
    return Head(str(value["name"]), int(value["began_ms"]), dict(value["settings"]), list(value["hosts"]))


def _row(value: Any) -> Row:
    at_us, cls, destination, key, keyed, size, deadline_ms, status, again, *body = value
    return Row(int(at_us), str(cls), int(destination), key, bool(keyed), int(size), int(deadline_ms), int(status),
               bool(again), base64.b64decode(body[0], validate=True) if body else None)
