"""What members tell each other, rule by rule: pieces and rolls with their bounds, whose word on whom counts, and the
table that keeps it."""

from __future__ import annotations

import random

import msgspec
import pytest

from tests.test_membership import alone, member
from wheelstep.fleet.membership import Limits
from wheelstep.fleet.news import News, Rolls
from wheelstep.fleet.roster import INCARNATIONS, Roster
from wheelstep.fleet.types import Ack, Hello, Member, Note, Ping, Roll, SendPacket, State

SUSPECT, GONE = State.SUSPECT, State.GONE


def size(*members: Member) -> int:
    return sum(len(msgspec.msgpack.encode(one)) for one in members)


def test_what_was_told_least_goes_first_and_what_was_told_most_makes_room() -> None:
    each = size(member("m0"))
    news = News(Limits(news_bytes=2 * each, news_most=4))
    for number in range(4):
        news.add(member(f"m{number}"))
    told = [[one.name for one in news.pick("", (), 100)] for _ in range(4)]
    assert told == [["m0", "m1"], ["m2", "m3"]] * 2
    news.pick("", (), 100)  # m0 and m1 once more
    news.add(member("m4"))
    assert "m0" not in news._pieces and len(news) == 4
    news.add(member("m1", 1))  # a newer piece begins anew
    assert {one.name for one in news.pick("", (), 100)} == {"m4", "m1"}
    news = News(Limits(news_bytes=2 * each))
    news.add(member("m0"))
    news.add(member("m" * 60))
    assert news.pick("m0", (), 9) == () and news.pick("", (member("m0", 5),), 9) == (member("m0", 5),)
    assert size(*news.pick("", (member("f"),), 9)) <= 2 * each


def test_rolls_hold_everybody_once_at_a_pace_and_within_a_bound() -> None:
    head, everybody = [member("me")], [member(f"m{number:03}") for number in range(60)]
    limits = Limits(rolls_most=8)
    rolls, rng = Rolls(limits), random.Random(1)
    assert rolls.answer("@a", head, everybody, rng, 0) and not rolls.answer("@a", head, everybody, rng, 0)
    sent: list[SendPacket] = []
    at_us = []
    while rolls.due_us is not None:
        assert rolls.due_us == 0 or rolls.send(rolls.due_us - 1) == []
        at_us.append(rolls.due_us)
        sent += rolls.send(rolls.due_us)
    assert at_us == [10_000 * number for number in range(len(sent))] and len(sent) > 2
    left, names = len(everybody), []
    for one in sent:
        assert isinstance(one.packet, Roll) and one.packet.news[0] == head[0] and size(*one.packet.news) <= 850
        left -= len(one.packet.news) - 1
        assert one.packet.left == left
        names += [told.name for told in one.packet.news[1:]]
    assert left == 0 and sorted(names) == [one.name for one in everybody] != names
    assert rolls.answer("@a", head, everybody, rng, 0)  # the first set is out
    assert not rolls.answer("@b", head, everybody * 2, rng, 0)
    assert rolls.due_us == 0


def test_one_that_holds_the_gone_alive_is_told_so_that_they_can_speak_up() -> None:
    courier = alone()
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


def test_what_a_roll_tells_of_members_known_before_goes_on() -> None:
    courier = alone()
    courier.heard(1, "b", "@b", Roll(0, (member("b", 1), member("a", 2), member("new"))))
    (action,) = courier.heard(2, "b", "@b", Ping(1, (member("b", 1),)))
    assert isinstance(action, SendPacket) and action.packet == Ack(1, (courier.me, member("a", 2)))


def test_one_that_leaves_says_so_and_one_that_left_says_nothing_more() -> None:
    courier = alone()
    assert {(one.address, one.packet.news[0].state) for one in courier.leave(1)} == {  # type: ignore[union-attr]
        ("@a", State.LEAVING), ("@b", State.LEAVING)}
    assert courier.leave(2) == []
    assert {(one.address, one.packet.news[0].state) for one in courier.left(3)} == {  # type: ignore[union-attr]
        ("@a", GONE), ("@b", GONE)}
    assert courier.heard(4, "a", "@a", Ping(1, (member("a", 1),))) == [] == courier.tick(5_000_000)


