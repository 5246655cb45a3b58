"""The links between couriers on loopback: for each directed link a relay for datagrams and one for streams on one port
number, with the faults of a schedule. Buffers are bounded; who sends faster than a link passes has to wait or loses.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from wheelstep.rehearsal.fleet.faults import Link, LinkFault, Planned, Weather, among

Address = tuple[str, int]
_HOST = "127.0.0.1"
_HELD = 256  # datagrams that a stalled link keeps; the oldest go
_LATE = 2_048  # datagrams that are on their way on a slow link; further ones are lost
_PIECES = 64  # of a stream on its way
_PIECE = 16 * 1024  # bytes at most
_STREAMS = 256  # of a link at once


class Relay(asyncio.DatagramProtocol):
    """One directed link. `reverse` is the other direction's: it carries what comes back."""

    def __init__(self, link: Link, target: Address, seed: int, now_us: Callable[[], int]) -> None:
        self.link, self.target, self._now_us = link, target, now_us
        self.weather = Weather(random.Random(f"{seed}/{link[0]}>{link[1]}"))
        self.counts: Counter[str] = Counter()  # datagrams that came, passed and were lost; streams; bytes of streams
        self.reverse = self
        self.port = 0
        self.changed = asyncio.Event()  # replaced at each change of the weather
        self._held: deque[bytes] = deque(maxlen=_HELD)
        self._late = 0
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Take datagrams and streams on one free port number."""
        loop = asyncio.get_running_loop()
        for _ in range(50):
            tcp = socket.create_server((_HOST, 0), backlog=128)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                udp.bind((_HOST, tcp.getsockname()[1]))
            except OSError:  # the number is free for streams alone
                tcp.close()
                udp.close()
                continue
            self.port = tcp.getsockname()[1]
            self._udp, _ = await loop.create_datagram_endpoint(lambda: self, sock=udp)
            self._tcp = await asyncio.start_server(self._accepted, sock=tcp, limit=_PIECE)
            return
        raise OSError("no port number found that is free for datagrams and streams")

    async def close(self) -> None:
        """Both at once, and all that they carry."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()
        for stream in list(self._streams):
            stream.cancel()
        await asyncio.gather(*self._streams, return_exceptions=True)

    def change(self, token: int, fault: LinkFault | None) -> None:
        """A fault begins under this token; None: the one under it is over."""
        if fault is None:
            self.weather.faults.pop(token, None)
        else:
            self.weather.faults[token] = fault
        self.changed.set()
        self.changed = asyncio.Event()
        if not self.weather.stalled:
            held = list(self._held)
            self._held.clear()
            for data in held:
                self.pass_on(data)

    # --- datagrams ---

    def datagram_received(self, data: bytes, addr: Address) -> None:
        (self.reverse if addr == self.target else self).pass_on(data)

    def error_received(self, exc: Exception) -> None:
        self.counts["refused"] += 1  # nobody listens there just now

    def pass_on(self, data: bytes) -> None:
        """One datagram, as the weather wants it."""
        self.counts["came"] += 1
        if self.weather.stalled:
            self._held.append(data)
            return
        now_us = self._now_us()
        copies = self.weather.datagram(data, now_us)
        if not copies:
            self.counts["lost"] += 1
        for at_us, copy in copies:
            if at_us <= now_us:
                self._send(copy)
            elif self._late >= _LATE:
                self.counts["lost"] += 1
            else:
                self._late += 1
                asyncio.get_running_loop().call_later((at_us - now_us) / 1e6, self._arrive, copy)

    def _arrive(self, data: bytes) -> None:
        self._late -= 1
        self._send(data)

    def _send(self, data: bytes) -> None:
        if self._udp is not None and not self._udp.is_closing():
            self.counts["passed"] += 1
            self._udp.sendto(data, self.target)

    # --- streams ---

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._streams) >= _STREAMS:
            self.counts["turned away"] += 1
            writer.transport.abort()
            return
        self.counts["streams"] += 1
        task = asyncio.create_task(self._stream(reader, writer))
        self._streams.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._streams.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler({"message": "a relay died", "exception": error})

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._carry(reader, writer)
        except* OSError:
            self.counts["broken"] += 1
        finally:
            writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Both directions of a stream, once the route is there both ways, until both have ended."""
        while self.weather.cut or self.reverse.weather.cut:
            await self._until(lambda: not self.weather.cut)
            await self.reverse._until(lambda: not self.reverse.weather.cut)
        answers, far = await asyncio.open_connection(*self.target, limit=_PIECE)
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(reader, far))
                both.create_task(self.reverse._pump(answers, writer))
        finally:
            far.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One direction: what is read waits its time in a bounded queue and goes on in order, its end like its bytes.
        A broken end breaks both, but not before the weather lets it through."""
        pieces: asyncio.Queue[tuple[int, bytes | OSError]] = asyncio.Queue(_PIECES)
        async with asyncio.TaskGroup() as both:
            both.create_task(self._read(reader, pieces))
            both.create_task(self._write(writer, pieces))

    async def _read(self, reader: asyncio.StreamReader, pieces: asyncio.Queue[tuple[int, bytes | OSError]]) -> None:
        while True:
            try:
                data = await reader.read(_PIECE)
            except OSError as error:
                await pieces.put((0, error))
                return
            await pieces.put(self.weather.piece(data, self._now_us()) if data else (0, b""))
            if not data:
                return

    async def _write(self, writer: asyncio.StreamWriter, pieces: asyncio.Queue[tuple[int, bytes | OSError]]) -> None:
        while True:
            at_us, data = await pieces.get()
            await asyncio.sleep(max(0, at_us - self._now_us()) / 1e6)
            size = 0 if isinstance(data, OSError) else len(data)
            await self._until(lambda size=size: not self.weather.cut and not self.weather.stalled  # type: ignore[misc]
                              and not self.weather.too_large(size))
            if isinstance(data, OSError):
                raise data
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            self.counts["bytes"] += size
            writer.write(data)
            await writer.drain()

    async def _until(self, fine: Callable[[], bool]) -> None:
        while not fine():
            await self.changed.wait()


