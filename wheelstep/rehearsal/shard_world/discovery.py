"""The true endpoint list, and when each control machine received which version of it."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from wheelstep.courier.config import Names
from wheelstep.courier.rows import Row
from wheelstep.rehearsal.shard_world.net import Fabric
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, World
from wheelstep.shards.types import ListRow

NAME = "disc"
NAMES = Names(("safe", "ordered", "unsafe"), ("",), ("r1", "r2"), ())
RETRY_US = 500 * MS

OnList = Callable[[int, bool, Sequence[ListRow]], None]


def parse_row(row: ListRow) -> Row:
    """Parse a row as the daemon does."""
    return NAMES.parse_row({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind, "block": row.block,
                        "health": row.health, "share": row.share})


@dataclass(slots=True)
class Discovery:
    """The endpoint list. Each change raises its version by one; control machines hear of it within some 100 ms."""

    world: World
    fabric: Fabric
    rng: random.Random
    rows: dict[str, ListRow] = field(default_factory=dict)
    changes: list[ListRow] = field(default_factory=list)  # the row that changed, by version - 1
    received_us: dict[tuple[str, int], int] = field(default_factory=dict)  # when a control machine received a version
    not_serving_since: dict[str, int] = field(default_factory=dict)  # endpoint: version since which it rejects messages

    @property
    def seq(self) -> int:
        """The latest version."""
        return len(self.changes)

    def change(self, row: ListRow) -> None:
        """Add or replace a row; with the health `DELETED`, remove it."""
        if row.health == "DELETED":
            self.rows.pop(row.host, None)
        else:
            self.rows[row.host] = row
        self.changes.append(row)
        if row.health == "SERVING":
            self.not_serving_since.pop(row.host, None)
        else:
            self.not_serving_since.setdefault(row.host, self.seq)
        self.world.trace(NAME, "change", self.seq, row.host, row.health)

    def set_health(self, host: str, health: str) -> None:
        """Change the health of one row."""
        self.change(msgspec.structs.replace(self.rows[host], health=health))

    def watch(self, process: Process, on_list: OnList) -> None:
        """Send a control machine the whole list and then each change, while its process runs."""
        state = {"seq": -1}

        def poll() -> None:
            if not process.alive:
                return
            if process.stopped or self.fabric.blocked(NAME, process.name) or self.fabric.blocked(process.name, NAME):
                self.world.call_after(RETRY_US, poll)
                return
            if state["seq"] < self.seq:
                whole, seq = state["seq"] < 0, self.seq
                rows = list(self.rows.values()) if whole else self.changes[state["seq"]:]
                state["seq"] = seq
                process.deliver(self._record_received, process.name, seq)
                process.deliver(on_list, seq, whole, rows)
            self.world.call_after(30 * MS + int(self.rng.random() * 250 * MS), poll)
        poll()

    def _record_received(self, name: str, seq: int) -> None:
        for version in range(seq, 0, -1):
            if (name, version) in self.received_us:
                break
            self.received_us[name, version] = self.world.now_us

    def is_serving(self, destination: int) -> bool:
        """Return whether the list holds an endpoint of a destination that takes messages."""
        return any(row.block == destination and row.health == "SERVING" for row in self.rows.values())
