"""Shard nodes on real sockets in one process, with their messages in memory, and a control machine run by the test."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

from wheelstep import interface as api
from wheelstep.courier.config import Address
from wheelstep.courier.rows import Row
from wheelstep.fleet.membership import MemberLimits
from wheelstep.fleet.types import Member, State
from wheelstep.journal import NoRoomError, StoredMessage
from wheelstep.shards.list_server import ListServer
from wheelstep.shards.net import Sockets
from wheelstep.shards.node import ShardNode
from wheelstep.shards.settings import NodeSettings
from wheelstep.shards.streams import StreamLink, Streams
from wheelstep.shards.types import EndpointHealth, Follow, Frame, ListRow, OwedKey, Unfollow, shard_of

SHARDS = 32
KEYS = [b"k" * 32]
QUICK = NodeSettings(SHARDS, guests=4, guest_idle_us=200_000, push_us=500_000, forms_quiet_us=200_000,
                     forms_alone_us=4_000_000, members=MemberLimits(
                         period_us=100_000, timeout_us=30_000, suspicion=3.0, max_suspicion=1.0))


def row(destination: int, health: str = "SERVING") -> ListRow:
    return ListRow(f"e{destination}", f"127.0.0.1:{10_000 + destination}", "a", "k", destination, health)


def read(line: ListRow) -> Row:
    states = {"SERVING": api.EndpointState.UP, "DRAINING": api.EndpointState.DRAINING,
              "DELETED": api.EndpointState.REMOVED}
    return api.EndpointInfo(line.host, line.block, state=states[line.health]), Address.parse(line.dial)


class MemoryCourier:
    """Implements ports.CourierPort, and its own desk: messages stay until the test ends them."""

    ready, syncs = True, False

    def __init__(self, name: str) -> None:
        self.name = name
        self.rows: dict[str, api.EndpointInfo] = {}
        self.held: dict[str, StoredMessage] = {}
        self.begun: list[str] = []
        self.withdrawn: list[str] = []
        self.dropped: set[int] = set()
        self.health: dict[str, EndpointHealth] = {}
        self.adopted: dict[str, EndpointHealth] = {}
        self.answers: Counter[int] = Counter()

    @property
    def desk(self) -> MemoryCourier:
        return self

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return any(info.destination == destination for info in self.rows.values())

    def take(self, message: StoredMessage) -> None:
        if message.body == b"no room":
            raise NoRoomError(message.id)
        self.held[message.id] = message

    def holds(self, message: str) -> bool:
        return message in self.held

    def is_unconfirmed(self, message: str) -> bool:
        return message in self.held and message not in self.begun

    def durable(self) -> asyncio.Future[None]:
        raise AssertionError("never waits")

    def begin(self, name: str) -> None:
        self.begun.append(name)

    def withdraw(self, name: str) -> None:
        self.withdrawn.append(name)
        self.held.pop(name, None)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        self.answers[status] += 1

    def listed(self, rows: Sequence[Row]) -> None:
        for info, _ in rows:
            if info.state is api.EndpointState.REMOVED:
                self.rows.pop(info.endpoint, None)
            else:
                self.rows[info.endpoint] = info

    def drop(self, destinations: Iterable[int]) -> None:
        self.dropped.update(destinations)

    def owed(self) -> Mapping[int, int]:
        return Counter(shard_of(message.destination, SHARDS) for message in self.held.values())

    def owed_keys(self, shard: int) -> Sequence[OwedKey]:
        now_ms = time.time() * 1000
        return [OwedKey(one.destination, one.message_class, one.key, int(one.deadline_ms - now_ms) * 1000)
                for one in self.held.values()
                if one.key is not None and shard_of(one.destination, SHARDS) == shard]

    def owes_key(self, destination: int, message_class: str, key: str) -> bool:
        return any((one.destination, one.message_class, one.key) == (destination, message_class, key)
                   for one in self.held.values())

    def learned(self, shard: int) -> tuple[Sequence[EndpointHealth], Sequence[tuple[str, int]]]:
        return [self.health[name] for name, info in self.rows.items()
                if name in self.health and shard_of(info.destination, SHARDS) == shard], ()

    def adopt(self, healths: Sequence[EndpointHealth], waits: Sequence[tuple[str, int]]) -> None:
        self.adopted.update((health.endpoint, health) for health in healths)


class Control:
    """A list server on real streams."""

    def __init__(self, name: str, rows: Iterable[ListRow]) -> None:
        self.name, self._rows = name, list(rows)
        self.server, self.net = ListServer(SHARDS), Sockets()
        self._links: dict[str, StreamLink] = {}

    async def start(self) -> str:
        loop = asyncio.get_running_loop()
        self.now_us: Callable[[], int] = lambda: int(loop.time() * 1e6)
        self.streams = Streams(self.net, KEYS, "fleet", self.name, 1, self._heard, self._lost, self.now_us)
        self._tell(self.server.listed(self.now_us(), 1, True, self._rows))
        self._task = asyncio.create_task(self._tick())
        return await self.net.listen("127.0.0.1:0", self.streams.accept, lambda data, address: None)

    def change(self, seq: int, *rows: ListRow) -> None:
        self._tell(self.server.listed(self.now_us(), seq, False, rows))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self._tell(self.server.tick(self.now_us()))

    def _heard(self, link: StreamLink, frame: Frame) -> None:
        self._links[link.peer] = link
        assert isinstance(frame, Follow | Unfollow)
        self._tell(self.server.heard(self.now_us(), link.peer, frame))

    def _lost(self, link: StreamLink) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self.server.gone(link.peer)

    def _tell(self, said: Iterable[tuple[str, Frame]]) -> None:
        for peer, frame in said:
            if peer in self._links:
                self._links[peer].send(frame)

    async def stop(self) -> None:
        self._task.cancel()
        self.streams.close()
        await self.net.close()


class Fleet:
    """Nodes n0, n1 ... in zones r/z0, r/z1 and r/z2 in turn, and one control machine."""

    def __init__(self, count: int, destinations: int = 64) -> None:
        self.count, self.destinations = count, destinations
        self.control = Control("k0", map(row, range(destinations)))
        self.nodes: dict[str, ShardNode] = {}
        self.couriers: dict[str, MemoryCourier] = {}
        self.addresses: dict[str, str] = {}

    async def __aenter__(self) -> Fleet:
        self.control_address = await self.control.start()
        for number in range(self.count):
            await self.add(f"n{number}", number)
        await until(lambda: all(node.ready for node in self.nodes.values()) and self.agreed())
        return self

    async def add(self, name: str, number: int, boot: int = 1) -> ShardNode:
        net = Sockets()
        address = self.addresses.get(name) or f"127.0.0.1:{await free_port()}"
        me = Member(name, boot, State.ALIVE, address, "", 1.0, f"r/z{number % 3}")
        courier = self.couriers.setdefault(name, MemoryCourier(name))
        node = ShardNode(me, QUICK, dict(self.addresses), {"k0": self.control_address}, KEYS, "fleet", boot, courier,
                         net, read, random.Random(number), lambda text: None)
        self.addresses[name], self.nodes[name] = address, node
        await node.start(address)
        return node

    def agreed(self) -> bool:
        """Tells whether all nodes have the same view of the homes, with a home for every shard."""
        views = [[node.homes.home(shard) for shard in range(SHARDS)] for node in self.nodes.values()]
        return len(next(iter(self.nodes.values())).membership.members()) == len(self.nodes) and all(
            view == views[0] and None not in view for view in views)

    def home(self, destination: int) -> str:
        return str(next(iter(self.nodes.values())).homes.home(shard_of(destination, SHARDS)))

    async def vanish(self, name: str) -> None:
        """Stops the node without a word, as SIGKILL does."""
        node = self.nodes.pop(name)
        if node._timer is not None:
            node._timer.cancel()
        node.membership.announce_gone(0)
        node.links.close()
        await node._net.close()

    async def hand_in(self, name: str, message: StoredMessage) -> BaseException | None:
        """Hands a message in as the client server does; returns the error, or None."""
        desk = self.nodes[name].desk(message.destination)
        if desk.holds(message.id):
            return None
        desk.take(message)
        if desk.syncs:
            work = desk.durable()
            await asyncio.wait({work})
            if error := work.exception():
                desk.withdraw(message.id)
                return error
        desk.begin(message.id)
        return None

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            await node.close()
        await self.control.stop()


def message(name: str, destination: int, key: str | None = None, body: bytes = b"hello") -> StoredMessage:
    return StoredMessage(name, "c", destination, int(time.time() * 1000) + 20_000, key=key, body=body)


async def free_port() -> int:
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = int(server.sockets[0].getsockname()[1])
    server.close()
    return port


async def until(holds: Callable[[], bool], within_s: float = 60.0) -> None:
    """Waits for the condition; the limit is far beyond what a busy machine needs."""
    async with asyncio.timeout(within_s):
        while not holds():
            await asyncio.sleep(0.01)
