"""Channels as this courier serves them: for which parts it may send right now, which messages the decision module gets,
and which end without it. `content` handles what arrives and leaves with a part."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from wheelstep.channels.book import ChannelTable, End, Release
from wheelstep.channels.kept import ChannelJournal
from wheelstep.courier.core import Core
from wheelstep.courier.endpoint_client import Item, Result
from wheelstep.interface import NEVER_EXECUTED, Outcome
from wheelstep.journal import StoredMessage

EPOCH_MARK = ":e"  # prefix of a part's mark: the last epoch under which the part was served or adopted here
SENT_MARK = ":s"  # prefix of a part's mark: its pieces have been sent to another courier since
_MAX_LATE_OUTCOMES = 1_000  # recorded outcomes of calls that ended after their part had left

log = logging.getLogger(__name__)


class ChannelService:
    """Connects the channels with the core. `epoch` returns the epoch under which a part may be served right now, or
    None."""

    def __init__(self, core: Core, journal: ChannelJournal, table: ChannelTable, now_ms: Callable[[], int]) -> None:
        self._core, self._journal, self._table, self._now_ms = core, journal, table, now_ms
        self.epoch: Callable[[int], int | None] = lambda part: None
        self._served: dict[int, int] = {}  # part -> epoch
        self._late_outcomes: dict[int, dict[str, str]] = {}  # part -> outcomes while it was shut, for its next owner
        self._departed: dict[str, int] = {}  # messages with a call under way when their part left -> part
        core.fence, core.late_outcome = self.may_send, self._on_stray_result
        journal.on_unclear = self._on_unclear

    def served_epoch(self, part: int) -> int | None:
        """Return the epoch under which the part is served right now; None if it is not."""
        epoch = self._served.get(part)
        return epoch if epoch is not None and self.epoch(part) == epoch else None

    def may_send(self, name: str) -> bool:
        """Return whether a message's first byte may be written now: its part is served under a valid lease, and its
        contract allows it. True for a message without a channel."""
        message = self._journal.messages.get(name)
        if message is None or message.channel is None:
            return True
        return self.served_epoch(self._journal.part_of(message)) is not None \
            and self._table.may_send(self._now_ms(), name)

    def dispatch_due(self) -> None:
        """Pass the messages that are due to the decision module, and finish those that end here."""
        for released in self._table.release(self._now_ms()):
            match released:
                case Release(name):
                    self._resume(name)
                case End(name, how):
                    self._core.finish(name, "handed_back" if how == "refused" else "given_up")
        self._journal.flush()

    def expire(self, name: str) -> None:
        """End a message whose deadline has passed, unless the decision module has it."""
        message = self._journal.messages.get(name)
        if message is None or message.notice is not None or message.channel is None:
            return
        if self._table.holds(name) and (end := self._table.expire(self._now_ms(), name)) is not None:
            self._journal.flush()
            self._core.finish(name, "handed_back" if end.how == "refused" else "given_up")
            self.dispatch_due()
        elif self.served_epoch(self._journal.part_of(message)) is None and not self._journal.has_open_call(name) \
                and f"{SENT_MARK}{self._journal.part_of(message)}" not in self._journal.marks:
            # The lease is lost, and no other courier can know the message: its end is owed here. Once its pieces were
            # sent to another courier, that one may end it: the owner is asked first (`orphans`), as otherwise two ends
            # could be reported.
            self.end_here(name)

    def _resume(self, name: str) -> None:
        """Pass a message to the decision module, unless a call still carries it."""
        if not self._core.endpoint_client.carries(name) and (message := self._journal.messages.get(name)) is not None:
            self._core.resume([message])

    def _on_stray_result(self, item: Item, result: Result) -> None:
        """Handle the result of a call whose message was taken from the decision module."""
        message = self._journal.messages.get(item.message)
        if message is None or message.channel is None:
            if result.outcome is Outcome.OK and item.message in self._departed:
                part = self._departed.pop(item.message)
                self._note_late(part, item.message)
            return
        part = self._journal.part_of(message)
        if result.outcome is Outcome.OK or result.over:
            self._journal.over(item.message)
            if part not in self._served:
                self._note_late(part, item.message)
            return
        self._journal.late_outcome(item.message, item.attempt, result.outcome not in NEVER_EXECUTED)
        if part in self._served and item.message in self._table.in_flight(part):
            self._resume(item.message)

    def _on_unclear(self, name: str) -> None:
        """Give up a message that may have run, if its contract forbids another attempt."""
        if not self._table.may_repeat(name):
            self._core.finish(name, "given_up")

    def under_way(self, part: int) -> int:
        """Return the number of the part's messages with a call under way."""
        return self._journal.under_way(part)

    def shut(self, part: int) -> None:
        """Accept no message and begin no attempt for the part until `open`. Its messages are taken from the decision
        module and remain stored."""
        self._served.pop(part, None)
        self._table.shut(part)
        for message in self._journal.undecided(part):
            self._core.set_aside(message.id)

    def _note_late(self, part: int, message: str) -> None:
        """Record for the part's next owner that a message was delivered by an earlier call."""
        if sum(map(len, self._late_outcomes.values())) < _MAX_LATE_OUTCOMES:
            self._late_outcomes.setdefault(part, {})[message] = "delivered"

    def open(self, part: int, epoch: int, first: int = 0) -> None:
        """Serve the part under this epoch. No other courier can have owned it since `first` (0: since this epoch)."""
        last = self._journal.marks.get(f"{EPOCH_MARK}{part}", 0)
        if last + 1 < min(first or epoch, epoch):
            self._inherit(part)
        self._journal.mark(f"{EPOCH_MARK}{part}", epoch)
        self._journal.mark(f"{SENT_MARK}{part}", None)
        self._late_outcomes.pop(part, None)
        self._journal.stop_tracking(part)
        self._served[part] = epoch
        self._table.open(part)
        log.info("part %d is served under epoch %d, %d messages", part, epoch, len(self._journal.undecided(part)))
        for name in self._table.in_flight(part):
            self._resume(name)
        self.dispatch_due()

    def _inherit(self, part: int) -> None:
        """Treat what is stored of the part as a former owner's: another courier owned it last and did not hand it
        over."""
        former = {name: self._table.export(name) for name in self._table.channels(part)}
        self._table.drop(part)
        self._table.inherit(part)
        for name, data in former.items():
            self._table.merge_former(self._now_ms(), name, data)
        self._reconcile(part)

    def _reconcile(self, part: int) -> None:
        """Handle stored messages that no position holds: accept those for which their contract has room, and end the
        others."""
        for message in self._journal.undecided(part):
            if self.has_ended_here(message):
                self._journal.forget(message.id)
            elif not self._table.holds(message.id) and not self._journal.has_open_call(message.id):
                assert message.channel is not None
                if not self._table.accept_found(self._now_ms(), message.channel, message.number, message.id):
                    self.end_here(message.id)
        self._journal.flush()

    def has_ended_here(self, message: StoredMessage) -> bool:
        """Return whether the message has ended according to its position here: then nothing more is owed of it."""
        position = self._table.position(message.channel or "")
        return (position is not None and position.state(message.number) == "ended"
                and position.outcome_of(message.number)[0] == message.id)

    def end_here(self, name: str) -> None:
        """End a message that was found on this disk. It is handed back only if it certainly never ran: neither here nor
        at a courier that may have received its pieces."""
        message = self._journal.messages.get(name)
        if message is not None:
            never_ran = message.may_have_run() is None \
                and f"{SENT_MARK}{self._journal.part_of(message)}" not in self._journal.marks
            self._core.finish(name, "handed_back" if never_ran else "given_up")

    def restore(self, marks: Mapping[str, Any]) -> list[StoredMessage]:
        """Restore the channels after a start, from the journal's marks. Returns the messages that the core continues
        with at once; those of channels wait until their part is served."""
        messages = self._journal.messages
        owed = {m.id: m.may_have_run() is not None for m in messages.values() if m.channel is not None}
        ended = self._table.restore(self._now_ms(), marks, owed)
        for line in self._table.unreadable:
            log.error("%s", line)
        self._journal.flush()
        for end in ended:  # stored in its position, but the journal was cut off before the message's own record
            message = messages[end.message]
            if message.notice is None and end.how == "delivered":
                self._journal.forget(end.message)
            elif message.notice is None:
                self._journal.end(end.message, "handed_back" if end.how == "refused" else "given_up", 0)
        return [m for m in messages.values() if m.channel is None or m.notice is not None]
