"""Takes parts that other couriers give. No I/O: what they ask, the register's news and a clock go in; answers and the
records that must be on disk before the answer leaves come out. Imports the types of the fleet and of moves.

A copy that is whole is forgotten on the register's word alone: its giver may be dead by now, and nobody else may have
what it holds. One that isn't whole is worth nothing, and goes with the first reason.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from wheelstep.fleet.types import Ownership
from wheelstep.moves.staged import Copy, Held, Opened, Over, packed, replay, unpacked
from wheelstep.moves.steps import Room, size_of
from wheelstep.moves.types import Cancel, Chunk, Given, Moved, Offer, Piece, Seal

Ask = Offer | Chunk | Seal | Cancel | Given


class Taker:
    """All moves towards this courier. `stored` are the fleet's log's records from before a restart; those of others
    among them are passed over. Raises msgspec.DecodeError for a record that isn't one."""

    def __init__(self, me: str, state_version: int, room: Room, stored: Iterable[bytes] = ()) -> None:
        self.me = me
        self.refused: Counter[str] = Counter()  # asks, by reason
        self.leaving = False  # set: no part is taken any more
        self.forgotten = 0  # whole copies that the disk had lost some of
        self._version, self._room = state_version, room
        self._copies: dict[int, Copy] = {}
        self._over: dict[int, Over] = {}  # the newest copy that was adopted, by part
        self._news: dict[int, Ownership] = {}  # the register's newest, by part
        for data in stored:
            record = unpacked(data)
            if record is not None and not replay(self._copies, self._over, record):
                self.forgotten += 1

    def heard(self, now_us: int, sender: str, ask: Ask, owner: Ownership | None) -> tuple[Moved, list[bytes]]:
        """Answer an ask; `owner` is the register's newest holding that this courier knows. The answer may leave once
        all records given out so far are on disk. A repeated ask gives its records again: they may have been lost."""
        if not 0 <= ask.part < self._room.parts:
            return self._no(ask, "part", f"part {ask.part}, expected 0 to {self._room.parts - 1}"), []
        records = self.passed(ask.part, owner.epoch, owner.owner) if owner is not None else []
        if isinstance(ask, Given):
            return self._given(sender, ask, records)
        copy, news, over = self._copies.get(ask.part), self._news.get(ask.part), self._over.get(ask.part)
        known = max(news.epoch if news is not None else 0, copy.offer.epoch if copy is not None else 0,
                    over.epoch + 1 if over is not None else 0)
        if ask.epoch < known:
            return self._no(ask, "epoch", f"part {ask.part}: epoch {ask.epoch} is over, expected {known}"), records
        named = news.owner if news is not None and news.epoch == ask.epoch else None
        if named is None and copy is not None and copy.offer.epoch == ask.epoch:
            named = copy.sender
        if named not in (None, sender):
            return self._no(ask, "owner", f"part {ask.part}: {named} has epoch {ask.epoch}, not {sender}"), records
        if isinstance(ask, Offer):
            moved, more = self._offered(now_us, sender, ask, copy)
        elif isinstance(ask, Cancel):
            moved, more = self._cancelled(ask, copy)
        elif copy is None or (copy.offer.epoch, copy.offer.attempt) != (ask.epoch, ask.attempt):
            moved, more = self._no(ask, "offer", f"part {ask.part}: no offer stands for this {_kind(ask)}"), []
        else:
            copy.seen_us = now_us
            moved, more = self._grown(ask, copy)
        return moved, records + more

    def _offered(self, now_us: int, sender: str, ask: Offer, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        room = self._room
        if self.leaving:
            return self._no(ask, "leaving", f"{self.me} is leaving"), []
        if ask.state > self._version:
            return self._no(ask, "version", f"state version {ask.state}, expected at most {self._version}"), []
        if copy is not None:
            if copy.offer == ask:
                copy.seen_us = now_us
                return Moved(ask.part, ask.epoch, True, copy.place), [packed(Opened(sender, ask))]
            if copy.seal is not None:
                return self._no(ask, "whole", f"part {ask.part}: a whole copy of epoch {copy.offer.epoch} is here, "
                                "until the register says whose it is", again_us=room.again_us), []
            if (ask.epoch, ask.attempt) <= (copy.offer.epoch, copy.offer.attempt):
                return self._no(ask, "attempt", f"part {ask.part}: a later offer stands"), []
        if ask.size > room.most_bytes:
            return self._no(ask, "size", f"{ask.size} bytes, expected at most {room.most_bytes}"), []
        records = self._make_room(now_us, ask)
        others = [each for part, each in self._copies.items() if part != ask.part]
        taken = sum(max(each.size, each.offer.size) for each in others)
        if len(others) >= room.most_parts or taken + ask.size > room.most_bytes:
            return self._no(ask, "room", f"{len(others)} parts with {taken} bytes are on their way here already",
                            again_us=room.again_us), records
        self._copies[ask.part] = Copy(sender, ask, now_us)
        return Moved(ask.part, ask.epoch, True), [*records, packed(Opened(sender, ask))]

    def _make_room(self, now_us: int, ask: Offer) -> list[bytes]:
        """Forget copies that aren't whole and whose givers have been silent for long."""
        records = []
        for part, copy in list(self._copies.items()):
            if copy.seen_us < 0:  # it is from before a restart
                copy.seen_us = now_us
            if part != ask.part and copy.seal is None and now_us - copy.seen_us >= self._room.idle_us:
                records += self._forget(part)
        return records

    def _grown(self, ask: Chunk | Seal, copy: Copy) -> tuple[Moved, list[bytes]]:
        """A chunk, or the last of it."""
        done = Moved(ask.part, ask.epoch, True, ask.place)
        if copy.seal is not None:
            if isinstance(ask, Seal) and (ask.place, ask.digest) == (copy.place, copy.seal.digest):
                return done, [packed(copy.seal)]
            return self._no(ask, "whole", f"part {ask.part} is whole at place {copy.place}", copy.place), []
        if ask.place == copy.place >= 0 and isinstance(ask, Chunk):
            return done, [packed(ask)]
        if ask.place != copy.place + 1:
            why = f"part {ask.part}: place {ask.place}, expected {copy.place + 1}"
            return self._no(ask, "place", why, copy.place), []
        size = sum(map(size_of, ask.pieces)) + sum(each.size for each in self._copies.values())
        if size > self._room.most_bytes:
            return self._no(ask, "size", f"{size} bytes, expected at most {self._room.most_bytes}", copy.place), []
        if isinstance(ask, Seal):
            digest = copy.digest_with(ask.pieces)
            if digest != ask.digest:
                why = f"part {ask.part}: digest {digest}, expected {ask.digest}"
                return self._no(ask, "digest", why, copy.place), []
            copy.seal = ask
        copy.take(ask.place, ask.pieces)
        return done, [packed(ask)]

    def _cancelled(self, ask: Cancel, copy: Copy | None) -> tuple[Moved, list[bytes]]:
        if copy is None or (copy.offer.epoch, copy.offer.attempt) != (ask.epoch, ask.attempt):
            return Moved(ask.part, ask.epoch, True), []
        if copy.seal is not None:
            return self._no(ask, "whole", f"part {ask.part} is whole: the register decides", copy.place), []
        return Moved(ask.part, ask.epoch, True), self._forget(ask.part)

    def _given(self, sender: str, ask: Given, records: list[bytes]) -> tuple[Moved, list[bytes]]:
        """Yes says that the giver may drop what it has. From then on the copy counts by the giver's word, should this
        courier hear of the register's only under a later epoch of its own."""
        copy, over = self._copies.get(ask.part), self._over.get(ask.part)
        yes = Moved(ask.part, ask.epoch, True)
        if copy is not None and copy.seal is not None and (copy.offer.epoch, copy.sender) == (ask.epoch - 1, sender):
            if not copy.held and ask.stands:
                return self._no(ask, "given", f"part {ask.part}: whose epoch {ask.epoch} was is not known here yet",
                                again_us=self._room.again_us), records
            copy.held = copy.held or ask.epoch
            return yes, [*records, packed(copy.seal), packed(Held(ask.part, copy.held))]
        if over is not None and over.epoch == ask.epoch - 1:
            return yes, records
        return self._no(ask, "given", f"part {ask.part}: no whole copy of epoch {ask.epoch - 1} from {sender}"), records

    def sealed(self, part: int) -> int | None:
        """The epoch of a whole copy, None where there is none. While the register still names its giver at that epoch,
        or this courier since, this courier is the one that can go on without loss."""
        copy = self._copies.get(part)
        return copy.offer.epoch if copy is not None and copy.seal is not None else None

    def whole(self) -> list[int]:
        """Parts of which a whole copy is here, and in no journal yet: its owner by now may be this courier alone."""
        return [part for part, copy in self._copies.items() if copy.seal is not None]

    def pieces(self, part: int) -> list[Piece]:
        """Of a whole copy, for the content to adopt; nothing otherwise."""
        copy = self._copies.get(part)
        return list(copy.pieces.values()) if copy is not None and copy.seal is not None else []

    def passed(self, part: int, epoch: int, owner: str, first: int = 0) -> list[bytes]:
        """News from the register: forget a copy that no longer matters. `first`: since this epoch nobody but `owner`
        can have had the part, 0 if that is not known. Whoever takes a part over tells what it found at the register
        first, and has these records on disk before it asks for the next epoch: a whole copy counts
        only while this courier knows that nobody else has had the part since."""
        news = self._news.get(part)
        if 0 <= part < self._room.parts and (news is None or epoch > news.epoch):
            self._news[part] = Ownership(epoch, owner)
        copy = self._copies.get(part)
        since = 0 if copy is None else copy.held or copy.offer.epoch
        if copy is None or epoch < since:
            return []
        if epoch == since:
            return [] if owner == (self.me if copy.held else copy.sender) else self._forget(part)
        if (epoch == since + 1 or 0 < first <= since + 1) and owner == self.me and copy.seal is not None:
            copy.held = epoch
            return [packed(copy.seal), packed(Held(part, epoch))]
        return self._forget(part)

    def adopted(self, part: int, epoch: int) -> list[bytes]:
        """The whole copy is in this courier's journal, synced, under `epoch`. These records must be on disk before the
        part is opened: adopted once more after a restart, the copy would overwrite what came later."""
        copy = self._copies.get(part)
        if copy is None or copy.seal is None or epoch <= copy.offer.epoch:
            return []
        return self._forget(part, True)

    def snapshot(self) -> list[bytes]:
        """All that must outlive a restart, in place of the records so far."""
        records = [packed(over) for over in self._over.values()]
        for copy in self._copies.values():
            records += copy.records()
        return records

    def _forget(self, part: int, adopted: bool = False) -> list[bytes]:
        over = Over(part, self._copies.pop(part).offer.epoch, adopted)
        if adopted:
            self._over[part] = over
        return [packed(over)]

    def _no(self, ask: Ask, reason: str, why: str, place: int = -1, again_us: int = 0) -> Moved:
        self.refused[reason] += 1
        return Moved(ask.part, ask.epoch, False, place, why, again_us)


def _kind(ask: Ask) -> str:
    return type(ask).__name__.lower()
