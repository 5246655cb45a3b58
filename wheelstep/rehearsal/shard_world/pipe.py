"""Byte streams between simulated processes. They stall at a lost packet or a blocked link, and never reorder. They end
with a process, or some time after its machine was lost."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.ports import Accept, Lost, Received

KERNEL_BUFFER_BYTES = 128 << 10  # that a process can write before its data wait in the process itself
UNACKED_TIMEOUT_US = 10 * S  # a pipe ends when the other machine has taken no data for so long
KEEPALIVE_INTERVAL_US, KEEPALIVE_PROBES = 5 * S, 4  # a pipe ends after so many probes without an answer


class PipeNetwork(Protocol):
    """The part of `net.Fabric` that carries pipes."""

    world: World
    rng: random.Random
    loss_probability: float
    machines_down: set[str]
    stalled_pipes: dict[int, SimPipe]
    pipe_count: int

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing gets from one process to the other now."""
        ...

    def draw_delay_us(self, sender: str, receiver: str) -> int:
        """Return the delay of one packet."""
        ...


class SimPipe:
    """One side of a byte stream (`ports.Pipe`)."""

    def __init__(self, fabric: PipeNetwork, process: Process) -> None:
        self._fabric, self.process = fabric, process
        fabric.pipe_count += 1
        self.number = fabric.pipe_count
        self.peer: SimPipe = self
        self.on_received: Received | None = None
        self.on_lost: Lost | None = None
        self.ended = False  # on this side
        self._end_reported = False
        self._stalled_data: list[bytes | None] = []  # in order; None: the end of the stream
        self._stalled_bytes = 0
        self._last_arrival_us = 0
        self._sent = self._last_arrived = self._first_dropped = 0
        self._reading = False  # whether the dialler or listener has set its callbacks
        self._early_data: list[bytes] = []  # received before that
        self._ended_early = False
        self._stall_count = 0
        self._unread_bytes = 0  # that the other side has not read
        process.pipes.append(self)

    def on_accepted(self, accept: Accept) -> None:
        """Hand the pipe to the listener, in a turn of its process."""
        self.on_received, self.on_lost = accept(self)
        self._reading = True

    def on_dialled(self, answer: asyncio.Future[SimPipe]) -> None:
        """Hand the pipe to the dialler, in a turn of its process; close it if nobody waits any more."""
        if answer.done():
            self.on_lost = None
            self.close()
        else:
            answer.set_result(self)
            loop = self.process.loop  # as in asyncio, nothing is read before the dialler's coroutine has resumed
            loop.call_soon(loop.call_soon, self._start_reading)

    def _start_reading(self) -> None:
        self._reading = True
        early_data, self._early_data = self._early_data, []
        for data in early_data:
            self._on_data(data)
        if self._ended_early:
            self._on_hangup()

    # --- ports.Pipe ---

    def write(self, data: bytes) -> None:
        """Write in order; does nothing on a pipe that has ended."""
        if not self.ended and self.process.alive and data:
            self._transmit(bytes(data))

    @property
    def behind(self) -> int:
        """The number of bytes that wait to be written, beyond the kernel's buffer."""
        return max(0, self._stalled_bytes + self._unread_bytes - KERNEL_BUFFER_BYTES)

    def close(self) -> None:
        """End the pipe at this side; `on_lost` follows in the next turn."""
        if not self.ended and self.process.alive:
            self.ended = True
            self._transmit(None)
            self.process.loop.call_soon(self._report_end)

    # --- transport ---

    def _report_end(self) -> None:
        if not self._end_reported:
            self._end_reported = True
            if self.on_lost is not None:
                self.on_lost()

    def _transmit(self, data: bytes | None) -> None:
        fabric = self._fabric
        if data is not None:
            self._unread_bytes += len(data)
        if self._stalled_data or fabric.is_blocked(self.process.name, self.peer.process.name):
            self._stalled_data.append(data)
            if self.number not in fabric.stalled_pipes:
                fabric.stalled_pipes[self.number] = self
                self._stall_count += 1
                fabric.world.schedule_after(UNACKED_TIMEOUT_US, self._on_unacked_timeout, self._stall_count)
            return
        self._send(data, 0)

    def _send(self, data: bytes | None, extra_us: int) -> None:
        fabric = self._fabric
        delay = fabric.draw_delay_us(self.process.name, self.peer.process.name) + extra_us
        if fabric.loss_probability and fabric.rng.random() < fabric.loss_probability:
            delay += 200 * MS
        self._last_arrival_us = max(self._last_arrival_us + 1, fabric.world.now_us + delay)
        self._sent += 1
        fabric.world.schedule_at(self._last_arrival_us, self._arrive, self._sent, data)

    def retransmit(self) -> None:
        """Send stalled data again, in order, unless the link is still blocked."""
        if self._fabric.is_blocked(self.process.name, self.peer.process.name):
            return
        self._fabric.stalled_pipes.pop(self.number, None)
        stalled_data, self._stalled_data = self._stalled_data, []
        extra_us = int(self._fabric.rng.random() * 400 * MS)
        for data in stalled_data:
            self._send(data, extra_us)

    def _on_unacked_timeout(self, stall: int) -> None:
        """End the pipe if it has been stalled without a break since it stalled for the `stall`-th time."""
        if self.number in self._fabric.stalled_pipes and stall == self._stall_count:
            self._stalled_data = [None]  # the other side receives the end once the link is open
            self.process.deliver(self._on_hangup)

    def _arrive(self, number: int, data: bytes | None) -> None:
        self._last_arrived = number
        if self._first_dropped and number >= self._first_dropped and data is not None:
            return
        peer = self.peer
        if not peer.process.alive:
            if data is not None and not self._fabric.is_blocked(peer.process.name, self.process.name):
                delay = self._fabric.draw_delay_us(peer.process.name, self.process.name)
                self._fabric.world.schedule_after(delay, self.process.deliver, self._on_hangup)  # its machine resets
            elif data is not None:
                self._fabric.world.schedule_after(UNACKED_TIMEOUT_US, self.process.deliver, self._on_hangup)
            return
        if data is None:
            peer.process.deliver(peer._on_hangup)
        else:
            peer.process.deliver(peer._on_data, data)

    def _on_data(self, data: bytes) -> None:
        if not self._reading:
            self._early_data.append(data)
            return
        self.peer._unread_bytes -= len(data)
        if not self.ended and self.on_received is not None:
            self.on_received(data)

    def _on_hangup(self) -> None:
        if not self._reading:
            self._ended_early = True
        elif not self.ended:
            self.ended = True
            self._report_end()

    def _on_keepalive(self, probes_sent: int) -> None:
        """Handle a keepalive probe of the other side, after this side's machine was lost: the last one, or one that
        reaches the restarted machine, ends the pipe there."""
        if probes_sent >= KEEPALIVE_PROBES or self.process.name not in self._fabric.machines_down:
            self.peer.process.deliver(self.peer._on_hangup)
        else:
            self._fabric.world.schedule_after(KEEPALIVE_INTERVAL_US, self._on_keepalive, probes_sent + 1)

    def on_process_end(self, machine_lost: bool) -> None:
        """End the pipe with its process: the kernel closes or resets it. If the machine is lost, the other side learns
        of the end only by its keepalive probes."""
        if self.ended:
            return
        self.ended = True
        if machine_lost:
            self._stalled_data.clear()
            self._fabric.world.schedule_after(KEEPALIVE_INTERVAL_US, self._on_keepalive, 1)
            return
        if self._fabric.rng.random() < 0.5:
            # Part of the data under way is lost.
            self._first_dropped = self._fabric.rng.randint(self._last_arrived + 1, self._sent + 1)
            self._stalled_data.clear()
        self._transmit(None)
