"""Proposer and owner step by step; whole fleets are in `test_owner_fleets.py`."""

from __future__ import annotations

import random

import pytest

from tests.voting_hosts import DRIFT, LEASE_US, MARGIN_US, PARTS
from wheelstep.fleet.ballots import NEVER_US
from wheelstep.fleet.owner import Decided, Gained, Lost, Owner
from wheelstep.fleet.types import Accepted, Ballot, Ownership, Prepare, Promise, Refused, Voted, Votes

TERM_US = int(LEASE_US * (1 - DRIFT)) - MARGIN_US


def alone_at(now_us: int = 0) -> Owner:
    """Return an owner with voters a, b and c."""
    return Owner("me", ["a", "b", "c"], PARTS, LEASE_US, DRIFT, MARGIN_US, random.Random(1), now_us)


def yes(votes: Votes, holding: Ownership | None = None) -> Voted:
    """Return positive answers to all requests; promises report `holding`."""
    return Voted(tuple(Promise(ask.part, ask.ballot, Ballot(1, "x") if holding else None, holding)
                       if isinstance(ask, Prepare) else Accepted(ask.part, ask.ballot) for ask in votes.asks), 7)


def play(owner: Owner, now_us: int, voters: str = "ab", holding: Ownership | None = None) -> list[object]:
    """Answer all batches to `voters`, time out the others, until nothing is left to send; return the events."""
    events: list[object] = owner.events(now_us)
    while batches := owner.tick(now_us):
        for voter, votes in batches:
            events += owner.answered(now_us, voter, votes, yes(votes, holding) if voter in voters else None)
    return events


def upcoming(owner: Owner) -> tuple[int, list[tuple[str, Votes]]]:
    """Return when the owner sends next, and the batches."""
    while (now_us := owner.next_us()) < NEVER_US:
        if batches := owner.tick(now_us):
            return now_us, batches
    return now_us, []


def test_lease_starts_when_the_accept_is_sent_less_drift_and_margin() -> None:
    """A lease counted from the answer could outlast the voters' grants."""
    owner = alone_at()
    owner.want(2)
    for voter, votes in owner.tick(1_000):
        owner.answered(20_000, voter, votes, yes(votes))
    accepts = owner.tick(30_000)
    assert all(votes.seen == 7 for _, votes in accepts)
    assert owner.answered(40_000, *accepts[0], yes(accepts[0][1])) == []
    events = owner.answered(90_000, *accepts[1], yes(accepts[1][1]))
    assert events == [Gained(2, 1, 30_000 + TERM_US)]
    assert owner.epoch(2, 30_000 + TERM_US - 1) == 1
    assert owner.epoch(2, 30_000 + TERM_US) is None
    assert owner.holding(2) == owner.decided(2) == Ownership(1, "me")


