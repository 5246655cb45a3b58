"""The list by shard: a control machine's decisions and a courier's, face to face, without sockets."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheelstep.shards import list_rows
from wheelstep.shards.list_acts import Changed, Dial, HangUp, ListAct, Note, Tell
from wheelstep.shards.list_client import MOST_BACKOFF_US, ListClient
from wheelstep.shards.list_rows import digest_of
from wheelstep.shards.list_server import ANSWER_BYTES, ListServer
from wheelstep.shards.types import Behind, Current, Follow, Frame, KeysOver, ListRow, ShardRows, Unfollow, shard_of

SHARDS = 8


def row(number: int, health: str = "SERVING", share: float = 1.0, block: int | None = None) -> ListRow:
    return ListRow(f"h{number}", f"10.0.0.1:{number + 1}", "a", "web", number if block is None else block, health, share)


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


@settings(max_examples=150, deadline=None)
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
                seq, told, whole = seq + 1, [row(number, health, 1.0, block) for number, health, block in changes], False
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
    assert world.seen == model and not world.client.refused
