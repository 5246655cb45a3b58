"""Rows of the list by shard: conversion from discovery's JSON and to a courier's row, and digests. No I/O; imports
msgspec and xxhash."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from wheelstep.courier.config import ROW_ERRORS, Address, Names
from wheelstep.courier.rows import Row
from wheelstep.shards.types import ListRow

DELETED = "DELETED"
HEALTHS = ("SERVING", "DRAINING", DELETED)
MAX_ROW_BYTES = 1_024  # maximum size of a packed row
MAX_SHARD_ROWS = 65_536  # maximum number of rows of one shard
_NULL = msgspec.Raw(b"null")
_MASK = (1 << 64) - 1

_encode = msgspec.msgpack.Encoder().encode


class _Entry(msgspec.Struct):
    """An entry of discovery's list in its usual form."""

    host: str
    dial: str
    block: int
    health: str
    site: str = ""
    kind: str = msgspec.field(name="class", default="")
    share: float = 1.0


_ENTRY = msgspec.json.Decoder(_Entry)
_LIST = msgspec.json.Decoder(dict[str, msgspec.Raw])
_HOSTS = msgspec.json.Decoder(list[msgspec.Raw])


def packed(row: ListRow) -> bytes:
    """The row's canonical bytes."""
    return _encode(row)


def hash_of(packed_row: bytes) -> int:
    """The 64-bit hash of a row's canonical bytes."""
    return xxhash.xxh3_64_intdigest(packed_row)


def digest_of_sum(total: int) -> int:
    """The digest of rows whose hashes have this sum, which may exceed 64 bits or be negative. Never 0: a sum of 0 gives
    1."""
    return total & _MASK or 1


def digest_of(rows: Iterable[ListRow]) -> int:
    """A 64-bit digest of the rows, independent of their order and never 0."""
    return digest_of_sum(sum(hash_of(_encode(row)) for row in rows))


def read_list(data: bytes | bytearray) -> dict[str, Any]:
    """Decodes a list of discovery but leaves its rows encoded, so that they can be decoded in slices. Raises
    `ValueError`."""
    try:
        outer = _LIST.decode(data)
        found: dict[str, Any] = {name: msgspec.json.decode(raw) for name, raw in outer.items() if name != "hosts"}
        if outer.get("hosts", _NULL) != _NULL:
            found["hosts"] = _HOSTS.decode(outer["hosts"])
    except msgspec.DecodeError as error:
        raise ValueError(f"invalid list, expected a JSON object: {error}") from error
    return found


def read_entry(raw: msgspec.Raw | bytes) -> ListRow:
    """Decodes one entry of discovery's list. Accepts what a courier's own `Names.parse_row` accepts if it also fits the
    limits of `row_error`; raises `ValueError` otherwise."""
    try:
        row = _ENTRY.decode(raw)
        return _validated(ListRow(row.host, row.dial, row.site, row.kind, row.block, row.health, row.share))
    except msgspec.DecodeError:
        return _decode_lenient(bytes(raw))


def _decode_lenient(raw: bytes) -> ListRow:
    """Decodes an entry that is not in the usual form."""
    try:
        row = json.loads(raw)
        site, kind = row.get("site"), row.get("class")
        return _validated(ListRow(
            str(row["host"]), str(row["dial"]), site if isinstance(site, str) else "",
            kind if isinstance(kind, str) else "", int(row["block"]), row["health"], float(row.get("share", 1.0))))
    except ROW_ERRORS as error:
        raise ValueError(f"{raw[:200]!r}: {error!r:.200}") from error


def _validated(row: ListRow) -> ListRow:
    error = row_error(row)
    if error:
        raise ValueError(error)
    return row


def row_error(row: ListRow) -> str:
    """Why the row cannot be in the list; empty if it is valid."""
    if row.health not in HEALTHS:
        return f"health {row.health!r:.80}; expected one of {', '.join(HEALTHS)}"
    try:
        Address.parse(row.dial)
    except ValueError as error:
        return f"dial: {error}"[:200] + "; expected host:port"
    try:
        size = len(_encode(row))
    except (ValueError, OverflowError) as error:
        return f"row that cannot be encoded: {error}"[:200] + "; expected UTF-8 and 64-bit numbers"
    return f"row of {size} bytes; expected {MAX_ROW_BYTES} at most" if size > MAX_ROW_BYTES else ""


def as_deletion(row: ListRow) -> ListRow:
    """The row as a change that removes it."""
    return ListRow(row.host, row.dial, row.site, row.kind, row.block, DELETED, row.share)


def entry_of(row: ListRow) -> Mapping[str, Any]:
    """The row as an entry with discovery's names."""
    return {"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind, "block": row.block,
            "health": row.health, "share": row.share}


def courier_row(row: ListRow, names: Names) -> Row:
    """The row as in a courier's own list; raises the errors in `ROW_ERRORS`."""
    return names.parse_row(entry_of(row))