def test_lease_is_renewed_at_a_third_and_extends_from_the_second_latest_send() -> None:
    """Only a majority's grants extend a lease."""
    owner = alone_at()
    owner.want(0)
    play(owner, 0)
    assert owner.next_us() <= LEASE_US // 3
    assert play(owner, LEASE_US // 3 + 1, "a") == []
    assert owner.until_us(0) == TERM_US  # one of three voters is no majority
    play(owner, LEASE_US // 2, "b")
    assert owner.until_us(0) == LEASE_US // 3 + 1 + TERM_US


def test_answer_after_a_stall_expires_leases_first() -> None:
    """A late answer must not extend a lease that has expired meanwhile."""
    owner = alone_at()
    owner.want(0)
    play(owner, 0)
    (voter, votes), *_ = owner.tick(LEASE_US // 3 + 1)
    late = 20 * LEASE_US
    assert owner.answered(late, voter, votes, yes(votes)) == [Lost(0, 1)]
    assert owner.epoch(0, late) is None
    assert play(owner, late, holding=Ownership(1, "me"))[-1] == Gained(0, 2, late + TERM_US)


@pytest.mark.parametrize("late", [LEASE_US // 2, 20 * LEASE_US])
def test_round_older_than_half_a_lease_is_abandoned(late: int) -> None:
    """Recovery of a voter after state loss relies on it."""
    owner = alone_at()
    owner.want(0)
    for voter, votes in owner.tick(0):
        owner.answered(10, voter, votes, yes(votes))
    for voter, votes in owner.tick(10):
        assert owner.answered(late, voter, votes, yes(votes)) in ([], [Decided(0, 1, "me")])
    assert owner.epoch(0, late) is None
    assert {type(ask) for _, votes in upcoming(owner)[1] for ask in votes.asks} == {Prepare}


def test_answer_to_an_earlier_equal_renewal_does_not_extend_the_lease() -> None:
    """Equal batches are told apart by identity: the earlier grant ends sooner."""
    owner = alone_at()
    owner.want(0)
    play(owner, 0)
    first = owner.tick(LEASE_US // 3 + 1)
    owner.tick(LEASE_US // 3 + 1 + owner.timeout_us)  # timed out
    later, second = upcoming(owner)
    assert [votes for _, votes in first] == [votes for _, votes in second] and later > LEASE_US // 2
    for voter, votes in first:
        assert owner.answered(later, voter, votes, yes(votes)) == []
    assert owner.until_us(0) == TERM_US


def test_give_ends_the_old_epoch_and_retries_until_the_outcome_is_known() -> None:
    """Any voter may have accepted the transfer although no answer came."""
    owner = alone_at()
    owner.want(0)
    play(owner, 0)
    owner.give(100, 0, "other")
    assert owner.epoch(0, 100) is None and owner.until_us(0) == 0
    for voter, votes in owner.tick(100):
        owner.answered(200, voter, votes, yes(votes, Ownership(1, "me")))
    accepts = owner.tick(300)
    for _ in range(2):  # the accepts time out and are sent again
        assert {ask.holding for _, votes in accepts for ask in votes.asks} == {Ownership(2, "other")}
        for voter, votes in accepts:
            owner.answered(400, voter, votes, None)
        assert owner.next_us() > 400
        again, accepts = upcoming(owner)
        assert again < 50_000
    at = 300 + LEASE_US // 2
    for voter, votes in accepts:
        owner.answered(at, voter, votes, None)
    at, batches = upcoming(owner)
    assert owner.epoch(0, at) is None
    assert {type(ask) for _, votes in batches for ask in votes.asks} == {Prepare}
    for voter, votes in batches:  # one voter has accepted it, so it is completed
        owner.answered(at, voter, votes, yes(votes, Ownership(2, "other") if voter == "a" else Ownership(1, "me")))
    assert play(owner, at) == [Decided(0, 2, "other")]
    assert upcoming(owner) == (NEVER_US, [])


def test_part_taken_back_gets_an_epoch_above_all_reported() -> None:
    """A voter may have accepted the transfer's epoch for the other courier."""
    owner = alone_at()
    owner.want(0)
    play(owner, 0)
    owner.give(100, 0, "other")
    play(owner, 100, "")
    owner.give(200, 0, "me")
    for voter, votes in owner.tick(200):
        owner.answered(200, voter, votes, yes(votes, Ownership(2, "other") if voter == "a" else Ownership(1, "me")))
    assert play(owner, 300) == [Gained(0, 3, 300 + TERM_US)]


def test_acquisition_waits_for_another_lease_and_backs_off_on_ballot_conflicts() -> None:
    """Competing proposers must not block each other for ever."""
    owner = alone_at()
    owner.want(0)
    for voter, votes in owner.tick(0):
        owner.answered(10, voter, votes, Voted((Refused(0, "lease", None, 500_000, Ownership(4, "x")),), 1))
    now_us, batches = upcoming(owner)
    assert 500_000 < now_us < 550_000
    assert owner.decided(0) == Ownership(4, "x")  # accepted by two voters
    waits = []
    for _ in range(5):
        for voter, votes in batches:
            owner.answered(now_us, voter, votes, Voted((Refused(0, "ballot", Ballot(90, "x")),), 1))
        before = now_us
        now_us, batches = upcoming(owner)
        waits.append(now_us - before)
    assert batches[0][1].asks[0].ballot > Ballot(90, "x")
    assert waits[4] > 4 * waits[0] and len(set(waits)) == 5


def test_batches_and_concurrent_acquisitions_are_bounded() -> None:
    """Acquiring 1000 parts at once must not flood the voters."""
    owner = Owner("me", ["a", "b", "c"], 1000, LEASE_US, DRIFT, MARGIN_US, random.Random(1), 0)
    for part in range(1000):
        owner.want(part)
    first = owner.tick(0)
    assert [len(votes.asks) for _, votes in first] == [64, 64, 64]
    assert owner.next_us() > 0  # waiting parts cause no busy loop
    largest_batch = 0
    batches = first
    while batches:
        for voter, votes in batches:
            largest_batch = max(largest_batch, len(votes.asks))
            owner.answered(5, voter, votes, yes(votes))
        batches = owner.tick(5)
    assert sum(owner.epoch(part, 5) == 1 for part in range(1000)) == 1000
    assert largest_batch <= 256
    batches = owner.tick(LEASE_US // 3 + 10)
    assert [len(votes.asks) for _, votes in batches] == [256, 256, 256]


def test_invalid_answers_are_counted_and_ignored() -> None:
    """Answers that do not match the batch or come from no voter prove nothing."""
    owner = alone_at()
    owner.want(0)
    (voter, votes), (other, more), _ = owner.tick(0)
    assert owner.answered(1, voter, votes, Voted((), 9)) == []
    assert owner.answered(1, other, more, Voted((Accepted(0, Ballot(1, "me")),), 9)) == []
    assert owner.answered(1, "nobody", votes, yes(votes)) == []
    assert (owner.invalid_answers, owner.known_place("a"), owner.known_place("nobody")) == (2, 0, 0)
    with pytest.raises(ValueError, match="part 3 was never owned by me"):
        owner.give(1, 3, "x")
    with pytest.raises(ValueError, match="too short"):
        Owner("me", ["a", "b", "c"], 1, 1000, 0.3, 300, random.Random(1), 0)
