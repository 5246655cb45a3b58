"""Cases of channels that a plain model doesn't show: what may be sent, bounds, reloads, ends that were cut off."""

from __future__ import annotations

import json

import pytest
from test_channel_book import CONTRACTS, World

from wheelstep.channels.book import Again, Book, End, Refuse, Take
from wheelstep.channels.contracts import part_of, read
from wheelstep.channels.position import MAX_HELD, MAX_NUMBER


def test_what_may_be_sent() -> None:
    world = World()
    book = world.book
    for name in ("strict", "fail", "window", "skips"):
        for number in (1, 2, 3):
            world.hand_in(name, f"{name}{number}", number)
    assert world.release() == ["strict1", "fail1", "window1", "window2", "window3", "skips1", "skips2"]
    assert book.may_send(0, "strict1") and not book.may_send(0, "strict2") and not book.may_send(0, "nobody")
    assert book.may_repeat("strict1") and not book.may_repeat("fail1")
    for message in ("strict1", "fail1", "window2", "skips1"):
        world.doubt(message)
    assert book.may_send(0, "strict1"), "it may be repeated"
    assert not book.may_send(0, "fail1"), "it may have run, and its contract says once"
    assert [book.may_send(0, f"window{number}") for number in (1, 2, 3)] == [True, True, False]
    assert book.may_send(0, "skips2"), "unclear: go"
    world.end("window2", "failed", True)
    assert book.may_send(0, "window3") and book.expired(0, "window3") is None, "the decision module ends what is out"
    for number in (1, 2, 3):
        world.hand_in("rests", f"rests{number}", number)
    assert world.release() == ["rests1", "rests2"]
    world.doubt("rests1")
    assert [book.may_send(59, f"rests{number}") for number in (1, 2)] == [True, False]
    assert book.may_send(60, "rests2")


def test_a_rest_is_waited_for_also_by_another_process() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("skip", f"m{number}")
    assert world.release(0) == ["m1"]
    world.end("m1", "failed", True)
    assert world.release(79) == [] and world.book.next_ms() == 80
    book = world.restored()[0]
    assert book.release(100) == [] and book.next_ms() == 79 + 80
    assert world.release(80) == ["m2"]


def test_a_number_handed_back_is_a_gap_until_it_comes_again() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("strict", f"m{number}", number)
    assert world.release() == ["m1"]
    world.end("m1", "refused")
    assert world.release(10**6) == [] and world.book.position("strict/7/k").next == 3  # type: ignore[union-attr]
    assert world.hand_in("strict", "free") == Take(3, 4), "the courier's numbers fill no gap of a client's"
    assert world.hand_in("strict", "other", 1) == Take(1, 4)
    assert world.release() == ["other"]
    world.end("other", "failed")
    assert world.release() == ["m2"], "what has failed holds nothing up"


def test_a_number_that_the_courier_gave_leaves_no_gap() -> None:
    world = World()
    for message in ("a", "b"):
        world.hand_in("strict", message)
    assert world.release() == ["a"]
    world.end("a", "refused")
    assert world.release() == ["b"] and world.hand_in("strict", "a") == Take(3, 4)
    book, _, ends = world.restored()
    assert ends == [] and book.place_of("a") == ("strict/7/k", 3), "what ended under one number came again as another"


def test_where_gaps_fail_a_number_handed_back_has_ended() -> None:
    world = World()
    world.hand_in("fail", "m1", 1)
    assert world.offer("fail", "m3", 3) == Refuse("beyond", 2, 0) and world.release() == ["m1"]
    world.end("m1", "refused")
    assert world.offer("fail", "m1", 1) == Again(1, 2, "refused") and world.hand_in("fail", "m2", 2) == Take(2, 3)
    assert world.release() == ["m2"]


def test_each_gap_has_its_own_time() -> None:
    world = World()
    world.hand_in("none", "m5", 5)
    assert world.release(0) == ["m5"] and world.release(50) == []
    world.hand_in("none", "m1", 1)
    for now, following in ((50, 2), (60, 2), (109, 2), (110, 6)):
        world.release(now)
        assert world.book.position("none/7/k").next == following  # type: ignore[union-attr]


def test_what_a_newer_one_replaces_ends_as_it_is_known() -> None:
    world = World()
    for number in (1, 2):
        world.hand_in("latest", f"m{number}", number)
        world.release()
    world.doubt("m1")
    world.book = world.restored()[0]
    assert world.release(40) == [("m1", "failed"), "m2"], "it may have run"
    assert world.offer("latest", "m1", 1) == Again(1, 3, "failed")
    assert world.offer("latest", "m3", 3) == Take(3, 4)  # its client has not heard yet
    assert world.hand_in("latest", "m4", 4) == Take(4, 5)
    world.end("m2")
    assert world.release() == ["m4"]
    world.end("m4")
    world.book = world.restored()[0]
    assert world.release() == [("m3", "refused")], "a newer one was delivered by the process before"


def test_a_skipped_number_never_runs() -> None:
    world = World()
    assert world.hand_in("skip", "m2", 2) == Take(2, 1)
    assert world.release(0) == [] and world.book.next_ms() == 50
    assert world.release(49) == [] and world.release(50) == ["m2"]
    assert world.offer("skip", "m1", 1) == Refuse("skipped", 3, 0)
    again = world.restored()[0]
    contract = CONTRACTS.named("skip")
    assert contract is not None
    assert again.offer(0, contract, "skip/7/k", "m1", 1, None) == Refuse("skipped", 3, 0)


