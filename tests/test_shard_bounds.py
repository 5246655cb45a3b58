"""Bounds and flags of the router and of hosting that no random world reaches."""

from __future__ import annotations

from wheelstep.shards.hosting import DropShard, Hosting, Life
from wheelstep.shards.router import Answer, Ask, Handed, Router, Sight

ELSEWHERE = Sight(None, "b", False, 0, True)


def test_ids_that_another_took_are_remembered_in_a_bounded_number() -> None:
    router = Router("a", 1_000_000, most_taken=3)
    for number in range(10):
        handed = Handed(f"m{number}", 1, 1, "c", None, 60_000_000)
        assert router.way(number, handed, ELSEWHERE) == Ask("b")
        assert router.answered(number, handed, "b", Answer.TAKEN, ELSEWHERE) is None
    assert router.sizes()["taken"] == 3 and router.sizes()["asks"] == 0


def test_a_home_that_leaves_keeps_its_shard_until_it_is_told_that_nothing_is_owed() -> None:
    hosting = Hosting()
    assert hosting.be_guest(0, 7) is not None
    hosting.rows_came(0, 7)
    assert hosting.owed(1, {}) == []  # nothing is owed, and it was not idle for long
    hosting.became_home(2, 7, taught=True)
    assert hosting.life(7) is Life.HOME
    hosting.left_home(3, 7)  # what was taken meanwhile has not been counted
    assert hosting.taught(4, 7) == [] and hosting.life(7) is Life.LEAVING
    assert hosting.owed(5, {}) == [DropShard(7)]
