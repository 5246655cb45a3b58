"""Channels as this courier serves them: which part may be sent for at this moment, what the decision module gets of
it, and what ends without it. `content` has what comes and goes with a part.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from wheelstep.channels.book import Book, End, Release
from wheelstep.channels.kept import Kept
from wheelstep.courier.core import Core
from wheelstep.courier.endpoint_client import Item, Result
from wheelstep.interface import NEVER_EXECUTED, Outcome
from wheelstep.journal import StoredMessage

EPOCH = ":e"  # before a part's number: the mark of the last epoch under which it was served or adopted here
SENT = ":s"  # before a part's number: its pieces have gone to another courier since
_MOST_LATE = 1_000  # outcomes of calls that ended after their part had gone

log = logging.getLogger(__name__)


class Serving:
    """`epoch` tells whether a part may be served right now, and under which epoch."""

    def __init__(self, core: Core, kept: Kept, book: Book, now_ms: Callable[[], int]) -> None:
        self._core, self._kept, self._book, self._now_ms = core, kept, book, now_ms
        self.epoch: Callable[[int], int | None] = lambda part: None
        self._serving: dict[int, int] = {}
        self._late: dict[int, dict[str, str]] = {}  # part -> outcomes heard while it was shut, for its next owner
        self._gone: dict[str, int] = {}  # with a call under way when their part went
        core.fence, core.late_outcome = self.may_send, self._stray
        kept.doubted = self._doubted

    # --- the daemon's side ---

    def serving(self, part: int) -> int | None:
        """The epoch under which the part is served at this moment; None if it is not."""
        epoch = self._serving.get(part)
        return epoch if epoch is not None and self.epoch(part) == epoch else None

    def may_send(self, name: str) -> bool:
        """Right before a first byte: this courier's part, by its lease, and the contract lets it."""
        message = self._kept.messages.get(name)
        if message is None or message.channel is None:
            return True
        return self.serving(self._kept.part(message)) is not None and self._book.may_send(self._now_ms(), name)

    def pump(self) -> None:
        """Give the module what may go now, and end what ends here."""
        for one in self._book.release(self._now_ms()):
            match one:
                case Release(name):
                    self._resume(name)
                case End(name, how):
                    self._core.finish(name, "handed_back" if how == "refused" else "given_up")
        self._kept.flush()

    def expire(self, name: str) -> None:
        """Its time is over: end it here if the module does not have it."""
        message = self._kept.messages.get(name)
        if message is None or message.notice is not None or message.channel is None:
            return
        if self._book.holds(name) and (end := self._book.expired(self._now_ms(), name)) is not None:
            self._kept.flush()
            self._core.finish(name, "handed_back" if end.how == "refused" else "given_up")
            self.pump()
        elif self.serving(self._kept.part(message)) is None and not self._kept.live(name) \
                and f"{SENT}{self._kept.part(message)}" not in self._kept.marks:
            # The lease is lost, and nobody else can know of it: its end is owed from here. Where its pieces have gone
            # to another, that one may end it: the part's owner is asked first (`orphans`), or two ends would be told.
            self.end_here(name)

    def _resume(self, name: str) -> None:
        if not self._core.endpoint_client.carries(name) and (message := self._kept.messages.get(name)) is not None:
            self._core.resume([message])

    def _stray(self, item: Item, result: Result) -> None:
        """A call has ended whose message the module had to let go."""
        message = self._kept.messages.get(item.message)
        if message is None or message.channel is None:
            if result.outcome is Outcome.OK and item.message in self._gone:
                part = self._gone.pop(item.message)
                self._note_late(part, item.message)
            return
        part = self._kept.part(message)
        if result.outcome is Outcome.OK or result.over:
            self._kept.over(item.message)
            if part not in self._serving:
                self._note_late(part, item.message)
            return
        self._kept.late_outcome(item.message, item.attempt, result.outcome not in NEVER_EXECUTED)
        if part in self._serving and item.message in self._book.out(part):
            self._resume(item.message)

    def _doubted(self, name: str) -> None:
        """What a contract says must not run again, and may have, is over."""
        if not self._book.may_repeat(name):
            self._core.finish(name, "given_up")

    def under_way(self, part: int) -> int:
        """Calls without an outcome."""
        return self._kept.under_way(part)

    def shut(self, part: int) -> None:
        """Take and begin nothing; what the module holds is kept here."""
        self._serving.pop(part, None)
        self._book.shut(part)
        for message in self._kept.of(part):
            self._core.set_aside(message.id)

    def _note_late(self, part: int, message: str) -> None:
        """It was delivered by a call of before: whoever has the part next must know."""
        if sum(map(len, self._late.values())) < _MOST_LATE:
            self._late.setdefault(part, {})[message] = "delivered"

    def open(self, part: int, epoch: int, first: int = 0) -> None:
        """Serve the part under this epoch; nobody else can have had it since `first`."""
        last = self._kept.marks.get(f"{EPOCH}{part}", 0)
        if last + 1 < min(first or epoch, epoch):
            self._inherit(part)
        self._kept.mark(f"{EPOCH}{part}", epoch)
        self._kept.mark(f"{SENT}{part}", None)
        self._late.pop(part, None)
        self._kept.unwatch(part)
        self._serving[part] = epoch
        self._book.open(part)
        log.info("part %d is served under epoch %d, %d messages", part, epoch, len(self._kept.of(part)))
        for name in self._book.out(part):
            self._resume(name)
        self.pump()

    def _inherit(self, part: int) -> None:
        """Another had it last and did not hand it over: what is here from before that is as a former owner's."""
        former = {name: self._book.export(name) for name in self._book.channels(part)}
        self._book.drop(part)
        self._book.inherit(part)
        for name, data in former.items():
            self._book.learn(self._now_ms(), name, data)
        self._find(part)

    def _find(self, part: int) -> None:
        """Messages that are here and in no position: they go on if their contract has room for them, or end here."""
        for message in self._kept.of(part):
            if self.ended_here(message):
                self._kept.forget(message.id)
            elif not self._book.holds(message.id) and not self._kept.live(message.id):
                assert message.channel is not None
                if not self._book.found(self._now_ms(), message.channel, message.number, message.id):
                    self.end_here(message.id)
        self._kept.flush()

    def ended_here(self, message: StoredMessage) -> bool:
        """Has it had its end under this courier's position? Then it is nobody's any more."""
        position = self._book.position(message.channel or "")
        return (position is not None and position.state(message.number) == "ended"
                and position.answer(message.number)[0] == message.id)

    def end_here(self, name: str) -> None:
        """Whoever finds it ends it: handed back if it surely never ran, here or where its pieces may have gone."""
        message = self._kept.messages.get(name)
        if message is not None:
            surely = message.may_have_run() is None and f"{SENT}{self._kept.part(message)}" not in self._kept.marks
            self._core.finish(name, "handed_back" if surely else "given_up")

    def restore(self, marks: Mapping[str, Any]) -> list[StoredMessage]:
        """Take up positions after a start. Gives the messages that the core is to go on with at once; those of parts
        wait for their lease."""
        messages = self._kept.messages
        owed = {m.id: m.may_have_run() is not None for m in messages.values() if m.channel is not None}
        ended = self._book.restore(self._now_ms(), marks, owed)
        for line in self._book.unreadable:
            log.error("%s", line)
        self._kept.flush()
        for one in ended:  # its position says so, and the journal was cut off before it did
            message = messages[one.message]
            if message.notice is None and one.how == "delivered":
                self._kept.forget(one.message)
            elif message.notice is None:
                self._kept.end(one.message, "handed_back" if one.how == "refused" else "given_up", 0)
        return [m for m in messages.values() if m.channel is None or m.notice is not None]
