"""Membership: joining, suspicion, leaving, death and return of couriers, in a simulation and rule by rule."""

from __future__ import annotations

import random

import pytest

from wheelstep.fleet.doubt import new_suspicion
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.news import News
from wheelstep.fleet.roster import Roster
from wheelstep.fleet.types import Ack, Hello, Member, Note, Ping, PingReq, Roll, SendPacket, State
from wheelstep.rehearsal.simulation.membership_world import World

ALIVE, GONE = {State.ALIVE}, {State.GONE}


def member(name: str, incarnation: int = 0, state: State = State.ALIVE, address: str = "") -> Member:
    """Return a member with an address derived from its name."""
    return Member(name, incarnation, state, address or f"@{name}", f"http://{name}")


def with_a_and_b(limits: MemberLimits | None = None, **seeds: str) -> Membership:
    """Return courier "me", which knows "a" and "b"."""
    courier = Membership(member("me", 3), seeds, limits or MemberLimits(), random.Random(1), 0)
    courier.heard(0, "a", "@a", Roll(0, (member("a", 1), member("b", 1))))
    courier.changed()
    return courier


@pytest.mark.parametrize(("count", "within_s"), [(3, 10), (30, 15), (100, 20)])
def test_couriers_discover_each_other_and_all_detect_a_death(count: int, within_s: float) -> None:
    world = World(count, seed=count, sealed=True)  # a packet above 1,200 bytes fails the run
    assert world.run(within_s, lambda: world.all_see(world.couriers, ALIVE)) is not None
    world.run(5)
    world.dead.add("c1")
    assert world.run(within_s, lambda: world.all_see(["c1"], GONE)) is not None
    assert world.all_see(set(world.couriers) - {"c1"}, ALIVE) and not world.couriers["c0"].refused["malformed"]
    assert all("c1" in text for text in world.death_notes())


@pytest.mark.parametrize("count", [3, 30])
@pytest.mark.parametrize("seed", [1, 2])
def test_at_20_percent_loss_no_member_is_declared_gone_and_a_death_is_detected(count: int, seed: int) -> None:
    """Lost probes must be covered by indirect probes and refutation."""
    world = World(count, seed, loss=0.2)
    world.introduce_all()
    world.run(240 if count == 3 else 60)  # 480 and 120 periods
    assert not world.death_notes() and world.all_see(world.couriers, {State.ALIVE, State.SUSPECT})
    assert sum(courier.me.incarnation for courier in world.couriers.values()) > 0  # some suspicions were refuted
    world.dead.add("c1")
    assert world.run(40, lambda: world.all_see(["c1"], GONE)) is not None


@pytest.mark.parametrize("count", [3, 30])
def test_with_a_one_way_link_no_member_is_declared_gone(count: int) -> None:
    """A member whose packets are lost only towards one courier must be reached through others."""
    world = World(count, 1)
    world.introduce_all()
    world.link_blocked = lambda sender, receiver: (sender, receiver) == ("c0", "c1")
    world.run(120)
    assert not world.death_notes() and world.sent["PingReq"] > 0


@pytest.mark.parametrize("seed", range(4))
def test_stalled_courier_suspects_nobody_and_rejoins(seed: int) -> None:
    """Packets missed during a stall must not count as failures of others."""
    world = World(12, seed)
    world.introduce_all()
    world.run(5)
    world.pause("c1")
    world.run(20)
    assert world.all_see(["c1"], GONE)
    world.notes.clear()
    world.resume("c1")
    assert world.run(10, lambda: world.all_see(world.couriers, ALIVE)) is not None
    assert world.couriers["c1"].me.incarnation == 1
    assert [text for _, _, text in world.notes] == ["fleet: this courier was stalled for "
                                                    f"{world.notes[0][2].split()[6]} s: probes that went unanswered "
                                                    "meanwhile are ignored"]
    # It suspected nobody, so no other courier had to refute.
    world.run(10)
    assert sum(courier.me.incarnation for courier in world.couriers.values()) == 1 and not world.death_notes()