def test_a_number_again_is_answered_as_then() -> None:
    world = World()
    world.hand_in("strict", "m1", 1, session=4)
    assert world.hand_in("strict", "m1", 1) == Again(1, 2, None) == world.hand_in("strict", "m1")
    assert world.offer("strict", "x", 1) == Refuse("other-message", 2, 4)
    assert world.offer("window", "m1", 1) == Refuse("other-message", 1, 0), "one message is in one channel"
    world.release()
    world.end("m1")
    assert world.offer("strict", "m1", 1) == Again(1, 2, "delivered")
    assert world.offer("strict", "x", 1) == Refuse("other-message", 2, 4)
    for wanted in (0, -1, 7, MAX_NUMBER, MAX_NUMBER + 1, 10**30):
        assert world.offer("strict", "x", wanted) == Refuse("beyond", 2, 4)
    assert world.offer("strict", "x", 2, session=3) == Refuse("old-session", 2, 4)
    assert world.hand_in("strict", "m2", 2, session=5) == Take(2, 3)
    for number in range(3, 90):
        world.hand_in("strict", f"m{number}", number)
        world.release()
        world.end(f"m{number - 1}")
    assert world.offer("strict", "m1", 1) == Refuse("beyond", 90, 5), "forgotten: taken again it would run twice"


def test_take_needs_an_offer() -> None:
    world = World()
    with pytest.raises(KeyError, match="was not offered"):
        world.book.take(0, "strict/7/k", "m", 1)


def test_what_is_kept_is_bounded() -> None:
    world, hour = World(), 3_600_000
    for number in range(MAX_HELD):
        assert isinstance(world.hand_in("none", f"m{number}"), Take)
    assert world.offer("none", "more") == Refuse("full", MAX_HELD + 1, 0)
    for number in range(99):
        world.hand_in("strict", f"k{number}", key=str(number))
    assert world.offer("strict", "one", key="more") == Refuse("full", 1, 0)
    world.release(0)
    world.end("k5")
    world.release(hour - 1)
    world.end("k6")
    assert len(world.book) == 100
    world.release(hour)
    assert len(world.book) == 99 and world.log[-1] == ("mark", ":cstrict/7/5", "null"), "forgotten once nothing is held"
    world.release(2 * hour - 2)
    assert len(world.book) == 99
    world.release(2 * hour - 1)
    assert len(world.book) == 98 and world.log[-1] == ("mark", ":cstrict/7/6", "null")
    assert world.hand_in("strict", "one", key="more") == Take(1, 2)


def test_timers_do_not_pile_up() -> None:
    world = World()
    for number in range(500):
        world.hand_in("skip", f"m{number}", 2 * number + 2)
        world.release(world.now + 80)
        assert world.release(world.now + 50) == [f"m{number}"]
        world.end(f"m{number}", "failed", True)
    assert world.book.position("skip/7/k").next == 1001  # type: ignore[union-attr]
    assert len(world.book._timers) + len(world.book._expiries) < 6
    for number in range(100):
        world.hand_in("skip", f"n{number}")
    assert len(world.book._timers) + len(world.book._expiries) < 6, "one timer for all of a rest"


def test_a_channel_that_came_again_is_not_forgotten_by_the_clock_of_the_one_before() -> None:
    world = World()
    world.hand_in("strict", "a")
    world.release()
    world.end("a")
    world.book.drop(part_of("strict/7/k", 8))
    world.now = 1000
    world.hand_in("strict", "b")
    world.release()
    world.end("b")
    world.release(3_600_000)
    assert len(world.book) == 1 and world.release(3_601_000) == [] and len(world.book) == 0


def test_a_mark_that_is_no_position_is_told_and_left() -> None:
    book = World().book
    assert book.restore(0, {":cstrict/7/k": [9], ":out e1": 1, "e1": [1, 2]}, {}) == []
    assert book.unreadable == ["channel 'strict/7/k': position of format version 9; expected 1"]
    assert book.changes() == [] and len(book) == 0


def test_terms_stay_with_what_is_held_over_reload_and_restart() -> None:
    world = World()
    world.hand_in("window", "a")
    world.hand_in("window", "b")
    new = read([{"name": "strict", "order": "none"}])
    world.book.contracts = new
    assert world.release() == ["a", "b"]
    book = Book(new, 8, 100, 0)
    marks = {record[1]: json.loads(record[2]) for record in world.log if record[0] == "mark"}
    assert book.restore(0, marks, {"a": False, "b": False}) == []
    position = book.position("window/7/k")
    assert position is not None and position.terms.open == 3 and len(book.release(0)) == 2
    fresh = new.named("strict")
    world.hand_in("strict", "c")
    assert fresh is not None
    for order in ("strict", "none"):
        world.book.offer(0, fresh, "strict/7/k", "d", None, None)
        assert world.book.position("strict/7/k").terms.order == order  # type: ignore[union-attr]
        world.end("c")


def test_an_end_that_was_cut_off_is_told_at_the_restore() -> None:
    world = World()
    for message in ("a", "b"):
        world.hand_in("strict", message, 1 if message == "a" else 2)
    world.release()
    world.end("a", "refused")
    world.release()
    assert world.log[-1] == ("over", "a")
    book, owed, ends = world.restored(len(world.log) - 1)
    assert owed.keys() == {"a", "b"} and ends == [End("a", "refused")] and book.holds("b") and not book.holds("a")
