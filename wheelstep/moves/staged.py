"""A part's copy on its way to this courier, and the records of it in the fleet's log. No I/O; imports msgspec and the
types of moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from wheelstep.moves.steps import Limits, digest_of, mark, size_of, take
from wheelstep.moves.types import Chunk, Offer, Piece, Seal

PREFIX = b"move:"  # of these records, among others in one log


class Opened(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """A copy was begun."""

    sender: str
    offer: Offer


class Held(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """The register has named this courier at `epoch`, nobody else since the copy was whole."""

    part: int
    epoch: int


class Over(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """The copy of `epoch` has gone: adopted into the journal, or forgotten."""

    part: int
    epoch: int
    adopted: bool


Record = Opened | Chunk | Seal | Held | Over

_decoder = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()


def packed(record: Record) -> bytes:
    """A record as it stands in the log."""
    return PREFIX + _encoder.encode(record)


def unpacked(data: bytes) -> Record | None:
    """A record from the log, None where it is not a move's. Raises msgspec.ValidationError or DecodeError."""
    return _decoder.decode(data[len(PREFIX):]) if data.startswith(PREFIX) else None


@dataclass
class Copy:
    """What there is of a part. `place` is that of the last chunk taken."""

    sender: str
    offer: Offer
    seen_us: int  # when its giver was last heard
    place: int = -1
    size: int = 0
    seal: Seal | None = None  # it is whole
    held: int = 0  # the newest epoch under which the register has named this courier since, 0 none
    pieces: dict[str, Piece] = field(default_factory=dict)
    marks: dict[str, bytes] = field(default_factory=dict)

    def digest_with(self, pieces: tuple[Piece, ...]) -> str:
        """Its digest if it took these."""
        marks = dict(self.marks)
        mark(marks, pieces)
        return digest_of(marks)

    def take(self, place: int, pieces: tuple[Piece, ...]) -> None:
        """Have these as well."""
        self.place = place
        for piece in pieces:
            before = self.pieces.pop(piece.name, None)
            if before is not None:
                self.size -= size_of(before)
            if piece.data:
                self.size += size_of(piece)
                self.pieces[piece.name] = piece
        mark(self.marks, pieces)

    def records(self) -> Iterator[bytes]:
        """All of it again, in records of a bounded size each."""
        offer = self.offer
        yield packed(Opened(self.sender, offer))
        waiting = deque(self.pieces.values())
        while waiting:
            yield packed(Chunk(offer.part, offer.epoch, self.place, take(waiting, Limits()), offer.attempt))
        yield packed(Chunk(offer.part, offer.epoch, self.place, (), offer.attempt))
        if self.seal is not None:
            yield packed(Seal(offer.part, offer.epoch, self.place, self.seal.digest, (), offer.attempt))
        if self.held:
            yield packed(Held(offer.part, self.held))


def replay(copies: dict[int, Copy], over: dict[int, Over], record: Record) -> bool:
    """Do again what a record tells; a record that was written twice does no harm. False where a copy that was whole is
    not: the disk has lost some of it, and it is forgotten."""
    if isinstance(record, Opened):
        before = copies.get(record.offer.part)
        if before is None or before.offer != record.offer:
            copies[record.offer.part] = Copy(record.sender, record.offer, -1)
        return True
    copy = copies.get(record.part)
    if isinstance(record, Over):
        if record.adopted:
            over[record.part] = record
        copies.pop(record.part, None)
    elif copy is None:
        return True
    elif isinstance(record, Held):
        copy.held = record.epoch
    elif (record.epoch, record.attempt) == (copy.offer.epoch, copy.offer.attempt) and record.place >= copy.place:
        copy.take(record.place, record.pieces)
        if isinstance(record, Seal):
            copy.seal = record
            if digest_of(copy.marks) != record.digest:
                del copies[record.part]
                return False
    return True