def test_a_suspicion_of_one_that_leaves_is_told_to_it() -> None:
    courier = alone()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1, State.LEAVING),)))
    courier._view.open(courier.members()["a"], 1)
    (action,) = courier.heard(2, "a", "@a", Ping(2, (member("a", 1, State.LEAVING),)))
    assert isinstance(action, SendPacket) and action.packet == Ack(2, (courier.me, member("a", 1, SUSPECT)))


def test_an_answer_of_one_that_is_gone_is_answered_by_a_hello() -> None:
    courier = alone()
    courier.heard(1, "b", "@b", Ping(1, (member("b", 1), member("a", 1, GONE))))
    assert courier.heard(2, "a", "@a", Ack(1, (member("a", 1),))) == [
        SendPacket("@a", Hello((courier.me, member("a", 1, GONE))))]


def test_speaking_up_goes_above_what_was_told_and_never_to_the_limit() -> None:
    courier = alone()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), member("me", 7, SUSPECT))))
    assert courier.me.incarnation == 8
    courier.heard(2, "a", "@a", Ping(1, (member("a", 1), member("me", INCARNATIONS - 1, SUSPECT))))
    assert courier.me.incarnation == 8


def test_a_twin_gets_a_hello_and_its_word_is_not_taken() -> None:
    courier = alone()
    actions = courier.heard(1, "a", "@z", Ping(1, (member("a", 9, address="@z"), member("b", 1, GONE))))
    assert [one for one in actions if not isinstance(one, Note)] == [
        SendPacket("@z", Hello((courier.me, member("a", 1))))]
    assert courier.members()["b"].state is State.ALIVE and courier.refused["twin"] == 1
    courier.heard(2, "b", "@b", Ping(1, (member("b", 1), member("me", 3, address="@z"))))
    assert courier.doubled and courier.me.incarnation == 3
    courier.heard(3, "b", "@b", Ping(1, (member("b", 1), member("me", 3, GONE, address="@z"))))
    assert not courier.doubled


def test_the_table_keeps_what_overrules() -> None:
    roster = Roster("me", {}, Limits())
    assert roster.take(member("a", 1), 0) and not roster.take(member("a", 1), 0)
    assert roster.take(msgspec.structs.replace(member("a", 1, SUSPECT), weight=9.0, serves="x"), 0)
    assert roster.get("a") == member("a", 1, SUSPECT)  # only a new incarnation changes the rest
    assert not roster.take(member("a", 1), 0) and roster.take(member("a", 1, State.LEAVING), 0)
    assert not roster.take(member("x", 1, GONE), 0) and roster.get("x") is not None  # not to go round for ever
    moved = member("a", 2, address="@n")
    assert not roster.take(moved, 0) and roster.refused["twin"] == 1  # one that leaves is there
    assert not roster.twin(member("a", 0, address="@old")) and roster.refused["twin"] == 1
    roster.take(member("a", 2, SUSPECT), 0)
    assert roster.take(member("a", 3, address="@n"), 0) and roster.name_at("@n") == "a" and not roster.name_at("@a")


@pytest.mark.parametrize("weight", [-1.0, float("inf"), float("nan")])
def test_a_weight_is_finite_and_not_negative(weight: float) -> None:
    roster = Roster("me", {}, Limits())
    assert not roster.take(msgspec.structs.replace(member("a"), weight=weight), 0) and roster.refused["malformed"] == 1


def test_the_gone_make_room_and_keep_no_address_of_another() -> None:
    roster = Roster("me", {"s": "@s"}, Limits(members_most=3, gone_kept_us=100))
    roster.take(member("a", 1), 0)
    roster.take(member("b", 1, address="@a"), 0)  # a new name for the same place
    roster.take(member("a", 1, GONE), 1)
    assert roster.name_at("@a") == "b" and roster.lost() == ["a", "s"]
    assert roster.take(member("c", 1), 2) and roster.get("a") is None and roster.name_at("@a") == "b"
    roster.take(member("c", 1, GONE), 3)
    roster.take(member("c", 2), 4)
    roster.forget(1_000)
    assert roster.get("c") == member("c", 2) and not roster.take(member("d"), 5) and roster.refused["full"] == 1
    for number in range(5):
        roster.twin(member("b", 2, address=f"@{number}"))
        roster.twin(member("c", 2, address=f"@{number}"))
    assert roster.twins == {"b": "@0", "c": "@0"}
