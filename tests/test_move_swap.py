"""The order in which a leaving courier gives its parts, the choice of takers, and an early stop."""

from __future__ import annotations

from wheelstep.moves.swap import Start, Swap, SwapLimits


def test_a_swap_moves_the_smallest_parts_first_within_the_concurrency_limit() -> None:
    swap, mine, takers = Swap(SwapLimits(at_once=2), 0), {1: 30, 2: 10, 3: 20}, {part: ["a", "b"] for part in (1, 2, 3)}
    assert swap.tick(0, mine, takers) == [Start(2, "a"), Start(3, "a")]
    assert swap.tick(1, mine, takers) == []
    swap.ended(10, 2, True, "")
    del mine[2]
    assert swap.tick(10, mine, takers) == [Start(1, "a")]
    assert swap.progress(10).estimated_us == 20 and swap.progress(10).state == "giving"
    for part in (1, 3):
        swap.ended(20, part, True, "")
    assert swap.tick(20, {}, {}) == [] and swap.over(20) and swap.progress(20).state == "given"


def test_a_failed_move_is_retried_with_another_taker_after_a_pause() -> None:
    swap, takers = Swap(SwapLimits(pause_us=100), 0), {1: ["a", "b"]}
    told, now_us = [], 0
    for _ in range(4):
        told += [start.to for start in swap.tick(now_us, {1: 5}, takers)]
        swap.ended(now_us, 1, False, "full")
        assert swap.tick(now_us + 99, {1: 5}, takers) == []
        now_us += 1_000
    assert told == ["a", "b", "a", "b"] and swap.progress(0).failed == 4 and "part 1 to b: full" in swap.why
    assert swap.tick(now_us, {1: 5}, {1: []}) == []  # no possible taker: the part waits


def test_a_swap_begins_no_move_after_cancel_or_its_time_limit() -> None:
    for stop, state in (("cancel", "stopped"), ("late", "late")):
        swap = Swap(SwapLimits(at_once=1, bound_us=1_000), 0)
        swap.tick(0, {1: 5, 2: 6}, {1: ["a"], 2: ["a"]})
        if stop == "cancel":
            swap.cancel()
            assert swap.tick(1, {1: 5, 2: 6}, {2: ["a"]}) == [] and swap.progress(1).state == "stopping"
        assert not swap.over(1_000)  # one move is still in progress
        now_us = 500 if stop == "cancel" else 1_000
        swap.ended(now_us, 1, True, "")
        assert swap.tick(now_us, {2: 6}, {2: ["a"]}) == [] and swap.progress(now_us).state == state
        assert swap.over(now_us)
