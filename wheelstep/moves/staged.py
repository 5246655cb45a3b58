"""The copy of a part that is being moved to this courier, and its records in the fleet's log. No I/O; imports msgspec
and the types of moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from wheelstep.moves.steps import GiverLimits, part_digest, piece_size, take_chunk, update_digests
from wheelstep.moves.types import Chunk, Offer, Piece, Seal

RECORD_PREFIX = b"move:"  # tells these records from others in the same log


class CopyStarted(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """An offer was accepted and its copy started."""

    sender: str
    offer: Offer


class OwnershipConfirmed(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """The register has named this courier at `epoch`, and no other courier since the copy was whole."""

    part: int
    epoch: int


class CopyRemoved(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """The copy of `epoch` was removed: adopted into the journal, or dropped."""

    part: int
    epoch: int
    adopted: bool


Record = CopyStarted | Chunk | Seal | OwnershipConfirmed | CopyRemoved

_decoder = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return RECORD_PREFIX + _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Decode a log record; None if it is not a move's. Raises msgspec.ValidationError or DecodeError."""
    return _decoder.decode(data[len(RECORD_PREFIX):]) if data.startswith(RECORD_PREFIX) else None


@dataclass
class Copy:
    """The pieces received of a part. `place` is that of the last chunk added, -1 for none; `size` is their bytes as
    counted by `piece_size`."""

    sender: str
    offer: Offer
    last_heard_us: int  # time of the giver's last message; -1 if before a restart
    place: int = -1
    size: int = 0
    seal: Seal | None = None  # set once the copy is whole
    owned_epoch: int = 0  # newest epoch at which the register named this courier since then; 0 for none
    pieces: dict[str, Piece] = field(default_factory=dict)
    digests: dict[str, bytes] = field(default_factory=dict)

    def digest_after(self, pieces: tuple[Piece, ...]) -> str:
        """Return the digest that the copy would have with these pieces added."""
        digests = dict(self.digests)
        update_digests(digests, pieces)
        return part_digest(digests)

    def add_pieces(self, place: int, pieces: tuple[Piece, ...]) -> None:
        """Add the pieces of the chunk or seal numbered `place`."""
        self.place = place
        for piece in pieces:
            before = self.pieces.pop(piece.name, None)
            if before is not None:
                self.size -= piece_size(before)
            if piece.data:
                self.size += piece_size(piece)
                self.pieces[piece.name] = piece
        update_digests(self.digests, pieces)

    def records(self) -> Iterator[bytes]:
        """Encode the whole copy as log records of limited size."""
        offer = self.offer
        yield encode_record(CopyStarted(self.sender, offer))
        waiting = deque(self.pieces.values())
        while waiting:
            yield encode_record(
                Chunk(offer.part, offer.epoch, self.place, take_chunk(waiting, GiverLimits()), offer.attempt))
        yield encode_record(Chunk(offer.part, offer.epoch, self.place, (), offer.attempt))
        if self.seal is not None:
            yield encode_record(Seal(offer.part, offer.epoch, self.place, self.seal.digest, (), offer.attempt))
        if self.owned_epoch:
            yield encode_record(OwnershipConfirmed(offer.part, self.owned_epoch))


def apply_record(copies: dict[int, Copy], removed: dict[int, CopyRemoved], record: Record) -> bool:
    """Apply a log record; a record written twice has no further effect. False if the digest of a sealed copy does not
    match: the disk has lost some of its records, and the copy is dropped."""
    if isinstance(record, CopyStarted):
        before = copies.get(record.offer.part)
        if before is None or before.offer != record.offer:
            copies[record.offer.part] = Copy(record.sender, record.offer, -1)
        return True
    copy = copies.get(record.part)
    if isinstance(record, CopyRemoved):
        if record.adopted:
            removed[record.part] = record
        copies.pop(record.part, None)
    elif copy is None:
        return True
    elif isinstance(record, OwnershipConfirmed):
        copy.owned_epoch = record.epoch
    elif (record.epoch, record.attempt) == (copy.offer.epoch, copy.offer.attempt) and record.place >= copy.place:
        copy.add_pieces(record.place, record.pieces)
        if isinstance(record, Seal):
            copy.seal = record
            if part_digest(copy.digests) != record.digest:
                del copies[record.part]
                return False
    return True
