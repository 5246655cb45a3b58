"""A network with delays and cuts around another one (`shards.ports.Net`): what is sent leaves later, by the zones of
both ends.

The alternative was a relay process per pair of zones. A relay handles every byte of the fleet a second time (a read, a
write and two loop turns per packet; about 10,000 packets a second at 1,100 couriers, which takes a core or more),
changes the addresses that membership announces, and hides which courier opened a connection. A wrapper costs one timer
per packet in the process that causes the traffic, and real couriers run behind the same wrapper (`runner`). The wrapper
can't show the kernel's part of a cut (retransmissions, resets on timeout): while a cut lasts, bytes wait and dialling
hangs, as with TCP whose segments are lost.

Datagrams are delayed by their sender. Both directions of a pipe are delayed by the side that opened it, as only that
side knows both zones.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wheelstep.rehearsal.scale.links import Links
from wheelstep.shards.ports import Accept, Lost, Net, Pipe, Received

_POLL_INTERVAL_S = 0.1  # how often held-up traffic checks whether a cut has been restored
_MAX_QUEUED_BYTES = 8 << 20  # per pipe and direction; a pipe that exceeds this is closed
_TCP_BYTES, _UDP_BYTES = 52, 28  # headers of a packet: IP and TCP with timestamps; IP and UDP


@dataclass(slots=True)
class TrafficCounters:
    """Traffic since the start, IP headers included. `control` counts pipes to control machines, `peer` pipes opened
    here to couriers, both directions."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    datagram_bytes_out: int = 0
    datagram_bytes_in: int = 0
    control_bytes_out: int = 0
    control_bytes_in: int = 0
    control_writes: int = 0
    peer_bytes: int = 0
    peer_writes: int = 0
    accepted_bytes: int = 0  # pipes opened by peers, both directions


