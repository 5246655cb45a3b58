"""The network between simulated processes: a `ports.Net` for each, on links that drop, delay, duplicate and reorder
packets and can be cut. Datagrams get lost; pipes stall on a lost packet or a cut link, and keep their order.
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

SYN_TIMES_US = (0, S, 3 * S, 7 * S)  # when the packets that open a connection are sent


@dataclass(slots=True)
class _Listener:
    process: Process
    accept: Accept
    datagram: Callable[[bytes, str], None]


@dataclass(slots=True)
class Fabric:
    """All links of the fleet. Rates are probabilities for each packet.

    `cuts` holds the directed links, as pairs of processes' names, that pass nothing, `extra_delay_us` the additional
    delay by directed link, `powered_off` the names whose machine is off, `listeners` the listener by address.
    """

    world: World
    rng: random.Random
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_rate: float = 0.0
    cuts: set[tuple[str, str]] = field(default_factory=set)
    extra_delay_us: dict[tuple[str, str], int] = field(default_factory=dict)
    powered_off: set[str] = field(default_factory=set)
    listeners: dict[str, _Listener] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)  # by name
    stalled: dict[int, SimPipe] = field(default_factory=dict)
    pipe_count: int = 0

    def blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from the sender to the receiver now."""
        return (sender, receiver) in self.cuts or sender in self.powered_off or receiver in self.powered_off

    def delay(self, sender: str, receiver: str) -> int:
        """Draw the delay of one packet, in microseconds."""
        sender_zone, receiver_zone = self.zones.get(sender, ""), self.zones.get(receiver, "")
        base_us, range_us = ((60, 200) if sender_zone == receiver_zone
                             else (200, 800) if region_of(sender_zone) == region_of(receiver_zone)
                             else (8 * MS, 4 * MS))
        delay = base_us + int(self.rng.random() * range_us)
        if self.extra_delay_us:
            delay += self.extra_delay_us.get((sender, receiver), 0)
        if self.delay_rate and self.rng.random() < self.delay_rate:
            delay += int(self.rng.random() * 300 * MS)
        return delay

    def send_datagram(self, sender: Process, source: str, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost, delayed or duplicated."""
        listener = self.listeners.get(address)
        if listener is None or self.blocked(sender.name, listener.process.name):
            return
        receiver = listener.process.name
        if self.loss_rate and self.rng.random() < self.loss_rate:
            return
        self.world.call_after(self.delay(sender.name, receiver), self._deliver_datagram, address, data, source)
        if self.duplicate_rate and self.rng.random() < self.duplicate_rate:
            self.world.call_after(self.delay(sender.name, receiver) + int(self.rng.random() * 20 * MS),
                                  self._deliver_datagram, address, data, source)

    def _deliver_datagram(self, address: str, data: bytes, source: str) -> None:
        listener = self.listeners.get(address)
        if listener is not None:
            listener.process.deliver(listener.datagram, data, source, datagram=True)

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Cut the directed links of these pairs."""
        self.cuts.update(pairs)

    def restore(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Restore the directed links of these pairs; stalled pipes send again."""
        self.cuts.difference_update(pairs)
        self.resend_stalled()

    def resend_stalled(self) -> None:
        """Let all stalled pipes send again, where their links pass data."""
        for pipe in [pipe for _, pipe in sorted(self.stalled.items())]:
            pipe.resend_stalled()

    def dial(self, process: Process, address: str, received: Received, lost: Lost,
             answer: asyncio.Future[SimPipe], attempt: int = 0) -> None:
        """Open a connection, with further attempts at `SYN_TIMES_US`. `answer` gets a pipe or an `OSError`."""
        if not process.alive or answer.done():
            return
        listener = self.listeners.get(address)
        machine = listener.process.name if listener is not None else self._host(address)
        reachable = not self.blocked(process.name, machine)
        answerable = not self.blocked(machine, process.name)
        if reachable and answerable and not (self.loss_rate and self.rng.random() < 2 * self.loss_rate):
            self.world.call_after(self.delay(process.name, machine), self._connect, process, address, received, lost,
                                  answer)
        elif attempt + 1 < len(SYN_TIMES_US):
            self.world.call_after(SYN_TIMES_US[attempt + 1] - SYN_TIMES_US[attempt], self.dial, process, address,
                                  received, lost, answer, attempt + 1)
        else:
            process.deliver(_fail, answer, TimeoutError("no answer"))

    def _host(self, address: str) -> str:
        return address.partition(":")[0]

    def _connect(self, process: Process, address: str, received: Received, lost: Lost,
             answer: asyncio.Future[SimPipe]) -> None:
        listener = self.listeners.get(address)
        machine = self._host(address)
        if not process.alive or self.blocked(machine, process.name):
            return
        if listener is None:
            self.world.call_after(self.delay(machine, process.name), process.deliver, _fail, answer,
                                  ConnectionRefusedError(address))
            return
        dialler, acceptor = SimPipe(self, process), SimPipe(self, listener.process)
        dialler.peer, acceptor.peer = acceptor, dialler
        dialler.on_received, dialler.on_lost = received, lost
        listener.process.deliver(acceptor.on_accepted, listener.accept)
        self.world.call_after(self.delay(machine, process.name), process.deliver, dialler.on_dialled, answer)


def _fail(answer: asyncio.Future[SimPipe], error: OSError) -> None:
    if not answer.done():
        answer.set_exception(error)


class SimNet:
    """The `ports.Net` of one process."""

    def __init__(self, fabric: Fabric, process: Process) -> None:
        self._fabric, self._process = fabric, process
        self._address = ""
        fabric.zones[process.name] = process.zone
        process.end_callbacks.append(lambda vanished: self._unbind())

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listen at an address and return it. Raises `OSError` if it is in use. Port 0 has no special meaning."""
        if address in self._fabric.listeners:
            raise OSError(f"{address}: in use")
        self._address = address
        self._fabric.listeners[address] = _Listener(self._process, accept, datagram)
        return address

    async def dial(self, address: str, received: Received, lost: Lost) -> SimPipe:
        """Open a pipe to an address. Raises `OSError`."""
        answer: asyncio.Future[SimPipe] = asyncio.get_running_loop().create_future()
        self._fabric.dial(self._process, address, received, lost, answer)
        return await answer

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram from the address listened at."""
        if self._process.alive:
            self._fabric.send_datagram(self._process, self._address, address, data)

    def _unbind(self) -> None:
        self._fabric.listeners.pop(self._address, None)

    async def close(self) -> None:
        """Stop listening and close all pipes; peers hear of it."""
        self._unbind()
        for pipe in self._process.pipes:
            pipe.close()
