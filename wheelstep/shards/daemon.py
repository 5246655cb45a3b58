"""A courier of a sharded fleet: the node on sockets, a clock and a log on disk, before the client server.

Only imported where the operator's file has `[fleet.shards]` with `on = true`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.courier.core import Core
from wheelstep.courier.desk import Desk, Front
from wheelstep.courier.rows import Row
from wheelstep.fleet.log import Log, LogDamagedError
from wheelstep.fleet.membership import Limits as MemberLimits
from wheelstep.fleet.settings import Fleet, FleetPart
from wheelstep.fleet.types import Member, State
from wheelstep.journal import Journal
from wheelstep.journal.disk import Folder
from wheelstep.shards.book import ShardBook
from wheelstep.shards.net import Sockets
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.shelf import CoreShelf
from wheelstep.shards.types import ListRow

_FIGURES_S = 10.0

log = logging.getLogger("wheelstep.shards")


def settings_of(part: FleetPart) -> NodeSettings:
    """The node's, of the operator's table."""
    shards = part.shards
    return NodeSettings(shards.count, shards.load, shards.guests, shards.guest_idle, shards.opens_within,
                        shards.push_every, members=MemberLimits(period_us=part.probe_every))


class ShardDaemon:
    """`kept` goes beneath the core in the journal's place, and `config` is what the core is told. Raises
    `ConfigError`."""

    lists = True  # which endpoints there are comes from control machines

    def __init__(self, config: Config, fleet: Fleet, journal: Journal) -> None:
        self._fleet, self._part = fleet, fleet.part
        # A limit is shared by one home in each region in place of all couriers.
        self.config = replace(config, settings=replace(config.settings, senders=fleet.part.shards.regions))
        self.kept = ShardBook(journal, fleet.part.shards.count)
        folder = config.state / "fleet"
        folder.mkdir(parents=True, exist_ok=True)
        _same_count(folder / "shards", fleet.part.shards.count)
        self._boot = _boot(Folder(folder), folder)

    def join(self, core: Core) -> tuple[Desk, Front | None, Callable[[int], Desk] | None]:
        """What the client server asks: who tells whether all is ready, and the desk of each destination."""
        core.endpoints.knows_list = True  # a destination that no row names is unknown, whether or not rows have come
        self._shelf = CoreShelf(core, self.kept, self._part.shards.count)
        return core, None, lambda destination: self.node.desk(destination)

    def restore(self) -> None:
        """Take up what the journal holds. Rows of its shards come once the node has started."""
        part, config = self._part, self.config
        listen = Address.parse(part.listen or "")
        me = Member(config.name, self._boot, State.ALIVE, part.address or f"{listen.host}:{listen.port}",
                    part.serves or f"{config.listen.host}:{config.listen.port}", part.weight, part.zone)
        peers = {name: address for name, address in part.peers.items() if name != config.name}
        self.node = ShardNode(me, settings_of(part), peers, part.shards.control, self._fleet.keys, part.name,
                              self._boot, self._shelf, Sockets(), self._read,
                              random.Random(f"{config.seed} {self._boot}"),
                              lambda text: log.info("%s", text), frozenset(config.names.classes))
        self._shelf.restore()

    def _read(self, row: ListRow) -> Row:
        return self.config.names.entry({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind,
                                         "block": row.block, "health": row.health, "share": row.share})

    async def start(self) -> None:
        """Listen to peers, and take part. Raises `ConfigError`."""
        try:
            await self.node.start(self._part.listen or "")
        except OSError as error:
            raise ConfigError(f"fleet.listen: {self._part.listen}: {error}") from error
        while not self.node.ready:
            await asyncio.sleep(0.01)

    async def run(self) -> None:
        """Tell operators the figures now and then, for good."""
        told: dict[str, int] = {}
        while True:
            await asyncio.sleep(_FIGURES_S)
            figures = self.node.figures()
            if figures != told:
                told = figures
                log.info("figures: %s", " ".join(f"{name}={value}" for name, value in sorted(figures.items())))

    def renew(self, fleet: Fleet) -> None:
        """The operator's file was read again: all of it counts at the next start."""

    async def leave(self) -> None:
        """Others become home of this courier's shards, and hear what it has learned."""
        await self.node.leave()

    async def close(self) -> None:
        """The process ends."""
        await self.node.close()


def _same_count(path: Path, count: int) -> None:
    """Guards destinations against two homes by two counts."""
    try:
        known = int(path.read_text(encoding="ascii"))
    except FileNotFoundError:
        path.write_text(f"{count}\n", encoding="ascii")
        return
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}; expected the number of shards") from error
    if known != count:
        raise ConfigError(f"fleet.shards.count: {count}; expected {known}, with which {path} was begun: the number of "
                          "shards of a fleet never changes")


def _boot(disk: Folder, folder: Path) -> int:
    """This life's number, above those of all lives before, on disk from now on."""
    least = int(time.time())
    try:
        found, _ = Log.open(disk, least)
    except LogDamagedError as error:
        log.error("%s: put aside", error)
        found = Log.anew(disk, max(least, error.boot + 1))
    except OSError as error:
        raise ConfigError(f"{folder}: {error}") from error
    boot = found.boot
    found.close()
    return boot
