"""Membership rule by rule, where a simulation would mask a broken rule: intervals, bounds, accepted senders."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from tests.test_membership import member, with_a_and_b
from wheelstep.fleet.doubt import Probes, new_suspicion
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.types import Ack, Action, Hello, Nack, Packet, Ping, PingReq, Roll, SendPacket, State

Sent = list[tuple[int, str, Packet]]
S = 1_000_000


def with_members(count: int, limits: MemberLimits | None = None, seed: int = 1) -> Membership:
    """Return courier "me", which knows "c0" to "c<count-1>"."""
    courier = Membership(member("me", 3), {}, limits or MemberLimits(), random.Random(seed), 0)
    courier.heard(0, "c0", "@c0", Roll(0, tuple(member(f"c{number}", 1) for number in range(count))))
    return courier


def sent_packets(at_us: int, actions: list[Action]) -> Sent:
    """Return the packets among the actions, with the time and the receiver's name."""
    return [(at_us, one.address[1:], one.packet) for one in actions if isinstance(one, SendPacket)]


def run(courier: Membership, until_us: int, answer: Callable[[str, Packet], Packet | None]) -> Sent:
    """Run the courier until `until_us` with immediate answers from `answer`; return what it sent."""
    sent: Sent = []
    armed_us = courier.next_us()
    while (now_us := armed_us) <= until_us:
        new = sent_packets(now_us, courier.tick(now_us))
        armed_us = courier.next_us()
        sent += new
        for _, to, packet in new:
            if (said := answer(to, packet)) is not None:
                sent += sent_packets(now_us, courier.heard(now_us, to, f"@{to}", said))
                armed_us = min(armed_us, courier.next_us())
    return sent


def no_answer(to: str, packet: Packet) -> None:
    """Answer nothing."""
    return None


def ack_pings(to: str, packet: Packet) -> Packet | None:
    """Answer pings with acks."""
    return Ack(packet.seq, (member(to, 1),)) if isinstance(packet, Ping) else None


def of_type(kind: type, sent: Sent) -> Sent:
    """Return the sent packets of one type."""
    return [one for one in sent if isinstance(one[2], kind)]


def declared_gone_us(courier: Membership, name: str, by_us: int) -> int:
    """Return when the member is declared gone if nobody answers; 0 if not by `by_us`."""
    while (now_us := courier.next_us()) <= by_us:
        courier.tick(now_us)
        if name not in courier.members():
            return now_us
    return 0


