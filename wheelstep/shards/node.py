"""One courier's part in a sharded fleet: membership, homes, lists, forwarding and learned state put together on the
running loop's clock. The same for real, hollow and simulated couriers; what is decided, others decide.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence, Set

from wheelstep.courier.desk import Desk
from wheelstep.courier.rows import Row
from wheelstep.fleet.datagrams import Datagrams
from wheelstep.fleet.membership import Membership
from wheelstep.fleet.packets import Elder, Seal
from wheelstep.fleet.types import Action, Member, Note, Packet, SendPacket, State
from wheelstep.forwarding.client import ForwardClient
from wheelstep.forwarding.server import ForwardServer
from wheelstep.journal import Stored
from wheelstep.shards.homes import Homes
from wheelstep.shards.hosting import NEVER_US, Life
from wheelstep.shards.links import Links
from wheelstep.shards.lives import Lives
from wheelstep.shards.ports import Net, Shelf
from wheelstep.shards.router import Router, Sight
from wheelstep.shards.routing import Routing
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.streams import Streams
from wheelstep.shards.types import ListRow
from wheelstep.shards.waits import Waits

READY_US = 5_000_000  # a courier whose shards have no rows by then forwards for others all the same


class ShardNode:
    """`seeds` (name to address) are other couriers to ask first, `control` the control machines. `read` makes a
    courier's row of a line of the list and raises what `UNREADABLE` lists. `note` tells operators a line. `classes` are
    those that messages may be of; None: any."""

    def __init__(self, me: Member, settings: NodeSettings, seeds: Mapping[str, str], control: Mapping[str, str],
                 keys: Sequence[bytes], fleet: str, boot: int, shelf: Shelf, net: Net,
                 read: Callable[[ListRow], Row], rng: random.Random, note: Callable[[str], None],
                 classes: Collection[str] | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self.settings, self.shards, self._shelf, self._net = settings, settings.shards, shelf, net
        self._note, self._me, self._classes, self._seeds = note, me.name, classes, len(seeds)
        now_us = self.now_us()
        self.membership = Membership(me, seeds, settings.members, rng, now_us)
        self.homes = Homes(me, settings.shards, settings.load)
        self.waits = Waits()
        self.router = Router(me.name, settings.settle_us)
        self.lives = Lives(me.name, boot, settings, control, shelf, self.homes, self.router, self.waits, read, rng,
                           self.now_us, self._arm, note)
        self.hosting, self.handoff = self.lives.hosting, self.lives.handoff
        self.routing = Routing(self, self.router, self.waits, settings.opens_within_us)
        self._seal = Seal(keys, fleet, me.name, boot)
        self._datagrams = Datagrams(
            self._seal, self.now_us, lambda data, to: net.send(to, data), self._packet, self._elder)
        self.links = self.lives.links = Links(
            self.membership.address_of, lambda: ForwardServer(self.routing.asked), self.lives.heard, self.lives.lost,
            settings.dial_us / 1e6)
        self.links.streams = self.streams = Streams(net, keys, fleet, me.name, boot, self.links.heard, self.links.lost,
                                                    self.now_us)
        self._clients: dict[str, ForwardClient] = {}
        self._was: list[str | None] = []  # each shard's home when it was looked at last; empty until formed
        self._began_us = self._grew_us = now_us
        self._settled = self._leaving = self._closed = False
        self._timer: asyncio.TimerHandle | None = None

    def now_us(self) -> int:
        """The loop's clock, whole microseconds."""
        return int(self._loop.time() * 1e6)

    # --- what is asked from outside ---

    async def start(self, listen: str) -> str:
        """Listen to peers and begin; the address. Raises `OSError`."""
        address = await self._net.listen(listen, self.streams.accept, self._datagrams.received)
        self.lives.owed()  # of an earlier process
        self._tick()
        return address

    @property
    def formed(self) -> bool:
        """Does this courier know the others, so that it takes part?"""
        return bool(self._was) and not self.membership.doubled

    @property
    def ready(self) -> bool:
        """May clients come? Once its shards were open, or some seconds have passed."""
        if not self._settled and self.formed:
            late_us = self._began_us + self.settings.forms_within_us + READY_US
            self._settled = self.now_us() > late_us or not self.hosting.of(Life.OPENING)
        return self._settled and self.formed and not self._leaving

    def desk(self, destination: int) -> Desk:
        """Of a destination, for one request of a client's."""
        return self.routing.find(destination)

    def figures(self) -> dict[str, int]:
        """For operators: shards by what they are here, couriers, ways of messages, what was refused."""
        refused = self.streams.refused + self.lives.list_client.refused + self.lives.counts
        return {"couriers": len(self.membership.members()),
                **{life.value: len(self.hosting.of(life)) for life in Life},
                **{f"message {what}": count for what, count in self.router.counts.items()},
                **{f"refused {why}": count for why, count in refused.items()}}

    async def leave(self, within_s: float = 0.5) -> None:
        """Home of nothing any more: others are, and hear what was learned."""
        self._leaving = True
        # Its peers hear at once: news by way of others takes seconds, and who asks one that has ended gets no answer.
        self._members(self.membership.leave(self.now_us(), self.membership.members().keys() & set(self.links.peers())))
        self._arm()
        until_us = self.now_us() + int(within_s * 1e6)
        while self.handoff.next_us() < NEVER_US and self.now_us() < until_us:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """The process ends: nothing is done from now on."""
        self._members(self.membership.left(self.now_us()))
        self._closed = True
        self._arm()
        for client in self._clients.values():
            client.close()
        self.waits.close()
        self.links.close()
        await self._net.close()

    # --- routing.Places ---

    @property
    def desk_here(self) -> Desk:
        """The courier's own."""
        return self._shelf.desk

    def plain(self, shard: int) -> bool:
        """Is it home here, with nothing that speaks against taking any message of it?"""
        if not self.formed or self.hosting.life(shard) is not Life.HOME:
            return False  # nearly always: the rest costs more
        sizes = self.router.sizes() | self.handoff.sizes()
        return not (sizes["rests"] or sizes["asks"] or sizes["passed"] or sizes["taken"])

    def sight(self, destination: int, shard: int, message_class: str, key: str | None) -> Sight:
        """What the router decides by."""
        life = self.hosting.life(shard)
        owes = key is not None and life in (Life.LEAVING, Life.GUEST) and self._shelf.owes_key(
            destination, message_class, key)
        rests_us = 0 if key is None else self.handoff.rests_us(self.now_us(), destination, message_class, key)
        home = self.homes.home(shard) if self.formed else None
        if home and (known := self.membership.member(home)) and known.state is State.SUSPECT:
            home = None  # a guest serves it until that is decided: what is asked of a dead one goes unanswered
        room, rows = self.formed and self.hosting.guest_room(), self.hosting.has_rows(shard)
        return Sight(life, home, owes, rests_us, room, rows)

    def be_guest(self, shard: int) -> bool:
        """Serve it for a while; False without room."""
        room = self.lives.be_guest(shard)
        self._arm()
        return room

    def took(self, message: Stored) -> None:
        """A message was taken here though another is home."""
        self.lives.took(message)
        self._arm()

    def knows(self, message_class: str) -> bool:
        """Is there such a class?"""
        return self._classes is None or message_class in self._classes

    def client(self, courier: str) -> ForwardClient:
        """The way to another courier."""
        if courier not in self._clients:
            self._clients[courier] = ForwardClient(
                lambda heard, lost: self.links.forward(courier, heard, lost), what="courier")
        return self._clients[courier]

    # --- members ---

    def _packet(self, sender: str, address: str, packet: Packet) -> None:
        self._members(self.membership.heard(self.now_us(), sender, address, packet))
        self._arm()

    def _elder(self, elder: Elder) -> None:
        if self._seal.heard_elder(elder, self.now_us()):
            self._note(f"the fleet knows a later life of this courier: boot {self._seal.boot} from now on")

    def _members(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendPacket(address, packet):
                    self._datagrams.send(address, self.membership.name_at(address), packet)
                case Note(text):
                    self._note(text)
        if changed := self.membership.changed():
            now_us = self.now_us()
            self._grew_us = now_us
            for member in changed:
                if member.state is State.GONE and member.name in self._clients:
                    self._clients.pop(member.name).close()
            self._moved(self.homes.saw(now_us, changed))

    def _form(self, now_us: int) -> None:
        """Once it knows the others: before, it would take itself for the home of what is theirs."""
        if self._was or now_us < self._forms_us():
            return
        self._was = [None] * self.shards
        self._moved(range(self.shards), first=True)
        mine, couriers = len(self.homes.mine()), len(self.membership.members())
        self._note(f"fleet: this courier is home of {mine} shards of {self.shards}, {couriers} couriers")

    def _forms_us(self) -> int:
        members, settings = len(self.membership.members()), self.settings
        within_us = self._began_us + settings.forms_within_us
        if members == 1 and self._seeds:
            return self._began_us + settings.forms_alone_us
        knows = 2 * members > self._seeds and members > 1
        return min(within_us, self._grew_us + settings.forms_quiet_us) if knows else within_us

    def _moved(self, shards: Set[int] | range, first: bool = False) -> None:
        """Other homes than before, by this courier's view; none before it has formed."""
        for shard in shards if self._was else ():
            home, was = self.homes.home(shard), self._was[shard]
            self._was[shard] = home
            if home == was:
                continue
            if home == self._me:
                former, alone = self.membership.member(was or ""), len(self.membership.members()) == 1
                self.lives.came_home(shard, alone if first else former is None or former.state is State.GONE)
            elif was == self._me or self.hosting.life(shard) is Life.LEAVING:
                self.lives.left_home(shard, home)

    # --- the clock ---

    def _tick(self) -> None:
        self._timer = None
        now_us = self.now_us()
        self._members(self.membership.tick(now_us))
        self._form(now_us)
        self.lives.tick(now_us)
        for line in self.streams.notes():
            self._note(line)
        self._arm()

    def _arm(self) -> None:
        forms_us = NEVER_US if self._was else self._forms_us()
        due_us = min(self.membership.next_us(), self.lives.next_us(), forms_us)
        if self._timer is not None:
            self._timer.cancel()
        in_s = max(due_us - self.now_us(), 1_000) / 1e6
        self._timer = None if self._closed else self._loop.call_later(in_s, self._tick)
