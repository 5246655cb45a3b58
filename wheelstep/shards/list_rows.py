"""Rows of the list by shard: discovery's JSON to `ListRow`, `ListRow` to a courier's row, and digests. No I/O; imports
msgspec and xxhash.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from wheelstep.courier.config import UNREADABLE, Address, Names
from wheelstep.courier.rows import Row
from wheelstep.shards.types import ListRow

DELETED = "DELETED"
HEALTHS = ("SERVING", "DRAINING", DELETED)
ROW_BYTES = 1_024  # a row packed, at most
SHARD_ROWS = 65_536  # rows of one shard, at most
_NULL = msgspec.Raw(b"null")
_MASK = (1 << 64) - 1

_pack = msgspec.msgpack.Encoder().encode


class _Entry(msgspec.Struct):
    """A line of discovery's list, as nearly all of them are written."""

    host: str
    dial: str
    block: int
    health: str
    site: str = ""
    kind: str = msgspec.field(name="class", default="")
    share: float = 1.0


_ENTRY = msgspec.json.Decoder(_Entry)
_OUTER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_HOSTS = msgspec.json.Decoder(list[msgspec.Raw])


def packed(row: ListRow) -> bytes:
    """The row's canonical bytes."""
    return _pack(row)


def hash_of(packed_row: bytes) -> int:
    """64 bits of a row's canonical bytes."""
    return xxhash.xxh3_64_intdigest(packed_row)


def digest_of_sum(total: int) -> int:
    """The digest of rows whose hashes have this sum; it may have run over 64 bits or below 0."""
    return total & _MASK or 1


def digest_of(rows: Iterable[ListRow]) -> int:
    """64 bits, never 0, independent of order."""
    return digest_of_sum(sum(hash_of(_pack(row)) for row in rows))


def read_list(data: bytes | bytearray) -> dict[str, Any]:
    """A list of discovery whose rows stay as they were written, so that they can be read in slices. Raises
    `ValueError`."""
    try:
        outer = _OUTER.decode(data)
        found: dict[str, Any] = {name: msgspec.json.decode(raw) for name, raw in outer.items() if name != "hosts"}
        if outer.get("hosts", _NULL) != _NULL:
            found["hosts"] = _HOSTS.decode(outer["hosts"])
    except msgspec.DecodeError as error:
        raise ValueError(f"no list: {error}") from error
    return found


def read_entry(raw: msgspec.Raw | bytes) -> ListRow:
    """One line of discovery's list. What a courier's own `Names.entry` takes is taken here; raises `ValueError`
    for all else."""
    try:
        row = _ENTRY.decode(raw)
        return _checked(ListRow(row.host, row.dial, row.site, row.kind, row.block, row.health, row.share))
    except msgspec.DecodeError:
        return _slow(bytes(raw))


def _slow(raw: bytes) -> ListRow:
    try:
        row = json.loads(raw)
        site, kind = row.get("site"), row.get("class")
        return _checked(ListRow(
            str(row["host"]), str(row["dial"]), site if isinstance(site, str) else "",
            kind if isinstance(kind, str) else "", int(row["block"]), row["health"], float(row.get("share", 1.0))))
    except UNREADABLE as error:
        raise ValueError(f"{raw[:200]!r}: {error!r:.200}") from error


def _checked(row: ListRow) -> ListRow:
    fault = fault_of(row)
    if fault:
        raise ValueError(fault)
    return row


def fault_of(row: ListRow) -> str:
    """What makes a row unfit for the list, or nothing."""
    if row.health not in HEALTHS:
        return f"health {row.health!r:.80}; expected one of {', '.join(HEALTHS)}"
    try:
        Address.parse(row.dial)
    except ValueError as error:
        return f"dial: {error}"[:200] + "; expected host:port"
    try:
        size = len(_pack(row))
    except (ValueError, OverflowError) as error:
        return f"row that can't be written: {error}"[:200] + "; expected UTF-8 and 64 bits"
    return f"row of {size} bytes; expected {ROW_BYTES} at most" if size > ROW_BYTES else ""


def deleted(row: ListRow) -> ListRow:
    """The row as a change that takes it away."""
    return ListRow(row.host, row.dial, row.site, row.kind, row.block, DELETED, row.share)


def entry_of(row: ListRow) -> Mapping[str, Any]:
    """The row with discovery's own names."""
    return {"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind, "block": row.block,
            "health": row.health, "share": row.share}


def courier_row(row: ListRow, names: Names) -> Row:
    """The row as a courier's own list has it; raises what `UNREADABLE` lists."""
    return names.entry(entry_of(row))