def test_probe_rounds_are_shuffled_and_a_new_member_gets_a_random_place() -> None:
    """Each member is probed once per round, or detection time is unbounded."""
    names = [f"c{number}" for number in range(12)]
    sent = of_type(Ping, run(with_members(12), 36 * S // 2, ack_pings))
    rounds = [[to for _, to, _ in sent[start:start + 12]] for start in (0, 12, 24)]
    assert all(sorted(one) == sorted(names) for one in rounds)
    assert rounds[1] != rounds[2] and rounds[0] not in (names, names[::-1])


def test_bad_health_lengthens_periods_and_timeouts() -> None:
    """A slow courier must allow more time before it suspects others."""
    courier = with_members(6)
    courier.tick(10 * S)
    assert courier.health == 2
    sent = run(courier, 10 * S + 3 * 500_000 - 1, no_answer)
    assert not of_type(Ping, sent) and {at for at, _, _ in of_type(PingReq, sent)} == {10 * S + 3 * 150_000}


@pytest.mark.parametrize("seed", range(8))
def test_indirect_probe_asks_three_members_that_are_not_suspects(seed: int) -> None:
    """Suspects are unlikely to answer for others."""
    courier = with_members(6, seed=seed)
    courier.heard(1, "c0", "@c0", Ping(9, (member("c0", 1), member("c1", 1, State.SUSPECT))))
    at_us = courier.next_us()
    target = sent_packets(0, courier.tick(at_us))[0][1]
    asked = of_type(PingReq, sent_packets(0, courier.tick(at_us + 150_000)))
    assert len({to for _, to, _ in asked} - {target, "c1"}) == 3 == len(asked)


def run_failed_probe(helpers: Callable[[str, Packet], Packet | None],
                     limits: MemberLimits | None = None) -> tuple[Membership, str]:
    """Run one probe without a direct answer at health 2; return the courier and the target."""
    courier = with_members(4, limits)
    courier.tick(10 * S)
    courier._view.health = 2
    sent = run(courier, 10 * S + 3 * 500_000, helpers)
    return courier, of_type(PingReq, sent)[0][2].target  # type: ignore[attr-defined]


def test_health_depends_on_acks_and_nacks_of_helpers_and_is_bounded() -> None:
    """Missing nacks point to a fault of this courier."""
    def nacks(to: str, packet: Packet) -> Packet | None:
        return Nack(packet.seq, (member(to, 1),)) if isinstance(packet, PingReq) else None

    def reached(to: str, packet: Packet) -> Packet | None:
        return Ack(packet.seq, (member(to, 1),)) if isinstance(packet, PingReq) else None

    courier, target = run_failed_probe(no_answer)
    assert courier.health == 5 and courier.members()[target].state is State.SUSPECT
    assert run_failed_probe(nacks)[0].health == 2 \
        and run_failed_probe(no_answer, MemberLimits(max_health=3))[0].health == 3
    courier, target = run_failed_probe(reached)  # alive, but the direct link to it failed
    assert courier.health == 2 and courier.members()[target].state is State.ALIVE
    run(courier, 40 * S, ack_pings)
    assert courier.health == 0
    by_nacks, target = run_failed_probe(nacks)
    assert by_nacks._view.suspicions[target].confirmers == {"me", *({"c0", "c1", "c2", "c3"} - {target})}


def test_failed_probe_without_helpers_worsens_health() -> None:
    """Without helpers the fault may be this courier's own."""
    courier = with_a_and_b()
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), member("b", 1, State.GONE))))
    run(courier, 2 * S, no_answer)
    assert courier.health == 1 and courier.members()["a"].state is State.SUSPECT


def test_tick_drops_members_gone_for_gone_kept_us() -> None:
    """Gone members must not fill the table."""
    courier = with_a_and_b(MemberLimits(gone_kept_us=2 * S))
    courier.heard(1, "b", "@b", Ping(1, (member("b", 1), member("a", 1, State.GONE))))
    run(courier, 3 * S, ack_pings)
    assert courier.member("a") is None and courier.member("b") is not None


def test_stall_extends_suspicions_and_starts_a_new_period() -> None:
    """A suspect could not refute during the stall."""
    courier = with_a_and_b(MemberLimits(hello_periods=1_000))
    courier.heard(1, "a", "@a", Ping(1, (member("a", 1), member("b", 1, State.SUSPECT))))
    courier.tick(courier.next_us())
    courier.tick(30 * S)
    assert courier.members()["b"].state is State.SUSPECT
    courier = with_members(3)
    at_us = courier.next_us()
    courier.tick(at_us)
    # A tick was due at 150 ms; the period ends at 500 ms.
    assert of_type(Ping, sent_packets(0, courier.tick(at_us + 470_000)))


def test_suspects_are_pinged_three_at_a_time_longest_waiting_first() -> None:
    """Every suspect must hear of its suspicion in time to refute it."""
    courier = with_members(8, MemberLimits(max_health=0))
    run(courier, 5 * S, no_answer)
    sent = of_type(Ping, run(courier, 6 * S, no_answer))
    assert {to for _, to, _ in sent} == {f"c{number}" for number in range(8)}
    assert max(sum(at == other for other, _, _ in sent) for at, _, _ in sent) <= 4  # 3 suspects and the probe
    assert all(packet.news[1] == member(to, 1, State.SUSPECT) for _, to, packet in sent)


