"""Channels that are handed over to another courier, or continued there after the loss of their owner."""

from __future__ import annotations

import pytest
from test_channel_book import CONTRACTS, World

from wheelstep.channels.book import Accept, ChannelTable, PositionError, Reject
from wheelstep.channels.contracts import part_of


def moved(world: World, channel: str) -> tuple[ChannelTable, bytes]:
    """Return another courier's channels after this channel was handed over, and the position that was sent."""
    table, data = ChannelTable(CONTRACTS, 8, 100, 0), world.table.export(channel)
    table.adopt(0, channel, data, None)
    return table, data


def test_adopted_channel_keeps_position_rest_and_order() -> None:
    world = World()
    for number in (1, 2, 4):
        world.hand_in("skip", f"m{number}", number, session=3)
    world.release()
    world.end("m1", "failed", True)
    table, data = moved(world, "skip/7/k")
    assert table.export("skip/7/k") == data and table.changed_marks()[0][0] == ":cskip/7/k"
    assert table.release(0) == []
    table.adopt(70, "skip/7/k", data, None)
    assert [one.message for one in table.release(80)] == ["m2"], "adopting the same position again does nothing"
    part = part_of("skip/7/k", 8)
    assert table.channels(part) == ["skip/7/k"]
    table.shut(part)
    table.ended(300, "m2", "delivered", False)
    assert table.release(400) == table.release(450) == []
    table.open(part)
    assert table.release(500) == [] and [one.message for one in table.release(550)] == ["m4"]
    with pytest.raises(PositionError, match="position is older: revision .* with next 3; expected one after"):
        table.adopt(0, "skip/7/k", data, None)
    table.changed_marks()
    table.drop(part)
    assert table.changed_marks() == [(":cskip/7/k", None)] and not table.holds("m4") and len(table) == 0


@pytest.mark.parametrize("data", [b"", b"{", b"[2]", b"[1,-1]", b"null", b"[" * 5000])
def test_invalid_position_is_not_adopted(data: bytes) -> None:
    table = World().table
    with pytest.raises(PositionError) as caught:
        table.adopt(0, "strict/7/k", data, None)
    assert "\n" not in str(caught.value) and len(table) == 0 and table.changed_marks() == []


def test_messages_of_a_lost_owner_block_only_where_the_contract_holds_at_gaps() -> None:
    former, world = World(), World()
    for number in range(1, 10):
        former.hand_in("strict", f"m{number}", number)
        former.release()
        if number < 8:
            former.end(f"m{number}")
    assert world.offer("strict", "m10", 10) == Reject("beyond", 1, 0)
    for name in ("strict", "skip"):
        world.table.inherit(part_of(f"{name}/7/k", 8))
        assert world.hand_in(name, f"{name}10", 10) == Accept(10, 11)
    assert world.release(10**5) == ["skip10"]
    assert world.offer("strict", "new", 9) == Reject("beyond", 11, 0), "another accepted message may have it"
    again = world.restored()[0]
    assert again.position("strict/7/k").lost == {6, 7, 8, 9}  # type: ignore[union-attr]
    world.table.merge_former(0, "strict/7/k", former.table.export("strict/7/k"))
    assert world.table.accept_found(0, "strict/7/k", 9, "m9") and world.table.accept_found(0, "strict/7/k", 9, "m9")
    assert world.release() == [] and world.table.accept_found(0, "strict/7/k", 8, "m8") and world.release() == ["m8"]
    world.end("m8")
    assert world.release() == ["m9"]
    assert not world.table.accept_found(0, "strict/7/k", 8, "m8"), "it has ended"
    assert not world.table.accept_found(0, "strict/7/k", 99, "m99") \
        and not world.table.accept_found(0, "strict/7/k", 2, "m2")
    assert not world.table.accept_found(0, "skip/7/k", 11, "n"), "a contract that skips gaps accepts none"


def test_former_owner_restores_a_channel_unknown_to_the_new_owner() -> None:
    former, world = World(), World()
    for number in (1, 2, 4):
        former.hand_in("strict", f"m{number}", number)
    world.table.merge_former(0, "strict/7/k", former.table.export("strict/7/k"))
    assert world.release() == [] and not world.table.holds("m1")
    assert all(world.table.accept_found(0, "strict/7/k", number, f"m{number}") for number in (4, 2, 1))
    assert world.release() == ["m1"] and world.offer("strict", "m3", 3) == Accept(3, 5)
