"""One hollow courier: a real shard node on real sockets, behind the run's distances, over a hollow shelf."""

from __future__ import annotations

import contextlib
import random
import re
from collections import Counter
from dataclasses import dataclass, field

from wheelstep.courier.rows import Row
from wheelstep.fleet.membership import QUIET_ROLLS, MemberLimits, Membership
from wheelstep.fleet.types import Member, Roll, State
from wheelstep.rehearsal.scale.downs import Downs
from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import Counts, Partners
from wheelstep.rehearsal.scale.plan import FLEET, Plan, Site, key
from wheelstep.rehearsal.scale.settings import NAMES, settings
from wheelstep.rehearsal.scale.shelf import HollowShelf
from wheelstep.rehearsal.scale.traffic import Draw, Histogram, Traffic
from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.net import Sockets
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.types import ListRow
from wheelstep.simhost import settings_from


def read_row(line: ListRow) -> Row:
    """A courier's row of a line of the list."""
    return NAMES.parse_row({"host": line.host, "dial": line.dial, "site": line.site, "class": line.kind,
                        "block": line.block, "health": line.health, "share": line.share})


@dataclass
class Shared:
    """What the couriers of a process share."""

    plan: Plan
    links: Links
    counts: Counts = field(default_factory=Counts)
    answers: Counter[str] = field(default_factory=Counter)
    took: Histogram = field(default_factory=Histogram)
    waited: Histogram = field(default_factory=Histogram)
    notes: Counter[str] = field(default_factory=Counter)  # operators' lines by their first words
    exceptions: int = 0  # that nobody heard

    def __post_init__(self) -> None:
        plan = self.plan
        self.zones = plan.zones_of_addresses()
        self.control = plan.control_machines()
        self.settings = settings_from(settings(plan.hollow + plan.real if plan.undivided else plan.regions))
        self.downs = Downs(plan.seed, plan.down_share, plan.down_s)
        self.seeds = plan.seeds()
        self.lives: Counter[str] = Counter()
        self.members = tuple(member(site, plan.boot) for site in plan.sites() if site.host >= 0)
        self.loop_epoch_s = plan.epoch_s  # the loop's clock is the machine's

    def note(self, text: str) -> None:
        """A line for operators: counted by how it begins."""
        if len(self.notes) < 1_000:
            self.notes[re.sub(r"\d+", "N", " ".join(text.split()[:12]))] += 1


def member(site: Site, boot: int) -> Member:
    """What others are told of it."""
    return Member(site.name, boot, State.ALIVE, site.address, site.serves, 1.0, site.zone)


def settle(membership: Membership, rng: random.Random) -> None:
    """It has looked into tables that told of nobody new, and looks again at a moment of its own."""
    membership._quiet_rolls = QUIET_ROLLS
    membership._period = rng.randrange(MemberLimits().hello_periods)


class HollowCourier:
    """One life of it."""

    def __init__(self, shared: Shared, site: Site) -> None:
        self.shared, self.site = shared, site
        plan = shared.plan
        boot = plan.boot + shared.lives[site.name]
        shared.lives[site.name] += 1
        rng = random.Random(f"{plan.seed}/{site.name}/{boot}")
        self._rng = rng
        self.net = DelayedNet(Sockets(), site.zone, shared.zones, shared.links, frozenset(shared.control.values()))
        partners = Partners(shared.downs, shared.counts, shared.settings.conn_idle_us / 1e6, 1.0, rng)
        self.shelf = HollowShelf(shared.settings, rng.randrange(1 << 30), plan.shards, partners, shared.counts,
                                 shared.loop_epoch_s)
        self.node = ShardNode(
            member(site, boot), NodeSettings(shards=plan.shards, members=MemberLimits(period_us=plan.probe_us)),
            {name: address for name, address in shared.seeds.items() if name != site.name}, shared.control,
            [key(plan)], FLEET, boot, self.shelf, self.net, read_row, rng, shared.note)
        self.traffic = Traffic(site.name, self.node.desk, lambda: self.node.ready, Draw(plan.destinations, rng), rng,
                               shared.answers, shared.took, shared.waited)
        self.marked: frozenset[int] = frozenset()

    @property
    def ready(self) -> bool:
        """May clients come?"""
        return self.node.ready

    @property
    def silent(self) -> bool:
        """Has it died without a word?"""
        return self.net.silent

    def prime(self) -> None:
        """Before its start: it hears of all hollow couriers at once, and is as one that has been up for a while: it
        looks into another's table at a moment of its own. A whole fleet that begins at one moment is nothing that is
        measured here: it costs each ring a change for every member, and all look into tables in the same second."""
        others = tuple(one for one in self.shared.members if one.name != self.site.name)
        if others:
            told = Roll(0, others)
            self.node._run_member_actions(self.node.membership.heard(
                self.node.now_us(), others[0].name, others[0].address, told))
            settle(self.node.membership, self._rng)

    async def start(self) -> None:
        """Listen and begin. Raises `OSError`."""
        await self.node.start(self.site.address)

    def shards(self) -> frozenset[int]:
        """Those that it is home of, by its own view."""
        return frozenset(self.node.homes.own_shards())

    def opening(self) -> int:
        """Shards that wait for rows or for what was learned."""
        return len(self.node.hosting.shards_in(ShardPhase.OPENING))

    def sees(self, name: str) -> bool:
        """Does it hold this courier for one that may be home?"""
        member = self.node.membership.member(name)
        return member is not None and member.state < State.LEAVING

    def members(self) -> int:
        """Couriers that it knows, itself included."""
        return len(self.node.membership.members())

    def figures(self) -> dict[str, float]:
        """Numbers that add up over couriers."""
        return {f"node_{name}": value for name, value in self.node.figures().items()}

    async def leave(self) -> list[str]:
        """A planned end: others take over first. What it still owes then, as a real one's next process would find in
        its journal."""
        self.traffic.stop()
        await self.node.leave()
        return await self._end()

    async def kill(self) -> list[str]:
        """SIGKILL: its sockets end, and nothing is said."""
        self.net.mute = True
        return await self._end()

    def silence(self) -> list[str]:
        """The machine lost its power: nothing comes from it any more. Its sockets stay until `close`."""
        self.traffic.stop()
        self.net.silent = True
        self.shelf.end()
        return list(self.shelf.held)

    async def _end(self) -> list[str]:
        self.traffic.stop()
        self.shelf.end()
        await self._close()
        return list(self.shelf.held)

    async def _close(self) -> None:
        """A node's timer is set again by a dial ending after its close. Processes end with it, this one does not."""
        with contextlib.suppress(OSError):
            await self.node.close()
        self.node._tick = lambda: None  # type: ignore[method-assign]

    async def close(self) -> None:
        """What `silence` left."""
        self.net.silent, self.net.mute = False, True
        await self._close()
