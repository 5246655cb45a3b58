"""Learned state: handed over, pushed, stored, adopted; invalid frames; ordered keys owed by a former home."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from handoffs import FIELDS, HERE, SHARDS, S, handoff, health, learned, owed, rests, sent

from wheelstep.shards.expiring_table import NEVER_US
from wheelstep.shards.handoff import Adopt, HandedOver, SendTo
from wheelstep.shards.learned_state import MAX_US, differs
from wheelstep.shards.types import (
    Batch,
    Current,
    EndpointHealth,
    KeysReleased,
    LearnedState,
    LearnedStateAck,
    OwedKey,
    shard_of,
)


def test_a_handover_is_repeated_until_acknowledged_with_its_present_age() -> None:
    """Guards against stale ages in repeated frames, and against acknowledgements of other couriers."""
    mine = handoff("a")
    [act] = mine.hand_over(0, 0, "b", [health(ago_us=5)], [("e", 3 * S), ("f", S)], [owed("k"), owed("l", S // 2)])
    assert act == SendTo("b", learned(1, True, healths=(health(ago_us=5),), waits=(("e", 3 * S), ("f", S)),
                                      keys=(owed("k"), owed("l", S // 2))))
    assert mine.next_us() == S and mine.tick(S - 1) == []
    again = learned(1, True, healths=(health(ago_us=S + 5),), waits=(("e", 2 * S),), keys=(owed("k", 59 * S),))
    assert mine.tick(S) == [SendTo("b", again)]
    assert mine.heard(S + 1, "c", LearnedStateAck(0, 1), False) == [] and mine.next_us() == 2 * S  # not the addressee
    mine.heard(S + 1, "b", LearnedStateAck(0, 1), False)
    assert mine.next_us() == NEVER_US and mine.tick(9 * S) == []


def test_a_handover_never_acknowledged_is_given_up_and_counted() -> None:
    """Guards against endless repeats to a courier that has gone."""
    mine = handoff("a", tries=3)
    frames = sent(mine.hand_over(0, 0, "b", [], [], []), LearnedState)
    while mine.next_us() < NEVER_US:
        frames += sent(mine.tick(mine.next_us()), LearnedState)
    assert len(frames) == 3 and mine.counts["given_up"] == 1
    assert mine.dropped(9 * S, 0) == [] and mine.sizes()["given"] == 0


def test_learned_state_is_adopted_at_once_by_a_home_and_at_opening_by_others() -> None:
    """Adopting before the rows arrive would lose it, and a repeated frame must not be adopted twice."""
    frame = learned(1, True, healths=(health(ago_us=7),), waits=(("e", 3 * S),))
    home = handoff()
    assert home.heard(0, "a", frame, True) == [SendTo("a", LearnedStateAck(0, 1)),
                                               Adopt(0, (health(ago_us=7),), (("e", 3 * S),)), HandedOver(0)]
    assert home.heard(1, "a", frame, True) == [SendTo("a", LearnedStateAck(0, 1))]  # the acknowledgement was lost
    later = handoff()
    assert later.heard(0, "a", frame, False) == [SendTo("a", LearnedStateAck(0, 1))]
    assert later.opening(2 * S, 0) == [Adopt(0, (health(ago_us=2 * S + 7),), (("e", S),)), HandedOver(0)]
    assert later.opening(3 * S, 0) == []
    pushed = handoff()
    pushed.heard(0, "a", learned(1, False, healths=(health(),)), False)
    assert pushed.opening(S, 0) == [Adopt(0, (health(ago_us=S),), ())]  # a push is not a handover


def test_the_later_observation_wins_and_a_handover_wins_a_tie() -> None:
    """Pushes of several couriers may arrive in any order."""
    mine = handoff()
    mine.heard(10 * S, "a", learned(1, False, healths=(health("e", 0, base=1.0), health("f", 5 * S, base=1.0))), False)
    mine.heard(12 * S, "c", learned(9, False, healths=(health("e", 3 * S, base=2.0), health("f", S, base=2.0))), False)
    mine.heard(12 * S, "a", learned(2, True, healths=(health("e", 2 * S, base=3.0),)), False)
    [adopt, _] = mine.opening(12 * S, 0)
    assert isinstance(adopt, Adopt)
    assert {each.endpoint: each.fields[2] for each in adopt.healths} == {"e": 3.0, "f": 2.0}
    mine.heard(30 * S, "a", learned(3, True), False)
    assert HandedOver(0) not in mine.opening(41 * S, 0)  # an old handover does not count


def test_a_push_holds_what_changed_since_the_last_acknowledged_one() -> None:
    """After a lost push or link the next one must be complete."""
    mine = handoff("a")

    def push(now_us: int, to: str = "b", *, heard: bool = True, **given: Any) -> list[Any]:
        acts = mine.push(now_us, 0, to, given.get("healths", ()), given.get("waits", ()), given.get("keys", ()))
        for frame in sent(acts, LearnedState):
            if heard:
                mine.heard(now_us, to, LearnedStateAck(0, frame.number), False)
        return [act.frame for act in acts if isinstance(act, SendTo)]
    first = [health("e"), health("f")]
    assert push(0) == []
    assert push(0, healths=first)[0].healths == tuple(first)
    assert push(5 * S, healths=[health("e", carried=2.2), health("f")]) == []  # noise
    assert push(10 * S, healths=[health("e", carried=3.0), health("f")])[0].healths == (health("e", carried=3.0),)
    assert push(15 * S, healths=first[:1], waits=[("e", 9 * S)], heard=False)[0].waits == (("e", 9 * S),)
    assert len(push(16 * S, healths=first, waits=[("e", 8 * S)])[0].healths) == 2  # not acknowledged
    assert push(17 * S, healths=first, waits=[("e", 7 * S)]) == []
    assert len(push(18 * S, "c", healths=first)[0].healths) == 2
    mine.lost("c")
    assert len(push(19 * S, "c", healths=first)[0].healths) == 2
    assert push(20 * S, "c", healths=first, keys=[owed("k"), owed("l")])[0].keys == (owed("k"), owed("l"))
    assert push(25 * S, "c", healths=first, keys=[owed("k", 55 * S), owed("l", 90 * S)])[0].keys == (owed("l", 90 * S),)
    assert push(30 * S, "c", healths=first, keys=[owed("k", 50 * S)]) == [KeysReleased(0, ((HERE, "x", "l"),))]


@pytest.mark.parametrize(("new", "told", "news"), [
    ((True, 1.0), (False, 1.0), True), ((True, 1.0), (True, 1.125), False), ((True, 1.0), (True, 1.2), True),
    ((True, 0.0), (True, 0.001), True), ((True, 0), (True, 0.0), False), ((True, 1.0), (), True)])
def test_differs_ignores_small_changes_of_numbers(new: tuple[float, ...], told: tuple[float, ...], news: bool) -> None:
    """Noise would be sent in every push."""
    assert differs(new, told) is news


@pytest.mark.parametrize(("frame", "why"), [
    (LearnedState(SHARDS, 1, True), "shard out of range"), (LearnedState(-1, 1, True), "shard out of range"),
    (learned(0), "number out of range"), (learned(4), "old number"),
    (learned(9, healths=(health(ago_us=-1),)), "invalid age"),
    (learned(9, healths=(health(ago_us=MAX_US + 1),)), "invalid age"),
    (learned(9, healths=(health(""),)), "invalid endpoint"),
    (learned(9, healths=(EndpointHealth("e", 0, FIELDS[:-1]),)), "wrong number of health fields"),
    (learned(9, healths=(EndpointHealth("e", 0, (1.0, *FIELDS[1:])),)), "health flag is not a bool"),
    *((learned(9, healths=(health(), EndpointHealth("f", 0, (*FIELDS[:2], value, *FIELDS[3:])))),
       "invalid health field") for value in (float("nan"), float("inf"), -1.0, 1e300, True)),
    (learned(9, waits=(("e", 0),)), "invalid wait"),
    (learned(9, waits=(("e", 1 << 62),)), "invalid wait"),
    (learned(9, keys=(owed(left_us=-5),)), "invalid key lifetime"),
    (learned(9, keys=(owed(destination=next(each for each in range(99) if shard_of(each, SHARDS))),)),
     "key of another shard"),
    (learned(9, keys=(OwedKey(-1, "x", "k", 5),)), "key of another shard"),
    (learned(9, keys=(owed("k" * 513),)), "key too long"),
    (learned(9, waits=(("e", 1),) * 70_000), "too many rows"),
    (KeysReleased(SHARDS, ()), "shard out of range"), (KeysReleased(0, ((-2, "x", "k"),)), "key of another shard"),
    (Current(1), "unexpected frame")])
def test_an_invalid_frame_is_refused_counted_and_changes_nothing(frame: Any, why: str) -> None:
    """A part of an invalid frame that was adopted could misdirect traffic."""
    mine = handoff()
    mine.heard(0, "a", learned(5, healths=(health("old"),), keys=(owed("old"),)), False)
    assert mine.heard(S, "a", frame, True) == [] and mine.refused == {why: 1}
    assert rests(mine, S, "old") == 59 * S and mine.sizes()["rests"] == 1
    assert mine.opening(S, 0) == [Adopt(0, (health("old", S),), ()), HandedOver(0)]


def test_a_frame_from_itself_is_refused_and_every_frame_it_sends_is_valid() -> None:
    """Values that a receiver refuses must be left out before sending."""
    mine, other = handoff("a", boot=3), handoff("b")
    [act] = mine.hand_over(0, 0, "b", [health(rate=float("inf")), health("f", 1 << 61)], [("e", 1 << 61), ("f", -1)],
                           [owed("k", 1 << 61), owed("long" * 200), owed("gone", 0)])
    frame = msgspec.msgpack.decode(msgspec.msgpack.encode(Batch((act.frame,))), type=Batch).frames[0]
    assert mine.heard(0, "a", frame, True) == [] and mine.refused == {"sent by this courier": 1}
    assert len(other.heard(0, "a", frame, True)) == 3 and not other.refused
    assert frame.number > 3 << 32 and [each.endpoint for each in frame.healths] == ["f"]
    assert rests(other, 0) == MAX_US and rests(other, S, "any") == 59 * S  # whole destination: a key is too long


def test_stored_state_is_limited_by_shards_and_bytes_and_drops_the_oldest() -> None:
    """Guards against memory that grows with what other couriers send."""
    mine = handoff(max_kept=2)
    for number, shard in enumerate((0, 1, 0, 2), 1):
        mine.heard(number, "a", LearnedState(shard, number, False, (health(),)), False)
    assert [bool(mine.opening(9, shard)) for shard in range(3)] == [True, False, True]
    small = handoff(max_bytes=2_000)
    for shard in range(3):
        small.heard(0, "a", LearnedState(shard, 1, False, (health("e"), health("f"))), False)
    assert 0 < small.sizes()["kept_bytes"] <= 2_000 and not small.opening(1, 0) and small.opening(1, 2)
    small.heard(0, "c", LearnedState(1, 1, False, tuple(health(f"e{number}") for number in range(99))), False)
    assert small.sizes()["kept"] == small.sizes()["kept_bytes"] == 0


def test_becoming_home_again_cancels_the_handover() -> None:
    """A repeated handover would make the other courier believe that this one has left."""
    mine = handoff("a")
    mine.hand_over(0, 0, "b", [], [], [owed()])
    mine.opening(1, 0)
    assert mine.next_us() == NEVER_US and mine.release_keys(2, 0, [(HERE, "x", "k")]) == []


def test_frame_numbers_from_present_boot_numbers_are_accepted() -> None:
    """Boot numbers are Unix seconds: with a limit of 62 bits every real courier's learned state was refused."""
    for boot in (1_796_189_169, (1 << 31) - 1):
        mine, other = handoff("a", boot=boot), handoff("b", boot=boot)
        [act] = mine.hand_over(0, 0, "b", [], [], [])
        assert isinstance(act, SendTo)
        assert HandedOver(0) in other.heard(0, "a", act.frame, HERE) and not other.refused
