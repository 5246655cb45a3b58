"""Byte streams between simulated processes: they stall where a packet is lost or a link is cut, and never reorder; they
end with a process, or some time after its machine."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from wheelstep.rehearsal.shard_world.process import Process
from wheelstep.rehearsal.shard_world.world import MS, S, World
from wheelstep.shards.ports import Accept, Lost, Received

KERNEL = 128 << 10  # bytes that a kernel takes off a process's hands
UNREAD_US = 10 * S  # what the other machine has not taken for so long ends a pipe
PROBE_US, PROBES = 5 * S, 4  # how often a silent pipe is probed, and how often in vain before it ends


class Links(Protocol):
    """What carries them: see `net.Fabric`."""

    world: World
    rng: random.Random
    lose: float
    gone: set[str]
    stalled: dict[int, SimPipe]
    pipes: int

    def blocked(self, sender: str, to: str) -> bool: ...

    def delay(self, sender: str, to: str) -> int: ...


class SimPipe:
    """One side of a byte stream (ports.Pipe)."""

    def __init__(self, fabric: Links, process: Process) -> None:
        self._fabric, self.process = fabric, process
        fabric.pipes += 1
        self.number = fabric.pipes
        self.peer: SimPipe = self
        self.hears: Received | None = None
        self.lost: Lost | None = None
        self.ended = False  # here; told once
        self._told = False
        self._out: list[bytes | None] = []  # stalled, in order; None: the end
        self._out_bytes = 0
        self._last_us = 0
        self._sent = self._came = self._dropped_from = 0
        self._read_on = False  # has its dialler, or its listener, gone on with it?
        self._early: list[bytes] = []  # what came before
        self._ends_early = False
        self._stalls = 0  # so often it did
        self._under_way = 0  # bytes that the other side has not read
        process.pipes.append(self)

    def accepted(self, accept: Accept) -> None:
        """At the listener, in its turn."""
        self.hears, self.lost = accept(self)
        self._read_on = True

    def dialled(self, answer: asyncio.Future[SimPipe]) -> None:
        """At the dialler, in its turn."""
        if answer.done():
            self.lost = None
            self.close()
        else:
            answer.set_result(self)
            loop = self.process.loop  # as asyncio has it, nothing is read before the dialler has gone on
            loop.call_soon(loop.call_soon, self._open)

    def _open(self) -> None:
        self._read_on = True
        early, self._early = self._early, []
        for data in early:
            self._read(data)
        if self._ends_early:
            self._hung_up()

    # --- ports.Pipe ---

    def write(self, data: bytes) -> None:
        if not self.ended and self.process.alive and data:
            self._carry(bytes(data))

    @property
    def behind(self) -> int:
        return max(0, self._out_bytes + self._under_way - KERNEL)

    def close(self) -> None:
        if not self.ended and self.process.alive:
            self.ended = True
            self._carry(None)
            self.process.loop.call_soon(self._tell)

    # --- what happens to it ---

    def _tell(self) -> None:
        if not self._told:
            self._told = True
            if self.lost is not None:
                self.lost()

    def _carry(self, data: bytes | None) -> None:
        fabric = self._fabric
        if data is not None:
            self._under_way += len(data)
        if self._out or fabric.blocked(self.process.name, self.peer.process.name):
            self._out.append(data)
            if self.number not in fabric.stalled:
                fabric.stalled[self.number] = self
                self._stalls += 1
                fabric.world.after(UNREAD_US, self._unread, self._stalls)
            return
        self._send(data, 0)

    def _send(self, data: bytes | None, extra_us: int) -> None:
        fabric = self._fabric
        delay = fabric.delay(self.process.name, self.peer.process.name) + extra_us
        if fabric.lose and fabric.rng.random() < fabric.lose:
            delay += 200 * MS
        self._last_us = max(self._last_us + 1, fabric.world.now_us + delay)
        self._sent += 1
        fabric.world.at(self._last_us, self._arrive, self._sent, data)

    def flow(self) -> None:
        """The link may carry again: what stalled is sent once more, in order."""
        if self._fabric.blocked(self.process.name, self.peer.process.name):
            return
        self._fabric.stalled.pop(self.number, None)
        out, self._out = self._out, []
        extra_us = int(self._fabric.rng.random() * 400 * MS)
        for data in out:
            self._send(data, extra_us)

    def _unread(self, stall: int) -> None:
        """Nothing has got through for so long."""
        if self.number in self._fabric.stalled and stall == self._stalls:
            self._out = [None]  # the other side hears of it once the link carries again
            self.process.deliver(self._hung_up)

    def _arrive(self, number: int, data: bytes | None) -> None:
        self._came = number
        if self._dropped_from and number >= self._dropped_from and data is not None:
            return
        peer = self.peer
        if not peer.process.alive:
            if data is not None and not self._fabric.blocked(peer.process.name, self.process.name):
                delay = self._fabric.delay(peer.process.name, self.process.name)
                self._fabric.world.after(delay, self.process.deliver, self._hung_up)  # as its machine says of it
            elif data is not None:
                self._fabric.world.after(UNREAD_US, self.process.deliver, self._hung_up)
            return
        if data is None:
            peer.process.deliver(peer._hung_up)
        else:
            peer.process.deliver(peer._read, data)

    def _read(self, data: bytes) -> None:
        if not self._read_on:
            self._early.append(data)
            return
        self.peer._under_way -= len(data)
        if not self.ended and self.hears is not None:
            self.hears(data)

    def _hung_up(self) -> None:
        if not self._read_on:
            self._ends_early = True
        elif not self.ended:
            self.ended = True
            self._tell()

    def _probed(self, times: int) -> None:
        """By the other side, after this one's machine went."""
        if times >= PROBES or self.process.name not in self._fabric.gone:
            self.peer.process.deliver(self.peer._hung_up)
        else:
            self._fabric.world.after(PROBE_US, self._probed, times + 1)

    def died(self, vanished: bool) -> None:
        """The process has ended: its kernel says so. Where its machine went with it, nobody does until that is back and
        hears of the pipe."""
        if self.ended:
            return
        self.ended = True
        if vanished:
            self._out.clear()
            self._fabric.world.after(PROBE_US, self._probed, 1)
            return
        if self._fabric.rng.random() < 0.5:
            self._dropped_from = self._fabric.rng.randint(self._came + 1, self._sent + 1)  # what was under way
            self._out.clear()
        self._carry(None)
