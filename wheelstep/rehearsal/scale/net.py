"""A network with distance and cuts around another one (`shards.ports.Net`): what is sent goes out later, by the zones
of both ends.

Weighed against relays: a relay a pair of zones sees every byte of the fleet in a second process (a read, a write and
two turns of a loop a packet; at 1,100 couriers some 10,000 packets a second, a core or more), changes the addresses
that membership tells, and hides who dialled whom. A wrapper costs one timer a packet in the process that pays for it
anyway, and real couriers run behind the same one (`runner`). Taken: the wrapper. What it can't show is the kernel's
own side of a cut (retransmissions, resets by time-out): while cut, bytes wait and dialling hangs, as with TCP whose
segments are lost.

Datagrams wait at their sender. A pipe's both directions wait at its dialler, which alone knows both zones.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wheelstep.rehearsal.scale.links import Links
from wheelstep.shards.ports import Accept, Lost, Net, Pipe, Received

_LOOK_S = 0.1  # so often what is cut off looks whether it may go on
_MOST_WAITING = 8 << 20  # bytes of one direction; a pipe that is further behind has ended
_TCP_BYTES, _UDP_BYTES = 52, 28  # of headers: IP and TCP with time stamps, IP and UDP


@dataclass(slots=True)
class Traffic:
    """Since the start, with headers of IP. `control`: pipes to control machines; `peers`: pipes to couriers that were
    dialled here, both directions."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    datagram_bytes_out: int = 0
    datagram_bytes_in: int = 0
    control_bytes_out: int = 0
    control_bytes_in: int = 0
    control_writes: int = 0
    peer_bytes: int = 0
    peer_writes: int = 0
    accepted_bytes: int = 0  # of pipes that others dialled, both directions


class DelayedNet:
    """`me`: our zone; `zones`: that of each address; `control`: the addresses of control machines. After `silence`
    nothing gets out or in, and no pipe ends: as a machine that lost its power."""

    def __init__(self, inner: Net, me: str, zones: Mapping[str, str], links: Links, control: frozenset[str]) -> None:
        self._inner, self._me, self._zones, self._links, self._control = inner, me, zones, links, control
        self.traffic = Traffic()
        self.silent = False
        self.mute = False  # its process was killed: no last word goes out

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listen; what comes is counted."""
        def heard(data: bytes, sender: str) -> None:
            if not self.silent:
                self.traffic.datagrams_in += 1
                self.traffic.datagram_bytes_in += len(data) + _UDP_BYTES
                datagram(data, sender)

        def accepted(pipe: Pipe) -> tuple[Received, Lost]:
            received, lost = accept(_Accepted(pipe, self))

            def take(data: bytes) -> None:
                if not self.silent:
                    self.traffic.accepted_bytes += len(data) + _TCP_BYTES
                    received(data)
            return take, lost
        return await self._inner.listen(address, accepted, heard)

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """A pipe through the distance. While cut it hangs until the caller's time is up."""
        zone = self._zones.get(address, "")
        while self.silent or self._links.is_cut(self._me, zone):
            await asyncio.sleep(_LOOK_S)
        delay_s = self._links.delay_s(self._me, zone)
        if delay_s:
            await asyncio.sleep(2 * delay_s)
        pipe = _Dialled(self, zone, address in self._control, received, lost)
        pipe.inner = await self._inner.dial(address, pipe.came, pipe.ended)
        return pipe

    def send(self, address: str, data: bytes) -> None:
        """A datagram, later; lost where the zones are cut."""
        zone = self._zones.get(address, "")
        if self.silent or self.mute or self._links.is_cut(self._me, zone):
            return
        self.traffic.datagrams_out += 1
        self.traffic.datagram_bytes_out += len(data) + _UDP_BYTES
        delay_s = self._links.delay_s(self._me, zone)
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._send, address, data)
        else:
            self._inner.send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        if not self.silent:
            self._inner.send(address, data)

    def cut(self, zone: str) -> bool:
        """Does nothing get there?"""
        return self.silent or self._links.is_cut(self._me, zone)

    def delay_s(self, zone: str) -> float:
        """One way."""
        return self._links.delay_s(self._me, zone)

    async def close(self) -> None:
        """End all of it."""
        await self._inner.close()


