"""The record format of the journal: encoding, decoding and scanning. No I/O.

A record is a marker of two bytes, the payload's length, a CRC-32 over length and payload, and the payload; numbers are
big-endian. The payload's first byte is the kind of the record. A reader uses the marker to find the next valid record
after damage; the marker may also occur inside a payload, because length and checksum must match as well.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wheelstep.journal.state import StoredMessage

VERSION = 1
MARKER = b"\xf1J"
_HEAD = struct.Struct(">2sII")
_LENGTH = struct.Struct(">I")
_ATTEMPT, _OUTCOME, _END = struct.Struct(">cIqB"), struct.Struct(">cI?B"), struct.Struct(">cIBB")
MAX_PAYLOAD = 1 << 20  # a longer length is treated as damage
OVERHEAD = _HEAD.size

HEADER, TAKE, ATTEMPT, OUTCOME, END, OVER, FACT, LOW = b"hmaoexkl"
_OVER = bytes([OVER])
# Built once: `json.dumps` builds an encoder on each call.
_encode_json = json.JSONEncoder(separators=(",", ":"), check_circular=False).encode


class FormatError(Exception):
    """A journal written in a format or version that this program does not know."""


@dataclass(frozen=True, slots=True)
class Header:
    """A segment's first record.

    `low` is the lowest segment that was in use when this one was begun, `before` the number of valid bytes in the
    previous segment, `taken_over` the fingerprint of the old-format file that was migrated into this segment, if any.
    """

    number: int
    low: int
    before: int
    taken_over: str = ""


Record = tuple[int, Any]
"""A record's kind and its decoded value: see `decode`."""


_crc32 = zlib.crc32


def _frame(payload: bytes) -> bytes:
    """Wrap a payload into a record. Raises `ValueError` if it is too long."""
    length = len(payload)
    if length > MAX_PAYLOAD:
        raise ValueError(f"record payload of {length} bytes; expected {MAX_PAYLOAD} at most")
    return _HEAD.pack(MARKER, length, _crc32(payload, _crc32(_LENGTH.pack(length)))) + payload


def header(head: Header) -> bytes:
    """Encode a segment's header record."""
    return _frame(b"h" + json.dumps({"format": "umberchute-journal", "version": VERSION, "number": head.number,
                                     "low": head.low, "before": head.before, "taken_over": head.taken_over}).encode())


def take(message: StoredMessage) -> bytes:
    """Encode a whole message: one that is accepted, or one that is copied forward by compaction."""
    fields = [message.seq, message.id, message.message_class, message.destination, message.deadline_ms, message.key,
              message.token, int(message.resubmitted), message.attempts, message.ran_ms, message.ran_at,
              [[n, *sent] for n, sent in message.out.items()], message.notice]
    if message.channel is not None:  # omitted without a channel, so that a version without channels can read the folder
        fields += [message.channel, message.number]
    head = _encode_json(fields).encode()
    return _frame(b"m" + _LENGTH.pack(len(head)) + head + (b"" if message.notice else message.body))


def attempt(message: str, number: int, at_ms: int, endpoint: str) -> bytes:
    """Encode that an attempt is about to be sent to its endpoint."""
    name = message.encode()
    return _frame(_ATTEMPT.pack(b"a", number, at_ms, len(name)) + name + endpoint.encode())


def outcome(message: str, number: int, may_have_run: bool) -> bytes:
    """Encode that an attempt has ended while the message stays open."""
    name = message.encode()
    return _frame(_OUTCOME.pack(b"o", number, may_have_run, len(name)) + name)


def end(message: str, result: str, retry_ms: int) -> bytes:
    """Encode a message's final outcome; its notice to the platform is still to be delivered."""
    name, reason = message.encode(), result.encode()
    return _frame(_END.pack(b"e", min(retry_ms, 0xFFFFFFFF), len(name), len(reason)) + name + reason)


def over(message: str) -> bytes:
    """Encode that a message is finished: the courier has no more obligation for it."""
    return _frame(_OVER + message.encode())


