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

Ask = Offer | Chunk | Seal | Cancel | Given


class Taker:
    """All moves to this courier. `state_version` is the newest format version of pieces that it can read. `stored`
    holds the records of the fleet's log from before a restart; records that are not of moves are ignored. Raises
    msgspec.DecodeError for a malformed record."""

    def __init__(self, me: str, state_version: int, room: TakerLimits, stored: Iterable[bytes] = ()) -> None:
        self.me = me
        self.refused: Counter[str] = Counter()  # number of refused requests, by reason
        self.leaving = False  # if set, no new part is accepted
        self.forgotten = 0  # sealed copies dropped at start because the disk had lost some of their records
        self._version, self._room = state_version, room
        self._copies: dict[int, Copy] = {}
        self._adopted: dict[int, CopyRemoved] = {}  # by part, the newest copy that was adopted
        self._holdings: dict[int, Ownership] = {}  # by part, the register's newest holding
        for data in stored:
            record = decode_record(data)
            if record is not None and not apply_record(self._copies, self._adopted, record):
                self.forgotten += 1

    def heard(self, now_us: int, sender: str, ask: Ask, owner: Ownership | None) -> tuple[Moved, list[bytes]]:
        """Return the answer to a request of courier `sender`, and records to write. `owner` is the register's newest
        holding that this courier knows, None if it knows none. The answer may be sent once all records returned so far
        are on disk. A repeated request returns its records again: they may have been lost."""
        if not 0 <= ask.part < self._room.parts:
            return self._refuse(ask, "part", f"part {ask.part}, expected 0 to {self._room.parts - 1}"), []
        records = self.observe_holding(ask.part, owner.epoch, owner.owner) if owner is not None else []
        if isinstance(ask, Given):
            return self._handle_given(sender, ask, records)
        copy, holding, removal = self._copies.get(ask.part), self._holdings.get(ask.part), self._adopted.get(ask.part)
        current_epoch = max(holding.epoch if holding is not None else 0, copy.offer.epoch if copy is not None else 0,
                            removal.epoch + 1 if removal is not None else 0)
        if ask.epoch < current_epoch:
            return self._refuse(ask, "epoch", f"part {ask.part}: epoch {ask.epoch} is over, "
                                f"expected {current_epoch}"), records
        expected_sender = holding.owner if holding is not None and holding.epoch == ask.epoch else None
        if expected_sender is None and copy is not None and copy.offer.epoch == ask.epoch:
            expected_sender = copy.sender
        if expected_sender not in (None, sender):
            return self._refuse(
                ask, "owner", f"part {ask.part}: {expected_sender} has epoch {ask.epoch}, not {sender}"), records
        if isinstance(ask, Offer):
            moved, new_records = self._handle_offer(now_us, sender, ask, copy)
        elif isinstance(ask, Cancel):
            moved, new_records = self._handle_cancel(ask, copy)
        elif copy is None or (copy.offer.epoch, copy.offer.attempt) != (ask.epoch, ask.attempt):
            moved, new_records = self._refuse(
                ask, "offer", f"part {ask.part}: no offer stands for this {_type_name(ask)}"), []
        else:
            copy.last_heard_us = now_us
            moved, new_records = self._handle_pieces(ask, copy)
        return moved, records + new_records

    def _handle_offer(self, now_us: int, sender: str, ask: Offer, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        room = self._room
        if self.leaving:
            return self._refuse(ask, "leaving", f"{self.me} is leaving"), []
        if ask.state > self._version:
            return self._refuse(ask, "version", f"state version {ask.state}, expected at most {self._version}"), []
        if copy is not None:
            if copy.offer == ask:
                copy.last_heard_us = now_us
                return Moved(ask.part, ask.epoch, True, copy.place), [encode_record(CopyStarted(sender, ask))]
            if copy.seal is not None:
                return self._refuse(ask, "whole", f"part {ask.part}: a whole copy of epoch {copy.offer.epoch} is here, "
                                    "until the register says whose it is", again_us=room.again_us), []
            if (ask.epoch, ask.attempt) <= (copy.offer.epoch, copy.offer.attempt):
                return self._refuse(ask, "attempt", f"part {ask.part}: a later offer stands"), []
        if ask.size > room.most_bytes:
            return self._refuse(ask, "size", f"{ask.size} bytes, expected at most {room.most_bytes}"), []
        records = self._drop_idle_copies(now_us, ask)
        others = [each for part, each in self._copies.items() if part != ask.part]
        taken = sum(max(each.size, each.offer.size) for each in others)
        if len(others) >= room.most_parts or taken + ask.size > room.most_bytes:
            return self._refuse(ask, "room", f"{len(others)} parts with {taken} bytes are on their way here already",
                                again_us=room.again_us), records
        self._copies[ask.part] = Copy(sender, ask, now_us)
        return Moved(ask.part, ask.epoch, True), [*records, encode_record(CopyStarted(sender, ask))]

    def _drop_idle_copies(self, now_us: int, ask: Offer) -> list[bytes]:
        """Drop incomplete copies whose givers have sent nothing for `idle_us`."""
        records = []
        for part, copy in list(self._copies.items()):
            if copy.last_heard_us < 0:  # restored after a restart, so idle from now
                copy.last_heard_us = now_us
            if part != ask.part and copy.seal is None and now_us - copy.last_heard_us >= self._room.idle_us:
                records += self._forget(part)
        return records

    def _handle_pieces(self, ask: Chunk | Seal, copy: Copy) -> tuple[Moved, list[bytes]]:
        """Add the pieces of a chunk or a seal to the copy; one already added is confirmed again."""
        done = Moved(ask.part, ask.epoch, True, ask.place)
        if copy.seal is not None:
            if isinstance(ask, Seal) and (ask.place, ask.digest) == (copy.place, copy.seal.digest):
                return done, [encode_record(copy.seal)]
            return self._refuse(ask, "whole", f"part {ask.part} is whole at place {copy.place}", copy.place), []
        if ask.place == copy.place >= 0 and isinstance(ask, Chunk):
            return done, [encode_record(ask)]
        if ask.place != copy.place + 1:
            why = f"part {ask.part}: place {ask.place}, expected {copy.place + 1}"
            return self._refuse(ask, "place", why, copy.place), []
        size = sum(map(piece_size, ask.pieces)) + sum(each.size for each in self._copies.values())
        if size > self._room.most_bytes:
            return self._refuse(ask, "size", f"{size} bytes, expected at most {self._room.most_bytes}", copy.place), []
        if isinstance(ask, Seal):
            digest = copy.digest_after(ask.pieces)
            if digest != ask.digest:
                why = f"part {ask.part}: digest {digest}, expected {ask.digest}"
                return self._refuse(ask, "digest", why, copy.place), []
            copy.seal = ask
        copy.add_pieces(ask.place, ask.pieces)
        return done, [encode_record(ask)]

    def _handle_cancel(self, ask: Cancel, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        if copy is None or (copy.offer.epoch, copy.offer.attempt) != (ask.epoch, ask.attempt):
            return Moved(ask.part, ask.epoch, True), []
        if copy.seal is not None:
            return self._refuse(ask, "whole", f"part {ask.part} is whole: the register decides", copy.place), []
        return Moved(ask.part, ask.epoch, True), self._forget(ask.part)

    def _handle_given(self, sender: str, ask: Given, records: list[bytes]) -> tuple[Moved, list[bytes]]:
        """Accept if the giver may drop its own copy. From then on `Given` itself confirms the ownership, in case this
        courier sees the register only at a later epoch of its own."""
        copy, removal = self._copies.get(ask.part), self._adopted.get(ask.part)
        accepted = Moved(ask.part, ask.epoch, True)
        if copy is not None and copy.seal is not None and (copy.offer.epoch, copy.sender) == (ask.epoch - 1, sender):
            if not copy.owned_epoch and ask.stands:
                return self._refuse(ask, "given", f"part {ask.part}: whose epoch {ask.epoch} was is not known here yet",
                                    again_us=self._room.again_us), records
            copy.owned_epoch = copy.owned_epoch or ask.epoch
            return accepted, [
                *records, encode_record(copy.seal), encode_record(OwnershipConfirmed(ask.part, copy.owned_epoch))]
        if removal is not None and removal.epoch == ask.epoch - 1:
            return accepted, records
        return self._refuse(
            ask, "given", f"part {ask.part}: no whole copy of epoch {ask.epoch - 1} from {sender}"), records

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
        if 0 <= part < self._room.parts and (holding is None or epoch > holding.epoch):
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

    def _refuse(self, ask: Ask, reason: str, why: str, place: int = -1, again_us: int = 0) -> Moved:
        self.refused[reason] += 1
        return Moved(ask.part, ask.epoch, False, place, why, again_us)


def _type_name(ask: Ask) -> str:
    return type(ask).__name__.lower()
