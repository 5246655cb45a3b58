"""Cases of channels that a plain model doesn't show: what may be sent, bounds, moves, what a dead courier had."""

from __future__ import annotations

import json

import pytest
from test_channel_book import CONTRACTS, World

from wheelstep.channels.book import Again, Book, End, PositionError, Refuse, Take
from wheelstep.channels.contracts import part_of, read
from wheelstep.channels.position import MOST, MOST_HELD


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
    assert book.may_send(0, "window3")


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
    for wanted in (0, -1, 7, MOST, MOST + 1, 10**30):
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
    for number in range(MOST_HELD):
        assert isinstance(world.hand_in("none", f"m{number}"), Take)
    assert world.offer("none", "more") == Refuse("full", MOST_HELD + 1, 0)
    for number in range(99):
        world.hand_in("strict", f"k{number}", key=str(number))
    assert world.offer("strict", "one", key="more") == Refuse("full", 1, 0)
    world.release(0)
    world.end("k5")
    world.release(hour - 1)
    assert len(world.book) == 100
    world.release(hour)
    assert len(world.book) == 99 and world.log[-1] == ("mark", ":cstrict/7/5", "null"), "forgotten once nothing is held"
    assert world.hand_in("strict", "one", key="more") == Take(1, 2)


def test_timers_do_not_pile_up() -> None:
    world = World()
    for number in range(500):
        world.hand_in("skip", f"m{number}", 2 * number + 2)
        world.release(world.now + 80)
        assert world.release(world.now + 50) == [f"m{number}"]
        world.end(f"m{number}", "failed", True)
    assert world.book.position("skip/7/k").next == 1001  # type: ignore[union-attr]
    assert len(world.book._timers) + len(world.book._keeps) < 6


def moved(world: World, channel: str) -> tuple[Book, bytes]:
    book, data = Book(CONTRACTS, 8, 100, 0), world.book.export(channel)
    book.adopt(0, channel, data, None)
    return book, data


def test_a_channel_moves_whole() -> None:
    world = World()
    for number in (1, 2, 4):
        world.hand_in("skip", f"m{number}", number, session=3)
    world.release()
    world.end("m1", "failed", True)
    book, data = moved(world, "skip/7/k")
    assert book.export("skip/7/k") == data and book.changes()[0][0] == ":cskip/7/k"
    assert book.release(0) == []
    book.adopt(70, "skip/7/k", data, None)
    assert [one.message for one in book.release(80)] == ["m2"], "the same again does nothing"
    part = part_of("skip/7/k", 8)
    assert book.channels(part) == ["skip/7/k"]
    book.shut(part)
    book.ended(300, "m2", "delivered", False)
    assert book.release(400) == []
    book.open(part)
    assert book.release(400) == [] and [one.message for one in book.release(450)] == ["m4"]
    with pytest.raises(PositionError, match="an older position, revision .* with next 3; expected one after"):
        book.adopt(0, "skip/7/k", data, None)
    book.changes()
    book.drop(part)
    assert book.changes() == [(":cskip/7/k", None)] and not book.holds("m4") and len(book) == 0


@pytest.mark.parametrize("data", [b"", b"{", b"[2]", b"[1,-1]", b"null", b"[" * 5000])
def test_a_position_that_is_none_is_not_adopted(data: bytes) -> None:
    book = World().book
    with pytest.raises(PositionError) as caught:
        book.adopt(0, "strict/7/k", data, None)
    assert "\n" not in str(caught.value) and len(book) == 0 and book.changes() == []


def test_a_mark_that_is_no_position_is_told_and_left() -> None:
    book = World().book
    assert book.restore(0, {":cstrict/7/k": [9], ":out e1": 1, "e1": [1, 2]}, {}) == []
    assert book.unreadable == ["channel 'strict/7/k': a position of version 9; expected 1"]
    assert book.changes() == [] and len(book) == 0


def test_what_a_dead_courier_had_is_waited_for_where_the_contract_holds_gaps() -> None:
    former, world = World(), World()
    for number in range(1, 10):
        former.hand_in("strict", f"m{number}", number)
        former.release()
        if number < 8:
            former.end(f"m{number}")
    assert world.offer("strict", "m10", 10) == Refuse("beyond", 1, 0)
    for name in ("strict", "skip"):
        world.book.inherit(part_of(f"{name}/7/k", 8))
        assert world.hand_in(name, f"{name}10", 10) == Take(10, 11)
    assert world.release(10**5) == ["skip10"]
    assert world.offer("strict", "new", 9) == Refuse("beyond", 11, 0), "it may be another message, with a 202"
    again = world.restored()[0]
    assert again.position("strict/7/k").lost == {6, 7, 8, 9}  # type: ignore[union-attr]
    world.book.learn(0, "strict/7/k", former.book.export("strict/7/k"))
    assert world.book.found(0, "strict/7/k", 9, "m9") and world.book.found(0, "strict/7/k", 9, "m9")
    assert world.release() == [] and world.book.found(0, "strict/7/k", 8, "m8") and world.release() == ["m8"]
    world.end("m8")
    assert world.release() == ["m9"]
    assert not world.book.found(0, "strict/7/k", 8, "m8"), "it has ended"
    assert not world.book.found(0, "strict/7/k", 99, "m99") and not world.book.found(0, "strict/7/k", 2, "m2")
    assert not world.book.found(0, "skip/7/k", 11, "n"), "a contract that skips gaps has no room"


def test_a_former_owner_tells_of_a_channel_that_nobody_asked_for() -> None:
    former, world = World(), World()
    for number in (1, 2, 4):
        former.hand_in("strict", f"m{number}", number)
    world.book.learn(0, "strict/7/k", former.book.export("strict/7/k"))
    assert world.release() == [] and not world.book.holds("m1")
    assert all(world.book.found(0, "strict/7/k", number, f"m{number}") for number in (4, 2, 1))
    assert world.release() == ["m1"] and world.offer("strict", "m3", 3) == Take(3, 5)


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
