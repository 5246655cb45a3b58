"""An endpoint client with a stand-in for its owner, and endpoints that answer with given bytes."""


from __future__ import annotations

import asyncio
from collections.abc import Sequence

from loopback import LIMIT_S, Call, Endpoint, Reply

from wheelstep.courier.call import Item, Result
from wheelstep.courier.config import Address
from wheelstep.courier.endpoint_client import EndpointClient

S = 1_000_000


class FakeOwner:
    """Stands in for the core."""

    syncs = False

    async def wait_durable(self) -> bool:
        return True

    def __init__(self) -> None:
        self.started: list[str] = []
        self.written_messages = 0
        self.waits: list[int] = []
        self.barred: set[str] = set()
        self.results: dict[str, Result] = {}
        self.probes: asyncio.Queue[Result] = asyncio.Queue()
        self._news = asyncio.Condition()

    async def wait_for_earlier(self, items: Sequence[Item]) -> None:
        pass

    def may_start(self, endpoint: str, item: Item) -> bool:
        return item.message not in self.barred

    def may_probe(self, endpoint: str) -> bool:
        return True

    def messages_written(self, messages: int) -> None:
        self.written_messages += messages

    def attempts_starting(self, endpoint: str, items: Sequence[Item]) -> None:
        self.started += [item.message for item in items]

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        self.waits.append(wait_us)

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        for item, result in results:
            assert item.message not in self.results
            self.results[item.message] = result
        self._wake = asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._news:
            self._news.notify_all()

    def probed(self, endpoint: str, result: Result) -> None:
        self.probes.put_nowait(result)

    async def wait(self, message: str) -> Result:
        async with asyncio.timeout(LIMIT_S), self._news:
            await self._news.wait_for(lambda: message in self.results)
        return self.results[message]


def item(message: str, body: bytes = b"x") -> Item:
    return Item(message, 0, None, body)


async def connected_client(idle_us: int = 10 * S) -> tuple[FakeOwner, Endpoint, EndpointClient]:
    """Return an owner, a running endpoint, and a client that knows its address as `e0`."""
    owner, endpoint = FakeOwner(), Endpoint()
    client = EndpointClient(owner, S, idle_us, ("x0", "x1"))
    host, port = (await endpoint.start()).split(":")
    client.set_address("e0", Address(host, int(port)))
    return owner, endpoint, client


async def outcome_of(reply: Reply, *items: Item) -> list[Result]:
    owner, endpoint, client = await connected_client()
    async def answer(call: Call) -> Reply:
        return reply
    endpoint.reply = answer
    client.call("e0", items, 10 * S)
    return [await owner.wait(i.message) for i in items]


class RawServer:
    """An endpoint that writes these bytes for each call, in pieces, and leaves the connection open."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces: tuple[bytes, ...] = pieces
        self.connections = self.ended = 0
        self.written = asyncio.Event()

    async def start(self, idle_us: int = 10 * S, most: int = 100) -> tuple[FakeOwner, EndpointClient]:
        """Start listening; return an owner and a client that knows the address as `e0`."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        owner = FakeOwner()
        client = EndpointClient(owner, S, idle_us, ("x0", "x1"), most)
        client.set_address("e0", Address("127.0.0.1", self.server.sockets[0].getsockname()[1]))
        return owner, client

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while b"\n" in await reader.read(65536):
                for piece in self.pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.01)
                self.written.set()
        except OSError:
            pass
        finally:
            self.ended += 1
            writer.transport.abort()


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
MALFORMED = {
    "noise": [b"\x00\xfe\x01 noise\r\n\r\n"], "noise without a line": [b"\x7f\x45\x4c\x46"],
    "unreadable head": [b"HTTP/1.1 %d Oh\r\nbad header\x00: \r\n\r\n"],
    "head without end": [b"HTTP/1.1 %d Oh\r\nX-More: x\r\n", *[b"X-More: x\r\n" * 500] * 20],
    "head that stops": [b"HTTP/1.1 %d Oh\r\nX-More: x\r\n"],
    "two lengths": [b"HTTP/1.1 %d Oh\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"],
    "negative length": [b"HTTP/1.1 %d Oh\r\nContent-Length: -1\r\n\r\nxx"],
    "short body": [b"HTTP/1.1 %d Oh\r\nContent-Length: 100\r\n\r\nxx"],
    "bad chunks": [b"HTTP/1.1 %d Oh\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"],
    "3 GB": [b"HTTP/1.1 %d Oh\r\nContent-Length: 3000000000\r\n\r\n", *[b"x" * 65536] * 50],
    "1xx for ever": [b"HTTP/1.1 100 Continue\r\n\r\n" * 1000],
}
