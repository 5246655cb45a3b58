"""A courier and control machines of the list by shard, connected without sockets."""

from __future__ import annotations

import random
from collections import Counter

import msgspec

from wheelstep.shards.list_acts import Dial, Disconnect, ListAction, Note, RowsChanged, Send
from wheelstep.shards.list_client import ListClient
from wheelstep.shards.list_rows import digest_of
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.types import Frame, ListRow, ShardRows, shard_of

SHARDS = 8


def row(number: int, health: str = "SERVING", share: float = 1.0, block: int | None = None) -> ListRow:
    """A row of discovery's list."""
    block = number if block is None else block
    return ListRow(f"h{number}", f"10.0.0.1:{number + 1}", "a", "web", block, health, share)


def rows_by_shard(rows: list[ListRow], shard: int, shards: int = SHARDS) -> set[ListRow]:
    """The rows of one shard."""
    return {one for one in rows if shard_of(one.block, shards) == shard}


class World:
    """One courier and some control machines. Frames arrive at once and in order, unless the machine is `down`."""

    def __init__(self, *names: str, shards: int = SHARDS) -> None:
        self.now_us = 1_000_000
        self.servers = {name: ListServer(shards) for name in names}
        self.down: set[str] = set()
        self.client = ListClient("courier", names, shards, random.Random(1), self.now_us)
        self.line = ""  # the control machine connected to
        self.seen: dict[str, ListRow] = {}  # the courier's list, built from its `RowsChanged` actions
        self.sent: Counter[str] = Counter()  # frames sent to the courier by type name, and "bytes"
        self.notes: list[str] = []
        self.acts: list[ListAction] = []

    def act(self, acts: list[ListAction]) -> None:
        """Carries out the courier's actions."""
        self.acts += acts
        for act in acts:
            match act:
                case Dial(control):
                    ok = control not in self.down
                    self.line = control if ok else self.line
                    self.act(self.client.dialled(self.now_us, control, ok))
                case Disconnect(control) if control == self.line:
                    self.line = ""
                    self.servers[control].gone("courier")
                case Send(control, frame):
                    assert control == self.line
                    self.tell(self.servers[control].heard(self.now_us, "courier", frame))
                case RowsChanged(_, rows, _):
                    for one in rows:
                        self.seen.pop(one.host, None)
                        if one.health != "DELETED":
                            self.seen[one.host] = one
                case Note(text):
                    self.notes.append(text)

    def tell(self, tells: list[tuple[str, Frame]], by: str = "") -> None:
        """Delivers a control machine's frames to the courier."""
        for _, frame in tells:
            self.sent[type(frame).__name__] += 1
            self.sent["bytes"] += len(msgspec.msgpack.encode(frame))
            if self.line:
                self.act(self.client.heard(self.now_us, by or self.line, frame))

    def listed(self, seq: int, whole: bool, rows: list[ListRow], *names: str) -> None:
        """Discovery sends a list or changes to these control machines, or to all."""
        for name in names or tuple(self.servers):
            tells = self.servers[name].listed(self.now_us, seq, whole, rows)
            if name == self.line:
                self.tell(tells, name)

    def lose(self, down: bool = True) -> str:
        """The connection is lost, and with `down` its control machine too; its name."""
        name, self.line = self.line, ""
        if down:
            self.down.add(name)
        self.servers[name].gone("courier")
        self.act(self.client.lost(self.now_us, name))
        return name

    def run(self, span_us: int) -> None:
        """Lets time pass."""
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
    """A world whose courier follows all shards."""
    world = World(*names, shards=shards)
    world.listed(10, True, rows)
    world.act(world.client.follow(world.now_us, range(shards)))
    world.run(0)
    return world


def mine(shard: int, shards: int = SHARDS) -> ListRow:
    """A row that lies in the shard."""
    return next(one for one in map(row, range(10_000)) if shard_of(one.block, shards) == shard)


def told(shard: int, *rows: ListRow, seq: int = 10, whole: bool = False, known: tuple[ListRow, ...] = ()) -> ShardRows:
    """A frame with rows of the shard and the digest of `known` with these rows applied."""
    kept = {one.host: one for one in (*known, *rows) if one.health != "DELETED"}
    return ShardRows(seq, shard, digest_of(kept.values()), whole, rows)
