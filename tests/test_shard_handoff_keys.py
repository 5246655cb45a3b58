"""Ordered keys owed by a former home: announced, released, announced by destination or shard beyond a limit, and passed
on to the next home."""

from __future__ import annotations

from handoffs import DESTINATIONS, HERE, S, handoff, health, learned, owed, rests, sent

from wheelstep.shards.handoff import SendTo
from wheelstep.shards.learned_state import MAX_KEYS, WHOLE_SHARD
from wheelstep.shards.types import KeysReleased, LearnedState


def test_keys_count_as_owed_until_released_or_expired() -> None:
    """A key released too early could be taken by two couriers at once."""
    mine, new = handoff("a"), handoff("b")
    [act] = mine.hand_over(0, 0, "b", [], [], [owed("k"), owed("l", 5 * S)])
    new.heard(0, "a", act.frame, True)
    assert (rests(new, 0), rests(new, 5 * S - 1, "l"), rests(new, 5 * S, "l"), rests(new, 0, "m")) == (60 * S, 1, 0, 0)
    new.heard(1, "c", KeysReleased(0, ((HERE, "x", "k"),)), True)
    assert rests(new, S) == 59 * S  # a courier that does not owe the key cannot release it
    [over] = mine.release_keys(S, 0, [(HERE, "x", "k"), (HERE, "x", "other")])
    assert (over == SendTo("b", KeysReleased(0, ((HERE, "x", "k"),)))
            and mine.release_keys(S, 0, [(HERE, "x", "k")]) == [])
    new.heard(S, "a", over.frame, True)
    assert rests(new, S) == 0
    assert sent(mine.tick(S), LearnedState)[0].keys == (owed("l", 4 * S),)  # the handover was not acknowledged
    new.heard(2 * S, "a", learned(7, True, keys=(owed("m"),)), True)
    assert rests(new, 2 * S, "l") == 0 and rests(new, 2 * S, "m") > 0  # a newer handover replaces all keys
    assert sent(mine.dropped(2 * S, 0), KeysReleased)[0].keys == ((HERE, "x", "l"),)


def test_messages_taken_after_the_handover_extend_a_keys_time() -> None:
    """Without it the new home would take the key while the former one still owes it."""
    mine = handoff("a")
    mine.hand_over(0, 0, "b", [health()], [], [owed("k", 5 * S)])
    assert mine.add_owed_keys(S, 0, [owed("k", 4 * S)]) == []
    [more] = sent(mine.add_owed_keys(S, 0, [owed("k", 20 * S)]), LearnedState)
    assert more.number == 2 and more.handover and more.keys[0].left_us >= 20 * S and len(more.healths) == 1
    assert mine.add_owed_keys(S, 0, [owed("k", 20 * S + 1)]) == [] and mine.add_owed_keys(S, 1, [owed()]) == []


def test_a_handover_includes_keys_owed_by_earlier_homes() -> None:
    """Otherwise the third home would know nothing of keys that the first one owes."""
    second, third = handoff("b"), handoff("c")
    second.heard(0, "a", learned(1, True, keys=(owed("k"), owed("both"))), True)
    [act] = second.hand_over(S, 0, "c", [], [], [owed("own"), owed("both")])
    third.heard(S, "b", act.frame, True)
    assert all(rests(third, S, key) > 0 for key in ("k", "own", "both"))
    for frame in sent(second.heard(2 * S, "a", KeysReleased(0, ((HERE, "x", "k"), (HERE, "x", "both"))), False),
                      KeysReleased):
        third.heard(2 * S, "b", frame, True)
    assert rests(third, 2 * S) == 0 and rests(third, 2 * S, "both") > 0
    for frame in sent(second.release_keys(3 * S, 0, [(HERE, "x", "both")]), KeysReleased):
        third.heard(3 * S, "b", frame, True)
    assert rests(third, 3 * S, "both") == 0 and rests(third, 3 * S, "own") > 0


def test_keys_beyond_a_frame_are_announced_by_destination_and_released_with_the_last() -> None:
    """Guards against keys that are left out and taken twice."""
    mine, new = handoff("a"), handoff("b")
    many = [owed(f"k{number}", (10 + number) * S) for number in range(MAX_KEYS + 1)]
    other = owed("o", S, DESTINATIONS[1])
    [act] = mine.hand_over(0, 0, "b", [], [], [*many, other])
    assert len(act.frame.keys) == 2
    new.heard(0, "a", act.frame, True)
    assert rests(new, 0, "any") == (10 + MAX_KEYS) * S and rests(new, 0, "p", DESTINATIONS[1]) == 0
    names = [(key.destination, key.message_class, key.key) for key in many]
    assert mine.release_keys(1, 0, names[1:]) == []
    [over] = mine.release_keys(2, 0, names[:1])
    new.heard(2, "a", over.frame, True)
    assert rests(new, 2, "any") == 0 and rests(new, 2, "o", DESTINATIONS[1]) > 0


def test_keys_beyond_the_limit_make_the_whole_shard_owed_and_are_handed_on_so() -> None:
    """Guards against keys that are forgotten for lack of room and taken twice."""
    mine, third = handoff(max_keys=2), handoff("c")
    mine.heard(0, "a", learned(1, True, keys=(owed("k", S), owed("l", S), owed("m", 9 * S))), True)
    assert mine.sizes()["rests"] == 2 and rests(mine, 0, "any", DESTINATIONS[1]) == 9 * S
    [act] = mine.hand_over(0, 0, "c", [], [], [])
    assert WHOLE_SHARD in {(key.destination, key.message_class, key.key) for key in act.frame.keys}
    third.heard(0, "b", act.frame, True)
    assert rests(third, S, "any", DESTINATIONS[1]) == 8 * S and rests(third, 9 * S, "any", DESTINATIONS[1]) == 0
    mine.heard(2 * S, "d", learned(1, True, keys=(owed("n", S), owed("o", S))), True)  # the first ones have expired
    assert mine.sizes()["rests"] == 2 and rests(mine, 9 * S, "any") == 0
