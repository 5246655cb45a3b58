"""Cases of channels that the reference model does not cover: permission to send, bounds, reloads, ends that were cut
off."""

from __future__ import annotations

import json

import pytest
from test_channel_book import CONTRACTS, World

from wheelstep.channels.book import Accept, ChannelTable, Duplicate, End, Reject
from wheelstep.channels.contracts import part_of, read_contracts
from wheelstep.channels.position import MAX_HELD, MAX_NUMBER


def test_may_send_follows_order_repeat_and_unclear_of_the_contract() -> None:
    world = World()
    table = world.table
    for name in ("strict", "fail", "window", "skips"):
        for number in (1, 2, 3):
            world.hand_in(name, f"{name}{number}", number)
    assert world.release() == ["strict1", "fail1", "window1", "window2", "window3", "skips1", "skips2"]
    assert table.may_send(0, "strict1") and not table.may_send(0, "strict2") and not table.may_send(0, "nobody")
    assert table.may_repeat("strict1") and not table.may_repeat("fail1")
    for message in ("strict1", "fail1", "window2", "skips1"):
        world.attempt_unclear(message)
    assert table.may_send(0, "strict1"), "the contract allows a repetition"
    assert not table.may_send(0, "fail1"), "it may have run, and the contract says once"
    assert [table.may_send(0, f"window{number}") for number in (1, 2, 3)] == [True, True, False]
    assert table.may_send(0, "skips2"), "unclear is go"
    world.end("window2", "failed", True)
    assert table.may_send(0, "window3") and table.expire(0, "window3") is None, "in flight: the decision module ends it"
    for number in (1, 2, 3):
        world.hand_in("rests", f"rests{number}", number)
    assert world.release() == ["rests1", "rests2"]
    world.attempt_unclear("rests1")
    assert [table.may_send(59, f"rests{number}") for number in (1, 2)] == [True, False]
    assert table.may_send(60, "rests2")


def test_rest_starts_again_after_a_restart() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("skip", f"m{number}")
    assert world.release(0) == ["m1"]
    world.end("m1", "failed", True)
    assert world.release(79) == [] and world.table.next_ms() == 80
    table = world.restored()[0]
    assert table.release(100) == [] and table.next_ms() == 79 + 80
    assert world.release(80) == ["m2"]


def test_refused_client_number_blocks_until_it_is_handed_in_again() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("strict", f"m{number}", number)
    assert world.release() == ["m1"]
    world.end("m1", "refused")
    assert world.release(10**6) == [] and world.table.position("strict/7/k").next == 3  # type: ignore[union-attr]
    assert world.hand_in("strict", "free") == Accept(3, 4), "an assigned number fills no gap of a client"
    assert world.hand_in("strict", "other", 1) == Accept(1, 4)
    assert world.release() == ["other"]
    world.end("other", "failed")
    assert world.release() == ["m2"], "a failed message blocks nothing"


def test_refused_assigned_number_leaves_no_gap() -> None:
    world = World()
    for message in ("a", "b"):
        world.hand_in("strict", message)
    assert world.release() == ["a"]
    world.end("a", "refused")
    assert world.release() == ["b"] and world.hand_in("strict", "a") == Accept(3, 4)
    table, _, ends = world.restored()
    assert ends == [] and table.place_of("a") == ("strict/7/k", 3), "handed in again under another number"


def test_refused_number_has_ended_with_gap_fail() -> None:
    world = World()
    world.hand_in("fail", "m1", 1)
    assert world.offer("fail", "m3", 3) == Reject("beyond", 2, 0) and world.release() == ["m1"]
    world.end("m1", "refused")
    assert world.offer("fail", "m1", 1) == Duplicate(1, 2, "refused") and world.hand_in("fail", "m2", 2) == Accept(2, 3)
    assert world.release() == ["m2"]


def test_each_gap_is_waited_for_separately() -> None:
    world = World()
    world.hand_in("none", "m5", 5)
    assert world.release(0) == ["m5"] and world.release(50) == []
    world.hand_in("none", "m1", 1)
    for now, following in ((50, 2), (60, 2), (109, 2), (110, 6)):
        world.release(now)
        assert world.table.position("none/7/k").next == following  # type: ignore[union-attr]


def test_replaced_message_fails_if_it_may_have_run_else_is_refused() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("latest", f"m{number}", number)
        world.release()
    world.attempt_unclear("m1")
    world.table = world.restored()[0]
    assert world.release(40) == [("m1", "failed"), "m2"], "it may have run"
    assert world.offer("latest", "m1", 1) == Duplicate(1, 3, "failed")
    assert world.offer("latest", "m3", 3) == Accept(3, 4)  # not confirmed yet
    assert world.hand_in("latest", "m4", 4) == Accept(4, 5)
    world.end("m2")
    assert world.release() == ["m4"]
    world.end("m4")
    world.table = world.restored()[0]
    assert world.release() == [("m3", "refused")], "an earlier process delivered a newer one"


def test_skipped_number_is_rejected_when_it_comes() -> None:
    world = World()
    assert world.hand_in("skip", "m2", 2) == Accept(2, 1)
    assert world.release(0) == [] and world.table.next_ms() == 50
    assert world.release(49) == [] and world.release(50) == ["m2"]
    assert world.offer("skip", "m1", 1) == Reject("skipped", 3, 0)
    again = world.restored()[0]
    contract = CONTRACTS.named("skip")
    assert contract is not None
    assert again.offer(0, contract, "skip/7/k", "m1", 1, None) == Reject("skipped", 3, 0)


