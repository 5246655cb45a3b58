"""A courier's decisions on the list by shard."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from shard_lists import SHARDS, World, at_work, mine, row, told

from wheelstep.shards.list_acts import Dial, Disconnect, RowsChanged, Send
from wheelstep.shards.list_client import MAX_BACKOFF_US, ListClient
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Current, Follow, Frame, KeysReleased, ListRow, ShardRows, shard_of

BIG = ListRow("big", "d" * 900 + ":1", "a", "web", mine(0).block, "SERVING")


@pytest.mark.parametrize("frame, why", [
    (told(0, mine(1)), "shard"), (told(0, mine(0), mine(1), whole=True), "shard"), (told(7, mine(7)), "unasked"),
    (told(SHARDS, mine(0)), "shard"), (told(SHARDS), "unasked"),
    (told(0, mine(0), seq=9), "old"), (Current(9), "old"), (KeysReleased(1, ()), "frame"), (Follow(0, ()), "frame"),
    (told(0, row(mine(0).block, "DELETED"), whole=True), "row"), (told(0, row(mine(0).block, "WELL")), "row"),
    (told(0, msgspec.structs.replace(mine(0), dial="nowhere")), "row"),
    (told(0, msgspec.structs.replace(mine(0), host="h" * 1_100)), "row"),
    (ShardRows(10, 0, 1, True, (mine(0),) * 65_537), "size"),
    (ShardRows(10, 0, 1, True, tuple(msgspec.structs.replace(BIG, host=str(n)) for n in range(4_700))), "size")])
def test_a_control_machine_is_left_after_an_invalid_frame(frame: Frame, why: str) -> None:
    """Nothing of the frame may be applied, and operators get one line."""
    world = World("a", "b")
    world.listed(10, True, [])
    world.act(world.client.follow(world.now_us, range(7)))
    world.run(0)
    control, before = world.client.control, dict(world.seen)
    world.acts.clear()
    world.tell([("courier", frame)])
    assert world.client.refused == {why: 1} and world.seen == before and not world.client.rows_of(0)
    assert world.acts[0] == Disconnect(control) and world.client.control not in ("", control)
    assert len(world.notes) == 1 and control in world.notes[0] and "expected" in world.notes[0]
    world.tell([("courier", frame)])
    assert world.client.refused == {why: 2} and len(world.notes) == 1, "a second line within ten seconds"


def test_rows_not_matching_their_digest_are_requested_once_more_then_the_machine_is_left() -> None:
    """Guards against an endless loop of requests to a faulty machine."""
    world = at_work("a", "b", rows=[mine(0), mine(1)])
    control = world.client.control
    lie = ShardRows(11, 0, 77, False, (row(mine(0).block, "DRAINING"),))
    world.acts.clear()
    world.tell([("courier", lie)])
    assert world.acts[0] == Send(control, Follow(10, ((0, 0),))) and world.client.control == control
    assert world.client.rows_of(0) == (mine(0),) and world.client.seq == 10
    world.tell([("courier", told(1, row(mine(1).block, "DRAINING")))])  # another shard's rows are applied as usual
    assert world.client.rows_of(1)[0].health == "DRAINING"
    world.tell([("courier", lie)])
    assert world.client.control not in ("", control) and world.client.refused == {"digest": 2}
    assert world.client.rows_of(0) == (mine(0),)


def test_frames_in_transit_when_unfollowed_or_left_are_ignored() -> None:
    """Such frames are no fault of the control machine, which must not be left for them."""
    world = at_work("a", "b", rows=[mine(0), mine(1)])
    control = world.client.control
    world.act(world.client.unfollow(world.now_us, [0]))
    late = told(0, row(mine(0).block, "DRAINING"))
    world.tell([("courier", late)])
    assert not world.client.knows(0) and world.client.control == control
    world.act(world.client.heard(world.now_us, "b" if control == "a" else "a", told(1, mine(0))))
    world.act(world.client.follow(world.now_us, [0]))
    assert world.client.knows(0) and world.client.control == control and not world.client.refused


def test_changes_that_arrive_before_the_whole_set_are_ignored() -> None:
    """Changes applied to an empty shard would not match the digest."""
    client = ListClient("courier", ["a"], SHARDS, random.Random(1), 0)
    client.follow(0, [0])
    assert client.tick(0) == [Dial("a")] and client.dialled(0, "a", True) == [Send("a", Follow(0, ((0, 0),)))]
    assert client.heard(0, "a", told(0, row(mine(0).block, "DRAINING"), known=(mine(1),))) == []
    assert not client.refused and client.control == "a" and not client.knows(0)
    assert client.heard(0, "a", told(0, whole=True)) == [RowsChanged(0, (), True)] and client.knows(0)


@pytest.mark.parametrize("block", range(1, 12))
def test_a_host_that_moves_to_another_destination_stays_listed(block: int) -> None:
    """Removing it from its old shard must not remove the host itself."""
    world = at_work("a", rows=[row(0), row(20)])
    for seq, place in enumerate((block, 0, block), 11):
        world.listed(seq, False, [row(0, block=place)])
        assert world.seen == {"h0": row(0, block=place), "h20": row(20)}
    away = shard_of(block, SHARDS)
    stale = told(shard_of(0, SHARDS), *({row(0)} | set(world.client.rows_of(shard_of(0, SHARDS)))), seq=13, whole=True)
    if away != stale.shard:  # the host is in two shards for a while; then the one that added it last removes it
        world.tell([("courier", stale)])
        world.tell([("courier", told(away, seq=13, whole=True))])
        assert world.seen["h0"] == row(0)


def test_after_a_long_connection_the_next_machine_is_dialled_at_once() -> None:
    """Failures long ago must not delay the next attempt."""
    world = at_work("a", "b", rows=[row(1)])
    for _ in range(4):
        world.run(10_000_000)
        world.lose()
        assert world.client.control
        world.down.clear()


def test_after_a_lost_control_machine_no_rows_are_resent_where_digests_agree() -> None:
    """Otherwise one lost machine would make all its couriers fetch the whole list at once."""
    rows = [row(number) for number in range(500)]
    world = at_work("a", "b", "c", rows=rows)
    assert world.sent["ShardRows"] == SHARDS and world.sent["bytes"] > 20_000
    for lost in (1, 2):
        world.sent.clear()
        world.lose()
        assert world.client.control, "the next is asked at once"
        assert world.sent == {"Current": 1, "bytes": world.sent["bytes"]} and world.sent["bytes"] < 10, lost
    world.down.clear()
    world.listed(11, False, [row(1, "DRAINING")], *(name for name in world.servers if name != world.line))
    world.sent.clear()
    world.lose()
    world.run(250_000)  # a whole round was lost
    assert world.sent["ShardRows"] == 1 and world.client.seq == 11 and world.seen["h1"].health == "DRAINING"


def test_a_control_machine_with_an_older_version_is_skipped() -> None:
    """Its rows would undo newer ones, such as a drain."""
    world = at_work("a", "b", "c", rows=[row(1)])
    first = world.line
    world.lose()
    old = world.line  # the next one in the courier's order
    world.lose()
    world.down.clear()
    world.lose(down=False)
    world.run(250_000)  # a whole round was lost
    assert world.line == first
    world.listed(11, False, [row(2)], *(name for name in world.servers if name != old))
    world.lose()
    assert world.line not in (first, old) and world.sent["Behind"] == 1 and set(world.seen) == {"h1", "h2"}


def test_where_all_machines_are_behind_rows_are_kept_and_retries_back_off() -> None:
    """For instance after all machines restarted with an older list."""
    world = at_work("a", "b", rows=[row(1)])
    world.listed(11, False, [row(2)], world.line)
    world.lose()
    assert not world.client.control and world.sent["Behind"] == 1
    world.servers = {name: ListServer(SHARDS) for name in world.servers}
    world.listed(10, True, [row(1)])
    world.down.clear()
    world.acts.clear()
    dials: list[int] = []
    until_us = world.now_us + 120_000_000
    while world.now_us < until_us:
        count = len(world.acts)
        world.run(world.client.next_us() - world.now_us)
        dials += [world.now_us for act in world.acts[count:] if isinstance(act, Dial)]
    gaps = [after - before for before, after in zip(dials, dials[1:], strict=False) if after > before]
    assert max(gaps) <= MAX_BACKOFF_US < sum(gaps) and max(gaps[:2]) < 1_000_000 < max(gaps)
    assert 10 < len(dials) < 100 and set(world.seen) == {"h1", "h2"} and world.client.knows(0)
    world.listed(11, False, [row(2)])
    world.run(8_000_000)
    assert world.client.control and set(world.seen) == {"h1", "h2"}


def test_a_control_machine_silent_for_five_seconds_is_left_but_not_for_two() -> None:
    """A connection may stay open while its machine hangs."""
    world = at_work("a", "b", rows=[row(1)])
    first = world.client.control
    world.run(60_000_000)
    assert world.client.control == first
    world.down.add(first)  # the connection stays open but silent
    silent_us = world.now_us
    while world.client.control == first:
        world.run(max(0, world.client.next_us() - world.now_us))
    assert 3_000_000 < world.now_us - silent_us <= 5_000_000 and world.client.control
    world.down.update("ab")
    world.lose()
    assert not world.client.control
    world.run(60_000_000)
    world.down.clear()
    world.run(MAX_BACKOFF_US)
    assert world.client.control and set(world.seen) == {"h1"}


def test_couriers_spread_evenly_over_control_machines() -> None:
    """Guards against all couriers choosing the same machine first."""
    names = [f"control{number}" for number in range(17)]
    first = Counter(ListClient(f"courier{number}", names, SHARDS, random.Random(1), 0).tick(0)[0].control
                    for number in range(1_100))
    assert len(first) == 17 and max(first.values()) < 100  # about 65 each
