"""Bounds and flags of the router and of hosting that the random tests do not reach."""

from __future__ import annotations

from wheelstep.shards.hosting import DropShard, Hosting, ShardPhase
from wheelstep.shards.router import Answer, Ask, Request, Router, View

ELSEWHERE = View(None, "b", False, 0, True)


def test_remembered_ids_taken_elsewhere_are_limited() -> None:
    """Guards against memory that grows with every message passed on."""
    router = Router("a", 1_000_000, max_taken=3)
    for number in range(10):
        request = Request(f"m{number}", 1, 1, "c", None, 60_000_000)
        assert router.decide(number, request, ELSEWHERE) == Ask("b")
        assert router.answered(number, request, "b", Answer.TAKEN, ELSEWHERE) is None
    assert router.sizes()["taken"] == 3 and router.sizes()["asks"] == 0


def test_a_former_home_keeps_its_shard_until_the_owed_count_is_zero() -> None:
    """An owed count from before it was home must not drop messages taken since."""
    hosting = Hosting()
    assert hosting.serve_as_guest(0, 7) is not None
    hosting.rows_received(0, 7)
    assert hosting.owed(1, {}) == []  # nothing is owed, and it was not idle for long
    hosting.became_home(2, 7, learned_received=True)
    assert hosting.phase(7) is ShardPhase.HOME
    hosting.left_home(3, 7)  # what was taken meanwhile has not been counted
    assert hosting.learned_received(4, 7) == [] and hosting.phase(7) is ShardPhase.LEAVING
    assert hosting.owed(5, {}) == [DropShard(7)]
