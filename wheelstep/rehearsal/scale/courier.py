"""A hollow courier: a real shard node on real sockets with the run's delays and cuts, and a courier port without a
journal."""

from __future__ import annotations

import contextlib
import random
import re
from collections import Counter
from dataclasses import dataclass, field

from wheelstep.courier.rows import Row
from wheelstep.fleet.membership import QUIET_ROLLS, MemberLimits, Membership
from wheelstep.fleet.types import Member, Roll, State
from wheelstep.rehearsal.scale.downs import OutageSchedule
from wheelstep.rehearsal.scale.links import Links
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import CallCounts, PartnerTable
from wheelstep.rehearsal.scale.plan import FLEET_NAME, Plan, Site, fleet_key
from wheelstep.rehearsal.scale.settings import NAMES, courier_settings
from wheelstep.rehearsal.scale.shelf import HollowCourierPort
from wheelstep.rehearsal.scale.traffic import ClientTraffic, DestinationSampler, Histogram
from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.net import Sockets
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.types import ListRow
from wheelstep.simhost import settings_from


def parse_row(list_row: ListRow) -> Row:
    """Convert a row of a control machine's list to a courier's row."""
    return NAMES.parse_row({"host": list_row.host, "dial": list_row.dial, "site": list_row.site, "class": list_row.kind,
                            "block": list_row.block, "health": list_row.health, "share": list_row.share})


@dataclass
class SharedState:
    """What the hollow couriers of one process share: the plan, the settings and the counters."""

    plan: Plan
    links: Links
    counts: CallCounts = field(default_factory=CallCounts)
    answers: Counter[str] = field(default_factory=Counter)
    answer_times: Histogram = field(default_factory=Histogram)
    durable_wait_times: Histogram = field(default_factory=Histogram)
    log_line_counts: Counter[str] = field(default_factory=Counter)  # keys as `count_log_line` makes them
    unhandled_exceptions: int = 0

    def __post_init__(self) -> None:
        plan = self.plan
        self.zones = plan.zones_of_addresses()
        self.control = plan.control_machines()
        self.settings = settings_from(courier_settings(plan.hollow + plan.real if plan.undivided else plan.regions))
        self.outages = OutageSchedule(plan.seed, plan.down_share, plan.down_s)
        self.seeds = plan.seeds()
        self.starts: Counter[str] = Counter()
        self.members = tuple(as_member(site, plan.boot) for site in plan.sites() if site.host >= 0)
        self.loop_epoch_s = plan.epoch_s  # the loop's clock is the machine's monotonic clock

    def count_log_line(self, text: str) -> None:
        """Count a log line for operators by its first twelve words, with numbers replaced by N. Once there are 1,000
        different lines, nothing more is counted."""
        if len(self.log_line_counts) < 1_000:
            self.log_line_counts[re.sub(r"\d+", "N", " ".join(text.split()[:12]))] += 1


def as_member(site: Site, boot: int) -> Member:
    """Return the membership entry that other couriers hold for this courier."""
    return Member(site.name, boot, State.ALIVE, site.address, site.serves, 1.0, site.zone)


def skip_roll_reading(membership: Membership, rng: random.Random) -> None:
    """Make the membership behave as after reading tables that named nobody new: it reads the next one at a random time
    of its own."""
    membership._quiet_rolls = QUIET_ROLLS
    membership._period = rng.randrange(MemberLimits().hello_periods)