def test_partition_heals() -> None:
    """Members declared gone on both sides must be retried, or the halves stay apart."""
    world = World(20, 5)
    world.introduce_all()
    world.run(3)
    left = {f"c{number}" for number in range(10)}
    right = set(world.couriers) - left
    world.link_blocked = lambda sender, receiver: (sender in left) != (receiver in left)
    assert world.run(60, lambda: world.all_see(left, GONE, right) and world.all_see(right, GONE, left)) is not None
    world.notes.clear()
    world.link_blocked = lambda sender, receiver: False
    assert world.run(30, lambda: world.all_see(world.couriers, ALIVE)) is not None
    world.run(10)
    assert not world.death_notes()


def test_duplicate_name_is_refused_until_the_first_courier_is_dead() -> None:
    """Two couriers with one name would share leases."""
    world = World(5, 1)
    world.introduce_all()
    world.run(3)
    world.add("twin", name="c3", incarnation=50)
    world.run(20)
    others = ["c0", "c1", "c2", "c4"]
    assert all(world.couriers[process].member("c3") == member("c3") for process in others)
    assert sum(world.couriers[process].refused["twin"] for process in others) > 0
    assert world.couriers["twin"].name_in_use and not any(world.couriers[name].name_in_use for name in [*others, "c3"])
    assert not [teller for _, teller, text in world.notes if "declared gone" in text and teller != "twin"]
    for process in [*others, "twin"]:
        told = [text for _, teller, text in world.notes if teller == process and "second courier" in text]
        assert len(told) <= 1 and (told or process != "twin")
    world.dead.add("c3")
    assert world.run(30, lambda: all(
        (seen := world.couriers[process].member("c3")) is not None and seen.address == "@twin"
        and seen.state is State.ALIVE for process in others)) is not None
    assert world.run(60, lambda: not world.couriers["twin"].name_in_use) is not None


def test_leaving_member_is_not_declared_dead() -> None:
    world = World(6, 2)
    world.introduce_all()
    world.run(2)
    world._perform("c2", world.couriers["c2"].leave(world.now_us))
    assert world.run(5, lambda: world.all_see(["c2"], {State.LEAVING})) is not None
    world.run(20)
    assert world.all_see(["c2"], {State.LEAVING})
    world._perform("c2", world.couriers["c2"].announce_gone(world.now_us))
    assert world.run(5, lambda: world.all_see(["c2"], GONE)) is not None
    assert not world.death_notes() and "c2" not in world.couriers["c2"].members()


def test_death_of_a_leaving_member_is_detected() -> None:
    world = World(6, 2, loss=0.1)
    world.introduce_all()
    world._perform("c2", world.couriers["c2"].leave(world.now_us))
    world.run(60)
    assert world.all_see(["c2"], {State.LEAVING})
    world.dead.add("c2")
    assert world.run(40, lambda: world.all_see(["c2"], GONE)) is not None


def test_gone_member_returns_only_with_a_higher_incarnation() -> None:
    """Delayed updates of the same incarnation must not revive a gone member."""
    courier = with_a_and_b()
    courier.heard(1, "b", "@b", Ping(1, (member("b", 1), member("a", 1, State.GONE))))
    for told in (member("a", 1), member("a", 0), member("a", 1, State.SUSPECT), member("a", 1, State.LEAVING)):
        courier.heard(2, "b", "@b", Ping(2, (member("b", 1), told)))
        assert "a" not in courier.members()
    courier.heard(3, "b", "@b", Ping(3, (member("b", 1), member("a", 2))))
    assert courier.members()["a"].incarnation == 2


def test_gone_member_is_informed_and_its_updates_of_others_are_ignored() -> None:
    """A member that returns from a partition has outdated views of others."""
    courier = with_a_and_b()
    courier.heard(1, "b", "@b", Ping(1, (member("b", 1), member("a", 1, State.GONE))))
    actions = courier.heard(2, "a", "@a", Ping(9, (member("a", 1), member("b", 1, State.GONE))))
    assert courier.members()["b"].state is State.ALIVE
    assert actions == [SendPacket("@a", Ack(9, (courier.me, member("a", 1, State.GONE))))]


