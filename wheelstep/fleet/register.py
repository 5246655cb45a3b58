"""A voter: it keeps a register for each part (who owns it since which epoch) and grants leases on them. No I/O: asks
and a clock go in; answers, and the records that must be on disk before an answer leaves, come out.

After CASPaxos (Rystsov, 2018), with two rules more. *Grants*: while a lease runs that this voter granted, nobody but
its owner may prepare or have another holding accepted. *Epochs*: a voter never accepts an epoch lower than it has, nor
the same one for another owner; so what a majority has accepted, under whichever ballots, is decided for good.

Why no two leases of a part overlap: two majorities share a voter. It granted the first at `t`, after the owner's count
began, and grants another's a lease (longer by the drift) after `t` at the earliest, by which time the first owner, who
counts less, has stopped. A voter that was down grants nothing for a whole lease, but renews what it knows.

Why a voter F that forgot may trust `n - n // 2` of the others, none of them blank: what a majority with F accepted or
promised is at `n // 2` others at least, and `(n - n // 2) + n // 2 = n` exceeds the `n - 1` others that there are, so
one of those asked has it (3 voters: both others; 5: three of four). A promise of F whose round reached the others only
after they had told belongs to a round that its courier gives up within half a lease, and F is silent for a whole one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from wheelstep.fleet.rows import BEGUN, FLEET, NEW, Row, Rows, higher, record, replay
from wheelstep.fleet.types import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Refused,
    Stand,
    Stood,
    Voted,
    Votes,
)

__all__ = ["Row", "Rows", "Voter", "replay"]

LARGEST = 1 << 48  # of numbers in ballots and epochs: one from a broken courier must not use up the numbers
STRIDE = 1 << 24  # what a voter that forgot adds to its place, so that it is above all that askers have heard of


class Voter:
    """The registers of all parts at one voter. Call `saved` once records are on disk: until then each answer that rests
    on one of them carries it again."""

    def __init__(self, name: str, others: Sequence[str], parts: int, lease_us: int, drift: float, rows: Rows | None,
                 place: int, now_us: int) -> None:
        self.name = name
        self.parts = parts
        self.place = place
        self.bad = 0  # asks that no courier in order would send
        self.behind = 0  # times that an asker had heard of more than is here
        self._others = tuple(others)
        self._grant_us = math.ceil(lease_us * (1 + drift))
        self._again_us = max(lease_us // 20, 1)
        self._rows: dict[int, Row] = dict(rows.rows) if rows else {}
        self._saved = place  # all records up to this place are on disk
        self._blank = FLEET not in self._rows
        self._until: dict[int, int] = {}  # part -> when its grant ends
        self._quiet_us = now_us + self._grant_us  # until then known holdings are renewed and nothing else
        self._need = place  # the highest place of this log that anybody has told of
        self._told: dict[str, Stood] = {}
        self._ask_us: dict[str, int] = {}

    @property
    def blank(self) -> bool:
        """Does it have to learn where the registers stand, or agree with all others that the fleet is new?"""
        return self._blank or self._rows[FLEET].promised == NEW

    def saved(self, place: int) -> None:
        """All records up to this place (`Voted.place` of an answer, or `place` right after `stood`) are on disk."""
        self._saved = max(self._saved, place)

    def snapshot(self) -> list[bytes]:
        """All that it knows as records, for a log that starts anew. Blank: nothing."""
        return [] if self._blank else [record(row.place, part, row) for part, row in sorted(self._rows.items())]

    # --- asks of couriers ---

    def heard(self, now_us: int, asker: str, votes: Votes) -> tuple[Voted, list[bytes]]:
        """Answers in the order of the asks, and what must be on disk before they leave (nothing for a renewal)."""
        if not 0 <= votes.seen < LARGEST:
            self.bad += 1
        elif votes.seen > self.place:
            self._need = max(self._need, votes.seen)
            if not self._blank:
                self._forget()
                return Voted(tuple(Refused(ask.part, "behind") for ask in votes.asks), 0), []
        if self.blank:
            return Voted(tuple(Refused(ask.part, "blank") for ask in votes.asks), 0), []
        before = self.place
        answers: list[Promise | Accepted | Refused] = []
        touched: dict[int, None] = {}
        for ask in votes.asks:
            if not self._sound(asker, ask):
                self.bad += 1
                answers.append(Refused(ask.part, "ballot"))
                continue
            answers.append(self._prepare(now_us, asker, ask) if isinstance(ask, Prepare)
                           else self._accept(now_us, asker, ask))
            touched[ask.part] = None
        # What an answer rests on and is not known to be on disk goes there (again) first.
        records = [record(row.place, part, row) for part in touched
                   if (row := self._rows.get(part)) is not None and row.place > self._saved]
        return Voted(tuple(answers), self.place if self.place > before or records else self._saved), records

    def _sound(self, asker: str, ask: Prepare | Accept) -> bool:
        if not 0 <= ask.part < self.parts or not 0 < ask.ballot.number < LARGEST or ask.ballot.courier != asker:
            return False
        return isinstance(ask, Prepare) or (0 < ask.holding.epoch < LARGEST and bool(ask.holding.owner))

    def _left_us(self, now_us: int, asker: str, row: Row | None, part: int) -> int:
        """For how long others than the owner are refused yet. Quiet after a start, it is everybody."""
        left = max(self._quiet_us - now_us, 0)
        if row is not None and row.holding is not None and row.holding.owner != asker:
            left = max(left, self._until.get(part, 0) - now_us)
        return left

    def _no(self, part: int, why: str, row: Row | None, left_us: int = 0) -> Refused:
        return Refused(part, why, row.promised if row else None, left_us, row.holding if row else None)

    def _prepare(self, now_us: int, asker: str, ask: Prepare) -> Promise | Refused:
        row = self._rows.get(ask.part)
        # Lower or equal: an earlier life of this courier may have had a promise for the same ballot.
        if row is not None and ask.ballot <= row.promised:
            return self._no(ask.part, "ballot", row, self._left_us(now_us, asker, row, ask.part))
        if left := self._left_us(now_us, asker, row, ask.part):
            return self._no(ask.part, "lease", row, left)
        row = Row(ask.ballot, row.accepted if row else None, row.holding if row else None)
        self._set(ask.part, row)
        return Promise(ask.part, ask.ballot, row.accepted, row.holding)

    def _accept(self, now_us: int, asker: str, ask: Accept) -> Accepted | Refused:
        row = self._rows.get(ask.part)
        if row is not None and ask.ballot < row.promised:
            return self._no(ask.part, "ballot", row, self._left_us(now_us, asker, row, ask.part))
        if row is not None and row.accepted == ask.ballot and row.holding is not None:
            if row.holding != ask.holding:  # one ballot proposes one holding
                self.bad += 1
                return self._no(ask.part, "ballot", row)
        else:
            if left := self._left_us(now_us, asker, row, ask.part):
                return self._no(ask.part, "lease", row, left)
            if row is not None and row.holding is not None and ask.holding != row.holding \
                    and ask.holding.epoch <= row.holding.epoch:
                return self._no(ask.part, "ballot", row)
            self._set(ask.part, Row(ask.ballot, ask.ballot, ask.holding))
        self._until[ask.part] = now_us + self._grant_us
        return Accepted(ask.part, ask.ballot)

    def _set(self, part: int, row: Row) -> bytes:
        self.place += 1
        row.place = self.place
        self._rows[part] = row
        return record(self.place, part, row)

    # --- a voter that has forgotten, and one that has just started ---

    def _forget(self) -> None:
        self.behind += 1
        self._blank = True
        self._told.clear()
        self._ask_us.clear()

    def stand(self, asker: str, seen: int = 0) -> Stood:
        """The answer to a `Stand`, of another voter or of a courier that wants to know who has what. `seen`: the
        highest place of the asker's log heard of by this courier (`Owner.seen`)."""
        told = seen if asker in self._others else 0
        if self._blank:
            return Stood(True, (), told)
        begun = self._rows[FLEET].promised == BEGUN
        rows = ((part, row.promised, row.accepted, row.holding) for part, row in sorted(self._rows.items()))
        return Stood(False, tuple(rows) if begun else (), told)

    def recover(self, now_us: int) -> list[tuple[str, Stand]]:
        """Whom to ask now: all others while it is blank; after a start each once, as a disk may be an older one."""
        if not self.blank and now_us >= self._quiet_us:
            return []
        due = [name for name in self._others if self._ask_us.get(name, now_us) <= now_us
               and (self.blank or name not in self._told)]
        for name in due:
            self._ask_us[name] = now_us + self._again_us
        return [(name, Stand()) for name in due]

    def stood(self, now_us: int, voter: str, told: Stood | None) -> list[bytes]:
        """Another voter's answer (None: it gave none in time). Gives the records to save; call `saved(place)` then."""
        if told is None or voter not in self._others:
            return []
        self._need = max(self._need, told.seen)
        self._told[voter] = told
        if not self._blank and told.seen > self.place:
            self._forget()
            self._told[voter] = told
        if not self.blank:
            return self._merge([told])
        stands = [each for each in self._told.values() if not each.blank]
        begun = [each for each in stands if each.rows]
        voters = len(self._others) + 1
        if begun and len(stands) >= voters - voters // 2:
            return self._join(now_us, begun)
        if begun or len(self._told) < len(self._others):
            return []
        # All others have nothing either. Each says first that it agrees, and votes once all the others have.
        if self._blank and self._rows.keys() <= {FLEET}:
            self._blank = False
            self._told.clear()
            self._ask_us.clear()
            return [self._set(FLEET, Row(NEW))]
        return self._join(now_us, []) if not self._blank and len(stands) == len(self._others) else []

    def _join(self, now_us: int, begun: Sequence[Stood]) -> list[bytes]:
        """Vote from now on; one that has forgotten grants nothing for a whole lease."""
        self._quiet_us = now_us
        if self._blank:
            self.place = max(self.place, self._need) + STRIDE
            self._quiet_us += self._grant_us
        self._blank = False
        self._until.clear()
        self._rows[FLEET] = Row(BEGUN)
        self._merge(begun)
        return [self._set(part, row) for part, row in sorted(self._rows.items())]

    def _merge(self, told: Sequence[Stood]) -> list[bytes]:
        """Take what is higher: it is as if the proposers' own messages had come by this way."""
        records = []
        for stood in told:
            for part, promised, accepted, holding in stood.rows:
                if not 0 <= part < self.parts:
                    continue
                row = self._rows.get(part)
                best = higher(row, Row(promised, accepted, holding))
                if best is not None:
                    records.append(self._set(part, best))
        return records
