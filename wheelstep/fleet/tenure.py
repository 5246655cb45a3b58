"""Coordinates ownership, moves and content of the parts of one courier. No I/O.

The content of a part is shut unless this courier holds its lease and is not giving it away. It is opened by a gained
lease (`Owner`) or an undone move (`Giver`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from wheelstep.fleet.content import Content
from wheelstep.fleet.errands import PendingOperations
from wheelstep.fleet.owner import Event, Gained, Lost, Owner
from wheelstep.fleet.types import Action, Answer, Ask, Note, Ownership, Reply
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import NEVER_US, Act, Commit, Ended, GiverLimits, SendRequest, TakeBack
from wheelstep.moves.taker import Taker
from wheelstep.moves.types import Cancel, Chunk, Given, Late, Move, Moved, Offer, Piece, Seal

REQUEST_TIMEOUT_US = 1_000_000  # timeout of a request of a move
ORPHAN_CHECK_US = 500_000  # between checks for content of parts owned by others
MAX_ORPHANS = 32  # reported to the owner of a part per check
SYNC_RECORD = b"sync"  # empty record: once it is saved, what the content wrote before is on disk too


class PartCoordinator:
    """Applies ownership events to the content of parts, and moves parts to and from this courier. `ended_moves` lists
    finished moves away: part, whether it was given, reason."""

    def __init__(self, me: str, owner: Owner, taker: Taker, content: Content, operations: PendingOperations,
                 limits: GiverLimits, parts: int, now_us: int) -> None:
        self.me, self.owner, self.taker = me, owner, taker
        self._content, self._operations, self._limits, self._parts = content, operations, limits, parts
        self.givers: dict[int, Giver] = {}
        self.ended_moves: list[tuple[int, bool, str]] = []
        self._decided: dict[int, Ownership] = {}  # newest holding known to be decided, by part
        self._sealed_check_us: dict[int, int] = {}  # by part with a complete copy here: when to check the owner
        self._next_orphan_check_us = now_us + ORPHAN_CHECK_US
        self._reporting: set[int] = set()  # parts with orphan reports in progress
        self.opening: set[int] = set()  # parts handed over here and being written to the journal

    def decided(self, part: int) -> Ownership | None:
        """Return the newest holding known to be decided; None if there is none."""
        return self._decided.get(part)

    def weight(self, part: int) -> int:
        """Return the approximate amount of content of a part."""
        return self._content.weight(part)

    def next_us(self) -> int:
        """Return when to call `tick` next."""
        times = [giver.next_us() for giver in self.givers.values()]
        return min([self._next_orphan_check_us, *times, *self._sealed_check_us.values()], default=NEVER_US)

    def tick(self, now_us: int, reachable: Mapping[str, object],
             holding_of: Callable[[int], Ownership | None]) -> list[Action]:
        """Do what is due. `reachable` are the members that are not gone, by name; `holding_of` returns the newest known
        holding of a part, None if there is none."""
        actions: list[Action] = []
        for giver in list(self.givers.values()):
            actions += self._execute(now_us, giver, giver.tick(now_us))
        for part, at_us in list(self._sealed_check_us.items()):
            if self.taker.sealed_epoch(part) is None:
                del self._sealed_check_us[part]
            elif now_us >= at_us:  # the giver may be dead; only this courier can continue without loss
                self._sealed_check_us[part] = now_us + self.owner.timeout_us * 6
                self.owner.want(part, at_once=True)
        if now_us >= self._next_orphan_check_us:
            self._next_orphan_check_us = now_us + ORPHAN_CHECK_US
            actions += self._start_orphan_reports(reachable, holding_of)
        return actions

    # --- ownership events ---

    def handle_events(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Handle ownership events."""
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Lost):
                self.opening.discard(event.part)
                self._content.shut(event.part)
                if (giver := self.givers.get(event.part)) is not None:
                    giver.lease_lost(now_us)
                continue
            holding = Ownership(event.epoch, self.me if isinstance(event, Gained) else event.owner)
            if event.epoch > self._decided.get(event.part, Ownership(0, "")).epoch:
                self._decided[event.part] = holding
            first = event.first if isinstance(event, Gained) else 0
            records = self.taker.observe_holding(event.part, holding.epoch, holding.owner, first)
            if (giver := self.givers.get(event.part)) is not None:
                actions += self._operations.save(now_us, records)
                actions += self._execute(now_us, giver, giver.observe_holding(now_us, holding.epoch, holding.owner))
                if not giver.over or giver.epoch + 1 == holding.epoch:
                    continue
                records = []
            if isinstance(event, Gained):
                actions += self._gained(now_us, event, records)
            elif holding.owner == self.me:
                # The copy handed over is valid only if these records are on disk before the next epoch is requested.
                part = event.part
                actions += self._operations.save(now_us, records, partial(self._want, part))
            else:
                actions += self._operations.save(now_us, records)
                self.owner.unwant(event.part)
        return actions

    def _want(self, part: int, _: int) -> list[Action]:
        self.owner.want(part)
        return []

    def _gained(self, now_us: int, event: Gained, records: list[bytes]) -> list[Action]:
        part, epoch = event.part, event.epoch
        if self.taker.sealed_epoch(part) is None:
            return [*self._operations.save(now_us, records), *self._open(event, now_us)]
        self.opening.add(part)
        self._content.adopt(part, epoch, self.taker.pieces(part))
        records = [*records, *self.taker.adopted(part, epoch)]
        self._sealed_check_us.pop(part, None)
        return self._operations.save(now_us, records, partial(self._open, event))

    def _open(self, event: Gained, now_us: int) -> list[Action]:
        self.opening.discard(event.part)
        if self.owner.epoch(event.part, now_us) == event.epoch:
            self._content.open(event.part, event.epoch, event.first)
        return []

    # --- moves away ---

    def give(self, now_us: int, part: int, to: str) -> list[Action]:
        """Start moving a part of this courier to `to`."""
        epoch = self.owner.epoch(part, now_us)
        if epoch is None or part in self.givers or to == self.me:
            return []
        giver = self.givers[part] = Giver(part, epoch, to, self._content, self._limits, now_us, self.me)
        return self._execute(now_us, giver, giver.tick(now_us))

    def _execute(self, now_us: int, giver: Giver, acts: list[Act]) -> list[Action]:
        actions: list[Action] = []
        for act in acts:
            match act:
                case SendRequest(ask):
                    actions.append(self._operations.call(
                        giver.to, ask, REQUEST_TIMEOUT_US, partial(self._on_answer, giver, ask)))
                case Commit(part, to):
                    self.owner.give(now_us, part, to)
                case TakeBack(part):
                    self.owner.give(now_us, part, self.me)
                case Ended(done, why):
                    if self.givers.get(giver.part) is giver:
                        del self.givers[giver.part]
                    self.ended_moves.append((giver.part, done, why))
                    how = "given to" if done else "not given to"
                    text = "" if done else f": {why}"
                    actions.append(Note(f"part {giver.part} {how} {giver.to}{text}"))
        return actions

    def _on_answer(self, giver: Giver, ask: Move, now_us: int, answer: Answer | None) -> list[Action]:
        moved = answer if isinstance(answer, Moved) else None
        return self._execute(now_us, giver, giver.handle_answer(now_us, ask, moved))

    # --- moves to this courier, and reports of former owners ---

    def asked(self, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        """Handle a request about a move to this courier, or about a part that it owns."""
        if isinstance(ask, Late):
            return self._on_late(now_us, token, ask)
        assert isinstance(ask, Offer | Chunk | Seal | Cancel | Given)
        moved, records = self.taker.handle_request(now_us, sender, ask, self._decided.get(ask.part))
        if isinstance(ask, Seal) and moved.ok:
            self._sealed_check_us[ask.part] = now_us + self.owner.timeout_us * 3
        if isinstance(ask, Given) and moved.ok:
            self._sealed_check_us[ask.part] = now_us  # the register names this courier as owner: request the lease
        return self._operations.save(now_us, records, lambda _: [Reply(token, moved)], after_pending=True)

    def _on_late(self, now_us: int, token: int, ask: Late) -> list[Action]:
        if not 0 <= ask.part < self._parts:
            moved = Moved(ask.part, ask.epoch, False, why=f"part {ask.part}, expected 0 to {self._parts - 1}")
            return [Reply(token, moved)]
        own_epoch = self.owner.epoch(ask.part, now_us)
        if own_epoch is None or ask.part in self.givers:
            again_us = self.owner.timeout_us * 6
            return [Reply(token, Moved(ask.part, ask.epoch, False, why="not the owner just now", again_us=again_us))]
        taken = self._content.late(ask.part, ask.message, ask.outcome, ask.piece)
        moved = Moved(ask.part, own_epoch, taken, why="" if taken else "no room for it under its contract")
        return self._operations.save(now_us, [SYNC_RECORD], lambda _: [Reply(token, moved)])  # syncs the content too

    def _start_orphan_reports(self, reachable: Mapping[str, object],
                              holding_of: Callable[[int], Ownership | None]) -> list[Action]:
        """Start reporting orphans to the owners of their parts, also to owners known only from a voter's report."""
        actions: list[Action] = []
        for part in range(self._parts):
            holding = holding_of(part)
            if holding is None or holding.owner == self.me or holding.owner not in reachable or part in self.givers \
                    or part in self._reporting or self.taker.sealed_epoch(part) is not None:
                continue
            pieces = self._content.orphans(part)[:MAX_ORPHANS]
            if pieces:
                self._reporting.add(part)
                actions.append(self._report_orphans(part, holding, pieces))
        return actions

    def _report_orphans(self, part: int, holding: Ownership, pieces: list[Piece]) -> Action:
        """Report the pieces in order: positions come before the messages that refer to them."""
        piece = pieces[0]
        outcome = piece.data.decode() if piece.name.startswith("o:") else ""
        ask = Late(part, holding.epoch, piece.name, outcome, b"" if outcome else piece.data)

        def on_answer(now_us: int, answer: Answer | None) -> list[Action]:
            if not isinstance(answer, Moved) or (not answer.ok and answer.again_us):
                self._reporting.discard(part)
                return []
            self._content.settle(part, {piece.name: answer.ok})
            if len(pieces) > 1:
                return [self._report_orphans(part, holding, pieces[1:])]
            self._reporting.discard(part)
            return []
        return self._operations.call(holding.owner, ask, REQUEST_TIMEOUT_US, on_answer)
