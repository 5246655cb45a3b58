"""A voter: promises, grants and refusals, records saved before an answer, and recovery after state loss."""

from __future__ import annotations

import math

import msgspec
import pytest

from wheelstep.fleet.register import Voter, replay
from wheelstep.fleet.rows import AGREED_NEW, BEGUN, FLEET_ROW, Row, Rows
from wheelstep.fleet.types import Accept, Accepted, Ballot, Ownership, Prepare, Promise, Refused, Stood, Votes

LEASE_US, DRIFT = 1_000_000, 0.02
GRANT_US = math.ceil(LEASE_US * (1 + DRIFT))
BEGAN_US = 10 * LEASE_US  # a voter that started at 0 is no longer quiet


def begun(name: str = "a", others: str = "bc", rows: Rows | None = None) -> Voter:
    """Return a voter of a fleet that has begun."""
    rows = rows or Rows({FLEET_ROW: Row(BEGUN, place=1)}, 1)
    return Voter(name, list(others), 4, LEASE_US, DRIFT, rows, rows.place, 0)


def blank(name: str, others: str) -> Voter:
    """Return a voter without state."""
    return Voter(name, list(others), 4, LEASE_US, DRIFT, None, 0, 0)


def send(voter: Voter, now_us: int, asker: str, *asks: Prepare | Accept, seen: int = 0) -> tuple[list, list[bytes]]:
    """Send the requests to the voter; return its answers and records."""
    voted, records = voter.heard(now_us, asker, Votes(asks, seen))
    return list(voted.answers), records


def accept_holding(voter: Voter, owner: str = "x", epoch: int = 5, number: int = 3, now_us: int = BEGAN_US) -> Accept:
    """Have the voter accept a holding of part 0 and save it; return the request."""
    accept = Accept(0, Ballot(number, owner), Ownership(epoch, owner))
    answers, records = send(voter, now_us, owner, accept)
    assert answers == [Accepted(0, accept.ballot)] and records
    voter.saved(voter.place)
    return accept


def test_only_the_owner_may_prepare_or_accept_during_a_grant_extended_by_the_drift() -> None:
    """Else two couriers could hold leases of a part."""
    voter = begun()
    held = accept_holding(voter)
    mine, other = Prepare(0, Ballot(9, "y")), Accept(0, Ballot(9, "y"), Ownership(6, "y"))
    for ask in (mine, other):
        assert send(voter, BEGAN_US + 20_000, "y", ask)[0] == [Refused(0, "lease", held.ballot, GRANT_US - 20_000,
                                                                     held.holding)]
    assert send(voter, BEGAN_US + GRANT_US - 1, "y", mine)[0][0].left_us == 1
    assert send(voter, BEGAN_US + GRANT_US, "y", mine)[0] == [Promise(0, mine.ballot, held.ballot, held.holding)]
    owners = Prepare(0, Ballot(10, "x"))
    assert send(voter, BEGAN_US + 1, "x", owners)[0] == [Promise(0, owners.ballot, held.ballot, held.holding)]


def test_renewal_restarts_the_grant_and_writes_no_record() -> None:
    voter = begun()
    held = accept_holding(voter)
    place = voter.place
    assert send(voter, BEGAN_US + 500_000, "x", held) == ([Accepted(0, held.ballot)], [])
    assert voter.place == place
    refused, = send(voter, BEGAN_US + GRANT_US, "y", Prepare(0, Ballot(9, "y")))[0]
    assert refused.left_us == 500_000


def test_lower_or_equal_ballots_and_a_second_holding_of_a_ballot_are_refused() -> None:
    voter = begun()
    send(voter, BEGAN_US, "x", Prepare(0, Ballot(7, "x")))
    for asker, ask in (("x", Prepare(0, Ballot(7, "x"))), ("a", Prepare(0, Ballot(7, "a"))),
                       ("x", Accept(0, Ballot(6, "x"), Ownership(1, "x")))):
        refused, = send(voter, BEGAN_US, asker, ask)[0]
        assert (refused.why, refused.promised) == ("ballot", Ballot(7, "x"))
    accept_holding(voter, epoch=1, number=7)
    refused, = send(voter, BEGAN_US, "x", Accept(0, Ballot(7, "x"), Ownership(2, "x")))[0]
    assert refused.why == "ballot"


@pytest.mark.parametrize("lower", [Ownership(4, "y"), Ownership(5, "y")])
def test_lower_epoch_or_second_owner_of_an_epoch_is_refused(lower: Ownership) -> None:
    """What a majority has accepted must stay final."""
    voter = begun()
    held = accept_holding(voter)
    refused, = send(voter, BEGAN_US + GRANT_US, "y", Accept(0, Ballot(9, "y"), lower))[0]
    assert (refused.why, refused.holding) == ("ballot", held.holding)


