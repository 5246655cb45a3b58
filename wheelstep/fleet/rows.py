"""What a voter keeps of each part, and the records that it is kept in. No I/O; imports msgspec."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wheelstep.fleet.types import Ballot, Holding

FLEET = -1  # a row of its own: has the fleet begun?
NEW = Ballot(0, "")  # this voter has heard that all others have nothing either
BEGUN = Ballot(1, "")  # it votes


@dataclass(slots=True)
class Row:
    """The highest ballot promised, and what was accepted last. `place`: of the record that has it."""

    promised: Ballot
    accepted: Ballot | None = None
    holding: Holding | None = None
    place: int = 0


@dataclass(slots=True)
class Rows:
    """A voter's state as its log has it, by part. `FLEET not in rows` where the voter is blank."""

    rows: dict[int, Row] = field(default_factory=dict)
    place: int = 0


class _Record(msgspec.Struct, array_like=True):
    place: int
    part: int
    promised: Ballot
    accepted: Ballot | None
    holding: Holding | None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Record)


def record(place: int, part: int, row: Row) -> bytes:
    """A row as it goes into the log."""
    return _ENCODER.encode(_Record(place, part, row.promised, row.accepted, row.holding))


def replay(records: Iterable[bytes]) -> Rows:
    """The state that records leave, the last of a part counting. `msgspec.DecodeError` for what is no record."""
    state = Rows()
    for data in records:
        read = _DECODER.decode(data)
        state.rows[read.part] = Row(read.promised, read.accepted, read.holding, read.place)
        state.place = max(state.place, read.place)
    return state


def higher(row: Row | None, other: Row) -> Row | None:
    """Both together, the higher promise and the higher epoch; None if `other` adds nothing."""
    if row is None:
        return other
    promised = max(row.promised, other.promised)
    mine, its = ((each.holding.epoch, each.accepted) if each.holding and each.accepted else (0, Ballot(0, ""))
                 for each in (row, other))
    if promised == row.promised and mine >= its:
        return None
    best = row if mine >= its else other
    return Row(max(promised, best.promised), best.accepted, best.holding)