class Relays:
    """All links of a fleet. `listens` says where each courier takes its peers."""

    def __init__(self, listens: Mapping[str, Address], seed: int, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self.links = {link: Relay(link, listens[link[1]], seed, now_us) for link in among(list(listens))}
        for (one, other), relay in self.links.items():
            relay.reverse = self.links[other, one]
        self._tokens = 0

    async def open(self) -> None:
        """All of them."""
        for relay in self.links.values():
            await relay.open()

    async def close(self) -> None:
        """All of them."""
        await asyncio.gather(*(relay.close() for relay in self.links.values()))

    def address(self, one: str, other: str) -> str:
        """Where the one reaches the other."""
        return f"{_HOST}:{self.links[one, other].port}"

    def begin(self, fault: LinkFault, links: Iterable[Link]) -> int:
        """A fault sets in at these links; returns the token that ends it."""
        self._tokens += 1
        for link in links:
            self.links[link].change(self._tokens, fault)
        return self._tokens

    def end(self, token: int) -> None:
        """That fault is over."""
        for relay in self.links.values():
            if token in relay.weather.faults:
                relay.change(token, None)

    async def play(self, schedule: Sequence[Planned]) -> None:
        """Each fault in its time, until all are over."""
        async with asyncio.TaskGroup() as all_faults:
            for planned in schedule:
                all_faults.create_task(self._one(planned))

    async def _one(self, planned: Planned) -> None:
        await asyncio.sleep(max(0, planned.at_us - self._now_us()) / 1e6)
        token = self.begin(planned.fault, planned.links)
        await asyncio.sleep(planned.for_us / 1e6)
        self.end(token)
