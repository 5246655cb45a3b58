"""A stand-in for the daemon's decision module. It sends what the channel table releases at once, and again after a
refusal or an unknown outcome where the contract allows it. Each attempt is journalled before it is sent; epoch and
contract are checked right before the send.

Imports `wheelstep.channels` and neighbouring modules.
"""

from __future__ import annotations

from collections.abc import Callable

from wheelstep.channels.contracts import part_of
from wheelstep.channels.terms import End
from wheelstep.rehearsal.simulation.check import InvariantChecker
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import OK, REFUSED, Partners
from wheelstep.rehearsal.simulation.store import Message, Store
from wheelstep.rehearsal.simulation.world import MS, S

CALL_TIMEOUT_US = S  # an attempt without an answer by then has an unknown outcome
MAX_ATTEMPTS = 6


class Attempts:
    """Sends the messages of one process. `servable_epoch` returns the epoch under which a part's messages may be sent
    now, None if they may not."""

    def __init__(self, machine: Machine, store: Store, partners: Partners, check: InvariantChecker,
                 servable_epoch: Callable[[int], int | None]) -> None:
        self.machine, self._store, self._partners, self._check, self._servable_epoch = \
            machine, store, partners, check, servable_epoch
        self._waiting: dict[str, None] = {}  # released messages whose next attempt is due or waits for the lease

    def _part(self, record: Message) -> int:
        return part_of(record.channel, self._store.parts)

    def start_released(self) -> None:
        """Schedule an attempt for each message that the channel table releases, and report the ends that it decides."""
        store = self._store
        for released in store.table.release(store.now_ms()):
            if isinstance(released, End):
                self._record_end(released.message, released.how)
            else:
                self._schedule_attempt(released.message, 300)
        store.flush()

    def resume_part(self, part: int) -> None:
        """Schedule an attempt for each waiting message of a part that is open again."""
        for message in [one for one in self._waiting if self._part(self._store.messages[one]) == part]:
            self._schedule_attempt(message, 300)

    def forget(self, message: str) -> None:
        """Drop a message that this process no longer owes."""
        self._waiting.pop(message, None)

    def _schedule_attempt(self, message: str, delay_us: int) -> None:
        self._waiting[message] = None
        self.machine.schedule_local(delay_us, self._start_attempt, message)

    def _start_attempt(self, message: str) -> None:
        record = self._store.messages.get(message)
        if record is None or record.in_flight or record.end or message not in self._waiting \
                or self._servable_epoch(self._part(record)) is None:
            return
        del self._waiting[message]
        record.in_flight = True
        record.attempts += 1
        may_have_run_before, record.may_have_run = record.may_have_run, True
        self.machine.sync(self._store.file, self._store.save_message(message),
                          lambda: self._send(message, record, may_have_run_before))

    def _send(self, message: str, record: Message, may_have_run_before: bool) -> None:
        store = self._store
        if store.messages.get(message) is not record:
            return
        epoch = self._servable_epoch(self._part(record))
        if epoch is None or not store.table.may_send(store.now_ms(), message):
            record.in_flight, record.may_have_run = False, may_have_run_before
            if may_have_run_before and epoch is not None and not store.table.may_repeat(message):
                self.end_message(message, "failed")
            else:
                store.save_message(message)
                self._schedule_attempt(message, 100 * MS)  # by then the lease may be back, or a blocking message ended
            return
        self.machine.pass_boundary()
        self._partners.call(self.machine, self._part(record), record.channel, record.number, epoch, message,
                            lambda answer: self._on_outcome(message, record, record.attempts, answer))
        self.machine.schedule_local(CALL_TIMEOUT_US, self._on_outcome, message, record, record.attempts, "")

    def _on_outcome(self, message: str, record: Message, attempt: int, answer: str) -> None:
        store = self._store
        if not record.in_flight or record.attempts != attempt or store.messages.get(message) is not record:
            return
        record.in_flight = False
        if answer == REFUSED and record.attempts == 1:
            record.may_have_run = False
        if answer == OK:
            self.end_message(message, "delivered")
        elif record.attempts >= MAX_ATTEMPTS or (answer != REFUSED and not store.table.may_repeat(message)):
            self.end_message(message, "failed", answer != REFUSED)
        else:
            if answer != REFUSED:
                store.table.attempt_unclear(store.now_ms(), message)
            store.flush()
            store.save_message(message)
            self._schedule_attempt(message, 20 * MS)

    def end_message(self, message: str, outcome: str, unclear: bool = False) -> None:
        """End a message: write the channel's position, then the message, and report the end once both are synced.
        `unclear` says that the last call may have run."""
        self._store.table.ended(self._store.now_ms(), message, outcome, unclear)
        self._store.flush()
        self._record_end(message, outcome)
        self.start_released()

    def _record_end(self, message: str, outcome: str) -> None:
        record = self._store.messages[message]
        record.end = f"{outcome}/{self._store.epochs.get(self._part(record), 0)}/{self.machine.name}"
        record.in_flight = False
        self._store.save_message(message)
        self.report_end(message)

    def end_orphan(self, message: str) -> None:
        """End a message of a part that another courier owns: "handed back" if it surely never ran, else "failed". This
        courier, which found it on its disk, reports the end itself."""
        record = self._store.messages[message]
        record.end = record.end or f"{'failed' if record.may_have_run else 'handed back'}/-/{self.machine.name}"
        self._store.save_message(message)
        self.report_end(message, True)

    def report_end(self, message: str, orphaned: bool = False) -> None:
        """Report a message's end once it is synced, and remove the message. If the part isn't served here by then, the
        message waits until the part is opened here again or dropped; an `orphaned` one is reported in any case."""
        store, record = self._store, self._store.messages[message]
        self.forget(message)

        def on_synced() -> None:
            if store.messages.get(message) is not record \
                    or (not orphaned and self._servable_epoch(self._part(record)) is None):
                return
            self._check.on_ended(self.machine.name, message, record.end)
            self.machine.pass_boundary()
            store.remove_message(message)
        self.machine.sync(store.file, store.file.end_offset, on_synced)
