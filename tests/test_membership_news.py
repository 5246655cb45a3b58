"""Dissemination rule by rule: bounds of the gossip queue and of rolls, precedence of updates, and the member table."""

from __future__ import annotations

import random

import msgspec
import pytest

from tests.test_membership import member, with_a_and_b
from wheelstep.fleet.membership import MemberLimits
from wheelstep.fleet.news import News, Rolls
from wheelstep.fleet.roster import INCARNATION_LIMIT, Roster
from wheelstep.fleet.types import Ack, Hello, Member, Note, Ping, Roll, SendPacket, State

SUSPECT, GONE = State.SUSPECT, State.GONE


def size(*members: Member) -> int:
    """Return the encoded size of the members."""
    return sum(len(msgspec.msgpack.encode(one)) for one in members)


def test_least_sent_update_goes_first_and_most_sent_is_dropped_when_full() -> None:
    """Else a new update could wait behind ones that are widely known."""
    each = size(member("m0"))
    news = News(MemberLimits(max_update_bytes=2 * each, max_updates=4))
    for number in range(4):
        news.add(member(f"m{number}"))
    told = [[one.name for one in news.select("", (), 100)] for _ in range(4)]
    assert told == [["m0", "m1"], ["m2", "m3"]] * 2
    news.select("", (), 100)  # sends m0 and m1 again
    news.add(member("m4"))
    assert "m0" not in news._updates and len(news) == 4
    news.add(member("m1", 1))  # a newer update is counted from 0
    assert {one.name for one in news.select("", (), 100)} == {"m4", "m1"}
    news = News(MemberLimits(max_update_bytes=2 * each))
    news.add(member("m0"))
    news.add(member("m" * 60))
    assert news.select("m0", (), 9) == () and news.select("", (member("m0", 5),), 9) == (member("m0", 5),)
    assert size(*news.select("", (member("f"),), 9)) <= 2 * each


def test_rolls_list_each_member_once_at_a_bounded_rate_and_size() -> None:
    """The answer to a hello must not be one unlimited burst, nor omit a member."""
    head, everybody = [member("me")], [member(f"m{number:03}") for number in range(60)]
    limits = MemberLimits(max_rolls=8)
    rolls, rng = Rolls(limits), random.Random(1)
    assert rolls.enqueue("@a", head, everybody, rng, 0) and not rolls.enqueue("@a", head, everybody, rng, 0)
    sent: list[SendPacket] = []
    at_us = []
    while rolls.due_us is not None:
        assert rolls.due_us == 0 or rolls.pop_due(rolls.due_us - 1) == []
        at_us.append(rolls.due_us)
        sent += rolls.pop_due(rolls.due_us)
    assert at_us == [10_000 * number for number in range(len(sent))] and len(sent) > 2
    left, names = len(everybody), []
    for one in sent:
        assert isinstance(one.packet, Roll) and one.packet.news[0] == head[0] and size(*one.packet.news) <= 850
        left -= len(one.packet.news) - 1
        assert one.packet.left == left
        names += [told.name for told in one.packet.news[1:]]
    assert left == 0 and sorted(names) == [one.name for one in everybody] != names
    assert rolls.enqueue("@a", head, everybody, rng, 0)  # the first rolls have been sent
    assert not rolls.enqueue("@b", head, everybody * 2, rng, 0)
    assert rolls.due_us == 0


def test_sender_of_a_roll_with_gone_members_gets_them_as_suspects() -> None:
    """Views that differ after a partition must converge: the members refute if alive."""
    courier = with_a_and_b()
    gone = [member(f"g{number}", 1, GONE) for number in range(40)]
    for one in gone:
        courier.heard(1, "b", "@b", Ping(1, (member("b", 1), msgspec.structs.replace(one, state=State.ALIVE))))
        courier.heard(1, "b", "@b", Ping(1, (member("b", 1), one)))
    alive = tuple(msgspec.structs.replace(one, state=State.ALIVE) for one in gone)
    (action,) = courier.heard(2, "b", "@b", Roll(0, (member("b", 1), *alive)))
    assert isinstance(action, SendPacket) and action.address == "@b" and isinstance(action.packet, Ping)
    told = action.packet.news
    assert told[0] == courier.me and len(told) > 5 and size(*told) <= 850
    assert all(one.state is SUSPECT and one.name.startswith("g") for one in told[1:])
    assert courier.heard(3, "b", "@b", Roll(0, (member("b", 1), member("g0", 2)))) == []
    assert courier.members()["g0"].incarnation == 2


def test_roll_update_of_a_known_member_is_gossiped() -> None:
    """Such an update may be new to other members too."""
    courier = with_a_and_b()
    courier.heard(1, "b", "@b", Roll(0, (member("b", 1), member("a", 2), member("new"))))
    (action,) = courier.heard(2, "b", "@b", Ping(1, (member("b", 1),)))
    assert isinstance(action, SendPacket) and action.packet == Ack(1, (courier.me, member("a", 2)))


def test_leaving_and_gone_are_announced_and_a_gone_courier_is_silent() -> None:
    """After GONE the courier must neither send nor answer."""
    courier = with_a_and_b()
    assert {(one.address, one.packet.news[0].state) for one in courier.leave(1)} == {  # type: ignore[union-attr]
        ("@a", State.LEAVING), ("@b", State.LEAVING)}
    assert courier.leave(2) == []
    assert {(one.address, one.packet.news[0].state) for one in courier.announce_gone(3)} == {  # type: ignore[union-attr]
        ("@a", GONE), ("@b", GONE)}
    assert courier.heard(4, "a", "@a", Ping(1, (member("a", 1),))) == [] == courier.tick(5_000_000)


