"""Receives parts that other couriers give. No I/O: requests, register news and a clock go in; answers come out, with
the records that must be on disk before the answer is sent. Imports the types of the fleet and of moves.

A whole copy is dropped only when the register shows that it is obsolete: its giver may have crashed, and it may be the
only copy. An incomplete copy has no value and is dropped for any reason.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from wheelstep.fleet.types import Ownership
from wheelstep.moves.staged import (
    Copy,
    CopyRemoved,
    CopyStarted,
    OwnershipConfirmed,
    apply_record,
    decode_record,
    encode_record,
)
from wheelstep.moves.steps import TakerLimits, piece_size
from wheelstep.moves.types import Cancel, Chunk, Given, Moved, Offer, Piece, Seal

TakerRequest = Offer | Chunk | Seal | Cancel | Given


class Taker:
    """All moves to this courier. `state_version` is the newest format version of pieces that it can read. `stored`
    holds the records of the fleet's log from before a restart; records that are not of moves are ignored. Raises
    msgspec.DecodeError for a malformed record."""

    def __init__(self, me: str, state_version: int, limits: TakerLimits, stored: Iterable[bytes] = ()) -> None:
        self.me = me
        self.refused: Counter[str] = Counter()  # number of refused requests, by reason
        self.leaving = False  # if set, no new part is accepted
        self.forgotten = 0  # sealed copies dropped at start because the disk had lost some of their records
        self._version, self._limits = state_version, limits
        self._copies: dict[int, Copy] = {}
        self._adopted: dict[int, CopyRemoved] = {}  # by part, the newest copy that was adopted
        self._holdings: dict[int, Ownership] = {}  # by part, the register's newest holding
        for data in stored:
            record = decode_record(data)
            if record is not None and not apply_record(self._copies, self._adopted, record):
                self.forgotten += 1

    def handle_request(self, now_us: int, sender: str, request: TakerRequest,
                       owner: Ownership | None) -> tuple[Moved, list[bytes]]:
        """Return the answer to a request of courier `sender`, and records to write. `owner` is the register's newest
        holding that this courier knows, None if it knows none. The answer may be sent once all records returned so far
        are on disk. A repeated request returns its records again: they may have been lost."""
        if not 0 <= request.part < self._limits.parts:
            return self._refuse(request, "part", f"part {request.part}, expected 0 to {self._limits.parts - 1}"), []
        records = self.observe_holding(request.part, owner.epoch, owner.owner) if owner is not None else []
        if isinstance(request, Given):
            return self._handle_given(sender, request, records)
        copy, holding, removal = (
            self._copies.get(request.part), self._holdings.get(request.part), self._adopted.get(request.part))
        current_epoch = max(holding.epoch if holding is not None else 0, copy.offer.epoch if copy is not None else 0,
                            removal.epoch + 1 if removal is not None else 0)
        if request.epoch < current_epoch:
            return self._refuse(request, "epoch", f"part {request.part}: epoch {request.epoch} is over, "
                                f"expected {current_epoch}"), records
        expected_sender = holding.owner if holding is not None and holding.epoch == request.epoch else None
        if expected_sender is None and copy is not None and copy.offer.epoch == request.epoch:
            expected_sender = copy.sender
        if expected_sender not in (None, sender):
            return self._refuse(
                request, "owner",
                f"part {request.part}: {expected_sender} has epoch {request.epoch}, not {sender}"), records
        if isinstance(request, Offer):
            moved, new_records = self._handle_offer(now_us, sender, request, copy)
        elif isinstance(request, Cancel):
            moved, new_records = self._handle_cancel(request, copy)
        elif copy is None or (copy.offer.epoch, copy.offer.attempt) != (request.epoch, request.attempt):
            moved, new_records = self._refuse(
                request, "offer", f"part {request.part}: no offer stands for this {_type_name(request)}"), []
        else:
            copy.last_heard_us = now_us
            moved, new_records = self._handle_pieces(request, copy)
        return moved, records + new_records

    def _handle_offer(self, now_us: int, sender: str, request: Offer, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        limits = self._limits
        if self.leaving:
            return self._refuse(request, "leaving", f"{self.me} is leaving"), []
        if request.state > self._version:
            return self._refuse(
                request, "version", f"state version {request.state}, expected at most {self._version}"), []
        if copy is not None:
            if copy.offer == request:
                copy.last_heard_us = now_us
                return (Moved(request.part, request.epoch, True, copy.place),
                        [encode_record(CopyStarted(sender, request))])
            if copy.seal is not None:
                return self._refuse(
                    request, "whole", f"part {request.part}: a whole copy of epoch {copy.offer.epoch} is here, "
                    "until the register says whose it is", again_us=limits.again_us), []
            if (request.epoch, request.attempt) <= (copy.offer.epoch, copy.offer.attempt):
                return self._refuse(request, "attempt", f"part {request.part}: a later offer stands"), []
        if request.size > limits.max_bytes:
            return self._refuse(request, "size", f"{request.size} bytes, expected at most {limits.max_bytes}"), []
        records = self._drop_idle_copies(now_us, request)
        others = [each for part, each in self._copies.items() if part != request.part]
        taken = sum(max(each.size, each.offer.size) for each in others)
        if len(others) >= limits.max_parts or taken + request.size > limits.max_bytes:
            return self._refuse(
                request, "room", f"{len(others)} parts with {taken} bytes are on their way here already",
                again_us=limits.again_us), records
        self._copies[request.part] = Copy(sender, request, now_us)
        return Moved(request.part, request.epoch, True), [*records, encode_record(CopyStarted(sender, request))]

    def _drop_idle_copies(self, now_us: int, request: Offer) -> list[bytes]:
        """Drop incomplete copies whose givers have sent nothing for `idle_us`."""
        records = []
        for part, copy in list(self._copies.items()):
            if copy.last_heard_us < 0:  # restored after a restart, so idle from now
                copy.last_heard_us = now_us
            if part != request.part and copy.seal is None and now_us - copy.last_heard_us >= self._limits.idle_us:
                records += self._forget(part)
        return records

    def _handle_pieces(self, request: Chunk | Seal, copy: Copy) -> tuple[Moved, list[bytes]]:
        """Add the pieces of a chunk or a seal to the copy; one already added is confirmed again."""
        done = Moved(request.part, request.epoch, True, request.place)
        if copy.seal is not None:
            if isinstance(request, Seal) and (request.place, request.digest) == (copy.place, copy.seal.digest):
                return done, [encode_record(copy.seal)]
            return self._refuse(request, "whole", f"part {request.part} is whole at place {copy.place}", copy.place), []
        if request.place == copy.place >= 0 and isinstance(request, Chunk):
            return done, [encode_record(request)]
        if request.place != copy.place + 1:
            why = f"part {request.part}: place {request.place}, expected {copy.place + 1}"
            return self._refuse(request, "place", why, copy.place), []
        size = sum(map(piece_size, request.pieces)) + sum(each.size for each in self._copies.values())
        if size > self._limits.max_bytes:
            return self._refuse(
                request, "size", f"{size} bytes, expected at most {self._limits.max_bytes}", copy.place), []
        if isinstance(request, Seal):
            digest = copy.digest_after(request.pieces)
            if digest != request.digest:
                why = f"part {request.part}: digest {digest}, expected {request.digest}"
                return self._refuse(request, "digest", why, copy.place), []
            copy.seal = request
        copy.add_pieces(request.place, request.pieces)
        return done, [encode_record(request)]

    def _handle_cancel(self, request: Cancel, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        if copy is None or (copy.offer.epoch, copy.offer.attempt) != (request.epoch, request.attempt):
            return Moved(request.part, request.epoch, True), []
        if copy.seal is not None:
            return self._refuse(request, "whole", f"part {request.part} is whole: the register decides", copy.place), []
        return Moved(request.part, request.epoch, True), self._forget(request.part)

    def _handle_given(self, sender: str, request: Given, records: list[bytes]) -> tuple[Moved, list[bytes]]:
        """Accept if the giver may drop its own copy. From then on `Given` itself confirms the ownership, in case this
        courier sees the register only at a later epoch of its own."""
        copy, removal = self._copies.get(request.part), self._adopted.get(request.part)
        accepted = Moved(request.part, request.epoch, True)
        if (copy is not None and copy.seal is not None
                and (copy.offer.epoch, copy.sender) == (request.epoch - 1, sender)):
            if not copy.owned_epoch and request.stands:
                return self._refuse(
                    request, "given", f"part {request.part}: whose epoch {request.epoch} was is not known here yet",
                    again_us=self._limits.again_us), records
            copy.owned_epoch = copy.owned_epoch or request.epoch
            return accepted, [
                *records, encode_record(copy.seal), encode_record(OwnershipConfirmed(request.part, copy.owned_epoch))]
        if removal is not None and removal.epoch == request.epoch - 1:
            return accepted, records
        return self._refuse(
            request, "given", f"part {request.part}: no whole copy of epoch {request.epoch - 1} from {sender}"), records

    def sealed_epoch(self, part: int) -> int | None:
        """Return the giver's epoch of a whole copy, None if there is none. While the register names the giver at that
        epoch, or only this courier since, this courier can take over without loss."""
        copy = self._copies.get(part)
        return copy.offer.epoch if copy is not None and copy.seal is not None else None

    def sealed_parts(self) -> list[int]:
        """Return the parts with a whole copy that is not in the journal yet; this may be the only copy."""
        return [part for part, copy in self._copies.items() if copy.seal is not None]

    def pieces(self, part: int) -> list[Piece]:
        """Return the pieces of a whole copy, for the content to adopt; empty if there is none."""
        copy = self._copies.get(part)
        return list(copy.pieces.values()) if copy is not None and copy.seal is not None else []

    def observe_holding(self, part: int, epoch: int, owner: str, first: int = 0) -> list[bytes]:
        """Handle news from the register: drop a copy that is obsolete, and return records to write. Since epoch `first`
        only `owner` can have owned the part; 0 if that is not known. Before a part is taken over, the register's
        holding must be passed here and the returned records be on disk before the next epoch is requested: a whole copy
        is valid only while this courier knows that no other has owned the part since."""
        holding = self._holdings.get(part)
        if 0 <= part < self._limits.parts and (holding is None or epoch > holding.epoch):
            self._holdings[part] = Ownership(epoch, owner)
        copy = self._copies.get(part)
        since = 0 if copy is None else copy.owned_epoch or copy.offer.epoch
        if copy is None or epoch < since:
            return []
        if epoch == since:
            return [] if owner == (self.me if copy.owned_epoch else copy.sender) else self._forget(part)
        if (epoch == since + 1 or 0 < first <= since + 1) and owner == self.me and copy.seal is not None:
            copy.owned_epoch = epoch
            return [encode_record(copy.seal), encode_record(OwnershipConfirmed(part, epoch))]
        return self._forget(part)

    def adopted(self, part: int, epoch: int) -> list[bytes]:
        """Drop the whole copy once this courier's journal holds it, synced, under `epoch`. The records must be on disk
        before the part is opened: adopted again after a restart, the copy would overwrite later changes."""
        copy = self._copies.get(part)
        if copy is None or copy.seal is None or epoch <= copy.offer.epoch:
            return []
        return self._forget(part, True)

    def snapshot(self) -> list[bytes]:
        """Return records of all state that must survive a restart; they replace all earlier records."""
        records = [encode_record(removal) for removal in self._adopted.values()]
        for copy in self._copies.values():
            records += copy.records()
        return records

    def _forget(self, part: int, adopted: bool = False) -> list[bytes]:
        removal = CopyRemoved(part, self._copies.pop(part).offer.epoch, adopted)
        if adopted:
            self._adopted[part] = removal
        return [encode_record(removal)]

    def _refuse(self, request: TakerRequest, reason: str, why: str, place: int = -1, again_us: int = 0) -> Moved:
        self.refused[reason] += 1
        return Moved(request.part, request.epoch, False, place, why, again_us)


def _type_name(request: TakerRequest) -> str:
    return type(request).__name__.lower()
