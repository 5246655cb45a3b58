"""The links between couriers on loopback. Each directed link has a relay, which passes on UDP datagrams and TCP streams
on one port number and applies the link's faults. Buffers are bounded: streams wait, excess datagrams are dropped."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from wheelstep.rehearsal.fleet.faults import Link, LinkConditions, LinkFault, PlannedFault, links_among

Address = tuple[str, int]
_HOST = "127.0.0.1"
_MAX_STALLED = 256  # datagrams that a stalled link keeps; the oldest are dropped
_MAX_DELAYED = 2_048  # datagrams in delay on a link; further ones are dropped
_MAX_CHUNKS = 64  # buffered of each direction of a stream
_CHUNK_BYTES = 16 * 1024
_MAX_STREAMS = 256  # open at once on a link; further connections are aborted


class Relay(asyncio.DatagramProtocol):
    """The relay of one directed link. Answers go by `reverse`, the relay of the opposite direction."""

    def __init__(self, link: Link, target: Address, seed: int, now_us: Callable[[], int]) -> None:
        self.link, self.target, self._now_us = link, target, now_us
        self.conditions = LinkConditions(random.Random(f"{seed}/{link[0]}>{link[1]}"))
        self.counts: Counter[str] = Counter()  # datagrams that came, passed and were lost; streams and their bytes
        self.reverse = self
        self.port = 0
        self.changed = asyncio.Event()  # replaced at each change of the faults
        self._stalled: deque[bytes] = deque(maxlen=_MAX_STALLED)
        self._delayed = 0
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen for datagrams and streams on one free port number. Raises `OSError` if 50 attempts find none."""
        loop = asyncio.get_running_loop()
        for _ in range(50):
            tcp = socket.create_server((_HOST, 0), backlog=128)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                udp.bind((_HOST, tcp.getsockname()[1]))
            except OSError:  # the port is taken for datagrams
                tcp.close()
                udp.close()
                continue
            self.port = tcp.getsockname()[1]
            self._udp, _ = await loop.create_datagram_endpoint(lambda: self, sock=udp)
            self._tcp = await asyncio.start_server(self._accept_stream, sock=tcp, limit=_CHUNK_BYTES)
            return
        raise OSError("no loopback port found that is free for both UDP datagrams and TCP streams")

    async def close(self) -> None:
        """Close both listeners and abort the open streams."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()
        for stream in list(self._streams):
            stream.cancel()
        await asyncio.gather(*self._streams, return_exceptions=True)

    def set_fault(self, token: int, fault: LinkFault | None) -> None:
        """Set the fault of this token, or end it if `fault` is None. Datagrams held by a stall pass on when it ends."""
        if fault is None:
            self.conditions.faults.pop(token, None)
        else:
            self.conditions.faults[token] = fault
        self.changed.set()
        self.changed = asyncio.Event()
        if not self.conditions.stalled:
            stalled = list(self._stalled)
            self._stalled.clear()
            for data in stalled:
                self.forward(data)

    # --- datagrams ---

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram on; one from the target is an answer and goes by the opposite relay."""
        (self.reverse if addr == self.target else self).forward(data)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram for which nothing listens at the target."""
        self.counts["refused"] += 1

    def forward(self, data: bytes) -> None:
        """Pass on one datagram as the link's faults demand."""
        self.counts["came"] += 1
        if self.conditions.stalled:
            self._stalled.append(data)
            return
        now_us = self._now_us()
        copies = self.conditions.datagram_arrivals(data, now_us)
        if not copies:
            self.counts["lost"] += 1
        for at_us, copy in copies:
            if at_us <= now_us:
                self._send(copy)
            elif self._delayed >= _MAX_DELAYED:
                self.counts["lost"] += 1
            else:
                self._delayed += 1
                asyncio.get_running_loop().call_later((at_us - now_us) / 1e6, self._send_delayed, copy)

    def _send_delayed(self, data: bytes) -> None:
        self._delayed -= 1
        self._send(data)

    def _send(self, data: bytes) -> None:
        if self._udp is not None and not self._udp.is_closing():
            self.counts["passed"] += 1
            self._udp.sendto(data, self.target)

    # --- streams ---

    def _accept_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._streams) >= _MAX_STREAMS:
            self.counts["turned away"] += 1
            writer.transport.abort()
            return
        self.counts["streams"] += 1
        task = asyncio.create_task(self._serve_stream(reader, writer))
        self._streams.add(task)
        task.add_done_callback(self._stream_done)

    def _stream_done(self, task: asyncio.Task[None]) -> None:
        self._streams.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "the task of a relayed stream failed", "exception": error})

    async def _serve_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._connect_and_copy(reader, writer)
        except* OSError:
            self.counts["broken"] += 1
        finally:
            writer.transport.abort()

    async def _connect_and_copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the target once neither direction is cut, and copy both directions until both have ended."""
        while self.conditions.cut or self.reverse.conditions.cut:
            await self._wait_until(lambda: not self.conditions.cut)
            await self.reverse._wait_until(lambda: not self.reverse.conditions.cut)
        far_reader, far_writer = await asyncio.open_connection(*self.target, limit=_CHUNK_BYTES)
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._copy(reader, far_writer))
                both.create_task(self.reverse._copy(far_reader, writer))
        finally:
            far_writer.transport.abort()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copy one direction of a stream, in order, through a bounded queue in which each chunk waits until its time.

        The end of the stream is queued like its bytes. An error of the reading side is raised only when the link passes
        it, and then breaks both directions.
        """
        chunks: asyncio.Queue[tuple[int, bytes | OSError]] = asyncio.Queue(_MAX_CHUNKS)
        async with asyncio.TaskGroup() as both:
            both.create_task(self._read(reader, chunks))
            both.create_task(self._write(writer, chunks))

    async def _read(self, reader: asyncio.StreamReader, chunks: asyncio.Queue[tuple[int, bytes | OSError]]) -> None:
        while True:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError as error:
                await chunks.put((0, error))
                return
            await chunks.put(self.conditions.chunk_arrival(data, self._now_us()) if data else (0, b""))
            if not data:
                return

    async def _write(self, writer: asyncio.StreamWriter, chunks: asyncio.Queue[tuple[int, bytes | OSError]]) -> None:
        while True:
            at_us, data = await chunks.get()
            await asyncio.sleep(max(0, at_us - self._now_us()) / 1e6)
            size = 0 if isinstance(data, OSError) else len(data)
            await self._wait_until(lambda size=size: not self.conditions.cut  # type: ignore[misc]
                                   and not self.conditions.stalled and not self.conditions.too_large(size))
            if isinstance(data, OSError):
                raise data
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            self.counts["bytes"] += size
            writer.write(data)
            await writer.drain()

    async def _wait_until(self, passable: Callable[[], bool]) -> None:
        while not passable():
            await self.changed.wait()


