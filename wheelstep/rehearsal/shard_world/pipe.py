"""Byte streams between simulated processes. They stall on a lost packet or a cut link and keep their order. They end
with a process, or some time after the failure of its machine.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.ports import Accept, Lost, Received

KERNEL_BUFFER_BYTES = 128 << 10  # bytes that a kernel buffers for a process
SEND_TIMEOUT_US = 10 * S  # a pipe ends when data is unacknowledged for this long
KEEPALIVE_INTERVAL_US, MAX_KEEPALIVES = 5 * S, 4  # unanswered keepalives before a silent pipe ends


class PipeNetwork(Protocol):
    """The network that carries pipes (see `net.Fabric`)."""

    world: World
    rng: random.Random
    loss_rate: float
    powered_off: set[str]
    stalled: dict[int, SimPipe]
    pipe_count: int

    def blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from the sender to the receiver now."""
        ...

    def delay(self, sender: str, receiver: str) -> int:
        """Draw the delay of one packet, in microseconds."""
        ...


class SimPipe:
    """One end of a byte stream (`ports.Pipe`)."""

    def __init__(self, fabric: PipeNetwork, process: Process) -> None:
        self._fabric, self.process = fabric, process
        fabric.pipe_count += 1
        self.number = fabric.pipe_count
        self.peer: SimPipe = self
        self.on_received: Received | None = None
        self.on_lost: Lost | None = None
        self.closed = False  # this end; reported once
        self._notified = False
        self._stalled_data: list[bytes | None] = []  # in order; None is the end of the stream
        self._stalled_bytes = 0
        self._last_arrival_us = 0
        self._sent = self._arrived = self._dropped_from = 0
        self._reading = False  # data is delivered only once the dialler or listener has its callbacks in place
        self._early_data: list[bytes] = []  # data that arrived before that
        self._early_end = False
        self._stall_count = 0
        self._unread_bytes = 0  # sent bytes that the peer has not read
        process.pipes.append(self)

    def on_accepted(self, accept: Accept) -> None:
        """Take the callbacks of the listener, in an iteration of its process."""
        self.on_received, self.on_lost = accept(self)
        self._reading = True

    def on_dialled(self, answer: asyncio.Future[SimPipe]) -> None:
        """Hand the pipe to the dialler, in an iteration of its process; close it if the dialler has given up."""
        if answer.done():
            self.on_lost = None
            self.close()
        else:
            answer.set_result(self)
            loop = self.process.loop  # as in asyncio, nothing is read before the dialler has resumed
            loop.call_soon(loop.call_soon, self._start_reading)

    def _start_reading(self) -> None:
        self._reading = True
        early_data, self._early_data = self._early_data, []
        for data in early_data:
            self._receive(data)
        if self._early_end:
            self._on_peer_closed()

    # --- ports.Pipe ---

    def write(self, data: bytes) -> None:
        """Send data, unless this end is closed."""
        if not self.closed and self.process.alive and data:
            self._transmit(bytes(data))

    @property
    def behind(self) -> int:
        """The number of sent bytes beyond what the kernel buffers."""
        return max(0, self._stalled_bytes + self._unread_bytes - KERNEL_BUFFER_BYTES)

    def close(self) -> None:
        """Close this end; the peer hears of it after the data sent before."""
        if not self.closed and self.process.alive:
            self.closed = True
            self._transmit(None)
            self.process.loop.call_soon(self._notify_lost)

    # --- transmission ---

    def _notify_lost(self) -> None:
        if not self._notified:
            self._notified = True
            if self.on_lost is not None:
                self.on_lost()

    def _transmit(self, data: bytes | None) -> None:
        fabric = self._fabric
        if data is not None:
            self._unread_bytes += len(data)
        if self._stalled_data or fabric.blocked(self.process.name, self.peer.process.name):
            self._stalled_data.append(data)
            if self.number not in fabric.stalled:
                fabric.stalled[self.number] = self
                self._stall_count += 1
                fabric.world.call_after(SEND_TIMEOUT_US, self._send_timed_out, self._stall_count)
            return
        self._send(data, 0)

    def _send(self, data: bytes | None, extra_us: int) -> None:
        fabric = self._fabric
        delay = fabric.delay(self.process.name, self.peer.process.name) + extra_us
        if fabric.loss_rate and fabric.rng.random() < fabric.loss_rate:
            delay += 200 * MS
        self._last_arrival_us = max(self._last_arrival_us + 1, fabric.world.now_us + delay)
        self._sent += 1
        fabric.world.call_at(self._last_arrival_us, self._arrive, self._sent, data)

    def resend_stalled(self) -> None:
        """Send the stalled data in order, if the link passes data again."""
        if self._fabric.blocked(self.process.name, self.peer.process.name):
            return
        self._fabric.stalled.pop(self.number, None)
        stalled_data, self._stalled_data = self._stalled_data, []
        extra_us = int(self._fabric.rng.random() * 400 * MS)
        for data in stalled_data:
            self._send(data, extra_us)

    def _send_timed_out(self, stall_count: int) -> None:
        """End the pipe, unless the stall that began the timeout is over."""
        if self.number in self._fabric.stalled and stall_count == self._stall_count:
            self._stalled_data = [None]  # the peer hears of it once the link passes data again
            self.process.deliver(self._on_peer_closed)

    def _arrive(self, number: int, data: bytes | None) -> None:
        self._arrived = number
        if self._dropped_from and number >= self._dropped_from and data is not None:
            return
        peer = self.peer
        if not peer.process.alive:
            if data is not None and not self._fabric.blocked(peer.process.name, self.process.name):
                delay = self._fabric.delay(peer.process.name, self.process.name)
                self._fabric.world.call_after(delay, self.process.deliver, self._on_peer_closed)  # a TCP reset
            elif data is not None:
                self._fabric.world.call_after(SEND_TIMEOUT_US, self.process.deliver, self._on_peer_closed)
            return
        if data is None:
            peer.process.deliver(peer._on_peer_closed)
        else:
            peer.process.deliver(peer._receive, data)

    def _receive(self, data: bytes) -> None:
        if not self._reading:
            self._early_data.append(data)
            return
        self.peer._unread_bytes -= len(data)
        if not self.closed and self.on_received is not None:
            self.on_received(data)

    def _on_peer_closed(self) -> None:
        if not self._reading:
            self._early_end = True
        elif not self.closed:
            self.closed = True
            self._notify_lost()

    def _keepalive(self, probes: int) -> None:
        """A keepalive of the peer after this end's machine failed: end the peer's pipe after the last one, or once the
        machine is back.
        """
        if probes >= MAX_KEEPALIVES or self.process.name not in self._fabric.powered_off:
            self.peer.process.deliver(self.peer._on_peer_closed)
        else:
            self._fabric.world.call_after(KEEPALIVE_INTERVAL_US, self._keepalive, probes + 1)

    def process_ended(self, vanished: bool) -> None:
        """End the pipe with its process. The kernel closes it, and may drop data in flight. If the machine failed too
        (`vanished`), the peer only hears of it by keepalives.
        """
        if self.closed:
            return
        self.closed = True
        if vanished:
            self._stalled_data.clear()
            self._fabric.world.call_after(KEEPALIVE_INTERVAL_US, self._keepalive, 1)
            return
        if self._fabric.rng.random() < 0.5:
            self._dropped_from = self._fabric.rng.randint(self._arrived + 1, self._sent + 1)  # data in flight is lost
            self._stalled_data.clear()
        self._transmit(None)