def test_after_a_start_only_known_holdings_are_renewed_for_a_whole_lease() -> None:
    """A voter does not know which grants it gave before the start."""
    first = begun()
    held = accept_holding(first)
    again = begun(rows=replay(first.snapshot()))
    assert again.place == first.place
    assert send(again, 10, "x", held) == ([Accepted(0, held.ballot)], [])
    for asker, part in (("x", 0), ("y", 0), ("y", 1)):
        refused, = send(again, GRANT_US - 1, asker, Prepare(part, Ballot(9, asker)))[0]
        assert refused.why == "lease" and refused.left_us >= 1
    assert isinstance(send(again, GRANT_US, "y", Prepare(1, Ballot(9, "y")))[0][0], Promise)


def test_answer_depending_on_an_unsaved_record_returns_it_again() -> None:
    """Else the second answer could be sent before its record is on disk."""
    voter = begun()
    accept = Accept(0, Ballot(3, "x"), Ownership(5, "x"))
    first = send(voter, BEGAN_US, "x", accept)[1]
    assert send(voter, BEGAN_US, "x", accept)[1] == first
    assert send(voter, BEGAN_US, "y", Prepare(0, Ballot(1, "y")))[1] == first  # the refusal contains the holding
    assert send(voter, BEGAN_US, "y", Prepare(1, Ballot(0, "y")))[1] == []
    assert voter.heard(BEGAN_US, "z", Votes(()))[0].place == 1  # only records on disk count
    voter.saved(voter.place)
    assert send(voter, BEGAN_US, "x", accept)[1] == []
    assert voter.heard(BEGAN_US, "z", Votes(()))[0].place == 2


def test_replayed_records_restore_the_state() -> None:
    voter = begun()
    records = []
    for part in range(3):
        records += send(voter, BEGAN_US, "x", Prepare(part, Ballot(2, "x")))[1]
    records += send(voter, BEGAN_US, "x", Accept(1, Ballot(2, "x"), Ownership(1, "x")))[1]
    state = replay(records)
    assert state.place == voter.place == 5
    assert state.rows[1] == Row(Ballot(2, "x"), Ballot(2, "x"), Ownership(1, "x"), 5)
    assert replay(voter.snapshot()).rows == state.rows | {FLEET_ROW: Row(BEGUN, place=1)}
    with pytest.raises(msgspec.DecodeError):
        replay([b"\x93\x01"])


@pytest.mark.parametrize("ask", [
    Prepare(-1, Ballot(1, "x")), Prepare(4, Ballot(1, "x")), Prepare(0, Ballot(0, "x")), Prepare(0, Ballot(-4, "x")),
    Prepare(0, Ballot(1 << 60, "x")), Prepare(0, Ballot(1, "y")), Accept(0, Ballot(1, "x"), Ownership(0, "x")),
    Accept(0, Ballot(1, "x"), Ownership(1 << 50, "x")), Accept(0, Ballot(1, "x"), Ownership(1, ""))])
def test_invalid_requests_are_refused_and_counted(ask: Prepare | Accept) -> None:
    voter = begun()
    assert send(voter, BEGAN_US, "x", ask) == ([Refused(ask.part, "ballot")], [])
    assert (voter.invalid_requests, voter.place) == (1, 1)


def test_out_of_range_place_is_counted_and_ignored() -> None:
    """A faulty courier must not make voters forget their state."""
    voter = begun()
    answers, _ = send(voter, BEGAN_US, "x", Prepare(0, Ballot(1, "x")), seen=1 << 60)
    assert isinstance(answers[0], Promise) and voter.invalid_requests == 1 and not voter.blank


# --- recovery after state loss ---

def exchange(now_us: int, *voters: Voter) -> None:
    """Exchange the `Stand` requests due among these voters."""
    known = {voter.name: voter for voter in voters}
    for voter in voters:
        for name, _ in voter.due_requests(now_us):
            if name in known:
                voter.on_registers(now_us, name, known[name].registers_for(voter.name))
                voter.saved(voter.place)


