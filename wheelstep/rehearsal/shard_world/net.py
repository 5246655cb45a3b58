"""The network between simulated processes: a `ports.Net` for each process, on links that drop, delay, duplicate and
reorder packets, or are blocked. Datagrams get lost; pipes stall at a lost packet or a blocked link, and never reorder.
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

SYN_TIMES_US = (0, S, 3 * S, 7 * S)  # when the first packet of a connection is sent


@dataclass(slots=True)
class _Listener:
    process: Process
    accept: Accept
    datagram: Callable[[bytes, str], None]


@dataclass(slots=True)
class Fabric:
    """All links, each an ordered pair (sender, receiver) of processes' names. Nothing passes those in `blocked_links`,
    `extra_delay_us` slows others, and `machines_down` names processes whose machine is off. Probabilities are for each
    packet."""

    world: World
    rng: random.Random
    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    long_delay_probability: float = 0.0
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    extra_delay_us: dict[tuple[str, str], int] = field(default_factory=dict)
    machines_down: set[str] = field(default_factory=set)
    listeners: dict[str, _Listener] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)  # by name of process
    stalled_pipes: dict[int, SimPipe] = field(default_factory=dict)
    pipe_count: int = 0

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing gets from one process to the other now."""
        return (sender, receiver) in self.blocked_links \
            or sender in self.machines_down or receiver in self.machines_down

    def draw_delay_us(self, sender: str, receiver: str) -> int:
        """Return the delay of one packet, drawn by the distance of the two zones."""
        one, other = self.zones.get(sender, ""), self.zones.get(receiver, "")
        min_us, spread_us = ((60, 200) if one == other else (200, 800) if region_of(one) == region_of(other)
                         else (8 * MS, 4 * MS))
        delay = min_us + int(self.rng.random() * spread_us)
        if self.extra_delay_us:
            delay += self.extra_delay_us.get((sender, receiver), 0)
        if self.long_delay_probability and self.rng.random() < self.long_delay_probability:
            delay += int(self.rng.random() * 300 * MS)
        return delay

    def send_datagram(self, sender: Process, source: str, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost, late or duplicated."""
        listener = self.listeners.get(address)
        if listener is None or self.is_blocked(sender.name, listener.process.name):
            return
        receiver = listener.process.name
        if self.loss_probability and self.rng.random() < self.loss_probability:
            return
        self.world.schedule_after(
            self.draw_delay_us(sender.name, receiver), self._deliver_datagram, address, data, source)
        if self.duplicate_probability and self.rng.random() < self.duplicate_probability:
            self.world.schedule_after(self.draw_delay_us(sender.name, receiver) + int(self.rng.random() * 20 * MS),
                                      self._deliver_datagram, address, data, source)

    def _deliver_datagram(self, address: str, data: bytes, source: str) -> None:
        listener = self.listeners.get(address)
        if listener is not None:
            listener.process.deliver(listener.datagram, data, source, datagram=True)

    def block(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Block links until `unblock`."""
        self.blocked_links.update(pairs)

    def unblock(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Unblock links; pipes that stalled on them continue."""
        self.blocked_links.difference_update(pairs)
        self.retransmit()

    def retransmit(self) -> None:
        """Retransmit the data of stalled pipes whose links are open."""
        for pipe in [pipe for _, pipe in sorted(self.stalled_pipes.items())]:
            pipe.retransmit()

    def dial(self, process: Process, address: str, on_received: Received, on_lost: Lost,
             answer: asyncio.Future[SimPipe], attempt: int = 0) -> None:
        """Send a connection's first packet, again at `SYN_TIMES_US` if it is lost, and fail `answer` in the end."""
        if not process.alive or answer.done():
            return
        listener = self.listeners.get(address)
        machine = listener.process.name if listener is not None else self._host(address)
        out_open = not self.is_blocked(process.name, machine)
        return_open = not self.is_blocked(machine, process.name)
        if out_open and return_open \
                and not (self.loss_probability and self.rng.random() < 2 * self.loss_probability):
            self.world.schedule_after(self.draw_delay_us(process.name, machine),
                                      self._connect, process, address, on_received, on_lost, answer)
        elif attempt + 1 < len(SYN_TIMES_US):
            self.world.schedule_after(SYN_TIMES_US[attempt + 1] - SYN_TIMES_US[attempt],
                                      self.dial, process, address, on_received, on_lost, answer, attempt + 1)
        else:
            process.deliver(_fail, answer, TimeoutError("no answer"))

    def _host(self, address: str) -> str:
        return address.partition(":")[0]

    def _connect(self, process: Process, address: str, on_received: Received, on_lost: Lost,
             answer: asyncio.Future[SimPipe]) -> None:
        listener = self.listeners.get(address)
        machine = self._host(address)
        if not process.alive or self.is_blocked(machine, process.name):
            return
        if listener is None:
            self.world.schedule_after(self.draw_delay_us(machine, process.name),
                                      process.deliver, _fail, answer, ConnectionRefusedError(address))
            return
        dialler_pipe, listener_pipe = SimPipe(self, process), SimPipe(self, listener.process)
        dialler_pipe.peer, listener_pipe.peer = listener_pipe, dialler_pipe
        dialler_pipe.on_received, dialler_pipe.on_lost = on_received, on_lost
        listener.process.deliver(listener_pipe.on_accepted, listener.accept)
        self.world.schedule_after(
            self.draw_delay_us(machine, process.name), process.deliver, dialler_pipe.on_dialled, answer)


def _fail(answer: asyncio.Future[SimPipe], error: OSError) -> None:
    if not answer.done():
        answer.set_exception(error)


class SimNet:
    """The `ports.Net` of one process."""

    def __init__(self, fabric: Fabric, process: Process) -> None:
        self._fabric, self._process = fabric, process
        self._address = ""
        fabric.zones[process.name] = process.zone
        process.on_end.append(lambda machine_lost: self._unbind())

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listen, and return the address as given: port 0 is not replaced here. Raises OSError if it is in use."""
        if address in self._fabric.listeners:
            raise OSError(f"{address}: in use")
        self._address = address
        self._fabric.listeners[address] = _Listener(self._process, accept, datagram)
        return address

    async def dial(self, address: str, received: Received, lost: Lost) -> SimPipe:
        """Open a pipe. Raises TimeoutError or ConnectionRefusedError."""
        answer: asyncio.Future[SimPipe] = asyncio.get_running_loop().create_future()
        self._fabric.dial(self._process, address, received, lost, answer)
        return await answer

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        if self._process.alive:
            self._fabric.send_datagram(self._process, self._address, address, data)

    def _unbind(self) -> None:
        self._fabric.listeners.pop(self._address, None)

    async def close(self) -> None:
        """Close the process's sockets; its peers receive the end."""
        self._unbind()
        for pipe in self._process.pipes:
            pipe.close()
