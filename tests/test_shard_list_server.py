"""A control machine's decisions on the list by shard."""

from __future__ import annotations

import msgspec
import pytest
from shard_lists import SHARDS, row

from wheelstep.shards.list_rows import digest_of
from wheelstep.shards.list_server import MAX_ANSWER_BYTES, ListServer
from wheelstep.shards.types import Behind, Current, Follow, Frame, KeysReleased, ListRow, ShardRows, Unfollow, shard_of


@pytest.mark.parametrize("frame, why", [
    (Follow(0, ((SHARDS, 0),)), "shard"), (Follow(0, ((0, 0), (-1, 0))), "shard"), (Unfollow((SHARDS,)), "shard"),
    (Follow(0, ((0, 0),) * (SHARDS + 1)), "size"), (Unfollow((0,) * (SHARDS + 1)), "size"),
    (Current(3), "frame"), (KeysReleased(1, ()), "frame")])
def test_invalid_frames_are_refused_and_change_nothing(frame: Frame, why: str) -> None:
    """Also limits the lines for operators."""
    server = ListServer(SHARDS)
    server.listed(0, 1, True, [row(1)])
    server.heard(0, "good", Follow(0, ((1, 0),)))
    server.heard(0, "bad", Follow(0, ()))
    for _ in range(3):
        assert server.heard(0, "bad", frame) == []
    assert server.heard(0, "stranger", frame) == []
    assert server.refused == {why: 4} and server.peers == 2
    assert len(server.notes(0)) == 1 and server.notes(0) == []
    server.heard(0, "bad", frame)
    assert server.notes(9_999_999) == [] and "1 refused" in server.notes(10_000_000)[0]
    told = server.listed(0, 2, True, [row(number) for number in range(30)])
    assert {name for name, _ in told} == {"good"}, "a refused frame made somebody follow"


def test_peers_beyond_the_limit_are_refused_until_one_leaves() -> None:
    """Guards against unlimited peers."""
    server = ListServer(SHARDS, max_peers=2)
    server.listed(0, 1, True, [])
    for name in "abc":
        server.heard(0, name, Follow(0, ((0, 0),)))
    assert server.refused == {"peers": 1} and server.peers == 2
    server.gone("a")
    assert server.heard(0, "c", Follow(0, ())) == [("c", Current(1))]


def test_a_follow_with_a_newer_version_waits_until_the_server_has_it() -> None:
    """Older rows than those a courier has must never be sent."""
    server = ListServer(SHARDS)
    assert server.heard(0, "new", Follow(0, ((1, 0),))) == [("new", Behind(0))]  # no list yet: no rows are known
    server.listed(0, 5, False, [row(1)])
    assert server.heard(0, "new", Follow(0, ((2, 0),))) == [("new", Behind(5))]  # changes alone do not make a list
    assert [(name, type(frame)) for name, frame in server.listed(0, 5, True, [])] == [
        ("new", ShardRows), ("new", ShardRows), ("new", Current)]
    assert server.heard(0, "ahead", Follow(7, ((1, 0),))) == [("ahead", Behind(5))]
    assert all(name == "new" for name, _ in server.tick(server.next_us())), "behind, and says that all was told"
    shard = shard_of(1, SHARDS)
    server.heard(0, "ahead", Follow(7, ((shard, 0),)))
    server.heard(0, "ahead", Unfollow((1,)))
    assert not [name for name, _ in server.listed(0, 6, False, [row(1)]) if name == "ahead"]
    told = [frame for name, frame in server.listed(0, 7, False, []) if name == "ahead"]
    assert told == [ShardRows(7, shard, digest_of([row(1)]), True, (row(1),)), Current(7)]


def test_a_long_answer_is_sent_in_parts_that_include_changes_made_meanwhile() -> None:
    """Changes to a shard not sent yet would not match its digest."""
    shards = 64
    server = ListServer(shards)
    long = [ListRow(f"h{number}", f"{'x' * 800}:1", "a", "web", number, "SERVING") for number in range(1_000)]
    server.listed(0, 1, True, long)
    told = [frame for _, frame in server.heard(0, "c", Follow(0, tuple((shard, 0) for shard in range(shards))))]
    assert MAX_ANSWER_BYTES <= len(msgspec.msgpack.encode(told)) < 2 * MAX_ANSWER_BYTES
    change = row(0)
    assert shard_of(0, shards) not in {frame.shard for frame in told}
    assert server.listed(1, 2, False, [change]) == [], "a difference to what was not told yet"
    while not isinstance(told[-1], Current):
        assert server.next_us() < 2_000_000
        told += [frame for _, frame in server.tick(server.next_us())]
    assert sorted(frame.shard for frame in told[:-1]) == list(range(shards))
    assert any(change in frame.rows for frame in told[:-1]) and told[-1] == Current(2)


def test_a_new_whole_list_is_sent_as_the_smaller_of_changes_and_whole() -> None:
    """Sending every row of unchanged shards would be costly for all followers."""
    server = ListServer(2)
    rows = [row(number) for number in range(40)]
    server.listed(0, 1, True, rows)
    server.heard(0, "c", Follow(0, ((0, 0), (1, 0))))
    assert server.listed(0, 2, True, rows) == []
    one = next(one for one in rows if shard_of(one.block, 2) == 0)
    assert [(frame.shard, frame.whole, len(frame.rows)) for _, frame in server.listed(0, 3, True, [
        row(one.block, "DRAINING"), *(other for other in rows if other != one)])] == [(0, False, 1)]
    few = [next(one for one in rows if shard_of(one.block, 2) == shard) for shard in (0, 1)]
    assert [(frame.whole, frame.rows) for _, frame in server.listed(0, 4, True, few)] == [
        (True, (few[0],)), (True, (few[1],))]
    assert server.listed(0, 2, True, few) == [] and server.seq == 4, "the version told went down"