class Relays:
    """The relays of all links of a fleet. `listen_addresses` maps each courier to its listen address for peers."""

    def __init__(self, listen_addresses: Mapping[str, Address], seed: int, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self.links = {link: Relay(link, listen_addresses[link[1]], seed, now_us)
                      for link in links_among(list(listen_addresses))}
        for (sender, receiver), relay in self.links.items():
            relay.reverse = self.links[receiver, sender]
        self._tokens = 0

    async def open(self) -> None:
        """Open all relays. Raises `OSError` if a relay finds no port."""
        for relay in self.links.values():
            await relay.open()

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(relay.close() for relay in self.links.values()))

    def address(self, sender: str, receiver: str) -> str:
        """The host and port at which `sender` reaches `receiver`."""
        return f"{_HOST}:{self.links[sender, receiver].port}"

    def begin_fault(self, fault: LinkFault, links: Iterable[Link]) -> int:
        """Begin a fault of these links and return the token that ends it."""
        self._tokens += 1
        for link in links:
            self.links[link].set_fault(self._tokens, fault)
        return self._tokens

    def end_fault(self, token: int) -> None:
        """End the fault of this token on all links."""
        for relay in self.links.values():
            if token in relay.conditions.faults:
                relay.set_fault(token, None)

    async def run_faults(self, schedule: Sequence[PlannedFault]) -> None:
        """Begin and end each planned fault at its time; return when all are over."""
        async with asyncio.TaskGroup() as all_faults:
            for planned in schedule:
                all_faults.create_task(self._run_fault(planned))

    async def _run_fault(self, planned: PlannedFault) -> None:
        await asyncio.sleep(max(0, planned.at_us - self._now_us()) / 1e6)
        token = self.begin_fault(planned.fault, planned.links)
        await asyncio.sleep(planned.for_us / 1e6)
        self.end_fault(token)
