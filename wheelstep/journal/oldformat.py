"""Reading the journal format of version 0.1: one file, records without marker or sequence number. No I/O."""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

from wheelstep.journal import codec
from wheelstep.journal.state import State, StoredMessage

OLD_FORMAT_FILE, OLD_REWRITE, MIGRATION = "journal.log", "journal.new", "takeover.new"
_RECORD_HEADER = struct.Struct(">II")


def fingerprint(data: bytes) -> str:
    """Return a text that identifies the content of an old-format file."""
    return f"{len(data)}-{zlib.crc32(data):08x}"


def read_old_state(data: bytes) -> State:
    """Replay the content of an old-format file."""
    state = State()
    for head, body in read_old_records(data):
        _apply_record(state, head, body)
    return state


def read_old_records(data: bytes) -> list[tuple[dict[str, Any], bytes]]:
    """Return every valid record as its JSON head and its body.

    The format has no marker: after damage, reading continues at the next record whose checksum matches.
    """
    records, offset = [], 0
    while offset + _RECORD_HEADER.size <= len(data):
        length, checksum = _RECORD_HEADER.unpack_from(data, offset)
        end = offset + _RECORD_HEADER.size + length
        payload = data[offset + _RECORD_HEADER.size:end]
        if length > codec.MAX_PAYLOAD or end > len(data) or zlib.crc32(payload) != checksum or not length:
            offset = _next_record(data, offset + 1)
            continue
        head, _, body = payload.partition(b"\n")
        records.append((json.loads(head), body))
        offset = end
    return records


def _next_record(data: bytes, offset: int) -> int:
    """Return the offset of the next valid record, or the data's length. Relies on all payloads beginning with the same
    bytes."""
    while (found := data.find(b'{"t":"', offset + _RECORD_HEADER.size)) >= 0:
        start = found - _RECORD_HEADER.size
        length, checksum = _RECORD_HEADER.unpack_from(data, start)
        payload = data[found:found + length]
        if length == len(payload) and zlib.crc32(payload) == checksum:
            return start
        offset = found - _RECORD_HEADER.size + 1
    return len(data)


def _apply_record(state: State, head: dict[str, Any], body: bytes) -> None:
    kind, name = head["t"], head["i"]
    if kind == "k":
        state.mark(name, head["v"])
    elif kind == "m":
        notice = head["no"]
        state.take(StoredMessage(name, head["c"], head["d"], head["by"], head["k"], head["tk"], head["re"], body,
                                 head["n"], head["rm"], head["ra"],
                                 {int(n): (at_ms, endpoint) for n, (at_ms, endpoint) in head["out"].items()},
                                 (notice[0], notice[1]) if notice else None, state.next_seq))
    elif kind == "a":
        state.attempt(name, head["n"], head["at"], head["e"])
    elif kind == "o":
        state.outcome(name, head["n"], head["r"])
    elif kind == "e":
        state.end(name, head["o"], head["ms"])
    elif kind == "x":
        state.over(name)