def test_leaving_member_is_informed_of_its_suspicion() -> None:
    """LEAVING overrules SUSPECT in its state, but it must still learn of it to refute it."""
    courier = with_a_and_b()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1, State.LEAVING),)))
    courier._view.suspect(courier.members()["a"], 1)
    (action,) = courier.heard(2, "a", "@a", Ping(2, (member("a", 1, State.LEAVING),)))
    assert isinstance(action, SendPacket) and action.packet == Ack(2, (courier.me, member("a", 1, SUSPECT)))


def test_ack_from_a_gone_member_is_answered_by_a_hello() -> None:
    """The hello tells the member that it is considered gone."""
    courier = with_a_and_b()
    courier.heard(1, "b", "@b", Ping(1, (member("b", 1), member("a", 1, GONE))))
    assert courier.heard(2, "a", "@a", Ack(1, (member("a", 1),))) == [
        SendPacket("@a", Hello((courier.me, member("a", 1, GONE))))]


def test_refutation_exceeds_the_update_and_stays_below_the_incarnation_limit() -> None:
    """A forged update at the limit must not use up the incarnations."""
    courier = with_a_and_b()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), member("me", 7, SUSPECT))))
    assert courier.me.incarnation == 8
    courier.heard(2, "a", "@a", Ping(1, (member("a", 1), member("me", INCARNATION_LIMIT - 1, SUSPECT))))
    assert courier.me.incarnation == 8


def test_duplicate_gets_a_hello_and_its_updates_are_ignored() -> None:
    """The hello tells the duplicate which courier holds the name."""
    courier = with_a_and_b()
    actions = courier.heard(1, "a", "@z", Ping(1, (member("a", 9, address="@z"), member("b", 1, GONE))))
    assert [one for one in actions if not isinstance(one, Note)] == [
        SendPacket("@z", Hello((courier.me, member("a", 1))))]
    assert courier.members()["b"].state is State.ALIVE and courier.refused["twin"] == 1
    courier.heard(2, "b", "@b", Ping(1, (member("b", 1), member("me", 3, address="@z"))))
    assert courier.name_in_use and courier.me.incarnation == 3
    courier.heard(3, "b", "@b", Ping(1, (member("b", 1), member("me", 3, GONE, address="@z"))))
    assert not courier.name_in_use


def test_roster_keeps_the_overruling_update() -> None:
    """Precedence is by incarnation, then state; updates of a duplicate are refused."""
    roster = Roster("me", {}, MemberLimits())
    assert roster.merge(member("a", 1), 0) and not roster.merge(member("a", 1), 0)
    assert roster.merge(msgspec.structs.replace(member("a", 1, SUSPECT), weight=9.0, serves="x"), 0)
    assert roster.get("a") == member("a", 1, SUSPECT)  # other fields need a new incarnation
    assert not roster.merge(member("a", 1), 0) and roster.merge(member("a", 1, State.LEAVING), 0)
    assert not roster.merge(member("x", 1, GONE), 0) and roster.get("x") is not None  # must not circulate for ever
    moved = member("a", 2, address="@n")
    assert not roster.merge(moved, 0) and roster.refused["twin"] == 1  # a leaving member is present
    assert not roster.is_duplicate(member("a", 0, address="@old")) and roster.refused["twin"] == 1
    roster.merge(member("a", 2, SUSPECT), 0)
    assert roster.merge(member("a", 3, address="@n"), 0) and roster.name_at("@n") == "a" and not roster.name_at("@a")


@pytest.mark.parametrize("weight", [-1.0, float("inf"), float("nan")])
def test_negative_or_infinite_weight_is_malformed(weight: float) -> None:
    """Such a weight would break the assignment of parts."""
    roster = Roster("me", {}, MemberLimits())
    assert not roster.merge(msgspec.structs.replace(member("a"), weight=weight), 0) and roster.refused["malformed"] == 1


def test_gone_members_are_evicted_when_full_and_release_their_address() -> None:
    """Gone members must not block new ones or shadow a reused address."""
    roster = Roster("me", {"s": "@s"}, MemberLimits(max_members=3, gone_kept_us=100))
    roster.merge(member("a", 1), 0)
    roster.merge(member("b", 1, address="@a"), 0)  # another name at the same address
    roster.merge(member("a", 1, GONE), 1)
    assert roster.name_at("@a") == "b" and roster.absent() == ["a", "s"]
    assert roster.merge(member("c", 1), 2) and roster.get("a") is None and roster.name_at("@a") == "b"
    roster.merge(member("c", 1, GONE), 3)
    roster.merge(member("c", 2), 4)
    roster.forget(1_000)
    assert roster.get("c") == member("c", 2) and not roster.merge(member("d"), 5) and roster.refused["full"] == 1
    for number in range(5):
        roster.is_duplicate(member("b", 2, address=f"@{number}"))
        roster.is_duplicate(member("c", 2, address=f"@{number}"))
    assert roster.duplicates == {"b": "@0", "c": "@0"}
