"""A hollow courier without division of destinations, for comparison: the same membership, the whole list from
discovery, and every destination in its decision module. It delivers every message submitted to it itself."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from wheelstep import interface as api
from wheelstep.courier.admission import Admission
from wheelstep.courier.config import Address
from wheelstep.courier.watch import Watch
from wheelstep.fleet.datagrams import Datagrams
from wheelstep.fleet.membership import MemberLimits, Membership
from wheelstep.fleet.packets import HigherBoot, PacketSeal
from wheelstep.fleet.types import Action, Packet, Roll, SendPacket, State
from wheelstep.rehearsal.scale.courier import SharedState, as_member, skip_roll_reading
from wheelstep.rehearsal.scale.desk import HollowAdmission
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import PartnerTable
from wheelstep.rehearsal.scale.plan import FLEET_NAME, Site, fleet_key
from wheelstep.rehearsal.scale.settings import NAMES
from wheelstep.rehearsal.scale.traffic import ClientTraffic, DestinationSampler
from wheelstep.shards.net import Sockets
from wheelstep.shards.ports import Lost, Pipe, Received


class UndividedCourier:
    """Has the interface of `courier.HollowCourier` as far as quiet periods use it."""

    powered_off = False

    def __init__(self, shared: SharedState, site: Site) -> None:
        self.shared, self.site = shared, site
        plan = shared.plan
        boot = plan.boot + shared.starts[site.name]
        shared.starts[site.name] += 1
        rng = random.Random(f"{plan.seed}/{site.name}/{boot}")
        self._rng = rng
        self.net = DelayedNet(Sockets(), site.zone, shared.zones, shared.links, frozenset())
        partners = PartnerTable(shared.outages, shared.counts, shared.settings.conn_idle_us / 1e6, 1.0, rng)
        self.admission = HollowAdmission(shared.settings, rng.randrange(1 << 30), plan.shards, partners, shared.counts,
                                         shared.loop_epoch_s)
        seeds = {name: address for name, address in shared.seeds.items() if name != site.name}
        self._loop = asyncio.get_running_loop()
        self.membership = Membership(as_member(site, boot), seeds, MemberLimits(period_us=plan.probe_us), rng,
                                     self._now_us())
        seal = PacketSeal([fleet_key(plan)], FLEET_NAME, site.name, boot)
        self._datagrams = Datagrams(seal, self._now_us, lambda data, to: self.net.send(to, data), self._on_packet,
                                    self._on_higher_boot)
        self._watch = Watch(Address.parse(plan.discovery), NAMES, 0, self._on_list, couriers=plan.hollow,
                            seed=rng.randrange(1 << 30), max_s=3.0)
        self.traffic = ClientTraffic(site.name, self._find_admission, lambda: self.ready,
                                     DestinationSampler(plan.destinations, rng), rng, shared.answers,
                                     shared.answer_times, shared.durable_wait_times)
        self.marked_shards: frozenset[int] = frozenset()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None

    def _now_us(self) -> int:
        return int(self._loop.time() * 1e6)

    def _find_admission(self, destination: int) -> Admission:
        return self.admission

    @property
    def ready(self) -> bool:
        """Whether the courier has received the list."""
        return bool(self.admission.destinations)

    def preload_members(self) -> None:
        """As `HollowCourier.preload_members`."""
        others = tuple(one for one in self.shared.members if one.name != self.site.name)
        if others:
            self.membership.heard(self._now_us(), others[0].name, others[0].address, Roll(0, others))
            skip_roll_reading(self.membership, self._rng)

    async def start(self) -> None:
        """Listen, watch discovery and start the membership. Raises `OSError`."""
        await self.net.listen(self.site.address, self._accept, self._datagrams.received)
        self._tasks.append(asyncio.create_task(self._watch.run()))
        self._tick()

    @staticmethod
    def _accept(pipe: Pipe) -> tuple[Received, Lost]:
        pipe.close()
        return lambda data: None, lambda: None

    def _on_list(self, kind: api.ListKind, rows: Sequence[tuple[api.EndpointInfo, Address]]) -> None:
        if kind is api.ListKind.WHOLE:
            listed = {info.endpoint for info, _ in rows}
            for endpoint in [name for name in self.admission.listed_endpoints if name not in listed]:
                self.admission._remove_row(endpoint)
        self.admission.apply_list(rows, kind)

    def _tick(self) -> None:
        self._run_actions(self.membership.tick(self._now_us()))

    def _on_packet(self, sender: str, address: str, packet: Packet) -> None:
        self._run_actions(self.membership.heard(self._now_us(), sender, address, packet))

    def _on_higher_boot(self, higher_boot: HigherBoot) -> None:
        self.shared.count_log_line("elder")

    def _run_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self._datagrams.send(action.address, self.membership.name_at(action.address), action.packet)
        self.membership.changed()
        if self._timer is not None:
            self._timer.cancel()
        due_us = max(self.membership.next_us() - self._now_us(), 1_000)
        self._timer = self._loop.call_later(due_us / 1e6, self._tick)

    def shards(self) -> frozenset[int]:
        """Return no shards."""
        return frozenset()

    def opening(self) -> int:
        """Return 0, as there are no shards to open."""
        return 0

    def considers_present(self, name: str) -> bool:
        """Return whether this courier considers the named one present."""
        known = self.membership.member(name)
        return known is not None and known.state < State.LEAVING

    def members(self) -> int:
        """Return the number of couriers known here, itself included."""
        return len(self.membership.members())

    def figures(self) -> dict[str, float]:
        """Return no figures besides those that every kind of courier has."""
        return {}

    async def leave(self) -> list[str]:
        """End as by `kill`, as there is nothing to hand over."""
        return await self.kill()

    async def kill(self) -> list[str]:
        """End as by SIGKILL. Return the ids of the messages held."""
        self.net.output_stopped = True
        self.traffic.stop()
        self.admission.stop()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.net.close()
        return list(self.admission.held)

    def power_off(self) -> list[str]:
        """End as by a loss of power; the sockets stay open until `close`. Return the ids of the messages held."""
        self.net.powered_off = True
        self.traffic.stop()
        self.admission.stop()
        return list(self.admission.held)

    async def close(self) -> None:
        """Close the sockets that `power_off` left open."""
        await self.kill()
