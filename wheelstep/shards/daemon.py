"""A courier of a sharded fleet: connects the node to sockets, a clock and its log on disk, and to the client server.

Imported only where the operator's file has `[fleet.shards]` with `on = true`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from wheelstep.courier.admission import Admission, ClientApi
from wheelstep.courier.config import Address, Config, ConfigError
from wheelstep.courier.core import Core
from wheelstep.courier.rows import Row
from wheelstep.fleet.log import Log, LogDamagedError
from wheelstep.fleet.membership import MemberLimits
from wheelstep.fleet.settings import FleetConfig, FleetTable
from wheelstep.fleet.types import Member, State
from wheelstep.journal import Journal
from wheelstep.journal.disk import Folder
from wheelstep.shards.core_adapter import CoreAdapter
from wheelstep.shards.net import Sockets
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.shard_journal import ShardBook
from wheelstep.shards.types import ListRow

_FIGURES_S = 10.0

log = logging.getLogger("wheelstep.shards")


def settings_of(part: FleetTable) -> NodeSettings:
    """The node's settings from the operator's table."""
    shards = part.shards
    return NodeSettings(shards.count, shards.load, shards.guests, shards.guest_idle, shards.opens_within,
                        shards.push_every, members=MemberLimits(period_us=part.probe_every))


class ShardDaemon:
    """Runs a shard node beside a courier's core. `kept` takes the journal's place beneath the core, and `config` is the
    configuration the core receives. Raises `ConfigError`."""

    lists = True  # control machines send the list of endpoints

    def __init__(self, config: Config, fleet: FleetConfig, journal: Journal) -> None:
        self._fleet, self._part = fleet, fleet.table
        # A rate limit is divided among one home per region instead of all couriers.
        self.config = replace(config, settings=replace(config.settings, senders=fleet.table.shards.regions))
        self.kept = ShardBook(journal, fleet.table.shards.count)
        folder = config.state / "fleet"
        folder.mkdir(parents=True, exist_ok=True)
        _check_shard_count(folder / "shards", fleet.table.shards.count)
        self._boot = _boot(Folder(folder), folder)

    def join(self, core: Core) -> tuple[Admission, ClientApi | None, Callable[[int], Admission] | None]:
        """What the client server uses: the admission that tells whether all is ready, no front, and a function from a
        destination to its admission."""
        core.endpoints.knows_list = True  # a destination without a row is unknown, even before rows have arrived
        self._core_adapter = CoreAdapter(core, self.kept, self._part.shards.count)
        return core, None, lambda destination: self.node.desk(destination)

    def restore(self) -> None:
        """Restores the state held by the journal. Rows of its shards arrive once the node has started."""
        part, config = self._part, self.config
        listen = Address.parse(part.listen or "")
        me = Member(config.name, self._boot, State.ALIVE, part.address or f"{listen.host}:{listen.port}",
                    part.serves or f"{config.listen.host}:{config.listen.port}", part.weight, part.zone)
        peers = {name: address for name, address in part.peers.items() if name != config.name}
        self.node = ShardNode(me, settings_of(part), peers, part.shards.control, self._fleet.keys, part.name,
                              self._boot, self._core_adapter, Sockets(), self._read,
                              random.Random(f"{config.seed} {self._boot}"),
                              lambda text: log.info("%s", text), frozenset(config.names.classes))
        self._core_adapter.restore()

    def _read(self, row: ListRow) -> Row:
        return self.config.names.parse_row({"host": row.host, "dial": row.dial, "site": row.site, "class": row.kind,
                                         "block": row.block, "health": row.health, "share": row.share})

    async def start(self) -> None:
        """Listens for peers and waits until the node is ready. Raises `ConfigError`."""
        try:
            await self.node.start(self._part.listen or "")
        except OSError as error:
            raise ConfigError(f"fleet.listen: {self._part.listen}: {error}") from error
        while not self.node.ready:
            await asyncio.sleep(0.01)

    async def run(self) -> None:
        """Logs the node's figures whenever they changed; never returns."""
        last_figures: dict[str, int] = {}
        while True:
            await asyncio.sleep(_FIGURES_S)
            figures = self.node.figures()
            if figures != last_figures:
                last_figures = figures
                log.info("figures: %s", " ".join(f"{name}={value}" for name, value in sorted(figures.items())))

    def renew(self, fleet: FleetConfig) -> None:
        """Does nothing: changes of the operator's file take effect at the next start."""

    async def leave(self) -> None:
        """Hands this courier's shards, and what it has learned, over to other couriers."""
        await self.node.leave()

    async def close(self) -> None:
        """Stops the node; the process ends."""
        await self.node.close()


def _check_shard_count(path: Path, count: int) -> None:
    """Checks the number of shards against the one the fleet was started with: with two counts a destination could have
    two homes."""
    try:
        known = int(path.read_text(encoding="ascii"))
    except FileNotFoundError:
        path.write_text(f"{count}\n", encoding="ascii")
        return
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}; expected the number of shards") from error
    if known != count:
        raise ConfigError(f"fleet.shards.count: {count}; expected {known}, the count recorded in {path}: the number of "
                          "shards of a fleet cannot change")


def _boot(disk: Folder, folder: Path) -> int:
    """The boot number of this process: higher than those of all earlier ones, and stored on disk."""
    least = int(time.time())
    try:
        found, _ = Log.open(disk, least)
    except LogDamagedError as error:
        log.error("%s: the damaged log is set aside", error)
        found = Log.create_after_damage(disk, max(least, error.boot + 1))
    except OSError as error:
        raise ConfigError(f"{folder}: {error}") from error
    boot = found.boot
    found.close()
    return boot