def test_repeated_number_gets_its_first_answer_and_unexpected_ones_are_rejected() -> None:
    world = World()
    world.hand_in("strict", "m1", 1, session=4)
    assert world.hand_in("strict", "m1", 1) == Duplicate(1, 2, None) == world.hand_in("strict", "m1")
    assert world.offer("strict", "x", 1) == Reject("other-message", 2, 4)
    assert world.offer("window", "m1", 1) == Reject("other-message", 1, 0), "a message belongs to one channel only"
    world.release()
    world.end("m1")
    assert world.offer("strict", "m1", 1) == Duplicate(1, 2, "delivered")
    assert world.offer("strict", "x", 1) == Reject("other-message", 2, 4)
    for wanted in (0, -1, 7, MAX_NUMBER, MAX_NUMBER + 1, 10**30):
        assert world.offer("strict", "x", wanted) == Reject("beyond", 2, 4)
    assert world.offer("strict", "x", 2, session=3) == Reject("old-session", 2, 4)
    assert world.hand_in("strict", "m2", 2, session=5) == Accept(2, 3)
    for number in range(3, 90):
        world.hand_in("strict", f"m{number}", number)
        world.release()
        world.end(f"m{number - 1}")
    assert world.offer("strict", "m1", 1) == Reject("beyond", 90, 5), "not recorded any more; it would run twice"


def test_take_without_offer_raises_key_error() -> None:
    world = World()
    with pytest.raises(KeyError, match="was not offered"):
        world.table.take(0, "strict/7/k", "m", 1)


def test_messages_and_channels_are_bounded_and_idle_channels_forgotten() -> None:
    world, hour = World(), 3_600_000
    for number in range(MAX_HELD):
        assert isinstance(world.hand_in("none", f"m{number}"), Accept)
    assert world.offer("none", "more") == Reject("full", MAX_HELD + 1, 0)
    for number in range(99):
        world.hand_in("strict", f"k{number}", key=str(number))
    assert world.offer("strict", "one", key="more") == Reject("full", 1, 0)
    world.release(0)
    world.end("k5")
    world.release(hour - 1)
    world.end("k6")
    assert len(world.table) == 100
    world.release(hour)
    assert len(world.table) == 99 and world.log[-1] == ("mark", ":cstrict/7/5", "null"), "an empty channel is forgotten"
    world.release(2 * hour - 2)
    assert len(world.table) == 99
    world.release(2 * hour - 1)
    assert len(world.table) == 98 and world.log[-1] == ("mark", ":cstrict/7/6", "null")
    assert world.hand_in("strict", "one", key="more") == Accept(1, 2)


def test_timers_stay_few_under_many_gaps_and_rests() -> None:
    world = World()
    for number in range(500):
        world.hand_in("skip", f"m{number}", 2 * number + 2)
        world.release(world.now + 80)
        assert world.release(world.now + 50) == [f"m{number}"]
        world.end(f"m{number}", "failed", True)
    assert world.table.position("skip/7/k").next == 1001  # type: ignore[union-attr]
    assert len(world.table._timers) + len(world.table._expiries) < 6
    for number in range(100):
        world.hand_in("skip", f"n{number}")
    assert len(world.table._timers) + len(world.table._expiries) < 6, "one timer for a whole rest"


def test_recreated_channel_is_kept_for_its_own_full_time() -> None:
    world = World()
    world.hand_in("strict", "a")
    world.release()
    world.end("a")
    world.table.drop(part_of("strict/7/k", 8))
    world.now = 1000
    world.hand_in("strict", "b")
    world.release()
    world.end("b")
    world.release(3_600_000)
    assert len(world.table) == 1 and world.release(3_601_000) == [] and len(world.table) == 0


def test_invalid_mark_is_reported_and_left_unchanged() -> None:
    table = World().table
    assert table.restore(0, {":cstrict/7/k": [9], ":out e1": 1, "e1": [1, 2]}, {}) == []
    assert table.unreadable == ["channel 'strict/7/k': position of format version 9; expected 1"]
    assert table.changed_marks() == [] and len(table) == 0


def test_channel_with_messages_keeps_its_terms_over_reload_and_restart() -> None:
    world = World()
    world.hand_in("window", "a")
    world.hand_in("window", "b")
    new = read_contracts([{"name": "strict", "order": "none"}])
    world.table.contracts = new
    assert world.release() == ["a", "b"]
    table = ChannelTable(new, 8, 100, 0)
    marks = {record[1]: json.loads(record[2]) for record in world.log if record[0] == "mark"}
    assert table.restore(0, marks, {"a": False, "b": False}) == []
    position = table.position("window/7/k")
    assert position is not None and position.terms.open == 3 and len(table.release(0)) == 2
    fresh = new.named("strict")
    world.hand_in("strict", "c")
    assert fresh is not None
    for order in ("strict", "none"):
        world.table.offer(0, fresh, "strict/7/k", "d", None, None)
        assert world.table.position("strict/7/k").terms.order == order  # type: ignore[union-attr]
        world.end("c")


def test_restore_reports_an_end_that_the_journal_lost() -> None:
    world = World()
    for message in ("a", "b"):
        world.hand_in("strict", message, 1 if message == "a" else 2)
    world.release()
    world.end("a", "refused")
    world.release()
    assert world.log[-1] == ("over", "a")
    table, owed, ends = world.restored(len(world.log) - 1)
    assert owed.keys() == {"a", "b"} and ends == [End("a", "refused")] and table.holds("b") and not table.holds("a")
