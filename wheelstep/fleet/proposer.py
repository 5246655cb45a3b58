"""The CASPaxos proposer of one courier: prepare, accept and renewal. `Owner` adds the interface to it. No I/O.

A lease starts when its `Accept` was sent: at the k-th latest send time among the voters that answered, k being a
majority. A round is abandoned after half a lease; recovery of a voter that lost its promises relies on that.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from wheelstep.fleet.ballots import NEVER_US, Decided, Event, Gained, Lost, PartState, Phase
from wheelstep.fleet.batches import Batches, answers_match
from wheelstep.fleet.types import Accept, Accepted, Ballot, Prepare, Promise, Refused, Voted, Votes

MAX_ACQUISITIONS = 64  # parts acquired concurrently


class Proposer:
    """Ballots and leases of one courier for all parts."""

    def __init__(self, me: str, voters: Sequence[str], parts: int, lease_us: int, drift: float, margin_us: int,
                 rng: random.Random, now_us: int) -> None:
        self.me = me
        self.timeout_us = max(lease_us // 6, 1)
        self._voters = tuple(voters)
        self._majority = len(voters) // 2 + 1
        self._rng = rng
        self._drift = drift
        self._renewal_us = max(lease_us // 3, 1)
        self._round_us = max(lease_us // 2, 1)
        self._backoff_us = max(lease_us // 100, 1)
        self._term_us = int(lease_us * (1 - drift)) - margin_us
        if self._term_us <= self._round_us:
            raise ValueError(f"a lease of {lease_us} us leaves {self._term_us} us after drift and margin: too short")
        self._parts = [PartState(number, due_us=now_us) for number in range(parts)]
        self._epoch = [0] * parts
        self._until_us = [0] * parts  # by part; 0 without a lease
        self._leased: set[int] = set()
        self._active: set[int] = set()  # in a round, being renewed, or scheduled
        self._acquiring: set[int] = set()  # those of `_active` in a round to acquire a lease
        self._wake_us = NEVER_US  # earliest time at which a part is due
        self._first_expiry_us = NEVER_US  # earliest expiry of a lease
        self._batches = Batches(voters, self.timeout_us)
        self._events: list[Event] = []
        self.invalid_answers = 0  # answers that do not fit their requests

    # --- time ---

    def tick(self, now_us: int) -> list[tuple[str, Votes]]:
        """Return the batches to send now by voter. Read `events` after it: leases may have expired."""
        self._expire(now_us)
        for voter, votes in self._batches.drop_overdue(now_us):
            self._on_no_answer(now_us, voter, votes)
        if now_us >= self._wake_us:
            self._run_due(now_us)
        return self._batches.start_batches(now_us, lambda part, voter: self._parts[part].request_for(voter))

    def _expire(self, now_us: int) -> None:
        if now_us < self._first_expiry_us:
            return
        for part in sorted(self._leased):
            if self._until_us[part] <= now_us:
                state = self._parts[part]
                self._events.append(Lost(part, self._epoch[part]))
                self._drop_lease(part)
                self._end_round(state)
                if state.wanted:
                    self._schedule(state, now_us)
        self._first_expiry_us = min((self._until_us[part] for part in self._leased), default=NEVER_US)

    def _run_due(self, now_us: int) -> None:
        """Process the parts that are due: time out, resend, renew or start rounds."""
        for part in sorted(self._active):
            state = self._parts[part]
            if state.phase in (Phase.PREPARE, Phase.ACCEPT):
                if state.round_start_us + self._round_us <= now_us:
                    self._fail_round(state, now_us)
                elif state.unanswered and state.due_us <= now_us:
                    self._batches.queue_round(part, state.unanswered)
                    state.unanswered.clear()
            elif state.due_us > now_us:
                continue
            elif state.phase is Phase.HELD and not state.refused_by:
                old_us = now_us - self._renewal_us // 2
                self._batches.queue_renewal(part, [voter for voter in self._voters
                                                   if state.agreed_us.get(voter, old_us) <= old_us])
                state.due_us = now_us + self._renewal_us
            elif not (state.transfer_to or state.wanted or state.keep_lease):
                self._active.discard(part)
            elif state.transfer_to or state.keep_lease or len(self._acquiring) < MAX_ACQUISITIONS:
                self._start_round(state, now_us)
        self._wake_us = min((self._parts[part].next_us(now_us, self._round_us) for part in self._active),
                            default=NEVER_US)

    def _schedule(self, state: PartState, at_us: int) -> None:
        state.due_us = at_us
        self._active.add(state.number)
        self._wake_us = min(self._wake_us, at_us)

    def _end_round(self, state: PartState) -> None:
        """End the current round, if any."""
        state.enter_phase(Phase.IDLE, 0)
        self._end_acquisition(state.number)

    def _end_acquisition(self, part: int) -> None:
        if part in self._acquiring and len(self._acquiring) >= MAX_ACQUISITIONS:
            self._wake_us = 0  # another acquisition may start
        self._acquiring.discard(part)

    def _drop_lease(self, part: int) -> None:
        self._epoch[part] = self._until_us[part] = 0
        self._leased.discard(part)
        self._parts[part].keep_lease = False

    def _start_round(self, state: PartState, now_us: int) -> None:
        state.ballot = Ballot(state.highest_number + 1, self.me)
        state.highest_number += 1
        state.enter_phase(Phase.PREPARE, now_us)
        if not state.transfer_to and not state.keep_lease:
            self._acquiring.add(state.number)
        self._batches.queue_round(state.number, self._voters)

    def _fail_round(self, state: PartState, now_us: int) -> None:
        """End a failed round; retry after other couriers' leases, else after a random, exponential backoff."""
        leases_to_await = self._majority - (len(self._voters) - len(state.lease_left_us))
        lease_times_us = sorted(state.lease_left_us.values())
        wait_us = 0
        if leases_to_await > 0:
            wait_us = int(lease_times_us[leases_to_await - 1] * (1 + 2 * self._drift))
        else:
            state.failures = min(state.failures + 1, 5)
        pause_us = int(self._backoff_us * 2 ** state.failures * self._rng.uniform(0.5, 1.5))
        self._end_round(state)
        self._schedule(state, now_us + wait_us + pause_us)

    # --- answers ---

    def answered(self, now_us: int, voter: str, votes: Votes, voted: Voted | None) -> list[Event]:
        """Handle a voter's answers to a batch, None after a timeout. Answers to a batch not in flight are ignored."""
        self._expire(now_us)
        sent_us = self._batches.complete(voter, votes)
        if sent_us is not None:
            if voted is None or not answers_match(votes, voted):
                self.invalid_answers += voted is not None
                self._on_no_answer(now_us, voter, votes)
            else:
                self._batches.record_place(voter, voted)
                for ask, answer in zip(votes.asks, voted.answers, strict=True):
                    self._on_answer(now_us, voter, ask, answer, sent_us)
        events, self._events = self._events, []
        return events

    def _on_no_answer(self, now_us: int, voter: str, votes: Votes) -> None:
        for ask in votes.asks:
            state = self._parts[ask.part]
            if state.ballot != ask.ballot:
                continue
            if state.phase is Phase.HELD and state.majority_us(self._majority) + self._renewal_us <= now_us:
                self._schedule(state, min(state.due_us, now_us + self._renewal_us // 4))
            elif self._in_round(state, ask, now_us):
                if state.phase is Phase.PREPARE:
                    self._on_refusal(state, now_us, voter)
                else:  # the voter may have accepted it, so resend instead of using a new ballot
                    state.unanswered.add(voter)
                    self._schedule(state, now_us + 2 * self._backoff_us)

    def _in_round(self, state: PartState, ask: Prepare | Accept, now_us: int) -> bool:
        """Return whether the request belongs to the current phase of a round that has not timed out."""
        return state.ballot == ask.ballot and now_us < state.round_start_us + self._round_us and state.phase is (
            Phase.PREPARE if isinstance(ask, Prepare) else Phase.ACCEPT)

    def _on_answer(self, now_us: int, voter: str, ask: Prepare | Accept, answer: Promise | Accepted | Refused,
                   sent_us: int) -> None:
        state = self._parts[ask.part]
        if isinstance(answer, Refused | Promise):
            state.record_report(voter, answer.holding)
        elif isinstance(ask, Accept):
            state.record_report(voter, ask.holding)
        self._update_decided(state, now_us)
        if isinstance(answer, Refused):
            if answer.promised is not None:
                state.highest_number = max(state.highest_number, answer.promised.number)
            if self._in_round(state, ask, now_us):
                if answer.left_us > 0:
                    state.lease_left_us[voter] = answer.left_us
                self._on_refusal(state, now_us, voter)
            elif state.phase is Phase.HELD and answer.promised is not None and answer.promised > state.ballot:
                state.refused_by.add(voter)  # it promised a higher ballot, so a new one is needed
                self._schedule(state, min(state.due_us, now_us + self._backoff_us))
        elif self._in_round(state, ask, now_us):
            state.agreed_us[voter] = sent_us
            if len(state.agreed_us) >= self._majority:
                self._start_accept(state, now_us) if state.phase is Phase.PREPARE else self._on_lease(state, now_us)
        elif state.phase is Phase.HELD and state.ballot == ask.ballot and isinstance(ask, Accept):
            state.agreed_us[voter] = max(state.agreed_us.get(voter, 0), sent_us)
            self._until_us[ask.part] = max(self._until_us[ask.part], state.majority_us(self._majority) + self._term_us)

    def _on_refusal(self, state: PartState, now_us: int, voter: str) -> None:
        state.refused_by.add(voter)
        if len(state.refused_by) > len(self._voters) - self._majority:
            self._fail_round(state, now_us)

    def _start_accept(self, state: PartState, now_us: int) -> None:
        # After a failure a new epoch is used: a voter may have accepted the old one for another courier.
        state.target_first = max(state.first_epoch(self.me), 1)
        state.target = state.proposal(self.me, state.number in self._leased and state.failures == 0)
        state.enter_phase(Phase.ACCEPT, now_us)
        self._batches.queue_round(state.number, self._voters)

    def _on_lease(self, state: PartState, now_us: int) -> None:
        """Handle acceptance by a majority: take the lease, or end the round if the target is another courier."""
        if state.target.owner != self.me:  # reported by `_update_decided`, or by another round
            self._end_round(state)
            self._schedule(state, now_us)
            return
        until_us = state.majority_us(self._majority) + self._term_us  # in the future: a round is shorter than the term
        part = state.number
        held_epoch = self._epoch[part]
        if held_epoch and held_epoch != state.target.epoch:
            self._events.append(Lost(part, held_epoch))
        if held_epoch != state.target.epoch:
            self._events.append(Gained(part, state.target.epoch, until_us, state.target_first))
        self._end_acquisition(part)
        state.phase, state.transfer_to, state.keep_lease, state.failures = Phase.HELD, "", True, 0
        state.refused_by.clear()
        state.epoch = self._epoch[part] = state.target.epoch
        self._until_us[part] = max(until_us, self._until_us[part])
        self._leased.add(part)
        self._first_expiry_us = min(self._first_expiry_us, self._until_us[part])
        self._schedule(state, now_us + self._renewal_us)

    def _update_decided(self, state: PartState, now_us: int) -> None:
        """Report a newly decided holding, and end a lease or transfer that it supersedes."""
        holding = state.newly_decided(self._majority)
        if holding is None:
            return
        part = state.number
        is_own = holding.owner == self.me
        if not (is_own and state.phase is Phase.ACCEPT and holding == state.target):
            self._events.append(Decided(part, holding.epoch, holding.owner))
        if is_own:
            return
        if part in self._leased and holding.epoch > self._epoch[part]:
            self._events.append(Lost(part, self._epoch[part]))
            self._drop_lease(part)
            self._end_round(state)
        if state.transfer_to and holding.epoch > state.transfer_epoch:
            state.transfer_to, state.wanted = "", False
            self._end_round(state)
