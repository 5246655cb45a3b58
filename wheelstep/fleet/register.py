"""A voter: keeps a register for each part (its owner and epoch) and grants leases. No I/O: takes requests and the time;
returns answers, and the records that must be on disk before an answer is sent.

The protocol is CASPaxos (Rystsov, 2018) with two more rules. *Grants*: while a lease granted by this voter runs, only
its owner may prepare or have another holding accepted. *Epochs*: a voter never accepts an epoch lower than its own, nor
the same one for another owner; so what a majority has accepted, under whichever ballots, is final.

Why two leases of a part do not overlap: two majorities share a voter. It granted the first at `t`, after the owner's
term began, and grants another courier's no earlier than a lease (extended by the drift) after `t`; by then the first
owner, whose term is shorter, has stopped. After a start a voter grants nothing for a whole lease but renews known ones.

Why a voter F that lost its state may trust `n - n // 2` others, none of them blank: what a majority with F accepted or
promised is at `n // 2` others at least, and `(n - n // 2) + n // 2 = n` exceeds the `n - 1` others, so one of those
asked has it (3 voters: both others; 5: three of four). A promise of F whose round reached the others only after they
had answered belongs to a round that its courier abandons within half a lease; F grants nothing for a whole one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from wheelstep.fleet.rows import AGREED_NEW, BEGUN, FLEET_ROW, Row, Rows, encode_record, merge_rows, replay
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

NUMBER_LIMIT = 1 << 48  # of ballot numbers and epochs; a faulty courier must not exhaust them
RECOVERY_STRIDE = 1 << 24  # added to the place after state loss, to exceed all places seen by others


class Voter:
    """The registers of all parts at one voter. Call `saved` once records are on disk; until then each answer that
    depends on a record returns it again."""

    def __init__(self, name: str, others: Sequence[str], parts: int, lease_us: int, drift: float, rows: Rows | None,
                 place: int, now_us: int) -> None:
        self.name = name
        self.parts = parts
        self.place = place
        self.invalid_requests = 0  # requests with an impossible part, ballot, epoch or log position
        self.times_behind = 0  # times that a requester knew a later place than this log has
        self._others = tuple(others)
        self._grant_us = math.ceil(lease_us * (1 + drift))
        self._retry_us = max(lease_us // 20, 1)
        self._rows: dict[int, Row] = dict(rows.rows) if rows else {}
        self._saved = place  # all records up to this place are on disk
        self._blank = FLEET_ROW not in self._rows
        self._granted_until_us: dict[int, int] = {}  # part -> when its grant ends
        self._no_new_grants_until_us = now_us + self._grant_us  # only known holdings are renewed before
        self._expected_place = place  # highest place of this log reported by others
        self._answers: dict[str, Stood] = {}  # by voter, since the start or the loss of state
        self._next_request_us: dict[str, int] = {}

    @property
    def blank(self) -> bool:
        """Whether the voter must first recover the registers, or agree with all others that the fleet is new."""
        return self._blank or self._rows[FLEET_ROW].promised == AGREED_NEW

    def saved(self, place: int) -> None:
        """Report all records up to `place` (`Voted.place`, or `self.place` right after `on_registers`) as on disk."""
        self._saved = max(self._saved, place)

    def snapshot(self) -> list[bytes]:
        """Return the whole state as records for a new log; none if blank."""
        return [] if self._blank else [encode_record(row.place, part, row) for part, row in sorted(self._rows.items())]

    # --- requests of couriers ---

    def heard(self, now_us: int, sender: str, votes: Votes) -> tuple[Voted, list[bytes]]:
        """Return the answers in request order, and the records to save before sending them (none for a renewal)."""
        if not 0 <= votes.seen < NUMBER_LIMIT:
            self.invalid_requests += 1
        elif votes.seen > self.place:
            self._expected_place = max(self._expected_place, votes.seen)
            if not self._blank:
                self._discard_state()
                return Voted(tuple(Refused(ask.part, "behind") for ask in votes.asks), 0), []
        if self.blank:
            return Voted(tuple(Refused(ask.part, "blank") for ask in votes.asks), 0), []
        before = self.place
        answers: list[Promise | Accepted | Refused] = []
        touched: dict[int, None] = {}
        for ask in votes.asks:
            if not self._is_valid(sender, ask):
                self.invalid_requests += 1
                answers.append(Refused(ask.part, "ballot"))
                continue
            answers.append(self._prepare(now_us, sender, ask) if isinstance(ask, Prepare)
                           else self._accept(now_us, sender, ask))
            touched[ask.part] = None
        # Records that an answer depends on are returned (again) unless known to be on disk.
        records = [encode_record(row.place, part, row) for part in touched
                   if (row := self._rows.get(part)) is not None and row.place > self._saved]
        return Voted(tuple(answers), self.place if self.place > before or records else self._saved), records

    def _is_valid(self, sender: str, ask: Prepare | Accept) -> bool:
        if not 0 <= ask.part < self.parts or not 0 < ask.ballot.number < NUMBER_LIMIT or ask.ballot.courier != sender:
            return False
        return isinstance(ask, Prepare) or (0 < ask.holding.epoch < NUMBER_LIMIT and bool(ask.holding.owner))

    def _refused_for_us(self, now_us: int, sender: str, row: Row | None, part: int) -> int:
        """Return for how many microseconds `sender` is still refused: while another courier's lease runs, or while this
        voter grants no new leases after a start."""
        left = max(self._no_new_grants_until_us - now_us, 0)
        if row is not None and row.holding is not None and row.holding.owner != sender:
            left = max(left, self._granted_until_us.get(part, 0) - now_us)
        return left

    def _refusal(self, part: int, why: str, row: Row | None, left_us: int = 0) -> Refused:
        return Refused(part, why, row.promised if row else None, left_us, row.holding if row else None)

    def _prepare(self, now_us: int, sender: str, ask: Prepare) -> Promise | Refused:
        row = self._rows.get(ask.part)
        # Equal is refused too: an earlier run of this courier may have received a promise for the same ballot.
        if row is not None and ask.ballot <= row.promised:
            return self._refusal(ask.part, "ballot", row, self._refused_for_us(now_us, sender, row, ask.part))
        if left := self._refused_for_us(now_us, sender, row, ask.part):
            return self._refusal(ask.part, "lease", row, left)
        row = Row(ask.ballot, row.accepted if row else None, row.holding if row else None)
        self._store(ask.part, row)
        return Promise(ask.part, ask.ballot, row.accepted, row.holding)

    def _accept(self, now_us: int, sender: str, ask: Accept) -> Accepted | Refused:
        row = self._rows.get(ask.part)
        if row is not None and ask.ballot < row.promised:
            return self._refusal(ask.part, "ballot", row, self._refused_for_us(now_us, sender, row, ask.part))
        if row is not None and row.accepted == ask.ballot and row.holding is not None:
            if row.holding != ask.holding:  # a ballot may propose only one holding
                self.invalid_requests += 1
                return self._refusal(ask.part, "ballot", row)
        else:
            if left := self._refused_for_us(now_us, sender, row, ask.part):
                return self._refusal(ask.part, "lease", row, left)
            if row is not None and row.holding is not None and ask.holding != row.holding \
                    and ask.holding.epoch <= row.holding.epoch:
                return self._refusal(ask.part, "ballot", row)
            self._store(ask.part, Row(ask.ballot, ask.ballot, ask.holding))
        self._granted_until_us[ask.part] = now_us + self._grant_us
        return Accepted(ask.part, ask.ballot)

    def _store(self, part: int, row: Row) -> bytes:
        self.place += 1
        row.place = self.place
        self._rows[part] = row
        return encode_record(self.place, part, row)

    # --- recovery after state loss or a start ---

    def _discard_state(self) -> None:
        self.times_behind += 1
        self._blank = True
        self._answers.clear()
        self._next_request_us.clear()

    def registers_for(self, sender: str, seen: int = 0) -> Stood:
        """Return the answer to a `Stand` of another voter, or of a courier that needs the owners. `seen` is the highest
        place of the requester's log known to this courier (`Owner.known_place`)."""
        known_place = seen if sender in self._others else 0
        if self._blank:
            return Stood(True, (), known_place)
        begun = self._rows[FLEET_ROW].promised == BEGUN
        rows = ((part, row.promised, row.accepted, row.holding) for part, row in sorted(self._rows.items()))
        return Stood(False, tuple(rows) if begun else (), known_place)

    def due_requests(self, now_us: int) -> list[tuple[str, Stand]]:
        """Return the requests for registers to send now, by voter: to all others while blank; after a start to each
        once, as the disk may be outdated."""
        if not self.blank and now_us >= self._no_new_grants_until_us:
            return []
        due = [name for name in self._others if self._next_request_us.get(name, now_us) <= now_us
               and (self.blank or name not in self._answers)]
        for name in due:
            self._next_request_us[name] = now_us + self._retry_us
        return [(name, Stand()) for name in due]

    def on_registers(self, now_us: int, voter: str, stood: Stood | None) -> list[bytes]:
        """Handle another voter's answer, None after a timeout. Return the records to save; call `saved(place)` then."""
        if stood is None or voter not in self._others:
            return []
        self._expected_place = max(self._expected_place, stood.seen)
        self._answers[voter] = stood
        if not self._blank and stood.seen > self.place:
            self._discard_state()
            self._answers[voter] = stood
        if not self.blank:
            return self._merge([stood])
        informed = [answer for answer in self._answers.values() if not answer.blank]
        begun = [answer for answer in informed if answer.rows]
        voters = len(self._others) + 1
        if begun and len(informed) >= voters - voters // 2:
            return self._start_voting(now_us, begun)
        if begun or len(self._answers) < len(self._others):
            return []
        # All others are blank too. Each voter first records its agreement, and votes once all the others have.
        if self._blank and self._rows.keys() <= {FLEET_ROW}:
            self._blank = False
            self._answers.clear()
            self._next_request_us.clear()
            return [self._store(FLEET_ROW, Row(AGREED_NEW))]
        return self._start_voting(now_us, []) if not self._blank and len(informed) == len(self._others) else []

    def _start_voting(self, now_us: int, begun: Sequence[Stood]) -> list[bytes]:
        """Start voting. After state loss, grant nothing for a whole lease."""
        self._no_new_grants_until_us = now_us
        if self._blank:
            self.place = max(self.place, self._expected_place) + RECOVERY_STRIDE
            self._no_new_grants_until_us += self._grant_us
        self._blank = False
        self._granted_until_us.clear()
        self._rows[FLEET_ROW] = Row(BEGUN)
        self._merge(begun)
        return [self._store(part, row) for part, row in sorted(self._rows.items())]

    def _merge(self, answers: Sequence[Stood]) -> list[bytes]:
        """Merge the higher promises and epochs, as if the proposers' own messages had arrived by this way."""
        records = []
        for stood in answers:
            for part, promised, accepted, holding in stood.rows:
                if not 0 <= part < self.parts:
                    continue
                row = self._rows.get(part)
                best = merge_rows(row, Row(promised, accepted, holding))
                if best is not None:
                    records.append(self._store(part, best))
        return records
