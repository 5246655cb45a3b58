"""A courier's `Content` in the simulation: takes hand-ins of clients, and gives, takes and forgets parts.

Imports `wheelstep.channels`, `wheelstep.moves.types` and its neighbours.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from wheelstep.channels.book import Duplicate, Reject
from wheelstep.channels.contracts import part_of
from wheelstep.moves.types import Piece
from wheelstep.rehearsal.simulation.attempts import Attempts
from wheelstep.rehearsal.simulation.check import Check
from wheelstep.rehearsal.simulation.disk import held
from wheelstep.rehearsal.simulation.machine import Machine
from wheelstep.rehearsal.simulation.partners import Partners
from wheelstep.rehearsal.simulation.store import CONTRACTS, Message, Store, decode

NEVER_US = 1 << 62


class SimContent:
    """Of one life of a machine; built from what its disk holds."""

    def __init__(self, machine: Machine, parts: int, check: Check, partners: Partners) -> None:
        self.machine, self._check = machine, check
        self.version = 1
        self.store = store = Store(machine.disk.journal, parts, lambda: machine.own_us() // 1000, machine.boundary)
        self.served: dict[int, int] = {}  # part -> epoch
        self._shut: set[int] = set()
        self.attempts = Attempts(machine, store, partners, check, self.may)
        for end in store.cut:
            store.messages[end.message].end = f"{end.how}/-/{machine.name}"
        for one in [one for one, mine in store.messages.items() if not mine.end and not store.table.holds(one)]:
            del store.messages[one]  # withdrawn: nobody heard 202

    def next_us(self) -> int:
        """Return when the channel table has to be asked again; `NEVER_US` for never."""
        next_ms = self.store.table.next_ms()
        return NEVER_US if next_ms is None else next_ms * 1000

    def tick(self, now_us: int) -> None:
        """It is asked."""
        self.attempts.pump()

    def may(self, part: int) -> int | None:
        """The epoch under which the part is served right now."""
        if part in self._shut or part not in self.served:
            return None
        epoch = self.machine.node.epoch(part, self.machine.own_us())
        return epoch if self.served[part] == epoch else None

    # --- clients ---

    def hand_in(self, channel: str, number: int, message: str, answer: Callable[[int, int, str], None]) -> None:
        """`answer` hears status (200 for what has ended), next number expected and owner."""
        store, now_ms = self.store, self.store.now_ms()
        part = part_of(channel, store.parts)
        epoch = self.may(part)
        contract = CONTRACTS.named(channel.partition("/")[0])
        assert contract is not None
        if epoch is None:
            return answer(503, 0, self.machine.node.owner_of(part) or "")
        verdict = store.table.offer(now_ms, contract, channel, message, number, None)
        if isinstance(verdict, Reject):
            return answer(409, verdict.next, verdict.why)
        if isinstance(verdict, Duplicate):
            status = 202 if verdict.outcome is None else 200
            return self.machine.sync(store.file, store.file.place, lambda: answer(status, verdict.next, ""))
        store.table.take(now_ms, channel, message, verdict.number)
        store.flush()
        mine = store.messages[message] = Message(channel, verdict.number)

        def taken() -> None:
            if store.messages.get(message) is not mine:
                return answer(503, 0, "")
            if self.may(part) != epoch:
                store.table.withdraw(store.now_ms(), message)
                store.flush()
                store.over(message)
                return answer(503, 0, "")
            answer(202, verdict.next, "")
            self.machine.boundary()
            store.table.client_answered(store.now_ms(), message)
            self.attempts.pump()
        self.machine.sync(store.file, store.put(message), taken)

    # --- Content ---

    def pieces(self, part: int) -> list[Piece]:
        """As it stands."""
        self.store.flush()
        self.store.news[part] = {}
        names = ["c:" + one for one in self.store.table.channels(part)] + ["m:" + one for one in self.store.of(part)]
        inherited = [Piece("inherited", b"1")] if self.store.table.inherited(part) else []
        return inherited + [Piece(name, self.store.piece(name)) for name in names]

    def changed(self, part: int) -> list[Piece]:
        """Since it was last asked."""
        self.store.flush()
        names, self.store.news[part] = self.store.news.get(part, {}), {}
        return [Piece(name, self.store.piece(name)) for name in names]

    def weight(self, part: int) -> int:
        """How many pieces there are, about."""
        return len(self.store.table.channels(part)) + len(self.store.of(part))

    def under_way(self, part: int) -> int:
        """Calls that are out."""
        return sum(self.store.messages[one].out for one in self.store.of(part))

    def shut(self, part: int) -> None:
        """Take and begin nothing."""
        self.machine.world.trace(self.machine.name, "shut", part)
        self._shut.add(part)
        self.store.table.shut(part)

    def open(self, part: int, epoch: int, first: int = 0) -> None:
        """Serve it."""
        self.machine.world.trace(self.machine.name, "open", part, "epoch", epoch)
        self._check.opened(self.machine.name, part, epoch)
        store = self.store
        if store.missed(part, epoch, first):
            self._inherit(part)
        store.opened(part, epoch)
        self._shut.discard(part)
        self.served[part] = epoch
        store.news.pop(part, None)
        store.table.open(part)
        for message in store.of(part):
            if store.messages[message].end:
                self.attempts.tell(message)
        self.attempts.again(part)
        self.attempts.pump()

    def _inherit(self, part: int) -> None:
        """Another had it last, and did not hand it over. What is here from before that is as a former owner's."""
        table, now_ms = self.store.table, self.store.now_ms()
        former = {channel: table.export(channel) for channel in table.channels(part)}
        table.drop(part)
        table.inherit(part)
        for channel, data in former.items():
            table.merge_former(now_ms, channel, data)
        self._find(part)

    def _find(self, part: int) -> None:
        """Messages that were here before the part came: taken, or ended here."""
        store = self.store
        for message in store.of(part):
            mine = store.messages[message]
            if not mine.end and not store.table.holds(message):
                self.attempts.forget(message)
                if store.ended_here(message, mine):
                    store.over(message)
                elif not store.table.accept_found(store.now_ms(), mine.channel, mine.number, message):
                    self.attempts.end_here(message)
        store.flush()

    def adopt(self, part: int, epoch: int, pieces: Iterable[Piece]) -> None:
        """Into the journal, synced: the caller says so next."""
        store, now_ms = self.store, self.store.now_ms()
        known = store.epochs.get(part, 0) >= epoch
        former = {} if known else {one: store.table.export(one) for one in store.table.channels(part)}
        if not known:
            store.table.drop(part)
        for piece in sorted(pieces, key=lambda piece: piece.name, reverse=True):  # messages before positions
            what, key = piece.name[:2], piece.name[2:]
            if piece.name == "inherited":
                store.table.inherit(part)
            if what == "m:" and piece.data:
                store.messages[key] = Message(*decode(piece.data))
                store.put(key)
            elif what == "c:" and piece.data:
                store.table.adopt(now_ms, key, piece.data, CONTRACTS.named(key.partition("/")[0]))
        for message in store.of(part):
            if store.messages[message].doubt and store.table.holds(message):
                store.table.attempt_unclear(now_ms, message)
        for channel, data in former.items():
            store.table.merge_former(now_ms, channel, data)
        self._find(part)
        store.opened(part, epoch)
        self.machine.disk.sync(store.file, store.flush())
        self.machine.boundary()

    def drop(self, part: int) -> None:
        """Another owes it now."""
        self.machine.world.trace(self.machine.name, "drop", part)
        self._check.dropped(self.machine.name, self.store.of(part), self._elsewhere)
        self.served.pop(part, None)
        self.store.table.drop(part)
        for message in self.store.of(part):
            self.attempts.forget(message)
            self.store.over(message)
        self.store.flush()
        self.store.news.pop(part, None)

    def _elsewhere(self, message: str) -> bool:
        return held((one.disk for one in self.machine.fleet.values() if one is not self.machine), message)

    def orphans(self, part: int) -> list[Piece]:
        """Of a part that is another's: positions first, then messages."""
        names = ["c:" + one for one in self.store.table.channels(part)]
        names += ["m:" + one for one in self.store.of(part) if not self.store.messages[one].out]
        return [Piece(name, self.store.piece(name)) for name in names]

    def settle(self, part: int, verdicts: Mapping[str, bool]) -> None:
        """What the owner said of orphans."""
        for name, taken in verdicts.items():
            message = name.removeprefix("m:")
            if message not in self.store.messages:
                continue
            if taken and not self.store.messages[message].end:
                self._check.dropped(self.machine.name, [message], self._elsewhere)
                self.attempts.forget(message)
                self.store.over(message)
            else:
                self.attempts.end_here(message)
        if not self.store.of(part):
            self.store.table.drop(part)
            self.store.flush()

    def late(self, part: int, message: str, outcome: str, piece: bytes) -> bool:
        """Does this courier take what a former owner found, or the outcome of its call?"""
        store, now_ms = self.store, self.store.now_ms()
        if message.startswith("c:"):
            store.table.merge_former(now_ms, message[2:], piece)
            store.flush()
            self.attempts.pump()
            return True
        message = message.removeprefix("m:")
        found = Message(*decode(piece)) if piece else None
        known = store.messages.get(message)
        end = found.end.split("/")[0] if found is not None else outcome
        if known is not None:
            if end and not known.end:
                self.attempts.end(message, end)
            return True
        if found is None or store.ended_here(message, found):
            return found is not None
        if found.end or not self.may(part) \
                or not store.table.accept_found(now_ms, found.channel, found.number, message):
            return False
        store.flush()
        store.messages[message] = found
        self.machine.disk.sync(store.file, store.put(message))
        if found.doubt:
            store.table.attempt_unclear(now_ms, message)
        self.attempts.pump()
        return True
