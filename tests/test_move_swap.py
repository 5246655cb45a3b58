"""The order in which a leaving courier gives its parts, the choice of takers, and an early stop."""

from __future__ import annotations

from wheelstep.moves.swap import Evacuation, EvacuationLimits, StartMove


def test_an_evacuation_moves_the_smallest_parts_first_within_the_concurrency_limit() -> None:
    evacuation, owned, takers = (
        Evacuation(EvacuationLimits(max_moves=2), 0), {1: 30, 2: 10, 3: 20}, {part: ["a", "b"] for part in (1, 2, 3)})
    assert evacuation.tick(0, owned, takers) == [StartMove(2, "a"), StartMove(3, "a")]
    assert evacuation.tick(1, owned, takers) == []
    evacuation.ended(10, 2, True, "")
    del owned[2]
    assert evacuation.tick(10, owned, takers) == [StartMove(1, "a")]
    assert evacuation.progress(10).estimated_us == 20 and evacuation.progress(10).state == "giving"
    for part in (1, 3):
        evacuation.ended(20, part, True, "")
    assert evacuation.tick(20, {}, {}) == [] and evacuation.over(20) and evacuation.progress(20).state == "given"


def test_a_failed_move_is_retried_with_another_taker_after_a_pause() -> None:
    evacuation, takers = Evacuation(EvacuationLimits(pause_us=100), 0), {1: ["a", "b"]}
    chosen, now_us = [], 0
    for _ in range(4):
        chosen += [start.to for start in evacuation.tick(now_us, {1: 5}, takers)]
        evacuation.ended(now_us, 1, False, "full")
        assert evacuation.tick(now_us + 99, {1: 5}, takers) == []
        now_us += 1_000
    assert (chosen == ["a", "b", "a", "b"] and evacuation.progress(0).failed == 4
            and "part 1 to b: full" in evacuation.why)
    assert evacuation.tick(now_us, {1: 5}, {1: []}) == []  # no possible taker: the part waits


def test_an_evacuation_begins_no_move_after_cancel_or_its_time_limit() -> None:
    for stop, state in (("cancel", "stopped"), ("late", "late")):
        evacuation = Evacuation(EvacuationLimits(max_moves=1, timeout_us=1_000), 0)
        evacuation.tick(0, {1: 5, 2: 6}, {1: ["a"], 2: ["a"]})
        if stop == "cancel":
            evacuation.cancel()
            assert evacuation.tick(1, {1: 5, 2: 6}, {2: ["a"]}) == [] and evacuation.progress(1).state == "stopping"
        assert not evacuation.over(1_000)  # one move is still in progress
        now_us = 500 if stop == "cancel" else 1_000
        evacuation.ended(now_us, 1, True, "")
        assert evacuation.tick(now_us, {2: 6}, {2: ["a"]}) == [] and evacuation.progress(now_us).state == state
        assert evacuation.over(now_us)
