"""The list by shard: a control machine's decisions against a courier's, without sockets."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from shard_lists import SHARDS, at_work, row, rows_by_shard

from wheelstep.shards.list_rows import digest_of
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import ListRow, shard_of


def test_a_courier_gets_the_whole_list_then_changes_then_only_versions() -> None:
    """While nothing changes, no rows must be sent."""
    rows = [row(number) for number in range(60)]
    world = at_work("a", "b", rows=rows)
    assert set(world.seen.values()) == set(rows)
    assert all(set(world.client.rows_of(shard)) == rows_by_shard(rows, shard) for shard in range(SHARDS))
    world.sent.clear()
    world.listed(11, False, [row(3, "DRAINING"), row(4, "DELETED"), row(60)])
    assert world.sent["ShardRows"] == len({shard_of(number, SHARDS) for number in (3, 4, 60)})
    assert world.seen["h3"].health == "DRAINING" and "h4" not in world.seen and "h60" in world.seen
    world.sent.clear()
    world.run(10_000_000)
    assert set(world.sent) == {"Current", "bytes"} and world.sent["Current"] == 5
    assert not world.client.refused


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.one_of(
    st.tuples(st.just("whole"), st.sets(st.integers(0, 30)), st.sampled_from(("SERVING", "DRAINING"))),
    st.tuples(st.just("changes"), st.lists(st.tuples(
        st.integers(0, 30), st.sampled_from(("SERVING", "DRAINING", "DELETED")), st.integers(0, 30)), max_size=6)),
    st.tuples(st.just("lost"), st.booleans()), st.tuples(st.just("up")), st.tuples(st.just("late"), st.integers(0, 2)),
    st.tuples(st.just("follow"), st.sets(st.integers(0, SHARDS - 1))),
    st.tuples(st.just("unfollow"), st.sets(st.integers(0, SHARDS - 1))),
    st.tuples(st.just("run"), st.integers(0, 9_000_000))), max_size=25))
def test_after_random_changes_and_losses_the_courier_has_the_newest_rows(steps: list[tuple]) -> None:
    """Lists, changes, losses, replacements, and control machines that are late: once all is quiet, the courier's rows
    are the newest, and so is the list that its changes add up to."""
    world = at_work("a", "b", "c", rows=[row(number) for number in range(10)])
    names, model, seq = list(world.servers), {f"h{number}": row(number) for number in range(10)}, 10
    late: dict[str, list[tuple[int, bool, list[ListRow]]]] = {}
    for step in steps:
        match step:
            case ("whole", numbers, health):
                seq, told, whole = seq + 1, [row(number, health) for number in sorted(numbers)], True
                model = {one.host: one for one in told}
            case ("changes", changes):
                seq, whole = seq + 1, False
                told = [row(number, health, 1.0, block) for number, health, block in changes]
                for one in told:
                    model.pop(one.host, None)
                    if one.health != "DELETED":
                        model[one.host] = one
            case ("lost", down):
                if world.line:
                    world.lose(down)
                continue
            case ("up",):
                world.down.clear()
                continue
            case ("late", number):
                late.setdefault(names[number], [])
                continue
            case ("follow", shards):
                world.act(world.client.follow(world.now_us, shards))
                continue
            case ("unfollow", shards):
                world.seen = {host: one for host, one in world.seen.items()
                              if shard_of(one.block, SHARDS) not in shards}
                world.act(world.client.unfollow(world.now_us, shards))
                continue
            case ("run", span_us):
                world.run(span_us)
                continue
        for name in names:
            if name in late:
                late[name].append((seq, whole, told))
            else:
                world.listed(seq, whole, told, name)
    for name, lists in late.items():
        for args in lists:
            world.listed(*args, name)
    world.down.clear()
    world.run(40_000_000)
    world.act(world.client.follow(world.now_us, range(SHARDS)))
    for shard in range(SHARDS):
        assert world.client.knows(shard)
        assert set(world.client.rows_of(shard)) == rows_by_shard(list(model.values()), shard)
        assert {server.digest(shard) for server in world.servers.values()} == {digest_of(world.client.rows_of(shard))}
    assert world.seen == model and not world.client.refused


def test_a_digest_depends_on_the_rows_but_not_their_order() -> None:
    """Two machines with equal rows must agree, however these came about."""
    rows = [row(number) for number in range(9)]
    assert digest_of(rows) == digest_of(reversed(rows)) != digest_of(rows[1:])
    assert digest_of(()) != 0
    assert digest_of([row(1)]) != digest_of([row(1, "DRAINING")]) != digest_of([row(1, share=2.0)])
    server = ListServer(1)
    server.listed(0, 1, True, rows)
    server.listed(0, 2, False, [row(3, "DRAINING"), row(5, "DELETED")])
    assert server.digest(0) == digest_of([*rows[:3], row(3, "DRAINING"), rows[4], *rows[6:]])
