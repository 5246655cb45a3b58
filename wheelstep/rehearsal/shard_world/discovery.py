"""The true list of endpoints, and when each control machine received which version of it."""

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

DISCOVERY_NAME = "disc"
NAMES = Names(("safe", "ordered", "unsafe"), ("",), ("r1", "r2"), ())
RETRY_US = 500 * MS

ListListener = Callable[[int, bool, Sequence[ListRow]], None]  # version, whether the rows are the whole list, rows


def parse_row(row: ListRow) -> Row:
    """Parse a row as the daemon does."""
    return NAMES.parse_row({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind, "block": row.block,
                        "health": row.health, "share": row.share})


@dataclass(slots=True)
class Discovery:
    """The list; each change raises its version by one. Control machines receive changes within a few hundred
    milliseconds. A version takes an endpoint out by draining or deleting it."""

    world: World
    fabric: Fabric
    rng: random.Random
    rows: dict[str, ListRow] = field(default_factory=dict)
    changes: list[ListRow] = field(default_factory=list)  # the change to each version
    received_us: dict[tuple[str, int], int] = field(default_factory=dict)  # control machine, version -> time
    unavailable_since_seq: dict[str, int] = field(default_factory=dict)  # endpoint -> version that took it out

    @property
    def seq(self) -> int:
        """The newest version."""
        return len(self.changes)

    def apply_change(self, row: ListRow) -> None:
        """Add or replace a row; one with the health `DELETED` is removed."""
        if row.health == "DELETED":
            self.rows.pop(row.host, None)
        else:
            self.rows[row.host] = row
        self.changes.append(row)
        if row.health == "SERVING":
            self.unavailable_since_seq.pop(row.host, None)
        else:
            self.unavailable_since_seq.setdefault(row.host, self.seq)
        self.world.trace(DISCOVERY_NAME, "change", self.seq, row.host, row.health)

    def set_health(self, host: str, health: str) -> None:
        """Change the health of one row."""
        self.apply_change(msgspec.structs.replace(self.rows[host], health=health))

    def watch(self, process: Process, listener: ListListener) -> None:
        """Deliver the whole list and then each change to a control machine's process, until the process ends."""
        state = {"seq": -1}

        def poll() -> None:
            if not process.alive:
                return
            if process.paused or self.fabric.is_blocked(DISCOVERY_NAME, process.name) \
                    or self.fabric.is_blocked(process.name, DISCOVERY_NAME):
                self.world.schedule_after(RETRY_US, poll)
                return
            if state["seq"] < self.seq:
                whole, seq = state["seq"] < 0, self.seq
                rows = list(self.rows.values()) if whole else self.changes[state["seq"]:]
                state["seq"] = seq
                process.deliver(self._record_received, process.name, seq)
                process.deliver(listener, seq, whole, rows)
            self.world.schedule_after(30 * MS + int(self.rng.random() * 250 * MS), poll)
        poll()

    def _record_received(self, name: str, seq: int) -> None:
        for version in range(seq, 0, -1):
            if (name, version) in self.received_us:
                break
            self.received_us[name, version] = self.world.now_us

    def has_serving_endpoint(self, destination: int) -> bool:
        """Return whether the list holds a serving endpoint of the destination."""
        return any(row.block == destination and row.health == "SERVING" for row in self.rows.values())