class _Accepted:
    """A pipe that another has dialled: it waits there."""

    def __init__(self, pipe: Pipe, net: DelayedNet) -> None:
        self._pipe, self._net = pipe, net

    def write(self, data: bytes) -> None:
        if not self._net.silent:
            self._net.traffic.accepted_bytes += len(data) + _TCP_BYTES
            self._pipe.write(data)

    @property
    def behind(self) -> int:
        return self._pipe.behind

    def close(self) -> None:
        if not self._net.silent:
            self._pipe.close()


class _Lane:
    """One direction: bytes come out in order, each not before its time, none while cut."""

    def __init__(self, net: DelayedNet, zone: str, out: Callable[[bytes | None], None]) -> None:
        self._net, self._zone, self._out = net, zone, out
        self._waiting: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.bytes = 0

    def put(self, data: bytes | None) -> None:
        """None: the end."""
        delay_s = self._net.delay_s(self._zone)
        if not delay_s and not self._waiting and not self._net.cut(self._zone):
            self._out(data)
            return
        loop = asyncio.get_running_loop()
        self._waiting.append((loop.time() + delay_s, data))
        self.bytes += len(data or b"")
        if self._timer is None:
            self._timer = loop.call_at(self._waiting[0][0], self._go)

    def _go(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        if self._net.cut(self._zone):
            self._timer = loop.call_later(_LOOK_S, self._go)
            return
        while self._waiting and self._waiting[0][0] <= loop.time():
            _, data = self._waiting.popleft()
            self.bytes -= len(data or b"")
            self._out(data)
        if self._waiting and self._timer is None:
            self._timer = loop.call_at(self._waiting[0][0], self._go)

    def drop(self) -> None:
        self._waiting.clear()
        self.bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _Dialled:
    """A pipe that was dialled here."""

    def __init__(self, net: DelayedNet, zone: str, control: bool, received: Received, lost: Lost) -> None:
        self._net, self._control, self._received, self._lost = net, control, received, lost
        self.inner: Pipe | None = None
        self._over = False
        self._there, self._here = _Lane(net, zone, self._write), _Lane(net, zone, self._hear)

    def write(self, data: bytes) -> None:
        """Later."""
        if self._over or self._net.mute:
            return
        traffic, size = self._net.traffic, len(data) + _TCP_BYTES
        if self._control:
            traffic.control_bytes_out += size
            traffic.control_writes += 1
        else:
            traffic.peer_bytes += size
            traffic.peer_writes += 1
        self._there.put(data)
        if self._there.bytes > _MOST_WAITING:
            self.close()

    @property
    def behind(self) -> int:
        """Bytes that wait, here and in the socket."""
        return self._there.bytes + (self.inner.behind if self.inner is not None else 0)

    def close(self) -> None:
        """At once; the other side hears of it though it be cut off, which a machine's end would not tell."""
        if self.inner is not None and not self._net.silent:
            self._over = True
            self._there.drop()
            self.inner.close()

    def came(self, data: bytes) -> None:
        """From the socket."""
        if self._control:
            self._net.traffic.control_bytes_in += len(data) + _TCP_BYTES
        else:
            self._net.traffic.peer_bytes += len(data) + _TCP_BYTES
        self._here.put(data)

    def ended(self) -> None:
        """The socket has."""
        self._here.put(None)

    def _write(self, data: bytes | None) -> None:
        if self.inner is not None and data is not None:
            self.inner.write(data)

    def _hear(self, data: bytes | None) -> None:
        if self._net.silent:
            return
        if data is None:
            self._over = True
            self._there.drop()
            self._lost()
        else:
            self._received(data)