def test_hello_each_period_until_no_new_member_then_every_hello_periods() -> None:
    """A starting courier must learn of all members soon."""
    def rolls(to: str, packet: Packet) -> Packet | None:
        return Roll(0, (member(to, 1),)) if isinstance(packet, Hello) else ack_pings(to, packet)

    courier = with_members(3, MemberLimits(hello_periods=60))
    assert len(of_type(Hello, run(courier, 200 * S // 2, rolls))) == 3 + 3
    courier = with_members(3)
    assert len(of_type(Hello, run(courier, 10 * S, ack_pings))) == 20


def test_indirect_probes_for_others_are_bounded_answered_and_expire() -> None:
    """Requests of others must not use unbounded memory."""
    courier = with_a_and_b(MemberLimits(max_indirect_probes=1))
    ping = courier.heard(0, "a", "@a", PingReq(7, "b", (member("a", 1),)))
    (_, to, sent), = sent_packets(0, ping)
    assert to == "b" and isinstance(sent, Ping)
    assert courier.heard(1, "a", "@a", PingReq(8, "b", (member("a", 1),))) == [] and courier.refused["busy"] == 1
    assert courier.heard(2, "a", "@a", Ack(sent.seq, (member("a", 1),))) == []  # not from the target
    assert courier.heard(3, "b", "@b", Ack(sent.seq, (member("b", 1),))) == [
        SendPacket("@a", Ack(7, (courier.me,)))]
    assert courier.heard(4, "a", "@a", PingReq(9, "x", (member("a", 1),))) == [] and courier.refused["busy"] == 2
    (_, _, sent), = sent_packets(0, courier.heard(5, "a", "@a", PingReq(9, "b", (member("a", 1),))))
    nacks = of_type(Nack, run(courier, S, no_answer))
    assert nacks == [(5 + 120_000, "a", Nack(9, (courier.me,)))]
    assert courier.heard(S, "b", "@b", Ack(sent.seq, (member("b", 1),))) == []  # type: ignore[attr-defined]


def test_probe_ignores_answers_of_members_not_asked() -> None:
    """Else any member could answer for a dead one."""
    probes = Probes(MemberLimits())
    seq = probes.begin("a", 0, 0)
    assert probes.probe is not None
    probes.probe.helpers.add("h")
    probes.record_ack("z", seq)
    probes.record_nack("z", seq)
    assert not probes.probe.answered and not probes.probe.nacks
    probes.start_indirect("z", 1, "a", 0)
    probes.reset()
    assert not probes.indirect_probes and probes.probe is None


def test_requester_of_an_indirect_probe_confirms_and_new_incarnation_restarts_suspicion() -> None:
    """Both decide when a member is declared gone."""
    def suspect(now_us: int, incarnation: int, *asking: str) -> Membership:
        courier.heard(now_us, "c0", "@c0", Ping(1, (member("c0", 1), member("c1", incarnation, State.SUSPECT))))
        for name in asking:
            courier.heard(now_us, name, f"@{name}", PingReq(2, "c1", (member(name, 1),)))
        return courier

    limits = MemberLimits(period_us=500_000, max_health=0)
    for asking, around_s in (((), 15.0), (("c0", "c2", "c3"), 5.0)):
        courier = with_members(4, MemberLimits(max_confirmations=2, max_health=0))
        suspect(0, 1, *asking)
        courier._probes.indirect_probes.clear()
        assert declared_gone_us(courier, "c1", 40 * S) <= around_s * S
    one = new_suspicion(1, 0, 100, 0, limits)
    for number in range(100):
        one.confirm(f"c{number}")
    assert len(one.confirmers) == 4 and one.min_us == 5 * S
    courier = with_a_and_b(limits)
    for now_us, incarnation in ((1, 1), (10 * S, 2)):
        courier.heard(now_us, "b", "@b", Ping(1, (member("b", 1), member("a", incarnation, State.SUSPECT))))
    assert courier._view.suspicions["a"].since_us == 10 * S
    courier.heard(11 * S, "a", "@a", Ping(1, (member("a", 3),)))
    assert not courier._view.suspicions and courier.members()["a"].state is State.ALIVE


def test_ack_that_postpones_the_next_tick_is_no_stall() -> None:
    """The stall check must use the postponed time, else health worsens on each ack."""
    courier = with_members(3, MemberLimits(stall_us=300_000))
    for _ in range(40):  # ticks on time; an ack moves `next_us` from 150 to 500 ms
        now_us = courier.next_us()
        for _, to, packet in of_type(Ping, sent_packets(now_us, courier.tick(now_us))):
            courier.heard(now_us, to, f"@{to}", Ack(packet.seq, (member(to, 1),)))
    assert courier.health == 0