@pytest.mark.parametrize("state", [State.SUSPECT, State.GONE])
def test_suspected_courier_refutes_with_a_higher_incarnation(state: State) -> None:
    """A live member that does not refute is declared gone."""
    courier = with_a_and_b()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), member("me", 3, state))))
    assert (courier.me.incarnation, courier.me.state, courier.health) == (4, State.ALIVE, 1)
    courier.heard(2, "a", "@a", Ping(2, (member("a", 1), member("me", 3, state))))
    assert (courier.me.incarnation, courier.health) == (4, 1)
    courier.leave(3)
    courier.heard(4, "a", "@a", Ping(3, (member("a", 1), member("me", 4, State.SUSPECT))))
    assert (courier.me.incarnation, courier.me.state) == (5, State.LEAVING)
    assert courier.changed() == [courier.me]


def test_unknown_sender_gets_a_hello_and_its_updates_are_ignored() -> None:
    """A forged name must not bring members into the table."""
    courier = with_a_and_b()
    told = (member("x"), member("y"))
    assert courier.heard(1, "x", "@x", Ping(1, told)) == [SendPacket("@x", Hello((courier.me,)))]
    assert courier.heard(2, "x", "@x", PingReq(1, "a", told)) == []  # at most one per 200 ms
    assert set(courier.members()) == {"me", "a", "b"} and courier.refused["unknown"] == 2
    assert courier.name_at("@x") == ""
    courier.heard(3, "x", "@x", Hello(told[:1]))
    assert courier.members()["x"] == told[0] and courier.name_at("@x") == "x" and courier.changed() == [told[0]]


def test_malformed_members_and_members_beyond_the_limit_are_refused() -> None:
    courier = with_a_and_b(MemberLimits(max_members=4))
    bad = [member("z" * 65), member("z", -1), member("z", 1 << 62), member(""), member("z", address="z" * 65)]
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), *bad)))
    assert set(courier.members()) == {"me", "a", "b"} and courier.refused["malformed"] == 5
    courier.heard(2, "a", "@a", Ping(2, (member("a", 1), member("c"), member("d"))))
    assert set(courier.members()) == {"me", "a", "b", "c"} and courier.refused["full"] == 1


def test_seed_addresses_override_announced_ones() -> None:
    courier = with_a_and_b(a="@relay")
    assert courier.address_of("a") == "@relay" and courier.name_at("@relay") == "a" and courier.address_of("b") == "@b"
    assert courier.heard(1, "a", "@elsewhere", Ping(4, (member("a", 1),))) == [
        SendPacket("@relay", Ack(4, (courier.me,)))]


def test_suspicion_shortens_with_confirmations_and_lengthens_with_bad_health() -> None:
    limits = MemberLimits()
    seconds = []
    for name in ("a", "b", "c", "d", "e"):
        one = new_suspicion(1, 0, 10, 0, limits)
        for other in "abcde"[:"abcde".index(name) + 1]:
            one.confirm(other)
        seconds.append(one.deadline_us() / 1e6)
    assert seconds == [15.0, 8.75, pytest.approx(5.09, abs=0.01), 2.5, 2.5]
    assert new_suspicion(1, 0, 10, 1, limits).min_us == 5_000_000
    assert new_suspicion(1, 0, 2, 0, limits).deadline_us() == 2_500_000  # no third member can confirm


def test_updates_are_sent_a_bounded_number_of_times_and_fit_a_packet() -> None:
    limits = MemberLimits(max_updates=50)
    news, told = News(limits), 0
    for number in range(80):
        news.add(member(f"m{number}"))
    assert len(news) == 50
    while picked := news.select("", (), 15):
        told += len(picked)
        assert len(picked) < 40
    assert told == 50 * 12 and len(news) == 0  # 3 times log2 of 16


def test_gone_members_are_dropped_after_gone_kept_us() -> None:
    roster = Roster("me", {}, MemberLimits(gone_kept_us=100))
    roster.merge(member("a", 1, State.GONE), 0)
    roster.forget(99)
    assert roster.get("a") is not None and roster.absent() == ["a"]
    roster.forget(100)
    assert roster.get("a") is None and roster.name_at("@a") == ""


def test_late_tick_worsens_own_health_and_suspects_nobody() -> None:
    """A tick 10 s late is a stall of this courier, not a failure of its probe target."""
    courier = with_a_and_b()
    courier.tick(courier.next_us())  # sends a probe
    actions = courier.tick(10_000_000)
    assert [one.text for one in actions if isinstance(one, Note)][0].startswith("fleet: this courier was stalled")
    assert courier.health == 2 and all(known.state is State.ALIVE for known in courier.members().values())
