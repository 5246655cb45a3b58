"""Connects discovery, clients, operators, journal and other processes to the decision module; decides nothing itself.

Reading order: `ports` (interfaces), `endpoints` (which may be written to), `classes`, `decision_loop`, `dispatcher`
(outgoing attempts), `operator_commands`, this.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.config import Address, Config
from wheelstep.courier.flight_recorder import EventKind
from wheelstep.courier.handover_state import continue_settling, was_used
from wheelstep.courier.operator_commands import OperatorCommands
from wheelstep.courier.ports import JournalPort, OpenCall, Successor
from wheelstep.courier.rows import Row
from wheelstep.courier.wall_clock import ago_us, left_us
from wheelstep.interface import EndpointState
from wheelstep.journal import StoredMessage

if TYPE_CHECKING:  # optional features are imported only when enabled
    from wheelstep.recording.writer import Recorder

_MAX_HEALTH_NOTES = 1_000  # endpoints whose health is journalled at shutdown: a few hundred bytes each

log = logging.getLogger(__name__)


class Core(OperatorCommands):
    """State of one courier between its sockets, its journal and the decision module."""

    def __init__(self, config: Config, journal: JournalPort) -> None:
        super().__init__(config, journal)
        self._unacknowledged: set[str] = set()  # journalled messages, neither begun nor withdrawn yet
        self._created_s = time.monotonic()  # this process holds the state folder, so any earlier one has ended
        self.recorder: Recorder | None = None
        self.ready = False

    # --- discovery ---

    def listed(self, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        """Apply a list from discovery, or changes to it."""
        gone = [] if kind is api.ListKind.CHANGES else self.endpoints.missing_from({info.endpoint for info, _ in rows})
        if kind is not api.ListKind.RESTORED:
            self.endpoints.note_told((info for info, _ in rows), gone)
        for endpoint in gone:
            self._remove_endpoint(endpoint)
        for info, address in rows:
            if info.state is EndpointState.REMOVED:
                self._remove_endpoint(info.endpoint)
                continue
            self.endpoints.add(info)
            self.endpoint_client.set_address(info.endpoint, address)
            if info.state is EndpointState.DRAINING:
                self.endpoint_client.close_idle(info.endpoint)
        self.endpoints.post_membership(kind, [info for info, _ in rows])

    def drop_destinations(self, destinations: Iterable[int]) -> None:
        """Stop serving these destinations. Their endpoints are already unlisted, and no message for them is owed."""
        self.endpoints.destinations.difference_update(gone := tuple(destinations))
        self.decision_loop.post(api.DestinationsDropped(gone))

    def _remove_endpoint(self, endpoint: str) -> None:
        self.endpoints.remove(endpoint)
        self.endpoint_client.remove_address(endpoint)

    # --- clients (admission.Admission) ---

    def full(self) -> bool:
        """Return whether the hold limit is reached; owed notifications count, since their number needs a bound too.
        Always True after a handover. True also with one place left while restored, untried messages fill more than half
        of the limit: a message that took it would make the decision module return one just accepted, and refusing it
        costs less than that."""
        limit = self._settings.hold_limit
        room = limit - len(self._journal.messages)
        return self.handed_over or room <= 0 or room == 1 and 2 * len(self._untried) > limit

    def serves(self, destination: int) -> bool:
        """Return whether any list has named the destination, or no list has been read yet."""
        return self.endpoints.serves(destination)

    def take(self, message: StoredMessage) -> None:
        """Write a new message to the journal."""
        self._journal.take(message)
        self._unacknowledged.add(message.id)

    def durable(self) -> asyncio.Future[None]:
        """Return a future, done once the records are durable by the operator's sync policy, or `NoRoomError`."""
        return asyncio.ensure_future(self._journal.durable())

    def holds(self, message: str) -> bool:
        """Return whether the message was accepted before, also if it ended a short while ago."""
        return message in self._journal.messages or self.ended_messages.holds(message, time.monotonic())

    def is_unconfirmed(self, message: str) -> bool:
        """Return whether the message is journalled for a client without its answer yet, and may be withdrawn."""
        return message in self._unacknowledged

    def client_answered(self, name: str) -> None:
        """Note that the client has been told that its message was accepted."""
        self._unacknowledged.discard(name)

    def begin(self, name: str) -> None:
        """Start to process a message whose client has been told that it was accepted."""
        self.client_answered(name)
        message = self._journal.messages[name]
        self._hold(message)
        self._record(EventKind.ACCEPTED, name)
        self.decision_loop.post(self._accepted(message, message.resubmitted))

    def withdraw(self, name: str) -> None:
        """Discard a message whose client disconnected before the answer."""
        self._unacknowledged.discard(name)
        self._journal.over(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Log the answer to a client, count a 503, and record the request if the operator wants that."""
        if status == 202:
            self._account_accepted(message)
        elif self.account is not None:
            self.account.turned_away(message.id, message.message_class, status)
        if self.counters is not None and status == 503:
            self.counters.ended(message.message_class, "handed_back")
        if self.recorder is not None:
            self.recorder.note(message.message_class, message.destination, message.key, message.token is not None,
                               message.body, left_us(message) // 1000, status, message.resubmitted)

    def _account_accepted(self, message: StoredMessage, restored: bool = False) -> None:
        if self.account is not None:
            self.account.taken(message.id, message.message_class, message.destination, message.key,
                               left_us(message) // 1000, message.resubmitted, restored)

    # --- handover between processes ---

    @property
    def handed_over(self) -> bool:
        """Whether another process owns the messages now."""
        return self._successor is not None

    def freeze(self) -> None:
        """Start nothing new. Calls under way continue; those that have not written a byte end as not sent."""
        self.decision_loop.frozen = True
        self._record(EventKind.STATE, detail="frozen")

    def thaw(self) -> None:
        """Resume after `freeze`."""
        self._record(EventKind.STATE, detail="thawed")
        self.decision_loop.thaw()

    def stop(self) -> None:
        """Start nothing any more, and journal what the next process needs to know."""
        self._record(EventKind.STATE, detail="stopping: no new attempt")
        self.decision_loop.stopping = True
        self.journal_endpoint_health()

    def journal_endpoint_health(self) -> None:
        """Journal the health of the endpoints for the next process, those with most traffic first."""
        notes = self.decision_loop.sender.notes(time.monotonic_ns() // 1000)
        for note in sorted(notes, key=lambda note: -note.health.carried)[:_MAX_HEALTH_NOTES]:
            self._carry_out(note, {})

    def rows(self) -> list[Row]:
        """Return the current list."""
        return [(info, address) for name, info in self.endpoints.listed.items()
                if (address := self.endpoint_client.address(name)) is not None]

    def hand_over(self, successor: Successor) -> None:
        """Give the messages to another process: what calls still bring goes to it, nothing is journalled here now."""
        self._record(EventKind.STATE, detail="handed over")
        self._successor, self.endpoint_client.on_contradiction = successor, successor.contradicted
        self.decision_loop.end()
        self.classes.stop()
        self._held.clear()
        for name in self.endpoints.listed:
            self.endpoint_client.close_idle(name)

    def restore(self, marks: Mapping[str, Any], messages: Iterable[StoredMessage], calls: Sequence[OpenCall] = (),
                settling: Mapping[str, int] | None = None, owned_since_s: float | None = None,
                partition: int = 0) -> None:
        """Restore what a journal holds: endpoint health, and the messages in their order. `calls` are still under
        way in the previous process, which will report their outcomes. `settling` has the keys that settle there and
        the microseconds left. None: no process can report them, so any key may settle until a settle period after
        `owned_since_s`, when this process got the state folder (default: when this core was made)."""
        settle_us = self._settings.order_settle_us if was_used(marks) else 0
        settled_s = (owned_since_s or self._created_s) + settle_us / 1e6
        if (event := continue_settling(self.order, settling, settled_s, time.monotonic())) is not None:
            self.decision_loop.post(event)
        out = {name: (at, number, call) for at, call in enumerate(calls) for name, number in call.attempts}
        messages = list(messages)
        self.classes.restore(marks, messages, partition)
        self.endpoints.restore(marks)
        self.resume(messages, out)

    def resume(self, messages: Iterable[StoredMessage],
               out: Mapping[str, tuple[int, int, OpenCall]] | None = None) -> None:
        """Continue with messages that an earlier process or another courier accepted. `out` has those still in a
        call of the previous process: the call's index, the attempt, the call."""
        for message in messages:
            if message.notice is not None:
                self._notify_end(message)
            elif self.classes.place(message) is None:
                log.error("class %r is not known any more: message %s fails", message.message_class, message.id)
                self._end(message, "given_up", 0)
            else:
                at, number, call = (out or {}).get(message.id, (0, None, None))
                ran = message.may_have_run(except_attempt=number)
                self._hold(message, time.monotonic() + self._settings.order_settle_us / 1e6 if ran else 0.0)
                if number is not None:
                    self.order.attempt_started(message.id, number)
                self._record(EventKind.RESTORED, message.id, f"{message.attempts} attempts")
                if not message.attempts:
                    self._untried.add(message.id)
                self._account_accepted(message, restored=True)
                self.decision_loop.post(api.MessageRestored(
                    self._accepted(message, resubmitted=True), message.attempts,
                    None if ran is None else ago_us(ran[0]), self.endpoints.zone(ran[1]) if ran else 0,
                    None if call is None else api.CallInProgress(at, call.endpoint, ago_us(call.sent_ms))))

    def set_aside(self, name: str) -> None:
        """Remove a message from the decision module; its end stays owed, its call goes on, its key is free."""
        self._withdraw_from_module(name)
        self.order.completed(name, time.monotonic())

    def _withdraw_from_module(self, name: str) -> None:
        if self._held.pop(name, None) is not None:
            del self._next_attempt[name]
            self._untried.discard(name)
            self.decision_loop.post(api.MessageWithdrawn(name))

    def finish(self, name: str, outcome: str, retry_ms: int = 0) -> None:
        """End a message, held or not, with a notification; do nothing if it is unknown or has ended."""
        self._withdraw_from_module(name)
        if (message := self._journal.messages.get(name)) is not None and message.notice is None:
            self._end(message, outcome, retry_ms)

    def _accepted(self, message: StoredMessage, resubmitted: bool) -> api.MessageAccepted:
        place = self.classes.place(message)
        assert place is not None  # neither the client server nor `restore` admits an unknown class
        return api.MessageAccepted(message.id, place, message.destination,
                                   left_us(message), message.key, resubmitted)

    def _hold(self, message: StoredMessage, may_run_until: float = 0.0) -> None:
        self._held[message.id] = message
        self._next_attempt[message.id] = message.attempts
        self.order.accepted(message.id, message.key, message.attempts > 0, may_run_until)
