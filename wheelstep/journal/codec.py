"""The record codec. No I/O.

A record is a mark of two bytes, the payload's length, a CRC-32 over length and payload, and the payload; numbers
are big-endian. The payload's first byte tells its kind. The mark lets a reader find the next whole record behind
damage; a mark inside a body is no harm, since length and checksum must fit as well.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wheelstep.journal.state import Stored

VERSION = 1
MARK = b"\xf1J"
_HEAD = struct.Struct(">2sII")
_LENGTH = struct.Struct(">I")
_ATTEMPT, _OUTCOME, _END = struct.Struct(">cIqB"), struct.Struct(">cI?B"), struct.Struct(">cIBB")
MOST_PAYLOAD = 1 << 20  # a longer length is garbage
OVERHEAD = _HEAD.size

HEADER, TAKE, ATTEMPT, OUTCOME, END, OVER, FACT, LOW = b"hmaoexkl"
_OVER = bytes([OVER])
_json = json.JSONEncoder(separators=(",", ":"), check_circular=False).encode  # made once: `dumps` makes one each time


class FormatError(Exception):
    """A journal of a format that this program does not know."""


@dataclass(frozen=True, slots=True)
class Header:
    """A segment's first record. `low` is the lowest segment that counted when it was begun, `before` how many bytes
    of the one before it were whole; `taken_over` tells which file of the old format went into it."""

    number: int
    low: int
    before: int
    taken_over: str = ""


Record = tuple[int, Any]
"""A kind and its fields: see `decode`."""


_crc32 = zlib.crc32


def _frame(payload: bytes) -> bytes:
    length = len(payload)
    if length > MOST_PAYLOAD:
        raise ValueError(f"a record of {length} bytes, {MOST_PAYLOAD} at most")
    return _HEAD.pack(MARK, length, _crc32(payload, _crc32(_LENGTH.pack(length)))) + payload


def header(head: Header) -> bytes:
    """The first record of a segment."""
    return _frame(b"h" + json.dumps({"format": "umberchute-journal", "version": VERSION, "number": head.number,
                                     "low": head.low, "before": head.before, "taken_over": head.taken_over}).encode())


def take(m: Stored) -> bytes:
    """A message whole, as it stands: it was taken on, or is copied forward."""
    fields = [m.seq, m.id, m.message_class, m.destination, m.deadline_ms, m.key, m.token, int(m.resubmitted),
              m.attempts, m.ran_ms, m.ran_at, [[n, *sent] for n, sent in m.out.items()], m.notice]
    if m.channel is not None:  # only then, so that a folder without channels can be read by a program without them
        fields += [m.channel, m.number]
    head = _json(fields).encode()
    return _frame(b"m" + _LENGTH.pack(len(head)) + head + (b"" if m.notice else m.body))


def attempt(message: str, number: int, at_ms: int, endpoint: str) -> bytes:
    """An attempt is about to be written to its endpoint."""
    name = message.encode()
    return _frame(_ATTEMPT.pack(b"a", number, at_ms, len(name)) + name + endpoint.encode())


def outcome(message: str, number: int, may_have_run: bool) -> bytes:
    """An attempt has ended, and the message goes on."""
    name = message.encode()
    return _frame(_OUTCOME.pack(b"o", number, may_have_run, len(name)) + name)


def end(message: str, told: str, retry_ms: int) -> bytes:
    """The final answer is decided."""
    name, what = message.encode(), told.encode()
    return _frame(_END.pack(b"e", min(retry_ms, 0xFFFFFFFF), len(name), len(what)) + name + what)


def over(message: str) -> bytes:
    """Nothing more is owed."""
    return _frame(_OVER + message.encode())


def fact(name: str, value: Any) -> bytes:
    """A small fact; None forgets it."""
    return _frame(b"k" + _json([name, value]).encode())


def low(number: int) -> bytes:
    """Segments below this number count no more."""
    return _frame(b"l" + _LENGTH.pack(number))


def decode(payload: bytes) -> Record:
    """The kind and fields of a payload whose checksum fits: a `Header`, a `Stored`, or a tuple."""
    kind = payload[0]
    if kind == ATTEMPT:
        _, number, at_ms, size = _ATTEMPT.unpack_from(payload)
        at = _ATTEMPT.size + size
        return kind, (payload[_ATTEMPT.size:at].decode(), number, at_ms, payload[at:].decode())
    if kind == OUTCOME:
        _, number, ran, size = _OUTCOME.unpack_from(payload)
        return kind, (payload[_OUTCOME.size:_OUTCOME.size + size].decode(), number, ran)
    if kind == OVER:
        return kind, payload[1:].decode()
    if kind == TAKE:
        start = 1 + _LENGTH.size
        stop = start + _LENGTH.unpack_from(payload, 1)[0]
        (seq, name, cls, destination, deadline, key, token, again, attempts, ran_ms, ran_at, out,
         notice, *place) = json.loads(payload[start:stop])
        return kind, Stored(name, cls, destination, deadline, key, token, bool(again), payload[stop:], attempts,
                            ran_ms, ran_at, {n: (at_ms, where) for n, at_ms, where in out},
                            (notice[0], notice[1]) if notice else None, seq, *place)
    if kind == END:
        _, retry_ms, size, what = _END.unpack_from(payload)
        at = _END.size + size
        return kind, (payload[_END.size:at].decode(), payload[at:at + what].decode(), retry_ms)
    if kind == FACT:
        name, value = json.loads(payload[1:])
        return kind, (name, value)
    if kind == LOW:
        return kind, _LENGTH.unpack_from(payload, 1)[0]
    if kind == HEADER:
        head = json.loads(payload[1:])
        if head.get("format") != "umberchute-journal" or head.get("version") != VERSION:
            raise FormatError(f"format {head.get('format')} version {head.get('version')}; "
                              f"expected umberchute-journal version {VERSION}")
        return kind, Header(head["number"], head["low"], head["before"], head["taken_over"])
    raise FormatError(f"a record of kind {kind}; expected one of version {VERSION}")


@dataclass(frozen=True, slots=True)
class Gap:
    """Bytes that are no whole record, from `start` to `stop`; `tail` if they may be the first part of a record whose
    rest was never written, and nothing whole follows."""

    start: int
    stop: int
    tail: bool


def scan(data: bytes) -> Iterator[tuple[int, Record] | Gap]:
    """Every whole record with the offset behind it, and every gap between them."""
    at, size = 0, len(data)
    while at < size:
        payload = _whole(data, at, size)
        if payload is not None:
            at += OVERHEAD + len(payload)
            yield at, decode(payload)
            continue
        after = data.find(MARK, at + 1)
        while after >= 0 and _whole(data, after, size) is None:
            after = data.find(MARK, after + 1)
        if after < 0:
            yield Gap(at, size, _cut_short(data, at, size))
            return
        yield Gap(at, after, False)
        at = after


def _cut_short(data: bytes, at: int, size: int) -> bool:
    """Does the data end before the record that begins here does? One that is all there and does not fit its checksum
    was changed after it was written."""
    if at + OVERHEAD > size:
        return True
    mark, length, _ = _HEAD.unpack_from(data, at)
    if mark != MARK:
        return not any(data[at:size])  # sectors that were never written back read as zeros
    return bool(at + OVERHEAD + length > size)


def _whole(data: bytes, at: int, size: int) -> bytes | None:
    """The payload of a whole record that begins here."""
    start = at + OVERHEAD
    if start > size:
        return None
    mark, length, crc = _HEAD.unpack_from(data, at)
    stop = start + length
    if mark != MARK or not 0 < length <= MOST_PAYLOAD or stop > size:
        return None
    payload = data[start:stop]
    return payload if zlib.crc32(payload, zlib.crc32(data[at + 2:at + 6])) == crc else None
