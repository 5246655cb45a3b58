"""Rounds at the voters for one courier: prepare, accept, renew. `Owner` says what for. No I/O.

A lease counts from the moment before the `Accept` went out that a majority answered: the k-th latest of the voters'
moments, k being a majority. A round is given up after half a lease: a voter that forgot its promises relies on that.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wheelstep.fleet.ballots import NEVER_US, Event, Gained, Lost, Part, Passed, Phase
from wheelstep.fleet.batches import Batches, matching
from wheelstep.fleet.types import Accept, Accepted, Ballot, Prepare, Promise, Refused, Voted, Votes

AT_ONCE = 64  # parts being taken over at once


class Proposer:
    """All parts' ballots and leases of one courier."""

    def __init__(self, me: str, voters: Sequence[str], parts: int, lease_us: int, drift: float, margin_us: int,
                 rng: random.Random, now_us: int) -> None:
        self.me = me
        self.timeout_us = max(lease_us // 6, 1)
        self._voters = tuple(voters)
        self._majority = len(voters) // 2 + 1
        self._rng = rng
        self._drift = drift
        self._third_us = max(lease_us // 3, 1)
        self._round_us = max(lease_us // 2, 1)
        self._pause_us = max(lease_us // 100, 1)
        self._term_us = int(lease_us * (1 - drift)) - margin_us
        if self._term_us <= self._round_us:
            raise ValueError(f"a lease of {lease_us} us leaves {self._term_us} us after drift and margin: too short")
        self._parts = [Part(number, due_us=now_us) for number in range(parts)]
        self._epoch = [0] * parts
        self._until_us = [0] * parts  # 0: no lease
        self._leased: set[int] = set()
        self._active: set[int] = set()  # in a round, renewed, or to be asked for
        self._taking: set[int] = set()  # of these, in a round to take over
        self._wake_us = NEVER_US  # nothing is due before
        self._lapse_us = NEVER_US  # no lease ends before
        self._batches = Batches(voters, self.timeout_us)
        self._events: list[Event] = []
        self.bad = 0  # answers that no voter in order gives

    # --- time ---

    def tick(self, now_us: int) -> list[tuple[str, Votes]]:
        """What to send now, one batch a voter at a time. Ask for `events` too: leases may have ended."""
        self._expire(now_us)
        for voter, votes in self._batches.overdue(now_us):
            self._unanswered(now_us, voter, votes)
        if now_us >= self._wake_us:
            self._work(now_us)
        return self._batches.ready(now_us, lambda part, voter: self._parts[part].ask(voter))

    def _expire(self, now_us: int) -> None:
        if now_us < self._lapse_us:
            return
        for part in sorted(self._leased):
            if self._until_us[part] <= now_us:
                this = self._parts[part]
                self._events.append(Lost(part, self._epoch[part]))
                self._void(part)
                self._rest(this)
                if this.wanted:
                    self._due(this, now_us)
        self._lapse_us = min((self._until_us[part] for part in self._leased), default=NEVER_US)

    def _work(self, now_us: int) -> None:
        """Do what is due."""
        for part in sorted(self._active):
            this = self._parts[part]
            if this.phase in (Phase.PREPARE, Phase.ACCEPT):
                if this.began_us + self._round_us <= now_us:
                    self._fail(this, now_us)
                elif this.mute and this.due_us <= now_us:
                    self._batches.ask(part, this.mute)
                    this.mute.clear()
            elif this.due_us > now_us:
                continue
            elif this.phase is Phase.HELD and not this.no:
                old_us = now_us - self._third_us // 2
                self._batches.renew(part, [voter for voter in self._voters if this.yes.get(voter, old_us) <= old_us])
                this.due_us = now_us + self._third_us
            elif not (this.goal or this.wanted or this.keep):
                self._active.discard(part)
            elif this.goal or this.keep or len(self._taking) < AT_ONCE:
                self._start(this, now_us)
        self._wake_us = min((self._parts[part].next_us(now_us, self._round_us) for part in self._active),
                            default=NEVER_US)

    def _due(self, this: Part, at_us: int) -> None:
        this.due_us = at_us
        self._active.add(this.number)
        self._wake_us = min(self._wake_us, at_us)

    def _rest(self, this: Part) -> None:
        """End what is going on, if anything is."""
        this.begin(Phase.REST, 0)
        self._taken(this.number)

    def _taken(self, part: int) -> None:
        if part in self._taking and len(self._taking) >= AT_ONCE:
            self._wake_us = 0  # another one may begin
        self._taking.discard(part)

    def _void(self, part: int) -> None:
        self._epoch[part] = self._until_us[part] = 0
        self._leased.discard(part)
        self._parts[part].keep = False

    def _start(self, this: Part, now_us: int) -> None:
        this.ballot = Ballot(this.top + 1, self.me)
        this.top += 1
        this.begin(Phase.PREPARE, now_us)
        if not this.goal and not this.keep:
            self._taking.add(this.number)
        self._batches.ask(this.number, self._voters)

    def _fail(self, this: Part, now_us: int) -> None:
        """The round came to nothing: wait for others' leases, or a random while that grows."""
        short = self._majority - (len(self._voters) - len(this.left))
        lefts = sorted(this.left.values())
        wait_us = 0
        if short > 0:
            wait_us = int(lefts[short - 1] * (1 + 2 * self._drift))
        else:
            this.tries = min(this.tries + 1, 5)
        pause_us = int(self._pause_us * 2 ** this.tries * self._rng.uniform(0.5, 1.5))
        self._rest(this)
        self._due(this, now_us + wait_us + pause_us)

    # --- answers ---

    def answered(self, now_us: int, voter: str, votes: Votes, voted: Voted | None) -> list[Event]:
        """A voter's answers to a batch; None if none came in time. Later ones are passed over."""
        self._expire(now_us)
        sent_us = self._batches.take(voter, votes)
        if sent_us is not None:
            if voted is None or not matching(votes, voted):
                self.bad += voted is not None
                self._unanswered(now_us, voter, votes)
            else:
                self._batches.heard(voter, voted)
                for ask, answer in zip(votes.asks, voted.answers, strict=True):
                    self._heed(now_us, voter, ask, answer, sent_us)
        events, self._events = self._events, []
        return events

    def _unanswered(self, now_us: int, voter: str, votes: Votes) -> None:
        for ask in votes.asks:
            this = self._parts[ask.part]
            if this.ballot != ask.ballot:
                continue
            if this.phase is Phase.HELD and this.base_us(self._majority) + self._third_us <= now_us:
                self._due(this, min(this.due_us, now_us + self._third_us // 4))
            elif self._current(this, ask, now_us):
                if this.phase is Phase.PREPARE:
                    self._no(this, now_us, voter)
                else:  # what one voter may have accepted is better asked again than under a new ballot
                    this.mute.add(voter)
                    self._due(this, now_us + 2 * self._pause_us)

    def _current(self, this: Part, ask: Prepare | Accept, now_us: int) -> bool:
        """Does this ask belong to a round that goes on?"""
        return this.ballot == ask.ballot and now_us < this.began_us + self._round_us and this.phase is (
            Phase.PREPARE if isinstance(ask, Prepare) else Phase.ACCEPT)

    def _heed(self, now_us: int, voter: str, ask: Prepare | Accept, answer: Promise | Accepted | Refused,
              sent_us: int) -> None:
        this = self._parts[ask.part]
        if isinstance(answer, Refused | Promise):
            this.hear(voter, answer.holding)
        elif isinstance(ask, Accept):
            this.hear(voter, ask.holding)
        self._settle(this, now_us)
        if isinstance(answer, Refused):
            if answer.promised is not None:
                this.top = max(this.top, answer.promised.number)
            if self._current(this, ask, now_us):
                if answer.left_us > 0:
                    this.left[voter] = answer.left_us
                self._no(this, now_us, voter)
            elif this.phase is Phase.HELD and answer.promised is not None and answer.promised > this.ballot:
                this.no.add(voter)  # a promise to another: a new ballot is needed there
                self._due(this, min(this.due_us, now_us + self._pause_us))
        elif self._current(this, ask, now_us):
            this.yes[voter] = sent_us
            if len(this.yes) >= self._majority:
                self._propose(this, now_us) if this.phase is Phase.PREPARE else self._win(this, now_us)
        elif this.phase is Phase.HELD and this.ballot == ask.ballot and isinstance(ask, Accept):
            this.yes[voter] = max(this.yes.get(voter, 0), sent_us)
            self._until_us[ask.part] = max(self._until_us[ask.part], this.base_us(self._majority) + self._term_us)

    def _no(self, this: Part, now_us: int, voter: str) -> None:
        this.no.add(voter)
        if len(this.no) > len(self._voters) - self._majority:
            self._fail(this, now_us)

    def _propose(self, this: Part, now_us: int) -> None:
        # After a failure under the same epoch a new one: a voter may have taken that epoch for another's.
        this.since = max(this.first(self.me), 1)
        this.target = this.proposal(self.me, this.number in self._leased and this.tries == 0)
        this.begin(Phase.ACCEPT, now_us)
        self._batches.ask(this.number, self._voters)

    def _win(self, this: Part, now_us: int) -> None:
        """A majority has accepted."""
        if this.target.owner != self.me:  # `_settle` will say so, or another round
            self._rest(this)
            self._due(this, now_us)
            return
        until_us = this.base_us(self._majority) + self._term_us  # to come yet: a round is shorter than that
        part = this.number
        held = self._epoch[part]
        if held and held != this.target.epoch:
            self._events.append(Lost(part, held))
        if held != this.target.epoch:
            self._events.append(Gained(part, this.target.epoch, until_us, this.since))
        self._taken(part)
        this.phase, this.goal, this.keep, this.tries = Phase.HELD, "", True, 0
        this.no.clear()
        this.epoch = self._epoch[part] = this.target.epoch
        self._until_us[part] = max(until_us, self._until_us[part])
        self._leased.add(part)
        self._lapse_us = min(self._lapse_us, self._until_us[part])
        self._due(this, now_us + self._third_us)

    def _settle(self, this: Part, now_us: int) -> None:
        """Say what has been decided since, and heed it."""
        holding = this.settled(self._majority)
        if holding is None:
            return
        part = this.number
        mine = holding.owner == self.me
        if not (mine and this.phase is Phase.ACCEPT and holding == this.target):
            self._events.append(Passed(part, holding.epoch, holding.owner))
        if mine:
            return
        if part in self._leased and holding.epoch > self._epoch[part]:
            self._events.append(Lost(part, self._epoch[part]))
            self._void(part)
            self._rest(this)
        if this.goal and holding.epoch > this.given:
            this.goal, this.wanted = "", False
            self._rest(this)
