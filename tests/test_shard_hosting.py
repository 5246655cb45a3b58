"""The lifecycle of a shard at one courier."""

from __future__ import annotations

import random

import pytest

from wheelstep.shards.hosting import NEVER_US, DropShard, FollowShard, Hosting, Opened, ShardPhase

MS, S = 1_000, 1_000_000


def opened(learned_received: bool = True, **settings: int) -> Hosting:
    """Hosting with shard 7 open as home."""
    hosting = Hosting(**settings)
    hosting.became_home(0, 7, learned_received)
    hosting.rows_received(0, 7)
    return hosting


@pytest.mark.parametrize(("rows_us", "taught_us", "opens_us"), [
    (10, 20, 20), (20, 10, 20), (10, None, 300 * MS), (400 * MS, 10, 400 * MS), (400 * MS, None, 400 * MS)])
def test_a_home_opens_with_rows_and_learned_state_or_after_its_timeout(rows_us: int, taught_us: int | None,
                                                                opens_us: int) -> None:
    """Without rows it never opens; without learned state it opens after 300 ms."""
    hosting = Hosting()
    assert hosting.became_home(0, 7, False) == [FollowShard(7)]
    happens = [(rows_us, lambda now: hosting.rows_received(now, 7)), (300 * MS, hosting.tick)]
    if taught_us is not None:
        happens.append((taught_us, lambda now: hosting.learned_received(now, 7)))
    for now_us, what in sorted(happens, key=lambda each: each[0]):
        assert hosting.phase(7) is ShardPhase.OPENING
        acts = what(now_us)
        assert acts == ([Opened(7)] if now_us == opens_us else [])
        if acts:
            break
    assert hosting.phase(7) is ShardPhase.HOME and hosting.has_rows(7) and hosting.next_us() == NEVER_US


def test_a_former_home_is_dropped_only_when_it_owes_nothing() -> None:
    """Dropping earlier would remove the endpoints of accepted messages."""
    hosting = opened()
    assert hosting.left_home(S, 7) == [] and hosting.phase(7) is ShardPhase.LEAVING
    assert hosting.tick(100 * S) == []  # nobody has said that it owes nothing
    assert hosting.owed(100 * S, {7: 1}) == []
    assert hosting.owed(101 * S, {8: 0}) == [DropShard(7)]
    assert hosting.phase(7) is None and hosting.owed(102 * S, {}) == []


def test_a_former_home_that_becomes_home_again_opens_at_once_if_it_has_rows() -> None:
    """Its state is still there; without rows it has to wait like any new home."""
    hosting = opened()
    hosting.left_home(S, 7)
    assert hosting.became_home(2 * S, 7, False) == [Opened(7)] and hosting.phase(7) is ShardPhase.HOME
    bare = Hosting()
    bare.became_home(0, 7, True)
    bare.left_home(1, 7)
    assert bare.became_home(2, 7, False) == [] and bare.phase(7) is ShardPhase.OPENING
    assert bare.rows_received(3, 7) == [] and bare.tick(300 * MS + 2) == [Opened(7)]


def test_a_guest_is_dropped_once_idle_and_without_owed_messages() -> None:
    """A guest in use, or with owed messages, must stay."""
    hosting = Hosting()
    assert hosting.serve_as_guest(0, 7) == [FollowShard(7)] and hosting.rows_received(5, 7) == [Opened(7)]
    hosting.message_taken(10 * S, 7)
    assert hosting.tick(30 * S) == []  # used meanwhile
    assert hosting.next_us() == 40 * S
    assert hosting.tick(40 * S) == []  # it may owe what was taken then
    assert hosting.owed(41 * S, {7: 1}) == [] and hosting.phase(7) is ShardPhase.GUEST
    assert hosting.owed(42 * S, {}) == [DropShard(7)]
    hosting.serve_as_guest(50 * S, 7)
    hosting.owed(51 * S, {})
    assert hosting.tick(hosting.next_us()) == [DropShard(7)]


def test_a_guest_that_owes_messages_stays_and_may_become_home() -> None:
    """As home it waits for learned state again."""
    hosting = Hosting()
    hosting.serve_as_guest(0, 7)
    hosting.rows_received(0, 7)
    hosting.message_taken(1, 7)
    assert hosting.owed(90 * S, {7: 2}) == []
    assert hosting.became_home(91 * S, 7, False) == [] and hosting.phase(7) is ShardPhase.OPENING
    assert hosting.learned_received(91 * S + 1, 7) == [Opened(7)]


def test_guests_are_limited_and_a_former_home_needs_room_to_become_one() -> None:
    """Guards against unlimited guest shards while many homes are unreachable."""
    hosting = opened(max_guests=2)
    hosting.serve_as_guest(0, 1)
    hosting.serve_as_guest(0, 2)
    hosting.left_home(1, 7)
    assert hosting.serve_as_guest(1, 3) is None and hosting.serve_as_guest(1, 7) is None and not hosting.guest_room()
    assert hosting.serve_as_guest(1, 2) == []
    hosting.owed(2, {1: 1, 7: 1})
    hosting.message_taken(3, 2)
    assert hosting.owed(60 * S, {1: 1, 7: 1}) == [DropShard(2)]
    assert hosting.serve_as_guest(61 * S, 7) == [] and hosting.phase(7) is ShardPhase.GUEST and hosting.has_rows(7)


def test_shards_of_messages_from_the_journal_are_served_until_these_have_ended() -> None:
    """Otherwise messages accepted before a restart would have no endpoints; the guest limit does not apply."""
    hosting = Hosting(max_guests=0)
    assert hosting.owed(0, {5: 3, 6: 0}) == [FollowShard(5)] and hosting.shards_in(ShardPhase.LEAVING) == [5]
    assert hosting.owed(1, {5: 1}) == [] and hosting.owed(2, {}) == [DropShard(5)]


@pytest.mark.parametrize("seed", range(20))
def test_random_events_pair_follows_with_drops_and_never_drop_owed_shards(seed: int) -> None:
    """Guards against leaked subscriptions and lost endpoints in rare orders of events."""
    rng = random.Random(seed)
    hosting = Hosting(max_guests=3, guest_idle_us=500)
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
                acts = hosting.rows_received(now_us, shard) if shard in followed else []
            case 3:
                acts = hosting.serve_as_guest(now_us, shard) or []
            case 4:
                if hosting.phase(shard) in (ShardPhase.HOME, ShardPhase.GUEST) and hosting.has_rows(shard):
                    held[shard] += 1
                    hosting.message_taken(now_us, shard)
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
                    assert hosting.has_rows(which) and hosting.phase(which) in (ShardPhase.HOME, ShardPhase.GUEST)
        assert followed == {each for phase in ShardPhase for each in hosting.shards_in(phase)}
        assert homes == set(hosting.shards_in(ShardPhase.HOME)) | set(hosting.shards_in(ShardPhase.OPENING))
        assert len(hosting.shards_in(ShardPhase.GUEST)) <= 3