class DelayedNet:
    """A `Net` that delays and cuts traffic. `own_zone` is the zone of this process, `zones` the zone of each address
    and `control` the addresses of control machines. While `powered_off` is set, nothing is sent or received and no pipe
    ends, as with a machine that lost its power."""

    def __init__(self, inner: Net, own_zone: str, zones: Mapping[str, str], links: Links,
                 control: frozenset[str]) -> None:
        self._inner, self._own_zone, self._zones, self._links, self._control = inner, own_zone, zones, links, control
        self.traffic = TrafficCounters()
        self.powered_off = False
        self.output_stopped = False  # set when the process is killed: nothing is sent any more

    async def listen(self, address: str, accept: Accept, datagram: Callable[[bytes, str], None]) -> str:
        """Listen on `address`, count what arrives, and return the address with its port. Raises `OSError`."""
        def on_datagram(data: bytes, sender: str) -> None:
            if not self.powered_off:
                self.traffic.datagrams_in += 1
                self.traffic.datagram_bytes_in += len(data) + _UDP_BYTES
                datagram(data, sender)

        def on_accept(pipe: Pipe) -> tuple[Received, Lost]:
            received, lost = accept(_AcceptedPipe(pipe, self))

            def on_received(data: bytes) -> None:
                if not self.powered_off:
                    self.traffic.accepted_bytes += len(data) + _TCP_BYTES
                    received(data)
            return on_received, lost
        return await self._inner.listen(address, on_accept, on_datagram)

    async def dial(self, address: str, received: Received, lost: Lost) -> Pipe:
        """Open a pipe after a round trip's delay. While the zones are cut, it waits until the caller's timeout. Raises
        `OSError`."""
        zone = self._zones.get(address, "")
        while self.powered_off or self._links.is_cut(self._own_zone, zone):
            await asyncio.sleep(_POLL_INTERVAL_S)
        delay_s = self._links.delay_s(self._own_zone, zone)
        if delay_s:
            await asyncio.sleep(2 * delay_s)
        pipe = _DialledPipe(self, zone, address in self._control, received, lost)
        pipe.inner = await self._inner.dial(address, pipe.on_data, pipe.on_end)
        return pipe

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram after the one-way delay; it is lost while the zones are cut."""
        zone = self._zones.get(address, "")
        if self.powered_off or self.output_stopped or self._links.is_cut(self._own_zone, zone):
            return
        self.traffic.datagrams_out += 1
        self.traffic.datagram_bytes_out += len(data) + _UDP_BYTES
        delay_s = self._links.delay_s(self._own_zone, zone)
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._send_delayed, address, data)
        else:
            self._inner.send(address, data)

    def _send_delayed(self, address: str, data: bytes) -> None:
        if not self.powered_off:
            self._inner.send(address, data)

    def is_cut(self, zone: str) -> bool:
        """Return whether nothing reaches `zone` from here."""
        return self.powered_off or self._links.is_cut(self._own_zone, zone)

    def delay_s(self, zone: str) -> float:
        """Return the one-way delay to `zone` in seconds."""
        return self._links.delay_s(self._own_zone, zone)

    async def close(self) -> None:
        """Close all sockets."""
        await self._inner.close()


class _AcceptedPipe:
    """A pipe opened by a peer, which delays both directions at its end; counted here without a delay."""

    def __init__(self, pipe: Pipe, net: DelayedNet) -> None:
        self._pipe, self._net = pipe, net

    def write(self, data: bytes) -> None:
        """Write, and count the bytes."""
        if not self._net.powered_off:
            self._net.traffic.accepted_bytes += len(data) + _TCP_BYTES
            self._pipe.write(data)

    @property
    def behind(self) -> int:
        """The number of bytes waiting in the socket."""
        return self._pipe.behind

    def close(self) -> None:
        """Close the pipe at once."""
        if not self._net.powered_off:
            self._pipe.close()


class _DelayedStream:
    """One direction of a pipe: delivers data in order, none before its due time and none while cut."""

    def __init__(self, net: DelayedNet, zone: str, deliver: Callable[[bytes | None], None]) -> None:
        self._net, self._zone, self._deliver = net, zone, deliver
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.queued_bytes = 0

    def enqueue(self, data: bytes | None) -> None:
        """Deliver `data` after the delay; None stands for the end of the stream."""
        delay_s = self._net.delay_s(self._zone)
        if not delay_s and not self._queue and not self._net.is_cut(self._zone):
            self._deliver(data)
            return
        loop = asyncio.get_running_loop()
        self._queue.append((loop.time() + delay_s, data))
        self.queued_bytes += len(data or b"")
        if self._timer is None:
            self._timer = loop.call_at(self._queue[0][0], self._deliver_due)

    def _deliver_due(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        if self._net.is_cut(self._zone):
            self._timer = loop.call_later(_POLL_INTERVAL_S, self._deliver_due)
            return
        while self._queue and self._queue[0][0] <= loop.time():
            _, data = self._queue.popleft()
            self.queued_bytes -= len(data or b"")
            self._deliver(data)
        if self._queue and self._timer is None:
            self._timer = loop.call_at(self._queue[0][0], self._deliver_due)

    def discard(self) -> None:
        """Drop what waits and stop the timer."""
        self._queue.clear()
        self.queued_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _DialledPipe:
    """A pipe opened here, with both directions delayed."""

    def __init__(self, net: DelayedNet, zone: str, control: bool, received: Received, lost: Lost) -> None:
        self._net, self._control, self._received, self._lost = net, control, received, lost
        self.inner: Pipe | None = None
        self._ended = False
        self._outgoing, self._incoming = (_DelayedStream(net, zone, self._write_outgoing),
                                          _DelayedStream(net, zone, self._deliver_incoming))

    def write(self, data: bytes) -> None:
        """Write after the delay. A pipe with more than `_MAX_QUEUED_BYTES` waiting is closed."""
        if self._ended or self._net.output_stopped:
            return
        traffic, size = self._net.traffic, len(data) + _TCP_BYTES
        if self._control:
            traffic.control_bytes_out += size
            traffic.control_writes += 1
        else:
            traffic.peer_bytes += size
            traffic.peer_writes += 1
        self._outgoing.enqueue(data)
        if self._outgoing.queued_bytes > _MAX_QUEUED_BYTES:
            self.close()

    @property
    def behind(self) -> int:
        """The number of bytes waiting here and in the socket."""
        return self._outgoing.queued_bytes + (self.inner.behind if self.inner is not None else 0)

    def close(self) -> None:
        """Close the pipe at once. The peer learns of it even while cut, unlike with the end of a real machine."""
        if self.inner is not None and not self._net.powered_off:
            self._ended = True
            self._outgoing.discard()
            self.inner.close()

    def on_data(self, data: bytes) -> None:
        """Count bytes from the socket and deliver them after the delay."""
        if self._control:
            self._net.traffic.control_bytes_in += len(data) + _TCP_BYTES
        else:
            self._net.traffic.peer_bytes += len(data) + _TCP_BYTES
        self._incoming.enqueue(data)

    def on_end(self) -> None:
        """Report the end of the socket after the delay."""
        self._incoming.enqueue(None)

    def _write_outgoing(self, data: bytes | None) -> None:
        if self.inner is not None and data is not None:
            self.inner.write(data)

    def _deliver_incoming(self, data: bytes | None) -> None:
        if self._net.powered_off:
            return
        if data is None:
            self._ended = True
            self._outgoing.discard()
            self._lost()
        else:
            self._received(data)
