"""Channels that are handed over to another courier, or continued there after the loss of their owner."""

from __future__ import annotations

import pytest
from test_channel_book import CONTRACTS, World

from wheelstep.channels.book import Book, PositionError, Refuse, Take
from wheelstep.channels.contracts import part_of


def moved(world: World, channel: str) -> tuple[Book, bytes]:
    book, data = Book(CONTRACTS, 8, 100, 0), world.book.export(channel)
    book.adopt(0, channel, data, None)
    return book, data


def test_adopted_channel_keeps_position_rest_and_order() -> None:
    world = World()
    for number in (1, 2, 4):
        world.hand_in("skip", f"m{number}", number, session=3)
    world.release()
    world.end("m1", "failed", True)
    book, data = moved(world, "skip/7/k")
    assert book.export("skip/7/k") == data and book.changes()[0][0] == ":cskip/7/k"
    assert book.release(0) == []
    book.adopt(70, "skip/7/k", data, None)
    assert [one.message for one in book.release(80)] == ["m2"], "adopting the same position again does nothing"
    part = part_of("skip/7/k", 8)
    assert book.channels(part) == ["skip/7/k"]
    book.shut(part)
    book.ended(300, "m2", "delivered", False)
    assert book.release(400) == book.release(450) == []
    book.open(part)
    assert book.release(500) == [] and [one.message for one in book.release(550)] == ["m4"]
    with pytest.raises(PositionError, match="position is older: revision .* with next 3; expected one after"):
        book.adopt(0, "skip/7/k", data, None)
    book.changes()
    book.drop(part)
    assert book.changes() == [(":cskip/7/k", None)] and not book.holds("m4") and len(book) == 0


@pytest.mark.parametrize("data", [b"", b"{", b"[2]", b"[1,-1]", b"null", b"[" * 5000])
def test_invalid_position_is_not_adopted(data: bytes) -> None:
    book = World().book
    with pytest.raises(PositionError) as caught:
        book.adopt(0, "strict/7/k", data, None)
    assert "\n" not in str(caught.value) and len(book) == 0 and book.changes() == []


def test_messages_of_a_lost_owner_block_only_where_the_contract_holds_at_gaps() -> None:
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
    assert world.offer("strict", "new", 9) == Refuse("beyond", 11, 0), "another accepted message may have it"
    again = world.restored()[0]
    assert again.position("strict/7/k").lost == {6, 7, 8, 9}  # type: ignore[union-attr]
    world.book.learn(0, "strict/7/k", former.book.export("strict/7/k"))
    assert world.book.found(0, "strict/7/k", 9, "m9") and world.book.found(0, "strict/7/k", 9, "m9")
    assert world.release() == [] and world.book.found(0, "strict/7/k", 8, "m8") and world.release() == ["m8"]
    world.end("m8")
    assert world.release() == ["m9"]
    assert not world.book.found(0, "strict/7/k", 8, "m8"), "it has ended"
    assert not world.book.found(0, "strict/7/k", 99, "m99") and not world.book.found(0, "strict/7/k", 2, "m2")
    assert not world.book.found(0, "skip/7/k", 11, "n"), "a contract that skips gaps accepts none"


def test_former_owner_restores_a_channel_unknown_to_the_new_owner() -> None:
    former, world = World(), World()
    for number in (1, 2, 4):
        former.hand_in("strict", f"m{number}", number)
    world.book.learn(0, "strict/7/k", former.book.export("strict/7/k"))
    assert world.release() == [] and not world.book.holds("m1")
    assert all(world.book.found(0, "strict/7/k", number, f"m{number}") for number in (4, 2, 1))
    assert world.release() == ["m1"] and world.offer("strict", "m3", 3) == Take(3, 5)
