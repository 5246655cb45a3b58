"""Leases of whole fleets in virtual time under faults; the invariants must detect each deliberately broken fleet."""

from __future__ import annotations

import pytest

from tests.voting import Fleet
from tests.voting_hosts import LEASE_US, PARTS, Violation
from wheelstep.fleet.ballots import PartState, Phase
from wheelstep.fleet.owner import Owner
from wheelstep.fleet.register import Voter
from wheelstep.fleet.rows import BEGUN, FLEET_ROW, Row, Rows
from wheelstep.fleet.types import Accept, Accepted, Ownership, Prepare, Promise, Refused

# --- whole fleets ---

@pytest.mark.parametrize("seed", range(8))
def test_three_voters_under_faults_keep_one_owner_and_recover(seed: int) -> None:
    """`run` raises if two couriers own a part, or a part stays without an owner."""
    fleet = Fleet(seed).run()
    assert fleet.gained_count and fleet.decided_count


@pytest.mark.parametrize(("seed", "voters", "couriers", "kinds"), [
    (0, 5, 5, {}), (1, 5, 4, {}), (2, 5, 3, {"forget": "all"}), (3, 3, 3, {"forget": "all"}),
    (4, 3, 4, {"forget": "all"}), (5, 3, 2, {"forget": "some"}), (6, 3, 4, {"forget": "some"}),
    (7, 3, 3, {"loss": 0.25}), (8, 3, 5, {"lag": "c0"})])
def test_lost_or_outdated_disks_and_bad_links_keep_one_owner(seed: int, voters: int, couriers: int,
                                                             kinds: dict[str, object]) -> None:
    """Voters that lose state must not help to grant a second lease."""
    Fleet(seed, voters, couriers, **kinds).run()


# --- broken fleets: each violation must be detected ---

def quiet(**kinds: object) -> Fleet:
    """Return a fleet without packet loss whose couriers acquire no parts."""
    fleet = Fleet(1, loss=0.0, **kinds)
    for host in fleet.couriers.values():
        for part in range(PARTS):
            host.owner.release(part)
    fleet.advance(2 * LEASE_US)
    return fleet


def take(fleet: Fleet, courier: str, spans: int = 100) -> None:
    """Have the courier acquire part 0, and advance until it owns it or the time is over."""
    fleet.couriers[courier].owner.want(0)
    for _ in range(spans):
        fleet.advance(LEASE_US // 50)
        if courier in fleet.owners(0):
            return


def alone(fleet: Fleet, name: str) -> set[frozenset[str]]:
    """Return the cut links that isolate the host."""
    return {frozenset((name, other)) for other in [*fleet.voters, *fleet.couriers] if other != name}


def forgets_between_two_majorities(fleet: Fleet, keep: int | None) -> None:
    """c0 acquires part 0 at v0 and v1, v0 crashes then, and c1 asks for the part at v0 and v2."""
    fleet.cut = alone(fleet, "v2")
    take(fleet, "c0")
    assert fleet.epochs[0, 1] == "c0"
    host = fleet.voters["v0"]
    host.generation, host.voter = 0, None
    fleet.couriers["c0"].owner.release(0)
    fleet.cut = alone(fleet, "v1") | alone(fleet, "c0")
    fleet.start_voter(host, keep)
    take(fleet, "c1", spans=300)


def lapses_after_late_answers(fleet: Fleet) -> None:
    """c0, which receives answers late, is partitioned; c1 requests the part until it owns it."""
    for host in [*fleet.couriers.values(), *fleet.voters.values()]:
        host.clock.rate = 1.0
    fleet.advance(2 * LEASE_US)
    take(fleet, "c0")
    fleet.advance(3 * LEASE_US)
    fleet.cut = alone(fleet, "c0")
    owner = fleet.couriers["c1"].owner
    while fleet.owners(0) != ["c1"]:
        if owner._parts[0].phase is Phase.IDLE:
            owner._parts[0].due_us = 0
            owner.want(0)
        fleet.advance(LEASE_US // 100)


class GrantsDuringALease(Voter):
    """A voter that ignores running leases."""

    def _refused_for_us(self, *_: object) -> int:
        return 0


class CountsFromTheAnswer(Owner):
    """An owner whose lease starts when the answer arrives."""

    def _on_answer(self, now_us: int, voter: str, ask: Prepare | Accept, answer: Promise | Accepted | Refused,
                   sent_us: int) -> None:
        super()._on_answer(now_us, voter, ask, answer, now_us)


class VotesAtOnce(Voter):
    """A voter that votes after state loss without recovery."""

    def __init__(self, name: str, others: list[str], parts: int, lease_us: int, drift: float, rows: Rows | None,
                 place: int, now_us: int) -> None:
        super().__init__(name, others, parts, lease_us, drift, rows or Rows({FLEET_ROW: Row(BEGUN)}), place, now_us)


class IgnoringPart(PartState):
    """A part state whose proposals ignore reported holdings."""

    __slots__ = ()

    def proposal(self, me: str, leased: bool) -> Ownership:
        """Return the next epoch, whatever the voters reported."""
        return Ownership(self.epoch + 1, self.transfer_to or me)


class IgnoresWhatWasAccepted(Owner):
    """An owner that ignores accepted holdings."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._parts = [IgnoringPart(number) for number in range(PARTS)]


def test_voter_that_grants_during_a_lease_is_detected() -> None:
    """Two couriers then hold leases of one part."""
    with pytest.raises(Violation, match="part . has"):
        Fleet(0, voter=GrantsDuringALease).run()


def test_lease_counted_from_the_answer_is_detected() -> None:
    """The lease then outlasts the voters' grants if answers are late."""
    with pytest.raises(Violation, match="part 0 has"):
        lapses_after_late_answers(quiet(couriers=2, lag="c0", owner=CountsFromTheAnswer))
    lapses_after_late_answers(quiet(couriers=2, lag="c0"))


def test_voter_that_answers_before_its_record_is_saved_is_detected() -> None:
    """After a crash it forgets a holding, and an epoch gets a second owner."""
    with pytest.raises(Violation, match="epoch 1 of part 0"):
        forgets_between_two_majorities(quiet(save_first=False), None)
    sound = quiet()
    forgets_between_two_majorities(sound, None)
    assert sound.epochs[0, 2] == "c1"


def test_blank_voter_that_votes_at_once_is_detected() -> None:
    """A voter without its disk must recover first, or an epoch gets a second owner."""
    with pytest.raises(Violation, match="epoch 1 of part 0"):
        forgets_between_two_majorities(quiet(voter=VotesAtOnce), 0)
    sound = quiet()
    forgets_between_two_majorities(sound, 0)
    assert sound.owners(0) == []  # the blank voter cannot vote: no majority
    sound.cut = set()
    sound.advance(4 * LEASE_US)
    assert sound.owners(0) == ["c1"] and sound.epochs[0, 2] == "c1"


def test_proposer_that_ignores_an_accepted_holding_is_detected() -> None:
    """It proposes an epoch that another courier may own."""
    with pytest.raises(Violation):
        Fleet(0, owner=IgnoresWhatWasAccepted).run()