def test_voter_after_state_loss_votes_after_both_others_answered_and_a_lease_passed() -> None:
    """Only both others together know all that it may have promised."""
    b, c = begun("b", "ac"), begun("c", "ab")
    held = accept_holding(b)
    send(c, BEGAN_US, "y", Prepare(0, Ballot(2, "y")), Prepare(2, Ballot(8, "y")))
    a = begun("a", "bc")
    assert send(a, BEGAN_US, "x", held, seen=40)[0] == [Refused(0, "behind")]
    assert send(a, BEGAN_US, "x", held, seen=0)[0] == [Refused(0, "blank")]
    assert a.times_behind == 1 and a.registers_for("b").blank
    assert [name for name, _ in a.due_requests(BEGAN_US)] == ["b", "c"]
    assert a.on_registers(BEGAN_US, "b", b.registers_for("a")) == [] and a.blank  # one other voter is not enough
    assert a.on_registers(BEGAN_US, "c", Stood(True)) == [] and a.blank  # a blank one does not count
    state = replay(a.on_registers(BEGAN_US, "c", c.registers_for("a", 50)))
    assert not a.blank and a.place > 50 and state.place == a.place
    assert send(a, BEGAN_US, "x", held, seen=90)[0] == [Accepted(0, held.ballot)]  # 90 is from before the state loss
    assert (state.rows[0].promised, state.rows[0].holding) == (Ballot(3, "x"), held.holding)
    assert state.rows[2].promised == Ballot(8, "y")
    refused, = send(a, BEGAN_US + GRANT_US - 1, "x", Prepare(0, Ballot(20, "x")))[0]
    assert (refused.why, refused.left_us) == ("lease", 1)
    assert isinstance(send(a, BEGAN_US + GRANT_US, "y", Prepare(0, Ballot(20, "y")))[0][0], Promise)


@pytest.mark.parametrize("order", ["bc", "cb"])
def test_recovery_keeps_the_higher_epoch_and_the_higher_promise(order: str) -> None:
    """They may come from different voters."""
    told = {"b": begun("b", "ac"), "c": begun("c", "ab")}
    held = accept_holding(told["b"], "x", epoch=6, number=3)
    accept_holding(told["c"], "y", epoch=5, number=9)
    a = blank("a", "bc")
    for name in order:
        records = a.on_registers(0, name, told[name].registers_for("a"))
    row = replay(records).rows[0]
    assert (row.promised, row.accepted, row.holding) == (Ballot(9, "y"), held.ballot, held.holding)


def test_recovery_among_five_voters_needs_three_others() -> None:
    """Fewer might all lack a holding that a majority accepted."""
    a = blank("a", "bcde")
    for name in "bc":
        assert a.on_registers(0, name, begun(name, "acde").registers_for("a")) == []
    assert a.on_registers(0, "d", Stood(True)) == [] \
        and a.on_registers(0, "stranger", begun("d", "abce").registers_for("a")) == []
    assert a.on_registers(0, "e", None) == []
    assert a.on_registers(0, "e", begun("e", "abcd").registers_for("a")) != []


def test_start_with_an_older_disk_is_detected_by_the_place_another_voter_knows() -> None:
    """An outdated disk lacks promises that the voter has made."""
    a, b = begun("a", "bc"), begun("b", "ac")
    held = accept_holding(b)
    assert [name for name, _ in a.due_requests(0)] == ["b", "c"]
    # Returned as the disk may lack it.
    assert replay(a.on_registers(5, "b", b.registers_for("a", 1))).rows[0].holding == held.holding
    assert a.on_registers(5, "c", Stood(False, (), 30)) == [] and a.blank


def test_courier_that_is_no_voter_gets_the_holdings() -> None:
    voter = begun()
    held = accept_holding(voter)
    stood = voter.registers_for("courier", 9)
    assert not stood.blank and stood.seen == 0
    assert [row[3] for row in stood.rows if row[0] == 0] == [held.holding]


def test_fleet_is_new_only_if_all_voters_agree() -> None:
    """Voters that lost their state must not start a second fleet."""
    a, b, c = blank("a", "bc"), blank("b", "ac"), blank("c", "ab")
    for now_us in range(0, LEASE_US, LEASE_US // 10):
        exchange(now_us, a, b)
    assert a.blank and b.blank
    for now_us in range(LEASE_US, 2 * LEASE_US, LEASE_US // 10):
        exchange(now_us, a, b, c)
    for voter in (a, b, c):
        assert isinstance(send(voter, 2 * LEASE_US, "x", Prepare(0, Ballot(1, "x")))[0][0], Promise)
    late = blank("c", "ab")
    exchange(2 * LEASE_US, a, late)
    assert late.blank  # b may have state


def test_voter_that_agreed_the_fleet_is_new_votes_after_a_restart() -> None:
    a = blank("a", "bc")
    a.on_registers(0, "b", Stood(True))
    state = replay(a.on_registers(0, "c", Stood(True)))
    assert state.rows[FLEET_ROW].promised == AGREED_NEW and a.blank
    again = Voter("a", ["b", "c"], 4, LEASE_US, DRIFT, state, state.place, 0)
    assert again.blank
    again.on_registers(0, "b", Stood(False))
    assert again.on_registers(0, "c", Stood(True)) == [] and again.blank
    again.on_registers(0, "c", begun("c", "ab").registers_for("a"))
    assert isinstance(send(again, 0, "x", Prepare(0, Ballot(1, "x")))[0][0], Promise)