def fact(name: str, value: Any) -> bytes:
    """Encode a named value; None deletes it."""
    return _frame(b"k" + _encode_json([name, value]).encode())


def low(number: int) -> bytes:
    """Encode that segments below this number are no longer in use."""
    return _frame(b"l" + _LENGTH.pack(number))


def decode(payload: bytes) -> Record:
    """Return the kind of a payload and its value: a `Header`, a `StoredMessage`, or a plain tuple, string or number.

    Raises `FormatError` for an unknown kind or version.
    """
    kind = payload[0]
    if kind == ATTEMPT:
        _, number, at_ms, size = _ATTEMPT.unpack_from(payload)
        offset = _ATTEMPT.size + size
        return kind, (payload[_ATTEMPT.size:offset].decode(), number, at_ms, payload[offset:].decode())
    if kind == OUTCOME:
        _, number, ran, size = _OUTCOME.unpack_from(payload)
        return kind, (payload[_OUTCOME.size:_OUTCOME.size + size].decode(), number, ran)
    if kind == OVER:
        return kind, payload[1:].decode()
    if kind == TAKE:
        start = 1 + _LENGTH.size
        stop = start + _LENGTH.unpack_from(payload, 1)[0]
        (seq, name, cls, destination, deadline, key, token, resubmitted, attempts, ran_ms, ran_at, out,
         notice, *channel_fields) = json.loads(payload[start:stop])
        return kind, StoredMessage(name, cls, destination, deadline, key, token, bool(resubmitted), payload[stop:],
                                   attempts, ran_ms, ran_at, {n: (at_ms, endpoint) for n, at_ms, endpoint in out},
                            (notice[0], notice[1]) if notice else None, seq, *channel_fields)
    if kind == END:
        _, retry_ms, size, reason_size = _END.unpack_from(payload)
        offset = _END.size + size
        return kind, (payload[_END.size:offset].decode(), payload[offset:offset + reason_size].decode(), retry_ms)
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
    raise FormatError(f"record kind {kind}; expected a kind of umberchute-journal version {VERSION}")


@dataclass(frozen=True, slots=True)
class Gap:
    """Bytes from `start` to `stop` that are not part of a valid record.

    `tail` is true if they may be the beginning of a record that was not written completely, with no valid record after
    it.
    """

    start: int
    stop: int
    tail: bool


def scan(data: bytes) -> Iterator[tuple[int, Record] | Gap]:
    """Yield each valid record with the offset of its end, and each `Gap` between records."""
    offset, size = 0, len(data)
    while offset < size:
        payload = _payload_at(data, offset, size)
        if payload is not None:
            offset += OVERHEAD + len(payload)
            yield offset, decode(payload)
            continue
        after = data.find(MARKER, offset + 1)
        while after >= 0 and _payload_at(data, after, size) is None:
            after = data.find(MARKER, after + 1)
        if after < 0:
            yield Gap(offset, size, _is_cut_off(data, offset, size))
            return
        yield Gap(offset, after, False)
        offset = after


def _is_cut_off(data: bytes, offset: int, size: int) -> bool:
    """Return whether the data ends before the record that begins here does.

    A record that is complete but does not match its checksum was changed after it was written, and so is not cut off.
    """
    if offset + OVERHEAD > size:
        return True
    marker, length, _ = _HEAD.unpack_from(data, offset)
    if marker != MARKER:
        return not any(data[offset:size])  # sectors that were never flushed read as zeros
    return bool(offset + OVERHEAD + length > size)


def _payload_at(data: bytes, offset: int, size: int) -> bytes | None:
    """Return the payload of the record at `offset`, or None if no valid record begins there."""
    start = offset + OVERHEAD
    if start > size:
        return None
    marker, length, crc = _HEAD.unpack_from(data, offset)
    stop = start + length
    if marker != MARKER or not 0 < length <= MAX_PAYLOAD or stop > size:
        return None
    payload = data[start:stop]
    return payload if zlib.crc32(payload, zlib.crc32(data[offset + 2:offset + 6])) == crc else None
