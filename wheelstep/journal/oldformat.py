"""How the format of version 0.1 reads: one file, no mark, no sequence. No I/O."""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

from wheelstep.journal import codec
from wheelstep.journal.state import State, Stored

OLD_LOG, OLD_NEW, TAKEOVER = "journal.log", "journal.new", "takeover.new"
_OLD_HEAD = struct.Struct(">II")


def fingerprint(data: bytes) -> str:
    """Tells a file of the old format from any other."""
    return f"{len(data)}-{zlib.crc32(data):08x}"


def old_state(data: bytes) -> State:
    """What such a file holds."""
    state = State()
    for head, body in old_records(data):
        _apply_old(state, head, body)
    return state


def old_records(data: bytes) -> list[tuple[dict[str, Any], bytes]]:
    """Every whole record; behind damage, which that format has no mark to bridge, the next one that fits."""
    rows, at = [], 0
    while at + _OLD_HEAD.size <= len(data):
        length, checksum = _OLD_HEAD.unpack_from(data, at)
        end = at + _OLD_HEAD.size + length
        payload = data[at + _OLD_HEAD.size:end]
        if length > codec.MOST_PAYLOAD or end > len(data) or zlib.crc32(payload) != checksum or not length:
            at = _next_old(data, at + 1)
            continue
        head, _, body = payload.partition(b"\n")
        rows.append((json.loads(head), body))
        at = end
    return rows


def _next_old(data: bytes, at: int) -> int:
    """Every record's payload begins with the same bytes."""
    while (found := data.find(b'{"t":"', at + _OLD_HEAD.size)) >= 0:
        start = found - _OLD_HEAD.size
        length, checksum = _OLD_HEAD.unpack_from(data, start)
        payload = data[found:found + length]
        if length == len(payload) and zlib.crc32(payload) == checksum:
            return start
        at = found - _OLD_HEAD.size + 1
    return len(data)


def _apply_old(state: State, head: dict[str, Any], body: bytes) -> None:
    kind, name = head["t"], head["i"]
    if kind == "k":
        state.mark(name, head["v"])
    elif kind == "m":
        notice = head["no"]
        state.take(Stored(name, head["c"], head["d"], head["by"], head["k"], head["tk"], head["re"], body, head["n"],
                          head["rm"], head["ra"], {int(n): (at, where) for n, (at, where) in head["out"].items()},
                          (notice[0], notice[1]) if notice else None, state.next_seq))
    elif kind == "a":
        state.attempt(name, head["n"], head["at"], head["e"])
    elif kind == "o":
        state.outcome(name, head["n"], head["r"])
    elif kind == "e":
        state.end(name, head["o"], head["ms"])
    elif kind == "x":
        state.over(name)
