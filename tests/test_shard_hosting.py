"""A shard's life at a courier."""

from __future__ import annotations

import random

import pytest

from wheelstep.shards.hosting import NEVER_US, DropShard, FollowShard, Hosting, Life, Opened

MS, S = 1_000, 1_000_000


def opened(taught: bool = True, **settings: int) -> Hosting:
    hosting = Hosting(**settings)
    hosting.became_home(0, 7, taught)
    hosting.rows_came(0, 7)
    return hosting


@pytest.mark.parametrize(("rows_us", "taught_us", "opens_us"), [
    (10, 20, 20), (20, 10, 20), (10, None, 300 * MS), (400 * MS, 10, 400 * MS), (400 * MS, None, 400 * MS)])
def test_a_home_opens_with_rows_and_what_was_learned_or_its_time(rows_us: int, taught_us: int | None,
                                                                opens_us: int) -> None:
    hosting = Hosting()
    assert hosting.became_home(0, 7, False) == [FollowShard(7)]
    happens = [(rows_us, lambda now: hosting.rows_came(now, 7)), (300 * MS, hosting.tick)]
    if taught_us is not None:
        happens.append((taught_us, lambda now: hosting.taught(now, 7)))
    for now_us, what in sorted(happens, key=lambda each: each[0]):
        assert hosting.life(7) is Life.OPENING
        acts = what(now_us)
        assert acts == ([Opened(7)] if now_us == opens_us else [])
        if acts:
            break
    assert hosting.life(7) is Life.HOME and hosting.has_rows(7) and hosting.next_us() == NEVER_US


def test_a_home_that_leaves_is_dropped_only_when_it_owes_nothing() -> None:
    hosting = opened()
    assert hosting.left_home(S, 7) == [] and hosting.life(7) is Life.LEAVING
    assert hosting.tick(100 * S) == []  # nobody has said that it owes nothing
    assert hosting.owed(100 * S, {7: 1}) == []
    assert hosting.owed(101 * S, {8: 0}) == [DropShard(7)]
    assert hosting.life(7) is None and hosting.owed(102 * S, {}) == []


def test_one_that_becomes_home_again_is_open_at_once_if_it_has_its_rows() -> None:
    hosting = opened()
    hosting.left_home(S, 7)
    assert hosting.became_home(2 * S, 7, False) == [Opened(7)] and hosting.life(7) is Life.HOME
    bare = Hosting()
    bare.became_home(0, 7, True)
    bare.left_home(1, 7)
    assert bare.became_home(2, 7, False) == [] and bare.life(7) is Life.OPENING
    assert bare.rows_came(3, 7) == [] and bare.tick(300 * MS + 2) == [Opened(7)]


def test_a_guest_is_dropped_once_idle_and_owing_nothing() -> None:
    hosting = Hosting()
    assert hosting.be_guest(0, 7) == [FollowShard(7)] and hosting.rows_came(5, 7) == [Opened(7)]
    hosting.used(10 * S, 7)
    assert hosting.tick(30 * S) == []  # used meanwhile
    assert hosting.next_us() == 40 * S
    assert hosting.tick(40 * S) == []  # it may owe what was taken then
    assert hosting.owed(41 * S, {7: 1}) == [] and hosting.life(7) is Life.GUEST
    assert hosting.owed(42 * S, {}) == [DropShard(7)]
    hosting.be_guest(50 * S, 7)
    hosting.owed(51 * S, {})
    assert hosting.tick(hosting.next_us()) == [DropShard(7)]


def test_a_guest_that_still_owes_when_the_home_is_back_or_becomes_home_itself() -> None:
    hosting = Hosting()
    hosting.be_guest(0, 7)
    hosting.rows_came(0, 7)
    hosting.used(1, 7)
    assert hosting.owed(90 * S, {7: 2}) == []
    assert hosting.became_home(91 * S, 7, False) == [] and hosting.life(7) is Life.OPENING
    assert hosting.taught(91 * S + 1, 7) == [Opened(7)]


def test_guests_are_bounded_and_a_leaving_one_needs_room_too() -> None:
    hosting = opened(guests_most=2)
    hosting.be_guest(0, 1)
    hosting.be_guest(0, 2)
    hosting.left_home(1, 7)
    assert hosting.be_guest(1, 3) is None and hosting.be_guest(1, 7) is None and not hosting.guest_room()
    assert hosting.be_guest(1, 2) == []
    hosting.owed(2, {1: 1, 7: 1})
    hosting.used(3, 2)
    assert hosting.owed(60 * S, {1: 1, 7: 1}) == [DropShard(2)]
    assert hosting.be_guest(61 * S, 7) == [] and hosting.life(7) is Life.GUEST and hosting.has_rows(7)


def test_what_a_journal_brings_back_is_served_until_it_has_ended() -> None:
    hosting = Hosting(guests_most=0)
    assert hosting.owed(0, {5: 3, 6: 0}) == [FollowShard(5)] and hosting.of(Life.LEAVING) == [5]
    assert hosting.owed(1, {5: 1}) == [] and hosting.owed(2, {}) == [DropShard(5)]


@pytest.mark.parametrize("seed", range(20))
def test_whatever_happens_follows_and_drops_match_and_nothing_owed_is_dropped(seed: int) -> None:
    rng = random.Random(seed)
    hosting = Hosting(guests_most=3, guest_idle_us=500)
    now_us, followed, held, homes = 0, set(), dict.fromkeys(range(6), 0), set()
    for _ in range(2_000):
        now_us += rng.randrange(200)
        shard = rng.randrange(6)
        match rng.randrange(7):
            case 0:
                homes.add(shard)
                acts = hosting.became_home(now_us, shard, rng.random() < 0.5)
            case 1:
                homes.discard(shard)
                acts = hosting.left_home(now_us, shard)
            case 2:
                acts = hosting.rows_came(now_us, shard) if shard in followed else []
            case 3:
                acts = hosting.be_guest(now_us, shard) or []
            case 4:
                if hosting.life(shard) in (Life.HOME, Life.GUEST) and hosting.has_rows(shard):
                    held[shard] += 1
                    hosting.used(now_us, shard)
                acts = []
            case 5:
                held[shard] = 0
                acts = hosting.owed(now_us, {each: count for each, count in held.items() if count})
            case _:
                acts = hosting.tick(now_us)
        for act in acts:
            match act:
                case FollowShard(which):
                    assert which not in followed
                    followed.add(which)
                case DropShard(which):
                    assert held[which] == 0 and which not in homes
                    followed.remove(which)
                case Opened(which):
                    assert hosting.has_rows(which) and hosting.life(which) in (Life.HOME, Life.GUEST)
        assert followed == {each for life in Life for each in hosting.of(life)}
        assert homes == set(hosting.of(Life.HOME)) | set(hosting.of(Life.OPENING))
        assert len(hosting.of(Life.GUEST)) <= 3
