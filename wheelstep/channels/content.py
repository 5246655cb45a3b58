"""What arrives and leaves with a part of the channels: pieces handed over, taken over, or found on disk later.
Implements `wheelstep.fleet.content.Content`."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from wheelstep.channels.book import PositionError
from wheelstep.channels.serving import EPOCH_MARK, SENT_MARK, ChannelService
from wheelstep.journal import NoRoomError, StoredMessage, codec
from wheelstep.moves.types import Piece

_INHERITED_PIECE = "i:"  # name of the piece that says: a former owner has positions of the part that are missing here

log = logging.getLogger(__name__)


def read_message(data: bytes) -> StoredMessage:
    """Return the message in a piece. Raises `ValueError`."""
    for found in codec.scan(data):
        if isinstance(found, tuple) and found[1][0] == codec.TAKE and isinstance(found[1][1], StoredMessage) \
                and found[1][1].channel is not None:
            return found[1][1]
    raise ValueError("the piece holds no message of a channel")


class ChannelContent(ChannelService):
    """A courier's channels and their messages, by part."""

    version = 1

    def weight(self, part: int) -> int:
        """Return the number of the part's messages and channels."""
        return len(self._journal.undecided(part)) + len(self._table.channels(part))

    def pieces(self, part: int) -> list[Piece]:
        """Return all pieces of a part, and start recording its changes for `changed`."""
        self._journal.flush()
        self._journal.mark(f"{SENT_MARK}{part}", 1)
        self._journal.track_changes(part)
        names = ["c:" + name for name in self._table.channels(part)]
        names += [_INHERITED_PIECE] if self._table.inherited(part) else []
        return [self._piece(name) for name in [*names, *("m:" + m.id for m in self._journal.undecided(part))]]

    def changed(self, part: int) -> list[Piece]:
        """Return the pieces changed since the last call; empty data for removed ones."""
        self._journal.flush()
        return [self._piece(name) for name in self._journal.take_changes(part)]

    def _piece(self, name: str) -> Piece:
        """Return the piece of this name as it is now; empty data if it is gone."""
        key = name[2:]
        if name == _INHERITED_PIECE:
            return Piece(name, b"1")
        if name.startswith("c:"):
            return Piece(name, self._table.export(key) if self._table.position(key) is not None else b"")
        message = self._journal.messages.get(key)
        return Piece(name, codec.take(message) if message is not None and message.notice is None else b"")

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Store in the journal the pieces of a part that was handed over to this courier. Idempotent. Raises
        `NoRoomError`, and `ValueError` or `PositionError` for an invalid piece."""
        now_ms = self._now_ms()
        known = self._journal.marks.get(f"{EPOCH_MARK}{part}", 0) >= epoch
        former = {} if known else {name: self._table.export(name) for name in self._table.channels(part)}
        if not known:
            self._table.drop(part)
        found = list(pieces)
        messages = [read_message(piece.data) for piece in found if piece.name.startswith("m:") and piece.data]
        for message in sorted(messages, key=lambda message: message.seq):
            self._journal.adopt(message)
        for piece in found:
            if piece.name == _INHERITED_PIECE:
                self._table.inherit(part)
            elif piece.name.startswith("c:") and piece.data:
                name = piece.name[2:]
                self._table.adopt(now_ms, name, piece.data, self._table.contracts.named(name.partition("/")[0]))
        for message in messages:
            if message.may_have_run() is not None and self._table.holds(message.id):
                self._table.attempt_unclear(now_ms, message.id)
        for name, data in former.items():  # also of channels that the handover source lacks, if it inherited the part
            self._table.merge_former(now_ms, name, data)
        self._journal.flush()
        self._reconcile(part)
        self._journal.mark(f"{EPOCH_MARK}{part}", epoch)
        log.info("part %d was handed over: %d messages, %d channels", part, len(messages), len(found) - len(messages))

    def drop(self, part: int) -> None:
        """Drop the part without reporting outcomes: another courier owes them now."""
        self._served.pop(part, None)
        self._journal.stop_tracking(part)
        self._table.drop(part)
        for message in self._journal.undecided(part):
            self._core.set_aside(message.id)
            if self._journal.has_open_call(message.id) or self._core.endpoint_client.carries(message.id):
                self._departed[message.id] = part
            self._journal.forget(message.id)
        self._journal.flush()

    def orphans(self, part: int) -> list[Piece]:
        """Return what is stored here of a part that another courier owns: positions, then messages without an
        open call, then outcomes of calls that ended while the part was not served here."""
        pieces = [self._piece("c:" + name) for name in self._table.channels(part)]
        pieces += [self._piece("m:" + m.id) for m in self._journal.undecided(part)
                   if not self._journal.has_open_call(m.id)]
        return pieces + [Piece("o:" + name, how.encode()) for name, how in self._late_outcomes.get(part, {}).items()]

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """Apply the owner's answers on orphans, by piece name; True: the owner accepted it. An accepted message is
        forgotten, any other ends here. A call's outcome is forgotten in either case, the positions once no message of
        the part is left."""
        for name, taken in verdicts.items():
            kind, key = name[:2], name[2:]
            if kind == "o:":
                self._late_outcomes.get(part, {}).pop(key, None)
            elif kind == "m:" and taken:
                self._core.set_aside(key)
                self._journal.forget(key)
            elif kind == "m:":
                self.end_here(key)
        if not self._journal.undecided(part):
            self._table.drop(part)
            self._journal.flush()

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """Handle the piece named `message` of a former owner: a position or a message found on its disk, whose data is
        `piece`, or a call's `outcome`. Return whether it is accepted; a call's outcome always is."""
        now_ms, kind, key = self._now_ms(), message[:2], message[2:]
        try:
            if kind == "c:":
                self._table.merge_former(now_ms, key, piece)
            elif kind == "o:":
                if outcome == "delivered" and (held := self._journal.messages.get(key)) is not None \
                        and held.notice is None:
                    self._core.set_aside(key)
                    self._journal.over(key)
            elif not self._accept_found(now_ms, part, read_message(piece)):
                return False
        except (PositionError, ValueError, NoRoomError) as error:
            log.warning("part %d: cannot use %s of a former owner: %s", part, message, error)
            return False
        self._journal.flush()
        self.dispatch_due()
        return True

    def _accept_found(self, now_ms: int, part: int, message: StoredMessage) -> bool:
        """Accept a message that a former owner has found. Return False if it must not run here."""
        assert message.channel is not None
        if message.id in self._journal.messages or self.has_ended_here(message):
            return True
        if self._journal.part_of(message) != part or self.served_epoch(part) is None:
            return False
        if not self._table.accept_found(now_ms, message.channel, message.number, message.id):
            return False
        self._journal.flush()
        self._journal.adopt(message)
        if message.may_have_run() is not None:
            self._table.attempt_unclear(now_ms, message.id)
        return True

    def owed(self) -> int:
        """Return the number of channel messages stored here that have not ended."""
        return sum(message.channel is not None and message.notice is None
                   for message in self._journal.messages.values())
