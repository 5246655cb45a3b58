"""The network between simulated processes: `ports.Net` for each, on links that drop, delay, double, reorder, stall and
are cut. Datagrams are lost; pipes stall where a packet is lost or a link is cut, and never reorder.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wheelstep.rehearsal.shard_world.pipe import SimPipe
from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.ports import Accept, Lost, Received
from wheelstep.shards.types import region_of

SYNS_US = (0, S, 3 * S, 7 * S)  # when a connection is tried


@dataclass(slots=True)
class _Port:
    process: Process
    accept: Accept
    datagram: Callable[[bytes, str], None]


@dataclass(slots=True)
class Fabric:
    """All links. `cuts`: ordered pairs of processes' names that nothing gets through; `slow`: extra delays of such;
    `gone`: names whose machine is off. Chances are for each packet."""

    world: World
    rng: random.Random
    lose: float = 0.0
    double: float = 0.0
    late: float = 0.0
    cuts: set[tuple[str, str]] = field(default_factory=set)
    slow: dict[tuple[str, str], int] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    ports: dict[str, _Port] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)  # zone of each name
    stalled: dict[int, SimPipe] = field(default_factory=dict)
    pipes: int = 0

    def blocked(self, sender: str, to: str) -> bool:
        """Does nothing get from one to the other now?"""
        return (sender, to) in self.cuts or sender in self.gone or to in self.gone

    def delay(self, sender: str, to: str) -> int:
        """Of one packet, drawn."""
        one, other = self.places.get(sender, ""), self.places.get(to, "")
        least, spread = ((60, 200) if one == other else (200, 800) if region_of(one) == region_of(other)
                         else (8 * MS, 4 * MS))
        delay = least + int(self.rng.random() * spread)
        if self.slow:
            delay += self.slow.get((sender, to), 0)
        if self.late and self.rng.random() < self.late:
            delay += int(self.rng.random() * 300 * MS)
        return delay

    def datagram(self, sender: Process, source: str, address: str, data: bytes) -> None:
        """May be lost, late or doubled."""
        port = self.ports.get(address)
        if port is None or self.blocked(sender.name, port.process.name):
            return
        to = port.process.name
        if self.lose and self.rng.random() < self.lose:
            return
        self.world.after(self.delay(sender.name, to), self._reach, address, data, source)
        if self.double and self.rng.random() < self.double:
            self.world.after(self.delay(sender.name, to) + int(self.rng.random() * 20 * MS), self._reach, address, data,
                             source)

    def _reach(self, address: str, data: bytes, source: str) -> None:
        port = self.ports.get(address)
        if port is not None:
            port.process.deliver(port.datagram, data, source, datagram=True)

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """From now on nothing goes from the first to the second of each."""
        self.cuts.update(pairs)

    def join(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Again it does; pipes that stalled go on by and by."""
        self.cuts.difference_update(pairs)
        self.flow()

    def flow(self) -> None:
        """Send again what stalled, where it can go."""
        for pipe in [pipe for _, pipe in sorted(self.stalled.items())]:
            pipe.flow()

    def dial(self, process: Process, address: str, received: Received, lost: Lost,
             answer: asyncio.Future[SimPipe], tries: int = 0) -> None:
        """A connection's first packet, and again while none gets through."""
        if not process.alive or answer.done():
            return
        port = self.ports.get(address)
        machine = port.process.name if port is not None else self._host(address)
        there = not self.blocked(process.name, machine)
        back = not self.blocked(machine, process.name)
        if there and back and not (self.lose and self.rng.random() < 2 * self.lose):
            self.world.after(self.delay(process.name, machine), self._syn, process, address, received, lost, answer)
        elif tries + 1 < len(SYNS_US):
            self.world.after(SYNS_US[tries + 1] - SYNS_US[tries], self.dial, process, address, received, lost, answer,
                             tries + 1)
        else:
            process.deliver(_fail, answer, TimeoutError("no answer"))

    def _host(self, address: str) -> str:
        return address.partition(":")[0]

    def _syn(self, process: Process, address: str, received: Received, lost: Lost,
             answer: asyncio.Future[SimPipe]) -> None:
        port = self.ports.get(address)
        machine = self._host(address)
        if not process.alive or self.blocked(machine, process.name):
            return
        if port is None:
            self.world.after(self.delay(machine, process.name), process.deliver, _fail, answer,
                             ConnectionRefusedError(address))
            return
        here, there = SimPipe(self, process), SimPipe(self, port.process)
        here.peer, there.peer = there, here
        here.hears, here.lost = received, lost
        port.process.deliver(there.accepted, port.accept)
        self.world.after(self.delay(machine, process.name), process.deliver, here.dialled, answer)


def _fail(answer: asyncio.Future[SimPipe], error: OSError) -> None:
    if not answer.done():
        answer.set_exception(error)


class SimNet:
    """One process's `ports.Net`."""

    def __init__(self, fabric: Fabric, process: Process) -> None:
        self._fabric, self._process = fabric, process
        self._address = ""
        fabric.places[process.name] = process.place
        process.on_end.append(lambda vanished: self._unbind())

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """The address as given: a port of 0 is none here."""
        if address in self._fabric.ports:
            raise OSError(f"{address}: in use")
        self._address = address
        self._fabric.ports[address] = _Port(self._process, accept, datagram)
        return address

    async def dial(self, address: str, received: Received, lost: Lost) -> SimPipe:
        answer: asyncio.Future[SimPipe] = asyncio.get_running_loop().create_future()
        self._fabric.dial(self._process, address, received, lost, answer)
        return await answer

    def send(self, address: str, data: bytes) -> None:
        if self._process.alive:
            self._fabric.datagram(self._process, self._address, address, data)

    def _unbind(self) -> None:
        self._fabric.ports.pop(self._address, None)

    async def close(self) -> None:
        """The process ends its sockets: peers hear of it."""
        self._unbind()
        for pipe in self._process.pipes:
            pipe.close()
