"""The list by shard: a control machine's decisions and a courier's, face to face, without sockets."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.shards.list_acts import Changed, Dial, HangUp, ListAct, Note, Tell
from wheelstep.shards.list_client import MOST_BACKOFF_US, ListClient
from wheelstep.shards.list_rows import digest_of
from wheelstep.shards.list_server import ANSWER_BYTES, ListServer
from wheelstep.shards.types import Behind, Current, Follow, Frame, KeysOver, ListRow, ShardRows, Unfollow, shard_of

SHARDS = 8


def row(number: int, health: str = "SERVING", share: float = 1.0, block: int | None = None) -> ListRow:
    block = number if block is None else block
    return ListRow(f"h{number}", f"10.0.0.1:{number + 1}", "a", "web", block, health, share)


def rows_by_shard(rows: list[ListRow], shard: int, shards: int = SHARDS) -> set[ListRow]:
    return {one for one in rows if shard_of(one.block, shards) == shard}


class World:
    """One courier and some control machines; what one says the other hears, in order, or not at all while `held`."""

    def __init__(self, *names: str, shards: int = SHARDS) -> None:
        self.now_us = 1_000_000
        self.servers = {name: ListServer(shards) for name in names}
        self.down: set[str] = set()
        self.client = ListClient("courier", names, shards, random.Random(1), self.now_us)
        self.line = ""  # the connection
        self.seen: dict[str, ListRow] = {}  # the courier's list, by what it was told of changes
        self.sent: Counter[str] = Counter()  # frames to the courier by name, and "bytes"
        self.notes: list[str] = []
        self.acts: list[ListAct] = []

    def act(self, acts: list[ListAct]) -> None:
        self.acts += acts
        for act in acts:
            match act:
                case Dial(control):
                    ok = control not in self.down
                    self.line = control if ok else self.line
                    self.act(self.client.dialled(self.now_us, control, ok))
                case HangUp(control) if control == self.line:
                    self.line = ""
                    self.servers[control].gone("courier")
                case Tell(control, frame):
                    assert control == self.line
                    self.tell(self.servers[control].heard(self.now_us, "courier", frame))
                case Changed(_, rows, _):
                    for one in rows:
                        self.seen.pop(one.host, None)
                        if one.health != "DELETED":
                            self.seen[one.host] = one
                case Note(text):
                    self.notes.append(text)

    def tell(self, tells: list[tuple[str, Frame]], by: str = "") -> None:
        for _, frame in tells:
            self.sent[type(frame).__name__] += 1
            self.sent["bytes"] += len(msgspec.msgpack.encode(frame))
            if self.line:
                self.act(self.client.heard(self.now_us, by or self.line, frame))

    def listed(self, seq: int, whole: bool, rows: list[ListRow], *names: str) -> None:
        for name in names or tuple(self.servers):
            tells = self.servers[name].listed(self.now_us, seq, whole, rows)
            if name == self.line:
                self.tell(tells, name)

    def lose(self, down: bool = True) -> str:
        """The connection is lost, and its control machine with it."""
        name, self.line = self.line, ""
        if down:
            self.down.add(name)
        self.servers[name].gone("courier")
        self.act(self.client.lost(self.now_us, name))
        return name

    def run(self, span_us: int) -> None:
        until_us = self.now_us + span_us
        while True:
            due_us = min(self.client.next_us(), *(server.next_us() for server in self.servers.values()))
            if due_us > until_us:
                break
            self.now_us = max(self.now_us, due_us)
            for name, server in self.servers.items():
                tells = server.tick(self.now_us)
                if name == self.line and name not in self.down:
                    self.tell(tells, name)
            self.act(self.client.tick(self.now_us))
        self.now_us = until_us


def at_work(*names: str, rows: list[ListRow], shards: int = SHARDS) -> World:
    world = World(*names, shards=shards)
    world.listed(10, True, rows)
    world.act(world.client.follow(world.now_us, range(shards)))
    world.run(0)
    return world


def test_whole_then_changes_then_quiet() -> None:
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
def test_the_courier_ends_with_the_newest_rows(steps: list[tuple]) -> None:
    """Lists, changes, losses, replacements, control machines that hear late: once all is quiet, the courier's rows
    are the newest, and so are those that it was told of by changes."""
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


def test_a_digest_is_of_the_rows_alone() -> None:
    rows = [row(number) for number in range(9)]
    assert digest_of(rows) == digest_of(reversed(rows)) != digest_of(rows[1:])
    assert digest_of(()) != 0
    assert digest_of([row(1)]) != digest_of([row(1, "DRAINING")]) != digest_of([row(1, share=2.0)])
    server = ListServer(1)
    server.listed(0, 1, True, rows)
    server.listed(0, 2, False, [row(3, "DRAINING"), row(5, "DELETED")])
    assert server.digest(0) == digest_of([*rows[:3], row(3, "DRAINING"), rows[4], *rows[6:]])


# --- the server ---

@pytest.mark.parametrize("frame, why", [
    (Follow(0, ((SHARDS, 0),)), "shard"), (Follow(0, ((0, 0), (-1, 0))), "shard"), (Unfollow((SHARDS,)), "shard"),
    (Follow(0, ((0, 0),) * (SHARDS + 1)), "size"), (Unfollow((0,) * (SHARDS + 1)), "size"),
    (Current(3), "frame"), (KeysOver(1, ()), "frame")])
def test_the_server_refuses_what_cannot_be_meant(frame: Frame, why: str) -> None:
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


def test_one_peer_too_many_is_refused_until_one_goes() -> None:
    server = ListServer(SHARDS, most_peers=2)
    server.listed(0, 1, True, [])
    for name in "abc":
        server.heard(0, name, Follow(0, ((0, 0),)))
    assert server.refused == {"peers": 1} and server.peers == 2
    server.gone("a")
    assert server.heard(0, "c", Follow(0, ())) == [("c", Current(1))]


def test_a_follow_ahead_of_the_server_waits_until_it_has_caught_up() -> None:
    server = ListServer(SHARDS)
    assert server.heard(0, "new", Follow(0, ((1, 0),))) == [("new", Behind(0))]  # no list yet: no rows are no answer
    server.listed(0, 5, False, [row(1)])
    assert server.heard(0, "new", Follow(0, ((2, 0),))) == [("new", Behind(5))]  # changes are no list either
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


def test_a_long_answer_is_told_in_turns_and_changes_meanwhile_are_in_it() -> None:
    shards = 64
    server = ListServer(shards)
    long = [ListRow(f"h{number}", f"{'x' * 800}:1", "a", "web", number, "SERVING") for number in range(1_000)]
    server.listed(0, 1, True, long)
    told = [frame for _, frame in server.heard(0, "c", Follow(0, tuple((shard, 0) for shard in range(shards))))]
    assert ANSWER_BYTES <= len(msgspec.msgpack.encode(told)) < 2 * ANSWER_BYTES
    change = row(0)
    assert shard_of(0, shards) not in {frame.shard for frame in told}
    assert server.listed(1, 2, False, [change]) == [], "a difference to what was not told yet"
    while not isinstance(told[-1], Current):
        assert server.next_us() < 2_000_000
        told += [frame for _, frame in server.tick(server.next_us())]
    assert sorted(frame.shard for frame in told[:-1]) == list(range(shards))
    assert any(change in frame.rows for frame in told[:-1]) and told[-1] == Current(2)


def test_a_new_whole_list_is_told_as_little_as_it_may() -> None:
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


# --- the courier ---

def mine(shard: int, shards: int = SHARDS) -> ListRow:
    return next(one for one in map(row, range(10_000)) if shard_of(one.block, shards) == shard)


def told(shard: int, *rows: ListRow, seq: int = 10, whole: bool = False, known: tuple[ListRow, ...] = ()) -> ShardRows:
    kept = {one.host: one for one in (*known, *rows) if one.health != "DELETED"}
    return ShardRows(seq, shard, digest_of(kept.values()), whole, rows)


BIG = ListRow("big", "d" * 900 + ":1", "a", "web", mine(0).block, "SERVING")


@pytest.mark.parametrize("frame, why", [
    (told(0, mine(1)), "shard"), (told(0, mine(0), mine(1), whole=True), "shard"), (told(7, mine(7)), "unasked"),
    (told(SHARDS, mine(0)), "shard"), (told(SHARDS), "unasked"),
    (told(0, mine(0), seq=9), "old"), (Current(9), "old"), (KeysOver(1, ()), "frame"), (Follow(0, ()), "frame"),
    (told(0, row(mine(0).block, "DELETED"), whole=True), "row"), (told(0, row(mine(0).block, "WELL")), "row"),
    (told(0, msgspec.structs.replace(mine(0), dial="nowhere")), "row"),
    (told(0, msgspec.structs.replace(mine(0), host="h" * 1_100)), "row"),
    (ShardRows(10, 0, 1, True, (mine(0),) * 65_537), "size"),
    (ShardRows(10, 0, 1, True, tuple(msgspec.structs.replace(BIG, host=str(n)) for n in range(4_700))), "size")])
def test_a_control_machine_that_tells_what_cannot_be_is_left(frame: Frame, why: str) -> None:
    world = World("a", "b")
    world.listed(10, True, [])
    world.act(world.client.follow(world.now_us, range(7)))
    world.run(0)
    control, before = world.client.control, dict(world.seen)
    world.acts.clear()
    world.tell([("courier", frame)])
    assert world.client.refused == {why: 1} and world.seen == before and not world.client.rows_of(0)
    assert world.acts[0] == HangUp(control) and world.client.control not in ("", control)
    assert len(world.notes) == 1 and control in world.notes[0] and "expected" in world.notes[0]
    world.tell([("courier", frame)])
    assert world.client.refused == {why: 2} and len(world.notes) == 1, "a second line within ten seconds"


def test_rows_that_do_not_fit_are_asked_anew_once_then_their_control_machine_is_left() -> None:
    world = at_work("a", "b", rows=[mine(0), mine(1)])
    control = world.client.control
    lie = ShardRows(11, 0, 77, False, (row(mine(0).block, "DRAINING"),))
    world.acts.clear()
    world.tell([("courier", lie)])
    assert world.acts[0] == Tell(control, Follow(10, ((0, 0),))) and world.client.control == control
    assert world.client.rows_of(0) == (mine(0),) and world.client.seq == 10
    world.tell([("courier", told(1, row(mine(1).block, "DRAINING")))])  # another shard's are taken as ever
    assert world.client.rows_of(1)[0].health == "DRAINING"
    world.tell([("courier", lie)])
    assert world.client.control not in ("", control) and world.client.refused == {"digest": 2}
    assert world.client.rows_of(0) == (mine(0),)


def test_what_was_under_way_is_passed_over_and_not_held_against_anybody() -> None:
    world = at_work("a", "b", rows=[mine(0), mine(1)])
    control = world.client.control
    world.act(world.client.unfollow(world.now_us, [0]))
    late = told(0, row(mine(0).block, "DRAINING"))
    world.tell([("courier", late)])
    assert not world.client.knows(0) and world.client.control == control
    world.act(world.client.heard(world.now_us, "b" if control == "a" else "a", told(1, mine(0))))
    world.act(world.client.follow(world.now_us, [0]))
    assert world.client.knows(0) and world.client.control == control and not world.client.refused


def test_a_difference_that_comes_before_the_whole_set_is_passed_over() -> None:
    client = ListClient("courier", ["a"], SHARDS, random.Random(1), 0)
    client.follow(0, [0])
    assert client.tick(0) == [Dial("a")] and client.dialled(0, "a", True) == [Tell("a", Follow(0, ((0, 0),)))]
    assert client.heard(0, "a", told(0, row(mine(0).block, "DRAINING"), known=(mine(1),))) == []
    assert not client.refused and client.control == "a" and not client.knows(0)
    assert client.heard(0, "a", told(0, whole=True)) == [Changed(0, (), True)] and client.knows(0)


@pytest.mark.parametrize("block", range(1, 12))
def test_a_host_that_moves_to_another_destination_stays_listed(block: int) -> None:
    world = at_work("a", rows=[row(0), row(20)])
    for seq, place in enumerate((block, 0, block), 11):
        world.listed(seq, False, [row(0, block=place)])
        assert world.seen == {"h0": row(0, block=place), "h20": row(20)}
    away = shard_of(block, SHARDS)
    stale = told(shard_of(0, SHARDS), *({row(0)} | set(world.client.rows_of(shard_of(0, SHARDS)))), seq=13, whole=True)
    if away != stale.shard:  # two shards have it for a while; then the one told last has not
        world.tell([("courier", stale)])
        world.tell([("courier", told(away, seq=13, whole=True))])
        assert world.seen["h0"] == row(0)


def test_after_good_times_the_next_is_dialled_at_once() -> None:
    world = at_work("a", "b", rows=[row(1)])
    for _ in range(4):
        world.run(10_000_000)
        world.lose()
        assert world.client.control
        world.down.clear()


def test_a_lost_control_machine_costs_no_rows_where_digests_agree() -> None:
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


def test_an_older_control_machine_is_passed_by() -> None:
    world = at_work("a", "b", "c", rows=[row(1)])
    first = world.line
    world.lose()
    old = world.line  # the next in the courier's order
    world.lose()
    world.down.clear()
    world.lose(down=False)
    world.run(250_000)  # a whole round was lost
    assert world.line == first
    world.listed(11, False, [row(2)], *(name for name in world.servers if name != old))
    world.lose()
    assert world.line not in (first, old) and world.sent["Behind"] == 1 and set(world.seen) == {"h1", "h2"}


def test_where_all_are_behind_it_goes_on_with_what_it_has_and_asks_around_ever_later() -> None:
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
    assert max(gaps) <= MOST_BACKOFF_US < sum(gaps) and max(gaps[:2]) < 1_000_000 < max(gaps)
    assert 10 < len(dials) < 100 and set(world.seen) == {"h1", "h2"} and world.client.knows(0)
    world.listed(11, False, [row(2)])
    world.run(8_000_000)
    assert world.client.control and set(world.seen) == {"h1", "h2"}


def test_silence_of_five_seconds_is_a_loss_and_two_are_none() -> None:
    world = at_work("a", "b", rows=[row(1)])
    first = world.client.control
    world.run(60_000_000)
    assert world.client.control == first
    world.down.add(first)  # the connection stays, and nothing comes of it
    silent_us = world.now_us
    while world.client.control == first:
        world.run(max(0, world.client.next_us() - world.now_us))
    assert 3_000_000 < world.now_us - silent_us <= 5_000_000 and world.client.control
    world.down.update("ab")
    world.lose()
    assert not world.client.control
    world.run(60_000_000)
    world.down.clear()
    world.run(MOST_BACKOFF_US)
    assert world.client.control and set(world.seen) == {"h1"}


def test_couriers_are_divided_among_control_machines() -> None:
    names = [f"control{number}" for number in range(17)]
    first = Counter(ListClient(f"courier{number}", names, SHARDS, random.Random(1), 0).tick(0)[0].control
                    for number in range(1_100))
    assert len(first) == 17 and max(first.values()) < 100  # 65 each, by chance
