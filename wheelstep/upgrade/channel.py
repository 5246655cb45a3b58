"""Packets between two processes of one courier, with descriptors: a Unix socket that keeps their bounds.

A packet is a head in JSON, a line feed and bytes as they are. Long lists go in several packets.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

NAME = "successor"  # in the folder that lasts: where a new process finds the one that serves
MOST = 96 * 1024  # bytes of a packet; the kernel's buffers hold more
ROWS = 200  # entries of a long list in one packet
_WRITE_S = 2.0

log = logging.getLogger(__name__)


class LostError(Exception):
    """The other process is gone or does not read."""


class Channel:
    """One connection. `heard` is called for each packet with the descriptors that came with it, `lost` once at its end;
    descriptors that nobody takes are the caller's to close."""

    def __init__(self, link: socket.socket, heard: Callable[[dict[str, Any], bytes, list[int]], None],
                 lost: Callable[[], None]) -> None:
        self._link, self._heard, self._lost = link, heard, lost
        self._order = asyncio.Lock()
        self.open = True
        link.setblocking(False)
        asyncio.get_running_loop().add_reader(link.fileno(), self._read)

    def _read(self) -> None:
        try:
            data, descriptors, _, _ = socket.recv_fds(self._link, MOST, 8)
        except BlockingIOError:
            return
        except OSError:
            data, descriptors = b"", []
        if not data:
            self.close()
            return
        text, _, body = data.partition(b"\n")
        try:
            self._heard(json.loads(text), body, descriptors)
        except Exception:
            log.exception("a packet could not be used: %.200r", text)
            self.close()

    async def send(self, head: dict[str, Any], body: bytes = b"", descriptors: tuple[int, ...] = ()) -> None:
        """In the order of the calls. Raises `LostError`."""
        data = json.dumps(head, separators=(",", ":")).encode() + b"\n" + body
        async with self._order:
            try:
                async with asyncio.timeout(_WRITE_S):
                    while not self._sent(data, descriptors):
                        await self._writable()
            except (OSError, TimeoutError) as error:
                self.close()
                raise LostError(str(error)) from error

    def _sent(self, data: bytes, descriptors: tuple[int, ...]) -> bool:
        if not self.open:
            raise OSError("the connection has ended")
        try:
            socket.send_fds(self._link, [data], list(descriptors))
        except BlockingIOError:
            return False
        return True

    async def _writable(self) -> None:
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_writer(self._link.fileno(), ready.set)
        try:
            await ready.wait()
        finally:
            if self.open:
                loop.remove_writer(self._link.fileno())

    async def send_list(self, head: dict[str, Any], rows: list[Any]) -> None:
        """A list of any length under the key `rows`; an empty one too is heard of."""
        for start in range(0, max(1, len(rows)), ROWS):
            await self.send({**head, "rows": rows[start:start + ROWS]})

    def close(self) -> None:
        """At once."""
        if self.open:
            self.open = False
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._link.fileno())
            loop.remove_writer(self._link.fileno())
            self._link.close()
            loop.call_soon(self._lost)


def listen(folder: Path) -> socket.socket:
    """Where a successor asks. Only the process that has the journal's folder may call this. Raises `OSError`."""
    (folder / NAME).unlink(missing_ok=True)
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    with _short(folder) as path:
        link.bind(path)
    os.chmod(folder / NAME, 0o600)
    link.listen(4)
    return link


def connect(folder: Path) -> socket.socket:
    """To the process that serves. Raises `OSError` where there is none."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with _short(folder) as path:
            link.connect(path)
    except OSError:
        link.close()
        raise
    return link


class _short:
    """A path to the socket that is short enough for its address (107 bytes), however long the folder's is."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def __enter__(self) -> str:
        self._handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._handle}/{NAME}"

    def __exit__(self, *_: object) -> None:
        os.close(self._handle)
