"""Ordered keys that a former home still owes: told, over, told by destination or shard beyond a bound, handed on."""

from __future__ import annotations

from handoffs import DESTINATIONS, HERE, S, handoff, health, learned, owed, rests, sent

from wheelstep.shards.handoff import SendTo
from wheelstep.shards.learned import ALL, MOST_KEYS
from wheelstep.shards.types import KeysOver, Learned


def test_keys_rest_until_they_are_over_or_their_time() -> None:
    mine, new = handoff("a"), handoff("b")
    [act] = mine.gave(0, 0, "b", [], [], [owed("k"), owed("l", 5 * S)])
    new.heard(0, "a", act.frame, True)
    assert (rests(new, 0), rests(new, 5 * S - 1, "l"), rests(new, 5 * S, "l"), rests(new, 0, "m")) == (60 * S, 1, 0, 0)
    new.heard(1, "c", KeysOver(0, ((HERE, "x", "k"),)), True)
    assert rests(new, S) == 59 * S  # who does not owe it can't end it
    [over] = mine.keys_over(S, 0, [(HERE, "x", "k"), (HERE, "x", "other")])
    assert over == SendTo("b", KeysOver(0, ((HERE, "x", "k"),))) and mine.keys_over(S, 0, [(HERE, "x", "k")]) == []
    new.heard(S, "a", over.frame, True)
    assert rests(new, S) == 0
    assert sent(mine.tick(S), Learned)[0].keys == (owed("l", 4 * S),)  # the handover was not heard of
    new.heard(2 * S, "a", learned(7, True, keys=(owed("m"),)), True)
    assert rests(new, 2 * S, "l") == 0 and rests(new, 2 * S, "m") > 0  # a newer handover names all
    assert sent(mine.dropped(2 * S, 0), KeysOver)[0].keys == ((HERE, "x", "l"),)


def test_a_key_of_which_more_is_taken_after_the_handover_rests_for_longer() -> None:
    mine = handoff("a")
    mine.gave(0, 0, "b", [health()], [], [owed("k", 5 * S)])
    assert mine.owes_more(S, 0, [owed("k", 4 * S)]) == []
    [more] = sent(mine.owes_more(S, 0, [owed("k", 20 * S)]), Learned)
    assert more.number == 2 and more.handover and more.keys[0].left_us >= 20 * S and len(more.healths) == 1
    assert mine.owes_more(S, 0, [owed("k", 20 * S + 1)]) == [] and mine.owes_more(S, 1, [owed()]) == []


def test_a_shard_handed_on_tells_what_homes_before_still_owe() -> None:
    second, third = handoff("b"), handoff("c")
    second.heard(0, "a", learned(1, True, keys=(owed("k"), owed("both"))), True)
    [act] = second.gave(S, 0, "c", [], [], [owed("own"), owed("both")])
    third.heard(S, "b", act.frame, True)
    assert all(rests(third, S, key) > 0 for key in ("k", "own", "both"))
    for frame in sent(second.heard(2 * S, "a", KeysOver(0, ((HERE, "x", "k"), (HERE, "x", "both"))), False), KeysOver):
        third.heard(2 * S, "b", frame, True)
    assert rests(third, 2 * S) == 0 and rests(third, 2 * S, "both") > 0
    for frame in sent(second.keys_over(3 * S, 0, [(HERE, "x", "both")]), KeysOver):
        third.heard(3 * S, "b", frame, True)
    assert rests(third, 3 * S, "both") == 0 and rests(third, 3 * S, "own") > 0


def test_keys_beyond_a_frame_are_told_by_destination_and_end_with_its_last() -> None:
    mine, new = handoff("a"), handoff("b")
    many = [owed(f"k{number}", (10 + number) * S) for number in range(MOST_KEYS + 1)]
    other = owed("o", S, DESTINATIONS[1])
    [act] = mine.gave(0, 0, "b", [], [], [*many, other])
    assert len(act.frame.keys) == 2
    new.heard(0, "a", act.frame, True)
    assert rests(new, 0, "any") == (10 + MOST_KEYS) * S and rests(new, 0, "p", DESTINATIONS[1]) == 0
    names = [(key.destination, key.message_class, key.key) for key in many]
    assert mine.keys_over(1, 0, names[1:]) == []
    [over] = mine.keys_over(2, 0, names[:1])
    new.heard(2, "a", over.frame, True)
    assert rests(new, 2, "any") == 0 and rests(new, 2, "o", DESTINATIONS[1]) > 0


def test_keys_beyond_the_bound_make_their_whole_shard_rest_and_so_it_is_handed_on() -> None:
    mine, third = handoff(most_keys=2), handoff("c")
    mine.heard(0, "a", learned(1, True, keys=(owed("k", S), owed("l", S), owed("m", 9 * S))), True)
    assert mine.sizes()["rests"] == 2 and rests(mine, 0, "any", DESTINATIONS[1]) == 9 * S
    [act] = mine.gave(0, 0, "c", [], [], [])
    assert ALL in {(key.destination, key.message_class, key.key) for key in act.frame.keys}
    third.heard(0, "b", act.frame, True)
    assert rests(third, S, "any", DESTINATIONS[1]) == 8 * S and rests(third, 9 * S, "any", DESTINATIONS[1]) == 0
    mine.heard(2 * S, "d", learned(1, True, keys=(owed("n", S), owed("o", S))), True)  # the first have ended
    assert mine.sizes()["rests"] == 2 and rests(mine, 9 * S, "any") == 0
