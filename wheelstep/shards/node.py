"""One courier's part in a sharded fleet: connects membership, homes, lists, forwarding and learned state, on the
running event loop's clock. Real, hollow and simulated couriers share it; it decides nothing itself."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence, Set

from wheelstep.courier.admission import Admission
from wheelstep.courier.rows import Row
from wheelstep.fleet.datagrams import Datagrams
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.packets import HigherBoot, PacketSeal
from wheelstep.fleet.types import Action, Member, Note, Packet, SendPacket, State
from wheelstep.forwarding.client import ForwardClient
from wheelstep.forwarding.server import ForwardServer
from wheelstep.journal import StoredMessage
from wheelstep.shards.homes import Homes
from wheelstep.shards.hosting import NEVER_US, ShardPhase
from wheelstep.shards.lifecycles import ShardLifecycles
from wheelstep.shards.links import Links
from wheelstep.shards.ports import CourierPort, Net
from wheelstep.shards.router import Router, View
from wheelstep.shards.routing import Routing
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.streams import Streams
from wheelstep.shards.types import ListRow
from wheelstep.shards.waiters import ShardWaiters

READY_TIMEOUT_US = 5_000_000  # after this a courier serves clients by forwarding even if its shards have no rows


class ShardNode:
    """A shard node. `seeds` (name to address) are couriers to contact first, `control` the control machines. `read`
    converts a row of the list into a courier's row; it raises the errors in `ROW_ERRORS`. `note` receives lines for
    operators. `classes`: the message classes accepted; None: any."""

    def __init__(self, me: Member, settings: NodeSettings, seeds: Mapping[str, str], control: Mapping[str, str],
                 keys: Sequence[bytes], fleet: str, boot: int, courier: CourierPort, net: Net,
                 read: Callable[[ListRow], Row], rng: random.Random, note: Callable[[str], None],
                 classes: Collection[str] | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self.settings, self.shards, self._courier, self._net = settings, settings.shards, courier, net
        self._note, self._me, self._classes, self._seeds = note, me.name, classes, len(seeds)
        now_us = self.now_us()
        self.membership = Membership(me, seeds, settings.members, rng, now_us)
        self.homes = Homes(me, settings.shards, settings.load)
        self.waits = ShardWaiters()
        self.router = Router(me.name, settings.settle_us)
        self.lifecycles = ShardLifecycles(me.name, boot, settings, control, courier, self.homes, self.router,
                                          self.waits, read, rng, self.now_us, self._arm, note)
        self.hosting, self.handoff = self.lifecycles.hosting, self.lifecycles.handoff
        self.routing = Routing(self, self.router, self.waits, settings.opens_within_us)
        self._seal = PacketSeal(keys, fleet, me.name, boot)
        self._datagrams = Datagrams(
            self._seal, self.now_us, lambda data, to: net.send(to, data), self._packet, self._elder)
        self.links = self.lifecycles.links = Links(
            self.membership.address_of, lambda: ForwardServer(self.routing.asked), self.lifecycles.heard,
            self.lifecycles.lost, settings.dial_us / 1e6)
        self.links.streams = self.streams = Streams(net, keys, fleet, me.name, boot, self.links.heard, self.links.lost,
                                                    self.now_us)
        self._clients: dict[str, ForwardClient] = {}
        self._last_homes: list[str | None] = []  # each shard's home as last handled; empty until formed
        self._started_us = self._last_change_us = now_us
        self._was_ready = self._leaving = self._closed = False
        self._timer: asyncio.TimerHandle | None = None

    def now_us(self) -> int:
        """The event loop's clock in whole microseconds."""
        return int(self._loop.time() * 1e6)

    # --- public interface ---

    async def start(self, listen: str) -> str:
        """Listens for peers, starts membership and returns the address. Raises `OSError`."""
        address = await self._net.listen(listen, self.streams.accept, self._datagrams.received)
        self.lifecycles.owed()  # messages owed since an earlier process
        self._tick()
        return address

    @property
    def formed(self) -> bool:
        """Tells whether this courier knows enough of the fleet to take part."""
        return bool(self._last_homes) and not self.membership.name_in_use

    @property
    def ready(self) -> bool:
        """Tells whether clients may connect: once no shard is opening, or after some seconds (`READY_TIMEOUT_US`)."""
        if not self._was_ready and self.formed:
            late_us = self._started_us + self.settings.forms_within_us + READY_TIMEOUT_US
            self._was_ready = self.now_us() > late_us or not self.hosting.shards_in(ShardPhase.OPENING)
        return self._was_ready and self.formed and not self._leaving

    def desk(self, destination: int) -> Admission:
        """The admission for one client request to the destination."""
        return self.routing.find(destination)

    def figures(self) -> dict[str, int]:
        """Counts for operators: shards by state, couriers, decisions about messages, and refused input."""
        refused = self.streams.refused + self.lifecycles.list_client.refused + self.lifecycles.counts
        return {"couriers": len(self.membership.members()),
                **{phase.value: len(self.hosting.shards_in(phase)) for phase in ShardPhase},
                **{f"message {what}": count for what, count in self.router.counts.items()},
                **{f"refused {why}": count for why, count in refused.items()}}

    async def leave(self, within_s: float = 0.5) -> None:
        """Announces the departure and waits up to `within_s` seconds until new homes acknowledge handovers."""
        self._leaving = True
        # Connected peers are told directly: gossip takes seconds, and an ended courier leaves asks unanswered.
        self._run_member_actions(
            self.membership.leave(self.now_us(), self.membership.members().keys() & set(self.links.peers())))
        self._arm()
        until_us = self.now_us() + int(within_s * 1e6)
        while self.handoff.next_us() < NEVER_US and self.now_us() < until_us:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Stops everything; the process ends."""
        self._run_member_actions(self.membership.announce_gone(self.now_us()))
        self._closed = True
        self._arm()
        for client in self._clients.values():
            client.close()
        self.waits.close()
        self.links.close()
        await self._net.close()

    # --- routing.RoutingNode ---

    @property
    def own_admission(self) -> Admission:
        """This courier's own admission."""
        return self._courier.desk

    def takes_all(self, shard: int) -> bool:
        """Tells whether the shard is home here and nothing restricts which of its messages may be taken."""
        if not self.formed or self.hosting.phase(shard) is not ShardPhase.HOME:
            return False  # the most frequent case; the checks below cost more
        sizes = self.router.sizes() | self.handoff.sizes()
        return not (sizes["rests"] or sizes["asks"] or sizes["passed"] or sizes["taken"])

    def view(self, destination: int, shard: int, message_class: str, key: str | None) -> View:
        """What the router's decision depends on."""
        phase = self.hosting.phase(shard)
        owes = key is not None and phase in (ShardPhase.LEAVING, ShardPhase.GUEST) and self._courier.owes_key(
            destination, message_class, key)
        owed_us = 0 if key is None else self.handoff.owed_elsewhere_us(self.now_us(), destination, message_class, key)
        home = self.homes.home(shard) if self.formed else None
        if home and (known := self.membership.member(home)) and known.state is State.SUSPECT:
            home = None  # a guest takes over until this is settled: a dead home would not answer, which leaves doubt
        room, rows = self.formed and self.hosting.guest_room(), self.hosting.has_rows(shard)
        return View(phase, home, owes, owed_us, room, rows)

    def serve_as_guest(self, shard: int) -> bool:
        """Starts serving the shard as guest; False if there is no room."""
        room = self.lifecycles.serve_as_guest(shard)
        self._arm()
        return room

    def taken_for_other_home(self, message: StoredMessage) -> None:
        """A message was taken here although another courier is home."""
        self.lifecycles.taken_for_other_home(message)
        self._arm()

    def knows_class(self, message_class: str) -> bool:
        """Tells whether the message class exists."""
        return self._classes is None or message_class in self._classes

    def client(self, courier: str) -> ForwardClient:
        """The client that passes messages on to that courier."""
        if courier not in self._clients:
            self._clients[courier] = ForwardClient(
                lambda on_frame, on_end: self.links.forward(courier, on_frame, on_end), peer_name="courier")
        return self._clients[courier]

    # --- members ---

    def _packet(self, sender: str, address: str, packet: Packet) -> None:
        self._run_member_actions(self.membership.heard(self.now_us(), sender, address, packet))
        self._arm()

    def _elder(self, elder: HigherBoot) -> None:
        if self._seal.raise_boot(elder, self.now_us()):
            self._note(f"the fleet knows a higher boot of this courier: boot {self._seal.boot} is used from now on")

    def _run_member_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendPacket(address, packet):
                    self._datagrams.send(address, self.membership.name_at(address), packet)
                case Note(text):
                    self._note(text)
        if changed := self.membership.changed():
            now_us = self.now_us()
            self._last_change_us = now_us
            for member in changed:
                if member.state is State.GONE and member.name in self._clients:
                    self._clients.pop(member.name).close()
            self._homes_changed(self.homes.update_members(now_us, changed))

    def _form_if_due(self, now_us: int) -> None:
        """Takes part once the other couriers are known: earlier, it would consider itself home of their shards."""
        if self._last_homes or now_us < self._forms_at_us():
            return
        self._last_homes = [None] * self.shards
        self._homes_changed(range(self.shards), first=True)
        mine, couriers = len(self.homes.own_shards()), len(self.membership.members())
        self._note(f"fleet formed: this courier is home of {mine} of {self.shards} shards, {couriers} couriers")

    def _forms_at_us(self) -> int:
        members, settings = len(self.membership.members()), self.settings
        within_us = self._started_us + settings.forms_within_us
        if members == 1 and self._seeds:
            return self._started_us + settings.forms_alone_us
        knows_enough = 2 * members > self._seeds and members > 1
        return min(within_us, self._last_change_us + settings.forms_quiet_us) if knows_enough else within_us

    def _homes_changed(self, shards: Set[int] | range, first: bool = False) -> None:
        """Handles shards whose home changed by this courier's view; does nothing before the node has formed."""
        for shard in shards if self._last_homes else ():
            home, previous = self.homes.home(shard), self._last_homes[shard]
            self._last_homes[shard] = home
            if home == previous:
                continue
            if home == self._me:
                former, alone = self.membership.member(previous or ""), len(self.membership.members()) == 1
                self.lifecycles.became_home(shard, alone if first else former is None or former.state is State.GONE)
            elif previous == self._me or self.hosting.phase(shard) is ShardPhase.LEAVING:
                self.lifecycles.left_home(shard, home)

    # --- the clock ---

    def _tick(self) -> None:
        self._timer = None
        now_us = self.now_us()
        self._run_member_actions(self.membership.tick(now_us))
        self._form_if_due(now_us)
        self.lifecycles.tick(now_us)
        for line in self.streams.notes():
            self._note(line)
        self._arm()

    def _arm(self) -> None:
        forms_us = NEVER_US if self._last_homes else self._forms_at_us()
        due_us = min(self.membership.next_us(), self.lifecycles.next_us(), forms_us)
        if self._timer is not None:
            self._timer.cancel()
        in_s = max(due_us - self.now_us(), 1_000) / 1e6
        self._timer = None if self._closed else self._loop.call_later(in_s, self._tick)
