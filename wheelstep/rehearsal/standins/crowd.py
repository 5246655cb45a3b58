"""Clients that misbehave in numbers, in a process of their own.

`python -m wheelstep.rehearsal.standins.crowd KIND HOST:PORT COUNT` keeps `COUNT` connections open, replaces each that
is ended, and runs until it is killed. `KIND` is one of `KINDS`, or several with commas.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

PATIENCE_S = 3.0  # a bad client is owed an error or a close within this time (LATER, 'Bad clients')
_RECONNECT_S = 0.02
_BODY_BYTES = 64 * 1024
_FIELDS = 120
_PIPELINED = 2_000  # requests in one write
_SUBMITTED = 100  # messages in one write

Client = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def head(number: int, body_bytes: int, last: bytes = b"\r\n") -> bytes:
    """Return the head of a request that hands in a message, up to `last`."""
    return (f"POST /api/k{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd-{number}\r\nX-Class: once\r\n"
            f"X-Deadline-Ms: 5000\r\nX-Consignee: dest=7\r\nContent-Length: {body_bytes}\r\n").encode() + last


async def half_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Stop in the middle of a large request."""
    writer.write(head(number, _BODY_BYTES) + b"x" * (_BODY_BYTES - 4096))
    await reader.read()


async def short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send a head of very many short fields, and no end of it."""
    writer.write(head(number, 1, b"") + b"".join(b"%x:y\r\n" % field for field in range(_FIELDS)))
    await reader.read()


async def endless_field(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send a header that never ends, at full speed."""
    writer.write(head(number, 1, b"X-Long: "))
    while True:
        writer.write(b"x" * _BODY_BYTES)
        await writer.drain()


async def slow_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Write a large request slowly."""
    writer.write(head(number, _BODY_BYTES))
    for _ in range(64):
        writer.write(b"x" * 1000)
        await asyncio.sleep(0.05)


async def pipelined(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send small requests at full speed and read no answer."""
    while True:
        writer.write(b"GET /healthz HTTP/1.1\r\n\r\n" * _PIPELINED)
        await writer.drain()


async def pipelined_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send small requests at full speed, each another one, and read the answers."""
    await _send_and_read(reader, writer, lambda one: b"GET /healthz?%d HTTP/1.1\r\n\r\n" % one, _PIPELINED)


async def new_names(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Hand in messages at full speed, each under an id and a key of its own, and read the answers."""
    await _send_and_read(reader, writer, lambda one: head(number * 10_000_000 + one, 0), _SUBMITTED)


async def _send_and_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: Callable[[int], bytes],
                         batch: int) -> None:
    """Send `request` of rising numbers, `batch` in one write, until the connection ends."""
    sent = 0

    async def read() -> None:
        while await reader.read(1 << 16):
            pass
    reading = asyncio.create_task(read())
    while not reading.done():
        writer.write(b"".join(map(request, range(sent, sent + batch))))
        sent += batch
        await writer.drain()


async def refused_ids(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    """Send unsound requests, each under a new id and on a new connection."""
    writer.write(head(number, 0).replace(b"dest=7", b"dest=%d" % (1000 + number)))
    await reader.read()


KINDS: dict[str, Client] = {
    "half-body": half_body, "short-fields": short_fields, "endless-field": endless_field, "slow-body": slow_body,
    "pipelined": pipelined, "pipelined-read": pipelined_read, "new-names": new_names, "refused-ids": refused_ids}
_COMMAND = (sys.executable, "-m", "wheelstep.rehearsal.standins.crowd")
_ROOT = Path(__file__).resolve().parents[3]


async def _play(client: Client, address: str, index: int) -> None:
    host, _, port = address.rpartition(":")
    number = index
    while True:
        number += 1_000_000
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    await client(reader, writer, number)
                finally:
                    writer.transport.abort()
        await asyncio.sleep(_RECONNECT_S)


async def _main(kind: str, address: str, count: int) -> None:
    clients = [KINDS[one] for one in kind.split(",")]
    await asyncio.gather(*(_play(clients[index % len(clients)], address, index) for index in range(count)))


@contextlib.asynccontextmanager
async def crowd(kind: str, address: str, count: int) -> AsyncIterator[Process]:
    """Run a crowd of `count` connections meanwhile."""
    process = await asyncio.create_subprocess_exec(
        *_COMMAND, kind, address, str(count), cwd=_ROOT, stderr=asyncio.subprocess.DEVNULL)
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
