"""A simulated courier's `Content` (`wheelstep.fleet.content`): accepts messages, and hands over and drops parts.

Imports `wheelstep.channels`, `wheelstep.moves.types` and neighbouring modules.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from wheelstep.channels.book import Duplicate, Reject
from wheelstep.channels.contracts import part_of
from wheelstep.moves.types import Piece
from wheelstep.rehearsal.simulation.attempts import Attempts
from wheelstep.rehearsal.simulation.check import InvariantChecker
from wheelstep.rehearsal.simulation.disk import is_held
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import Partners
from wheelstep.rehearsal.simulation.store import CONTRACTS, Message, Store, decode

NEVER_US = 1 << 62


class SimContent:
    """The channels and messages of one process, restored from its machine's disk."""

    def __init__(self, machine: Machine, parts: int, check: InvariantChecker, partners: Partners) -> None:
        self.machine, self._check = machine, check
        self.version = 1
        self.store = store = Store(
            machine.disk.journal, parts, lambda: machine.local_us() // 1000, machine.pass_boundary)
        self.served_epochs: dict[int, int] = {}  # part -> epoch
        self._closed_parts: set[int] = set()
        self.attempts = Attempts(machine, store, partners, check, self.servable_epoch)
        for end in store.interrupted_ends:
            store.messages[end.message].end = f"{end.how}/-/{machine.name}"
        for one in [one for one, record in store.messages.items() if not record.end and not store.table.holds(one)]:
            del store.messages[one]  # withdrawn: no client received 202

    def next_us(self) -> int:
        """Return when the channel table's next timer is due, by the machine's clock; `NEVER_US` if there is none."""
        next_ms = self.store.table.next_ms()
        return NEVER_US if next_ms is None else next_ms * 1000

    def tick(self, now_us: int) -> None:
        """Handle the channel table's timers that are due."""
        self.attempts.start_released()

    def servable_epoch(self, part: int) -> int | None:
        """Return the epoch under which the part is served now, None if it isn't."""
        if part in self._closed_parts or part not in self.served_epochs:
            return None
        epoch = self.machine.node.epoch(part, self.machine.local_us())
        return epoch if self.served_epochs[part] == epoch else None

    def submit(self, channel: str, number: int, message: str, answer: Callable[[int, int, str], None]) -> None:
        """Accept or reject a message. `answer` gets the status (200: it has ended before), the next number expected,
        and the owner's name with 503, or the reason with 409."""
        store, now_ms = self.store, self.store.now_ms()
        part = part_of(channel, store.parts)
        epoch = self.servable_epoch(part)
        contract = CONTRACTS.named(channel.partition("/")[0])
        assert contract is not None
        if epoch is None:
            return answer(503, 0, self.machine.node.owner_of(part) or "")
        verdict = store.table.offer(now_ms, contract, channel, message, number, None)
        if isinstance(verdict, Reject):
            return answer(409, verdict.next, verdict.why)
        if isinstance(verdict, Duplicate):
            status = 202 if verdict.outcome is None else 200
            return self.machine.sync(store.file, store.file.end_offset, lambda: answer(status, verdict.next, ""))
        store.table.take(now_ms, channel, message, verdict.number)
        store.flush()
        record = store.messages[message] = Message(channel, verdict.number)

        def on_synced() -> None:
            if store.messages.get(message) is not record:
                return answer(503, 0, "")
            if self.servable_epoch(part) != epoch:
                store.table.withdraw(store.now_ms(), message)
                store.flush()
                store.remove_message(message)
                return answer(503, 0, "")
            answer(202, verdict.next, "")
            self.machine.pass_boundary()
            store.table.client_answered(store.now_ms(), message)
            self.attempts.start_released()
        self.machine.sync(store.file, store.save_message(message), on_synced)

    def pieces(self, part: int) -> list[Piece]:
        """Return all pieces of a part, and start recording its changes for `changed`."""
        self.store.flush()
        self.store.changed_pieces[part] = {}
        names = ["c:" + one for one in self.store.table.channels(part)] \
            + ["m:" + one for one in self.store.messages_of(part)]
        inherited = [Piece("inherited", b"1")] if self.store.table.inherited(part) else []
        return inherited + [Piece(name, self.store.encode_piece(name)) for name in names]

    def changed(self, part: int) -> list[Piece]:
        """Return the pieces changed since the last call; empty data for removed ones."""
        self.store.flush()
        names, self.store.changed_pieces[part] = self.store.changed_pieces.get(part, {}), {}
        return [Piece(name, self.store.encode_piece(name)) for name in names]

    def weight(self, part: int) -> int:
        """Return the number of channels and messages of the part."""
        return len(self.store.table.channels(part)) + len(self.store.messages_of(part))

    def under_way(self, part: int) -> int:
        """Return the number of the part's calls without an outcome yet."""
        return sum(self.store.messages[one].in_flight for one in self.store.messages_of(part))

    def shut(self, part: int) -> None:
        """Accept no message and begin no attempt for the part until `open`."""
        self.machine.world.trace(self.machine.name, "shut", part)
        self._closed_parts.add(part)
        self.store.table.shut(part)

    def open(self, part: int, epoch: int, first_epoch: int = 0) -> None:
        """Serve the part under this epoch; no other courier can have owned it since `first_epoch` (0: `epoch`)."""
        self.machine.world.trace(self.machine.name, "open", part, "epoch", epoch)
        self._check.on_part_opened(self.machine.name, part, epoch)
        store = self.store
        if store.may_have_missed_owner(part, epoch, first_epoch):
            self._take_over_without_handover(part)
        store.record_opened(part, epoch)
        self._closed_parts.discard(part)
        self.served_epochs[part] = epoch
        store.changed_pieces.pop(part, None)
        store.table.open(part)
        for message in store.messages_of(part):
            if store.messages[message].end:
                self.attempts.report_end(message)
        self.attempts.resume_part(part)
        self.attempts.start_released()

    def _take_over_without_handover(self, part: int) -> None:
        """Prepare a part whose last owner did not hand it over: older state stored here counts as a former owner's."""
        table, now_ms = self.store.table, self.store.now_ms()
        former = {channel: table.export(channel) for channel in table.channels(part)}
        table.drop(part)
        table.inherit(part)
        for channel, data in former.items():
            table.merge_former(now_ms, channel, data)
        self._find_messages(part)

    def _find_messages(self, part: int) -> None:
        """Add messages stored here before the part arrived to the channel table, or end those here that it rejects."""
        store = self.store
        for message in store.messages_of(part):
            record = store.messages[message]
            if not record.end and not store.table.holds(message):
                self.attempts.forget(message)
                if store.has_ended(message, record):
                    store.remove_message(message)
                elif not store.table.accept_found(store.now_ms(), record.channel, record.number, message):
                    self.attempts.end_orphan(message)
        store.flush()

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Store the pieces of a part that was handed over, and sync the journal: the caller confirms them next."""
        store, now_ms = self.store, self.store.now_ms()
        known = store.epochs.get(part, 0) >= epoch
        former = {} if known else {one: store.table.export(one) for one in store.table.channels(part)}
        if not known:
            store.table.drop(part)
        for piece in sorted(pieces, key=lambda piece: piece.name, reverse=True):  # messages before positions
            kind, key = piece.name[:2], piece.name[2:]
            if piece.name == "inherited":
                store.table.inherit(part)
            if kind == "m:" and piece.data:
                store.messages[key] = Message(*decode(piece.data))
                store.save_message(key)
            elif kind == "c:" and piece.data:
                store.table.adopt(now_ms, key, piece.data, CONTRACTS.named(key.partition("/")[0]))
        for message in store.messages_of(part):
            if store.messages[message].may_have_run and store.table.holds(message):
                store.table.attempt_unclear(now_ms, message)
        for channel, data in former.items():
            store.table.merge_former(now_ms, channel, data)
        self._find_messages(part)
        store.record_opened(part, epoch)
        self.machine.disk.sync(store.file, store.flush())
        self.machine.pass_boundary()

    def drop(self, part: int) -> None:
        """Drop the part without reporting outcomes: another courier owes them now."""
        self.machine.world.trace(self.machine.name, "drop", part)
        self._check.on_dropped(self.machine.name, self.store.messages_of(part), self._held_elsewhere)
        self.served_epochs.pop(part, None)
        self.store.table.drop(part)
        for message in self.store.messages_of(part):
            self.attempts.forget(message)
            self.store.remove_message(message)
        self.store.flush()
        self.store.changed_pieces.pop(part, None)

    def _held_elsewhere(self, message: str) -> bool:
        return is_held((one.disk for one in self.machine.fleet.values() if one is not self.machine), message)

    def orphans(self, part: int) -> list[Piece]:
        """Return the positions, then the messages, stored here of a part that another courier owns."""
        names = ["c:" + one for one in self.store.table.channels(part)]
        names += ["m:" + one for one in self.store.messages_of(part) if not self.store.messages[one].in_flight]
        return [Piece(name, self.store.encode_piece(name)) for name in names]

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """Apply the owner's answers by message: True, the owner owes it now; False, it ends here."""
        for name, accepted in verdicts.items():
            message = name.removeprefix("m:")
            if message not in self.store.messages:
                continue
            if accepted and not self.store.messages[message].end:
                self._check.on_dropped(self.machine.name, [message], self._held_elsewhere)
                self.attempts.forget(message)
                self.store.remove_message(message)
            else:
                self.attempts.end_orphan(message)
        if not self.store.messages_of(part):
            self.store.table.drop(part)
            self.store.flush()

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """Handle a call's outcome or a message from a former owner. Return whether it is accepted."""
        store, now_ms = self.store, self.store.now_ms()
        if message.startswith("c:"):
            store.table.merge_former(now_ms, message[2:], piece)
            store.flush()
            self.attempts.start_released()
            return True
        message = message.removeprefix("m:")
        found = Message(*decode(piece)) if piece else None
        known = store.messages.get(message)
        end = found.end.split("/")[0] if found is not None else outcome
        if known is not None:
            if end and not known.end:
                self.attempts.end_message(message, end)
            return True
        if found is None or store.has_ended(message, found):
            return found is not None
        if found.end or not self.servable_epoch(part) \
                or not store.table.accept_found(now_ms, found.channel, found.number, message):
            return False
        store.flush()
        store.messages[message] = found
        self.machine.disk.sync(store.file, store.save_message(message))
        if found.may_have_run:
            store.table.attempt_unclear(now_ms, message)
        self.attempts.start_released()
        return True
