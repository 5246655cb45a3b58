"""A stand-in for the daemon's decision module: what the channels release is sent at once, and again after a refusal or
an unknown outcome where the contract lets it. The attempt is journalled before; epoch and contract are asked right
before the send.

Imports `wheelstep.channels` and its neighbours.
"""

from __future__ import annotations

from collections.abc import Callable

from wheelstep.channels.contracts import part_of
from wheelstep.channels.terms import End
from wheelstep.rehearsal.simulation.check import Check
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import OK, REFUSED, Partners
from wheelstep.rehearsal.simulation.store import Message, Store
from wheelstep.rehearsal.simulation.world import MS, S

CALL_US = S  # an attempt without an answer has an unknown outcome after so long
TRIES = 6


class Attempts:
    """`may` gives the epoch under which a part may be sent for right now."""

    def __init__(self, machine: Machine, store: Store, partners: Partners, check: Check,
                 may: Callable[[int], int | None]) -> None:
        self.machine, self._store, self._partners, self._check, self._may = machine, store, partners, check, may
        self._waiting: dict[str, None] = {}  # released, and an attempt is due or waits for the lease

    def _part(self, held: Message) -> int:
        return part_of(held.channel, self._store.parts)

    def pump(self) -> None:
        """Send what the channels release now."""
        store = self._store
        for one in store.table.release(store.now_ms()):
            if isinstance(one, End):
                self._ended(one.message, one.how)
            else:
                self._soon(one.message, 300)
        store.flush()

    def again(self, part: int) -> None:
        """The part is open again: go on with what was given out."""
        for message in [one for one in self._waiting if self._part(self._store.messages[one]) == part]:
            self._soon(message, 300)

    def forget(self, message: str) -> None:
        """It is another's now."""
        self._waiting.pop(message, None)

    def _soon(self, message: str, in_us: int) -> None:
        self._waiting[message] = None
        self.machine.later(in_us, self._begin, message)

    def _begin(self, message: str) -> None:
        held = self._store.messages.get(message)
        if held is None or held.out or held.end or message not in self._waiting or self._may(self._part(held)) is None:
            return
        del self._waiting[message]
        held.out = True
        held.attempts += 1
        doubted, held.doubt = held.doubt, True
        self.machine.sync(self._store.file, self._store.put(message), lambda: self._send(message, held, doubted))

    def _send(self, message: str, held: Message, doubted: bool) -> None:
        store = self._store
        if store.messages.get(message) is not held:
            return
        epoch = self._may(self._part(held))
        if epoch is None or not store.table.may_send(store.now_ms(), message):
            held.out, held.doubt = False, doubted
            if doubted and epoch is not None and not store.table.may_repeat(message):
                self.end(message, "failed")
            else:
                store.put(message)
                self._soon(message, 100 * MS)  # the lease may come back, or what is before it end
            return
        self.machine.boundary()
        self._partners.call(self.machine, self._part(held), held.channel, held.number, epoch, message,
                            lambda answer: self._outcome(message, held, held.attempts, answer))
        self.machine.later(CALL_US, self._outcome, message, held, held.attempts, "")

    def _outcome(self, message: str, held: Message, attempt: int, answer: str) -> None:
        store = self._store
        if not held.out or held.attempts != attempt or store.messages.get(message) is not held:
            return
        held.out = False
        if answer == REFUSED and held.attempts == 1:
            held.doubt = False
        if answer == OK:
            self.end(message, "delivered")
        elif held.attempts >= TRIES or (answer != REFUSED and not store.table.may_repeat(message)):
            self.end(message, "failed", answer != REFUSED)
        else:
            if answer != REFUSED:
                store.table.attempt_unclear(store.now_ms(), message)
            store.flush()
            store.put(message)
            self._soon(message, 20 * MS)

    def end(self, message: str, outcome: str, unclear: bool = False) -> None:
        """The position first, then the message; the end is told once both are safe."""
        self._store.table.ended(self._store.now_ms(), message, outcome, unclear)
        self._store.flush()
        self._ended(message, outcome)
        self.pump()

    def _ended(self, message: str, outcome: str) -> None:
        held = self._store.messages[message]
        held.end = f"{outcome}/{self._store.epochs.get(self._part(held), 0)}/{self.machine.name}"
        held.out = False
        self._store.put(message)
        self.tell(message)

    def end_here(self, message: str) -> None:
        """Its finder ends it by a notice: handed back if it surely never ran."""
        held = self._store.messages[message]
        held.end = held.end or f"{'failed' if held.doubt else 'handed back'}/-/{self.machine.name}"
        self._store.put(message)
        self.tell(message, True)

    def tell(self, message: str, finder: bool = False) -> None:
        """Its end, and forget it; where the part is another's by now the end waits, unless a `finder` is to tell it."""
        store, held = self._store, self._store.messages[message]
        self.forget(message)

        def told() -> None:
            if store.messages.get(message) is not held or (not finder and self._may(self._part(held)) is None):
                return
            self._check.ended(self.machine.name, message, held.end)
            self.machine.boundary()
            store.over(message)
        self.machine.sync(store.file, store.file.place, told)
