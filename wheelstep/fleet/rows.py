"""The state of a voter by part, and its log records. No I/O; imports msgspec."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wheelstep.fleet.types import Ballot, Ownership

FLEET_ROW = -1  # pseudo-part whose row says whether the fleet has begun
AGREED_NEW = Ballot(0, "")  # all other voters have reported that they are blank too
BEGUN = Ballot(1, "")  # this voter votes


@dataclass(slots=True)
class Row:
    """The highest ballot promised, and the last holding accepted. `place` is the log position of its record."""

    promised: Ballot
    accepted: Ballot | None = None
    holding: Ownership | None = None
    place: int = 0


@dataclass(slots=True)
class Rows:
    """The state of a voter as read from its log, by part. A blank voter has no `FLEET` row."""

    rows: dict[int, Row] = field(default_factory=dict)
    place: int = 0


class _Record(msgspec.Struct, array_like=True):
    place: int
    part: int
    promised: Ballot
    accepted: Ballot | None
    holding: Ownership | None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Record)


def encode_record(place: int, part: int, row: Row) -> bytes:
    """Return the log record of a row."""
    return _ENCODER.encode(_Record(place, part, row.promised, row.accepted, row.holding))


def replay(records: Iterable[bytes]) -> Rows:
    """Return the state after the records; the last record of a part wins. Raises `msgspec.DecodeError` for bad data."""
    state = Rows()
    for data in records:
        decoded = _DECODER.decode(data)
        state.rows[decoded.part] = Row(decoded.promised, decoded.accepted, decoded.holding, decoded.place)
        state.place = max(state.place, decoded.place)
    return state


def merge_rows(row: Row | None, other: Row) -> Row | None:
    """Merge two rows: the higher promise and the holding of the higher epoch; None if `other` adds nothing."""
    if row is None:
        return other
    promised = max(row.promised, other.promised)
    own_key, other_key = (
        (each.holding.epoch, each.accepted) if each.holding and each.accepted else (0, Ballot(0, ""))
        for each in (row, other))
    if promised == row.promised and own_key >= other_key:
        return None
    best = row if own_key >= other_key else other
    return Row(max(promised, best.promised), best.accepted, best.holding)
