"""A hollow courier as it was before destinations were divided: membership as now, the whole list from discovery, and
every destination in its module. It takes all that it is handed itself.
"""

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
from wheelstep.rehearsal.scale.courier import Shared, member, settle
from wheelstep.rehearsal.scale.desk import HollowDesk
from wheelstep.rehearsal.scale.net import DelayedNet
from wheelstep.rehearsal.scale.partners import Partners
from wheelstep.rehearsal.scale.plan import FLEET, Site, key
from wheelstep.rehearsal.scale.settings import NAMES
from wheelstep.rehearsal.scale.traffic import Draw, Traffic
from wheelstep.shards.net import Sockets
from wheelstep.shards.ports import Lost, Pipe, Received


class UndividedCourier:
    """As `courier.HollowCourier`, as far as a quiet spell asks for it."""

    silent = False

    def __init__(self, shared: Shared, site: Site) -> None:
        self.shared, self.site = shared, site
        plan = shared.plan
        boot = plan.boot + shared.lives[site.name]
        shared.lives[site.name] += 1
        rng = random.Random(f"{plan.seed}/{site.name}/{boot}")
        self._rng = rng
        self.net = DelayedNet(Sockets(), site.zone, shared.zones, shared.links, frozenset())
        partners = Partners(shared.downs, shared.counts, shared.settings.conn_idle_us / 1e6, 1.0, rng)
        self.shelf = HollowDesk(shared.settings, rng.randrange(1 << 30), plan.shards, partners, shared.counts,
                                shared.loop_epoch_s)
        seeds = {name: address for name, address in shared.seeds.items() if name != site.name}
        self._loop = asyncio.get_running_loop()
        self.membership = Membership(member(site, boot), seeds, MemberLimits(period_us=plan.probe_us), rng,
                                     self._now_us())
        seal = PacketSeal([key(plan)], FLEET, site.name, boot)
        self._datagrams = Datagrams(seal, self._now_us, lambda data, to: self.net.send(to, data), self._packet,
                                    self._elder)
        self._watch = Watch(Address.parse(plan.discovery), NAMES, 0, self._listed, couriers=plan.hollow,
                            seed=rng.randrange(1 << 30), max_s=3.0)
        self.traffic = Traffic(site.name, self._desk, lambda: self.ready, Draw(plan.destinations, rng), rng,
                               shared.answers, shared.took, shared.waited)
        self.marked: frozenset[int] = frozenset()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None

    def _now_us(self) -> int:
        return int(self._loop.time() * 1e6)

    def _desk(self, destination: int) -> Admission:
        return self.shelf

    @property
    def ready(self) -> bool:
        """Has it the list?"""
        return bool(self.shelf.destinations)

    def prime(self) -> None:
        """Before its start: as the other kind."""
        others = tuple(one for one in self.shared.members if one.name != self.site.name)
        if others:
            self.membership.heard(self._now_us(), others[0].name, others[0].address, Roll(0, others))
            settle(self.membership, self._rng)

    async def start(self) -> None:
        """Listen and begin."""
        await self.net.listen(self.site.address, self._accept, self._datagrams.received)
        self._tasks.append(asyncio.create_task(self._watch.run()))
        self._tick()

    @staticmethod
    def _accept(pipe: Pipe) -> tuple[Received, Lost]:
        pipe.close()
        return lambda data: None, lambda: None

    def _listed(self, kind: api.ListKind, rows: Sequence[tuple[api.EndpointInfo, Address]]) -> None:
        if kind is api.ListKind.WHOLE:
            named = {info.endpoint for info, _ in rows}
            for gone in [name for name in self.shelf.listed_endpoints if name not in named]:
                self.shelf._unlist(gone)
        self.shelf.take_list(rows, kind)

    def _tick(self) -> None:
        self._do(self.membership.tick(self._now_us()))

    def _packet(self, sender: str, address: str, packet: Packet) -> None:
        self._do(self.membership.heard(self._now_us(), sender, address, packet))

    def _elder(self, elder: HigherBoot) -> None:
        self.shared.note("elder")

    def _do(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPacket):
                self._datagrams.send(action.address, self.membership.name_at(action.address), action.packet)
        self.membership.changed()
        if self._timer is not None:
            self._timer.cancel()
        due_us = max(self.membership.next_us() - self._now_us(), 1_000)
        self._timer = self._loop.call_later(due_us / 1e6, self._tick)

    def shards(self) -> frozenset[int]:
        """It has none."""
        return frozenset()

    def opening(self) -> int:
        """None."""
        return 0

    def sees(self, name: str) -> bool:
        """Does it hold this courier for one that is here?"""
        member = self.membership.member(name)
        return member is not None and member.state < State.LEAVING

    def members(self) -> int:
        """Couriers that it knows, itself included."""
        return len(self.membership.members())

    def figures(self) -> dict[str, float]:
        """Nothing beside what all have."""
        return {}

    async def leave(self) -> list[str]:
        """An end like any other."""
        return await self.kill()

    async def kill(self) -> list[str]:
        """The end."""
        self.net.mute = True
        self.traffic.stop()
        self.shelf.end()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.net.close()
        return list(self.shelf.held)

    def silence(self) -> list[str]:
        """Without a word."""
        self.net.silent = True
        self.traffic.stop()
        self.shelf.end()
        return list(self.shelf.held)

    async def close(self) -> None:
        """What `silence` left."""
        await self.kill()