class HollowCourier:
    """One hollow courier from one start to its end; a restarted courier is a new object."""

    def __init__(self, shared: SharedState, site: Site) -> None:
        self.shared, self.site = shared, site
        plan = shared.plan
        boot = plan.boot + shared.starts[site.name]
        shared.starts[site.name] += 1
        rng = random.Random(f"{plan.seed}/{site.name}/{boot}")
        self._rng = rng
        self.net = DelayedNet(Sockets(), site.zone, shared.zones, shared.links, frozenset(shared.control.values()))
        partners = PartnerTable(shared.outages, shared.counts, shared.settings.conn_idle_us / 1e6, 1.0, rng)
        self.admission = HollowCourierPort(shared.settings, rng.randrange(1 << 30), plan.shards, partners,
                                           shared.counts, shared.loop_epoch_s)
        self.node = ShardNode(
            as_member(site, boot), NodeSettings(shards=plan.shards, members=MemberLimits(period_us=plan.probe_us)),
            {name: address for name, address in shared.seeds.items() if name != site.name}, shared.control,
            [fleet_key(plan)], FLEET_NAME, boot, self.admission, self.net, parse_row, rng, shared.count_log_line)
        self.traffic = ClientTraffic(site.name, self.node.desk, lambda: self.node.ready,
                                     DestinationSampler(plan.destinations, rng), rng, shared.answers,
                                     shared.answer_times, shared.durable_wait_times)
        self.marked_shards: frozenset[int] = frozenset()

    @property
    def ready(self) -> bool:
        """Whether the courier accepts messages from clients."""
        return self.node.ready

    @property
    def powered_off(self) -> bool:
        """Whether the courier was stopped by `power_off` and not closed yet."""
        return self.net.powered_off

    def preload_members(self) -> None:
        """Before the start: enter all hollow couriers as members and put the membership into the state of a courier
        that has been up for a while, reading another's table at a random time of its own. The start of a whole fleet at
        one moment is not what a run measures: it would cost each hash ring a change per member, and all couriers would
        read tables within the same second."""
        others = tuple(one for one in self.shared.members if one.name != self.site.name)
        if others:
            roll = Roll(0, others)
            self.node._run_member_actions(self.node.membership.heard(
                self.node.now_us(), others[0].name, others[0].address, roll))
            skip_roll_reading(self.node.membership, self._rng)

    async def start(self) -> None:
        """Listen and start the shard node. Raises `OSError`."""
        await self.node.start(self.site.address)

    def shards(self) -> frozenset[int]:
        """Return the shards whose home this courier is, as it sees it."""
        return frozenset(self.node.homes.own_shards())

    def opening(self) -> int:
        """Return the number of shards that wait for list rows or for learned state."""
        return len(self.node.hosting.shards_in(ShardPhase.OPENING))

    def considers_present(self, name: str) -> bool:
        """Return whether this courier considers the named one present, so that it may be a home."""
        known = self.node.membership.member(name)
        return known is not None and known.state < State.LEAVING

    def members(self) -> int:
        """Return the number of couriers known here, itself included."""
        return len(self.node.membership.members())

    def figures(self) -> dict[str, float]:
        """Return the node's figures, which may be summed over couriers."""
        return {f"node_{name}": value for name, value in self.node.figures().items()}

    async def leave(self) -> list[str]:
        """End as planned, after handing over to others. Return the ids of the messages still held, which a real
        courier's next process would find in its journal."""
        self.traffic.stop()
        await self.node.leave()
        return await self._end()

    async def kill(self) -> list[str]:
        """End as by SIGKILL: the sockets close and nothing more is sent. Return the ids of the messages held."""
        self.net.output_stopped = True
        return await self._end()

    def power_off(self) -> list[str]:
        """End as by a loss of power: nothing is sent or received any more, and the sockets stay open until `close`.
        Return the ids of the messages held."""
        self.traffic.stop()
        self.net.powered_off = True
        self.admission.stop()
        return list(self.admission.held)

    async def _end(self) -> list[str]:
        self.traffic.stop()
        self.admission.stop()
        await self._close()
        return list(self.admission.held)

    async def _close(self) -> None:
        """Close the node. A dial that ends after the close sets the node's timer again; in a real courier the process
        ends with it, here the timer callback is disabled."""
        with contextlib.suppress(OSError):
            await self.node.close()
        self.node._tick = lambda: None  # type: ignore[method-assign]

    async def close(self) -> None:
        """Close the sockets that `power_off` left open."""
        self.net.powered_off, self.net.output_stopped = False, True
        await self._close()
