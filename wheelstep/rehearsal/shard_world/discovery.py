"""The list as it truly is, and which control machine has had what of it when."""

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
AGAIN_US = 500 * MS

Told = Callable[[int, bool, Sequence[ListRow]], None]


def read(row: ListRow) -> Row:
    """As the daemon reads a row."""
    return NAMES.parse_row({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind, "block": row.block,
                        "health": row.health, "share": row.share})


@dataclass(slots=True)
class Discovery:
    """Versions rise by one with each change. Control machines wait at it and hear within some hundred milliseconds."""

    world: World
    fabric: Fabric
    rng: random.Random
    rows: dict[str, ListRow] = field(default_factory=dict)
    log: list[ListRow] = field(default_factory=list)  # the change to each version
    had_us: dict[tuple[str, int], int] = field(default_factory=dict)  # when a control machine had a version
    off_seq: dict[str, int] = field(default_factory=dict)  # the version from which on an endpoint takes nothing new

    @property
    def seq(self) -> int:
        """The newest version."""
        return len(self.log)

    def change(self, row: ListRow) -> None:
        """A row is new, other, or (`DELETED`) gone."""
        if row.health == "DELETED":
            self.rows.pop(row.host, None)
        else:
            self.rows[row.host] = row
        self.log.append(row)
        if row.health == "SERVING":
            self.off_seq.pop(row.host, None)
        else:
            self.off_seq.setdefault(row.host, self.seq)
        self.world.trace(NAME, "change", self.seq, row.host, row.health)

    def turn(self, host: str, health: str) -> None:
        """One row's health changes."""
        self.change(msgspec.structs.replace(self.rows[host], health=health))

    def watch(self, process: Process, told: Told) -> None:
        """Tell this control machine all, then each change, while it lives."""
        state = {"seq": -1}

        def look() -> None:
            if not process.alive:
                return
            if process.stopped or self.fabric.blocked(NAME, process.name) or self.fabric.blocked(process.name, NAME):
                self.world.after(AGAIN_US, look)
                return
            if state["seq"] < self.seq:
                whole, seq = state["seq"] < 0, self.seq
                rows = list(self.rows.values()) if whole else self.log[state["seq"]:]
                state["seq"] = seq
                process.deliver(self._had, process.name, seq)
                process.deliver(told, seq, whole, rows)
            self.world.after(30 * MS + int(self.rng.random() * 250 * MS), look)
        look()

    def _had(self, name: str, seq: int) -> None:
        for one in range(seq, 0, -1):
            if (name, one) in self.had_us:
                break
            self.had_us[name, one] = self.world.now_us

    def up(self, destination: int) -> bool:
        """Does the list name an endpoint of it that takes messages?"""
        return any(row.block == destination and row.health == "SERVING" for row in self.rows.values())
