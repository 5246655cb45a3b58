"""What comes and goes with a part of the channels: given, taken over, found again. As
`wheelstep.fleet.content.Content`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from wheelstep.channels.book import PositionError
from wheelstep.channels.serving import EPOCH, SENT, Serving
from wheelstep.journal import NoRoomError, StoredMessage, codec
from wheelstep.moves.types import Piece

_INHERITED = "i:"  # a piece: a former owner has positions of this part that never came with it

log = logging.getLogger(__name__)


def read_message(data: bytes) -> StoredMessage:
    """A message as a piece holds it. Raises `ValueError`."""
    for found in codec.scan(data):
        if isinstance(found, tuple) and found[1][0] == codec.TAKE and isinstance(found[1][1], StoredMessage) \
                and found[1][1].channel is not None:
            return found[1][1]
    raise ValueError("no message of a channel")


class ChannelContent(Serving):
    """A courier's channels, by part."""

    version = 1

    def weight(self, part: int) -> int:
        """Messages and channels."""
        return len(self._kept.of(part)) + len(self._book.channels(part))

    def pieces(self, part: int) -> list[Piece]:
        """All of it as it stands."""
        self._kept.flush()
        self._kept.mark(f"{SENT}{part}", 1)
        self._kept.watch(part)
        names = ["c:" + name for name in self._book.channels(part)]
        names += [_INHERITED] if self._book.inherited(part) else []
        return [self._piece(name) for name in [*names, *("m:" + m.id for m in self._kept.of(part))]]

    def changed(self, part: int) -> list[Piece]:
        """Since it was last asked."""
        self._kept.flush()
        return [self._piece(name) for name in self._kept.news(part)]

    def _piece(self, name: str) -> Piece:
        key = name[2:]
        if name == _INHERITED:
            return Piece(name, b"1")
        if name.startswith("c:"):
            return Piece(name, self._book.export(key) if self._book.position(key) is not None else b"")
        message = self._kept.messages.get(key)
        return Piece(name, codec.take(message) if message is not None and message.notice is None else b"")

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Take what was handed over into this courier's journal; again does no harm. Raises `NoRoomError`."""
        now_ms = self._now_ms()
        known = self._kept.marks.get(f"{EPOCH}{part}", 0) >= epoch
        former = {} if known else {name: self._book.export(name) for name in self._book.channels(part)}
        if not known:
            self._book.drop(part)
        found = list(pieces)
        messages = [read_message(piece.data) for piece in found if piece.name.startswith("m:") and piece.data]
        for message in sorted(messages, key=lambda message: message.seq):
            self._kept.adopt(message)
        for piece in found:
            if piece.name == _INHERITED:
                self._book.inherit(part)
            elif piece.name.startswith("c:") and piece.data:
                name = piece.name[2:]
                self._book.adopt(now_ms, name, piece.data, self._book.contracts.named(name.partition("/")[0]))
        for message in messages:
            if message.may_have_run() is not None and self._book.holds(message.id):
                self._book.attempt_unclear(now_ms, message.id)
        for name, data in former.items():  # also of a channel that the giver never heard of: it had inherited the part
            self._book.learn(now_ms, name, data)
        self._kept.flush()
        self._find(part)
        self._kept.mark(f"{EPOCH}{part}", epoch)
        log.info("part %d was handed over: %d messages, %d channels", part, len(messages), len(found) - len(messages))

    def drop(self, part: int) -> None:
        """Another owes it now: nothing is told from here."""
        self._serving.pop(part, None)
        self._kept.unwatch(part)
        self._book.drop(part)
        for message in self._kept.of(part):
            self._core.set_aside(message.id)
            if self._kept.live(message.id) or self._core.endpoint_client.carries(message.id):
                self._gone[message.id] = part
            self._kept.forget(message.id)
        self._kept.flush()

    def orphans(self, part: int) -> list[Piece]:
        """Of a part that is another's: positions first, then messages, then outcomes of calls from before."""
        pieces = [self._piece("c:" + name) for name in self._book.channels(part)]
        pieces += [self._piece("m:" + m.id) for m in self._kept.of(part) if not self._kept.live(m.id)]
        return pieces + [Piece("o:" + name, how.encode()) for name, how in self._late.get(part, {}).items()]

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """What the part's owner said of orphans."""
        for name, taken in verdicts.items():
            kind, key = name[:2], name[2:]
            if kind == "o:":
                self._late.get(part, {}).pop(key, None)
            elif kind == "m:" and taken:
                self._core.set_aside(key)
                self._kept.forget(key)
            elif kind == "m:":
                self.end_here(key)
        if not self._kept.of(part):
            self._book.drop(part)
            self._kept.flush()

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """What a former owner tells: a position, a message that it found, or what became of a call."""
        now_ms, kind, key = self._now_ms(), message[:2], message[2:]
        try:
            if kind == "c:":
                self._book.learn(now_ms, key, piece)
            elif kind == "o:":
                if outcome == "delivered" and (held := self._kept.messages.get(key)) is not None \
                        and held.notice is None:
                    self._core.set_aside(key)
                    self._kept.over(key)
            elif not self._found(now_ms, part, read_message(piece)):
                return False
        except (PositionError, ValueError, NoRoomError) as error:
            log.warning("part %d: %s of a former owner can't be used: %s", part, message, error)
            return False
        self._kept.flush()
        self.pump()
        return True

    def _found(self, now_ms: int, part: int, message: StoredMessage) -> bool:
        assert message.channel is not None
        if message.id in self._kept.messages or self.ended_here(message):
            return True
        if self._kept.part(message) != part or self.serving(part) is None:
            return False
        if not self._book.found(now_ms, message.channel, message.number, message.id):
            return False
        self._kept.flush()
        self._kept.adopt(message)
        if message.may_have_run() is not None:
            self._book.attempt_unclear(now_ms, message.id)
        return True

    def owed(self) -> int:
        """Messages of channels on this disk whose end is not decided."""
        return sum(message.channel is not None and message.notice is None for message in self._kept.messages.values())
