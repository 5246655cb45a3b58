"""The parts of one courier as its registers, its moves and its content go on together. No I/O.

A part's content is shut unless this courier has the part's lease and is not giving it away; what opens it is a lease
that was gained (`Owner`) or a move that was undone (`Giver`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from wheelstep.fleet.content import Content
from wheelstep.fleet.errands import Errands
from wheelstep.fleet.owner import Event, Gained, Lost, Owner
from wheelstep.fleet.types import Action, Answer, Ask, Holding, Note, Reply
from wheelstep.moves.giver import Giver
from wheelstep.moves.steps import NEVER_US, Act, Commit, Ended, Limits, TakeBack, Tell
from wheelstep.moves.taker import Taker
from wheelstep.moves.types import Cancel, Chunk, Given, Late, Move, Moved, Offer, Piece, Seal

CALL_US = 1_000_000  # for one ask of a move
ORPHANS_US = 500_000  # between looks for what is another's
ORPHANS = 32  # told to their owners at a time
SYNC = b"sync"  # a record that says nothing: what the content wrote before it is on disk with it


class Tenure:
    """`ended` tells of moves that have ended: part, whether it was given, why."""

    def __init__(self, me: str, owner: Owner, taker: Taker, content: Content, errands: Errands, limits: Limits,
                 parts: int, now_us: int) -> None:
        self.me, self.owner, self.taker = me, owner, taker
        self._content, self._errands, self._limits, self._parts = content, errands, limits, parts
        self.givers: dict[int, Giver] = {}
        self.ended: list[tuple[int, bool, str]] = []
        self._last: dict[int, Holding] = {}  # the newest that is decided, as far as heard
        self._sealed_us: dict[int, int] = {}  # a whole copy is here: when to look who has the part
        self._look_us = now_us + ORPHANS_US
        self._telling: set[int] = set()  # parts of which orphans are being told
        self.opening: set[int] = set()  # handed over, and on their way into the journal

    def decided(self, part: int) -> Holding | None:
        """The newest holding that is known to be decided."""
        return self._last.get(part)

    def weight(self, part: int) -> int:
        """How much there is of a part, beside others."""
        return self._content.weight(part)

    def next_us(self) -> int:
        """When `tick` has something to do."""
        times = [giver.next_us() for giver in self.givers.values()]
        return min([self._look_us, *times, *self._sealed_us.values()], default=NEVER_US)

    def tick(self, now_us: int, here: Mapping[str, object], holding: Callable[[int], Holding | None]) -> list[Action]:
        """What is due; `here` are the members that can be asked, `holding` tells who has a part, as far as is known."""
        actions: list[Action] = []
        for giver in list(self.givers.values()):
            actions += self._act(now_us, giver, giver.tick(now_us))
        for part, at_us in list(self._sealed_us.items()):
            if self.taker.sealed(part) is None:
                del self._sealed_us[part]
            elif now_us >= at_us:  # its giver may be dead: this courier is the one that can go on without loss
                self._sealed_us[part] = now_us + self.owner.timeout_us * 6
                self.owner.want(part, at_once=True)
        if now_us >= self._look_us:
            self._look_us = now_us + ORPHANS_US
            actions += self._orphans(here, holding)
        return actions

    # --- the registers' word ---

    def heed(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """What the owner's side has learnt."""
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Lost):
                self.opening.discard(event.part)
                self._content.shut(event.part)
                if (giver := self.givers.get(event.part)) is not None:
                    giver.lost(now_us)
                continue
            holding = Holding(event.epoch, self.me if isinstance(event, Gained) else event.owner)
            if event.epoch > self._last.get(event.part, Holding(0, "")).epoch:
                self._last[event.part] = holding
            first = event.first if isinstance(event, Gained) else 0
            records = self.taker.passed(event.part, holding.epoch, holding.owner, first)
            if (giver := self.givers.get(event.part)) is not None:
                actions += self._errands.save(now_us, records)
                actions += self._act(now_us, giver, giver.decided(now_us, holding.epoch, holding.owner))
                if not giver.over or giver.epoch + 1 == holding.epoch:
                    continue
                records = []
            if isinstance(event, Gained):
                actions += self._gained(now_us, event, records)
            elif holding.owner == self.me:
                # A copy that was handed over counts only with these on disk before the next epoch is asked for.
                part = event.part
                actions += self._errands.save(now_us, records, partial(self._want, part))
            else:
                actions += self._errands.save(now_us, records)
                self.owner.unwant(event.part)
        return actions

    def _want(self, part: int, _: int) -> list[Action]:
        self.owner.want(part)
        return []

    def _gained(self, now_us: int, event: Gained, records: list[bytes]) -> list[Action]:
        part, epoch = event.part, event.epoch
        if self.taker.sealed(part) is None:
            return [*self._errands.save(now_us, records), *self._open(event, now_us)]
        self.opening.add(part)
        self._content.adopt(part, epoch, self.taker.pieces(part))
        records = [*records, *self.taker.adopted(part, epoch)]
        self._sealed_us.pop(part, None)
        return self._errands.save(now_us, records, partial(self._open, event))

    def _open(self, event: Gained, now_us: int) -> list[Action]:
        self.opening.discard(event.part)
        if self.owner.epoch(event.part, now_us) == event.epoch:
            self._content.open(event.part, event.epoch, event.first)
        return []

    # --- moves away ---

    def give(self, now_us: int, part: int, to: str) -> list[Action]:
        """Begin to move a part of this courier's."""
        epoch = self.owner.epoch(part, now_us)
        if epoch is None or part in self.givers or to == self.me:
            return []
        giver = self.givers[part] = Giver(part, epoch, to, self._content, self._limits, now_us, self.me)
        return self._act(now_us, giver, giver.tick(now_us))

    def _act(self, now_us: int, giver: Giver, acts: list[Act]) -> list[Action]:
        actions: list[Action] = []
        for act in acts:
            match act:
                case Tell(ask):
                    actions.append(self._errands.call(giver.to, ask, CALL_US, partial(self._told, giver, ask)))
                case Commit(part, to):
                    self.owner.give(now_us, part, to)
                case TakeBack(part):
                    self.owner.give(now_us, part, self.me)
                case Ended(done, why):
                    if self.givers.get(giver.part) is giver:
                        del self.givers[giver.part]
                    self.ended.append((giver.part, done, why))
                    how = "given to" if done else "not given to"
                    text = "" if done else f": {why}"
                    actions.append(Note(f"part {giver.part} {how} {giver.to}{text}"))
        return actions

    def _told(self, giver: Giver, ask: Move, now_us: int, answer: Answer | None) -> list[Action]:
        moved = answer if isinstance(answer, Moved) else None
        return self._act(now_us, giver, giver.answered(now_us, ask, moved))

    # --- moves here, and what former owners find ---

    def asked(self, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        """Of a move to this courier, or of a part that it has."""
        if isinstance(ask, Late):
            return self._late(now_us, token, ask)
        assert isinstance(ask, Offer | Chunk | Seal | Cancel | Given)
        moved, records = self.taker.heard(now_us, sender, ask, self._last.get(ask.part))
        if isinstance(ask, Seal) and moved.ok:
            self._sealed_us[ask.part] = now_us + self.owner.timeout_us * 3
        if isinstance(ask, Given) and moved.ok:
            self._sealed_us[ask.part] = now_us  # the register names this courier: it asks for its lease
        return self._errands.save(now_us, records, lambda _: [Reply(token, moved)], behind=True)

    def _late(self, now_us: int, token: int, ask: Late) -> list[Action]:
        if not 0 <= ask.part < self._parts:
            moved = Moved(ask.part, ask.epoch, False, why=f"part {ask.part}, expected 0 to {self._parts - 1}")
            return [Reply(token, moved)]
        mine = self.owner.epoch(ask.part, now_us)
        if mine is None or ask.part in self.givers:
            again_us = self.owner.timeout_us * 6
            return [Reply(token, Moved(ask.part, ask.epoch, False, why="not the owner just now", again_us=again_us))]
        taken = self._content.late(ask.part, ask.message, ask.outcome, ask.piece)
        moved = Moved(ask.part, mine, taken, why="" if taken else "no room for it under its contract")
        return self._errands.save(now_us, [SYNC], lambda _: [Reply(token, moved)])  # the content, at least, was written

    def _orphans(self, here: Mapping[str, object], known: Callable[[int], Holding | None]) -> list[Action]:
        """Tell the owner of a part what is found here of it, also where only a voter's word says whose it is."""
        actions: list[Action] = []
        for part in range(self._parts):
            holding = known(part)
            if holding is None or holding.owner == self.me or holding.owner not in here or part in self.givers \
                    or part in self._telling or self.taker.sealed(part) is not None:
                continue
            pieces = self._content.orphans(part)[:ORPHANS]
            if pieces:
                self._telling.add(part)
                actions.append(self._tell(part, holding, pieces))
        return actions

    def _tell(self, part: int, holding: Holding, pieces: list[Piece]) -> Action:
        """One after another: positions stand before the messages that they explain."""
        piece = pieces[0]
        outcome = piece.data.decode() if piece.name.startswith("o:") else ""
        ask = Late(part, holding.epoch, piece.name, outcome, b"" if outcome else piece.data)

        def heard(now_us: int, answer: Answer | None) -> list[Action]:
            if not isinstance(answer, Moved) or (not answer.ok and answer.again_us):
                self._telling.discard(part)
                return []
            self._content.settle(part, {piece.name: answer.ok})
            if len(pieces) > 1:
                return [self._tell(part, holding, pieces[1:])]
            self._telling.discard(part)
            return []
        return self._errands.call(holding.owner, ask, CALL_US, heard)
