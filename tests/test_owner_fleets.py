"""Couriers' leases: whole fleets in virtual time under trouble, and what the invariants catch in broken ones."""

from __future__ import annotations

import pytest

from tests.voting import Fleet
from tests.voting_hosts import LEASE_US, PARTS, Violation
from wheelstep.fleet.ballots import Part, Phase
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.register import Voter
from wheelstep.fleet.rows import BEGUN, FLEET, Row, Rows
from wheelstep.fleet.types import Accept, Accepted, Holding, Prepare, Promise, Refused

# --- whole fleets ---

@pytest.mark.parametrize("seed", range(8))
def test_three_voters_under_trouble_keep_one_owner_and_find_one_again(seed: int) -> None:
    fleet = Fleet(seed).run()
    assert fleet.gained and fleet.passed


@pytest.mark.parametrize(("seed", "voters", "couriers", "kinds"), [
    (0, 5, 5, {}), (1, 5, 4, {}), (2, 5, 3, {"forget": "all"}), (3, 3, 3, {"forget": "all"}),
    (4, 3, 4, {"forget": "all"}), (5, 3, 2, {"forget": "some"}), (6, 3, 4, {"forget": "some"}),
    (7, 3, 3, {"loss": 0.25}), (8, 3, 5, {"lag": "c0"})])
def test_more_voters_lost_and_lying_disks_and_bad_links(seed: int, voters: int, couriers: int,
                                                        kinds: dict[str, object]) -> None:
    Fleet(seed, voters, couriers, **kinds).run()


# --- broken ones: each has to be caught ---

def quiet(**kinds: object) -> Fleet:
    """A fleet where nobody wants anything yet and nothing is lost."""
    fleet = Fleet(1, loss=0.0, **kinds)
    for host in fleet.couriers.values():
        for part in range(PARTS):
            host.owner.release(part)
    fleet.advance(2 * LEASE_US)
    return fleet


def take(fleet: Fleet, courier: str, spans: int = 100) -> None:
    fleet.couriers[courier].owner.want(0)
    for _ in range(spans):
        fleet.advance(LEASE_US // 50)
        if courier in fleet.owners(0):
            return


def alone(fleet: Fleet, name: str) -> set[frozenset[str]]:
    return {frozenset((name, other)) for other in [*fleet.voters, *fleet.couriers] if other != name}


def forgets_between_two_majorities(fleet: Fleet, keep: int | None) -> None:
    """c0 takes the part by v0 and v1; v0 crashes at that moment; c1 wants it by v0 and v2."""
    fleet.cut = alone(fleet, "v2")
    take(fleet, "c0")
    assert fleet.epochs[0, 1] == "c0"
    host = fleet.voters["v0"]
    host.life, host.voter = 0, None
    fleet.couriers["c0"].owner.release(0)
    fleet.cut = alone(fleet, "v1") | alone(fleet, "c0")
    fleet.start_voter(host, keep)
    take(fleet, "c1", spans=300)


def lapses_after_late_answers(fleet: Fleet) -> None:
    """c0, who hears answers late, is cut off; c1 asks for the part again and again until it has it."""
    for host in [*fleet.couriers.values(), *fleet.voters.values()]:
        host.clock.rate = 1.0
    fleet.advance(2 * LEASE_US)
    take(fleet, "c0")
    fleet.advance(3 * LEASE_US)
    fleet.cut = alone(fleet, "c0")
    owner = fleet.couriers["c1"].owner
    while fleet.owners(0) != ["c1"]:
        if owner._parts[0].phase is Phase.REST:
            owner._parts[0].due_us = 0
            owner.want(0)
        fleet.advance(LEASE_US // 100)


class GrantsDuringALease(Voter):
    def _left_us(self, *_: object) -> int:
        return 0


class CountsFromTheAnswer(Owner):
    def _heed(self, now_us: int, voter: str, ask: Prepare | Accept, answer: Promise | Accepted | Refused,
              sent_us: int) -> None:
        super()._heed(now_us, voter, ask, answer, now_us)


class VotesAtOnce(Voter):
    def __init__(self, name: str, others: list[str], parts: int, lease_us: int, drift: float, rows: Rows | None,
                 place: int, now_us: int) -> None:
        super().__init__(name, others, parts, lease_us, drift, rows or Rows({FLEET: Row(BEGUN)}), place, now_us)


class IgnoringPart(Part):
    __slots__ = ()

    def proposal(self, me: str, leased: bool) -> Holding:
        return Holding(self.epoch + 1, self.goal or me)


class IgnoresWhatWasAccepted(Owner):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._parts = [IgnoringPart(number) for number in range(PARTS)]


def test_a_voter_that_grants_during_a_lease_is_caught() -> None:
    with pytest.raises(Violation, match="part . has"):
        Fleet(0, voter=GrantsDuringALease).run()


def test_a_lease_counted_from_the_answer_is_caught() -> None:
    with pytest.raises(Violation, match="part 0 has"):
        lapses_after_late_answers(quiet(couriers=2, lag="c0", owner=CountsFromTheAnswer))
    lapses_after_late_answers(quiet(couriers=2, lag="c0"))


def test_a_voter_that_answers_before_its_record_is_saved_is_caught() -> None:
    with pytest.raises(Violation, match="epoch 1 of part 0"):
        forgets_between_two_majorities(quiet(save_first=False), None)
    sound = quiet()
    forgets_between_two_majorities(sound, None)
    assert sound.epochs[0, 2] == "c1"


def test_a_blank_voter_that_votes_at_once_is_caught() -> None:
    with pytest.raises(Violation, match="epoch 1 of part 0"):
        forgets_between_two_majorities(quiet(voter=VotesAtOnce), 0)
    sound = quiet()
    forgets_between_two_majorities(sound, 0)
    assert sound.owners(0) == []  # it can't know: nobody gets the part
    sound.cut = set()
    sound.advance(4 * LEASE_US)
    assert sound.owners(0) == ["c1"] and sound.epochs[0, 2] == "c1"


def test_a_proposer_that_ignores_an_accepted_holding_is_caught() -> None:
    with pytest.raises(Violation):
        Fleet(0, owner=IgnoresWhatWasAccepted).run()
