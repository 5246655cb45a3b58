"""The middle: what comes in, from lists, clients, operators, a journal and another process. No policy here.

Reading order: `ports` (what is asked of a journal and of notices), `endpoints` (what may be written where), `classes`,
`turns` (when the module is asked), `carrier` (what goes out), `operated` (what operators call for), this.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from wheelstep import interface as api
from wheelstep.courier.config import Address, Config
from wheelstep.courier.flight_recorder import EventKind
from wheelstep.courier.operated import Operated
from wheelstep.courier.ports import Book, CallsOut, Told
from wheelstep.courier.rows import Row
from wheelstep.courier.succession import follow
from wheelstep.courier.wall_clock import MARK, ago_us, left_us
from wheelstep.interface import EndpointState
from wheelstep.journal import Stored

if TYPE_CHECKING:  # what is off is not imported
    from wheelstep.recording.writer import Recorder

_MOST_NOTES = 1_000  # endpoints that are noted at the end of the process: a few hundred bytes each

log = logging.getLogger(__name__)


class Core(Operated):
    """One courier's state between its sockets, its journal and the module."""

    def __init__(self, config: Config, journal: Book) -> None:
        super().__init__(config, journal)
        self._settles: set[str] = set()  # written down, and neither begun nor withdrawn
        self._created_s = time.monotonic()  # the folder is ours, so any process before has ended
        self.recorder: Recorder | None = None
        self.ready = False

    # --- discovery ---

    def listed(self, kind: api.ListKind, rows: list[tuple[api.EndpointInfo, Address]]) -> None:
        """Discovery's list, or changes to it."""
        if kind is not api.ListKind.CHANGES:
            for gone in self.endpoints.gone({info.endpoint for info, _ in rows}):
                self._unlist(gone)
        for info, address in rows:
            if info.state is EndpointState.REMOVED:
                self._unlist(info.endpoint)
                continue
            self.endpoints.add(info)
            self.outlet.list(info.endpoint, address)
            if info.state is EndpointState.DRAINING:
                self.outlet.close_idle(info.endpoint)
        self.endpoints.tell(kind, [info for info, _ in rows])

    def forget(self, destinations: Iterable[int]) -> None:
        """They are served here no more: none of their endpoints is listed, and nothing of them is owed."""
        self.endpoints.destinations.difference_update(gone := tuple(destinations))
        self.turns.post(api.DestinationsDropped(gone))

    def _unlist(self, endpoint: str) -> None:
        self.endpoints.remove(endpoint)
        self.outlet.unlist(endpoint)

    # --- clients (desk.Desk) ---

    def full(self) -> bool:
        """Is the hold limit reached? Notices owed count: their number needs a bound too. A process that has handed
        over takes nothing on. The one that fills it makes the module hand back another; while most are restored and
        untried, and kept, that would be one that was just taken on: a refusal now is cheaper than a return then."""
        room = self._s.hold_limit - len(self._journal.messages)
        return self._tell is not None or room <= 0 or room == 1 and 2 * len(self._untried) > self._s.hold_limit

    def serves(self, destination: int) -> bool:
        """Has any list named it? Its endpoints may all be gone just now."""
        return self.endpoints.serves(destination)

    def take(self, message: Stored) -> None:
        """Write a new message down."""
        self._journal.take(message)
        self._settles.add(message.id)

    def durable(self) -> asyncio.Future[None]:
        """Done once what was written is safe by the operator's policy, or `NoRoomError`."""
        return asyncio.ensure_future(self._journal.durable())

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""
        return message in self._journal.messages

    def settles(self, message: str) -> bool:
        """Is it written down for a client that has not heard so yet, and may still be withdrawn?"""
        return message in self._settles

    def heard(self, name: str) -> None:
        """Its client knows that it was taken on."""
        self._settles.discard(name)

    def begin(self, name: str) -> None:
        """Act on a message whose client knows that it was taken on."""
        self.heard(name)
        message = self._journal.messages[name]
        self._hold(message)
        self._record(EventKind.ACCEPTED, name)
        self.turns.post(self._accepted(message, message.resubmitted))

    def withdraw(self, name: str) -> None:
        """Forget a message whose client went before it was answered."""
        self._settles.discard(name)
        self._journal.over(name)

    def handed_in(self, message: Stored, status: int) -> None:
        """Count a refusal, and record it where the operator wants that."""
        if status == 202:
            self._account_for(message)
        elif self.account is not None:
            self.account.turned_away(message.id, message.message_class, status)
        if self.figures is not None and status == 503:
            self.figures.ended(message.message_class, "handed_back")
        if self.recorder is not None:
            self.recorder.note(message.message_class, message.destination, message.key, message.token is not None,
                               message.body, left_us(message) // 1000, status, message.resubmitted)

    def _account_for(self, message: Stored, restored: bool = False) -> None:
        if self.account is not None:
            self.account.taken(message.id, message.message_class, message.destination, message.key,
                               left_us(message) // 1000, message.resubmitted, restored)

    # --- from one process to the next ---

    @property
    def frozen(self) -> bool:
        """Is another process about to go on from here?"""
        return self.turns.frozen

    def freeze(self) -> None:
        """Begin nothing: calls under way go on, those that have not written a byte end as not sent."""
        self.turns.frozen = True
        self._record(EventKind.STATE, detail="frozen")

    def thaw(self) -> None:
        """Go on."""
        self._record(EventKind.STATE, detail="thawed")
        self.turns.thaw()

    def stop(self) -> None:
        """Begin nothing any more, and write down what the next process must know."""
        self._record(EventKind.STATE, detail="stopping: no new attempt")
        self.turns.stopping = True
        self.note_all()

    def note_all(self) -> None:
        """Write down what a process that goes on from here must know of endpoints, those with most traffic first."""
        notes = self.turns.sender.notes(time.monotonic_ns() // 1000)
        for note in sorted(notes, key=lambda note: -note.health.carried)[:_MOST_NOTES]:
            self._carry_out(note, {})

    def waits(self) -> dict[str, int]:
        """Waits in force: microseconds left by endpoint."""
        return self.endpoints.waits(time.monotonic())

    def rows(self) -> list[Row]:
        """The list as it stands."""
        return [(info, address) for name, info in self.endpoints.listed.items()
                if (address := self.outlet.address(name)) is not None]

    def hand_over(self, tell: Told, tell_wait: Callable[[str, int], None]) -> None:
        """The messages are another process's now: outcomes and waits are told to it, and nothing is written down
        here."""
        self._record(EventKind.STATE, detail="handed over")
        self._tell, self._tell_wait = tell, tell_wait
        self.turns.end()
        self._held.clear()
        for endpoint in self.endpoints.listed:
            self.outlet.close_idle(endpoint)

    def restore(self, marks: Mapping[str, Any], messages: Iterable[Stored], calls: Sequence[CallsOut] = (),
                settling: Mapping[str, int] | None = None, owned_since_s: float | None = None) -> None:
        """Take up what a journal holds: the health of endpoints, and the messages in their order. `calls` are still
        out at the process before, which will tell their outcomes. `settling`: the keys that settle there, and for how
        many microseconds; None where there is no process to tell, so that any key may until it has settled from
        `owned_since_s` on, when the folder was got (default: when this core was made)."""
        first = marks.keys() <= {MARK}  # no process has been on this folder
        settle_us = 0 if first else self._s.order_settle_us
        settled_s = (owned_since_s or self._created_s) + settle_us / 1e6
        if (event := follow(self.order, settling, settled_s, time.monotonic())) is not None:
            self.turns.post(event)
        out = {name: (at, number, call) for at, call in enumerate(calls) for name, number in call.attempts}
        messages = list(messages)
        self.classes.restore(marks, messages)
        self.endpoints.restore(marks)
        self.resume(messages, out)

    def resume(self, messages: Iterable[Stored], out: Mapping[str, tuple[int, int, CallsOut]] | None = None) -> None:
        """Go on with messages that an earlier process, or another courier, had taken on. `out`: which are still in
        which call of a process before, and their attempts there."""
        for message in messages:
            if message.notice is not None:
                self._owe(message)
            elif self.classes.place(message) is None:
                log.error("class %r is not known any more: %s fails", message.message_class, message.id)
                self._end(message, "given_up", 0)
            else:
                at, number, call = (out or {}).get(message.id, (0, None, None))
                ran = message.may_have_run(but=number)
                self._hold(message, time.monotonic() + self._s.order_settle_us / 1e6 if ran else 0.0)
                if number is not None:
                    self.order.attempt_started(message.id, number)
                self._record(EventKind.RESTORED, message.id, f"{message.attempts} attempts")
                if not message.attempts:
                    self._untried.add(message.id)
                self._account_for(message, restored=True)
                self.turns.post(api.MessageRestored(
                    self._accepted(message, resubmitted=True), message.attempts,
                    None if ran is None else ago_us(ran[0]), self.endpoints.zone(ran[1]) if ran else 0,
                    None if call is None else api.CallOut(at, call.endpoint, ago_us(call.sent_ms))))

    def set_aside(self, name: str) -> None:
        """The module holds it no more, and its end is still owed; a call of it that is under way goes on."""
        self._drop(name)
        self.order.completed(name, time.monotonic())

    def _drop(self, name: str) -> None:
        if self._held.pop(name, None) is not None:
            del self._numbers[name]
            self._untried.discard(name)
            self.turns.post(api.MessageWithdrawn(name))

    def finish(self, name: str, outcome: str, retry_ms: int = 0) -> None:
        """End one by a notice, whether the module holds it or not."""
        self._drop(name)
        if (message := self._journal.messages.get(name)) is not None and message.notice is None:
            self._end(message, outcome, retry_ms)

    def _accepted(self, message: Stored, resubmitted: bool) -> api.MessageAccepted:
        place = self.classes.place(message)
        assert place is not None  # the client server takes none of an unknown class, nor does `restore`
        return api.MessageAccepted(message.id, place, message.destination,
                                   left_us(message), message.key, resubmitted)

    def _hold(self, message: Stored, may_run_until: float = 0.0) -> None:
        self._held[message.id] = message
        self._numbers[message.id] = message.attempts
        self.order.accepted(message.id, message.key, message.attempts > 0, may_run_until)
