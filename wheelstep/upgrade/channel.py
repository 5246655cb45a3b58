"""Packets with file descriptors between two processes of one courier, over a Unix socket that preserves packet
boundaries.

A packet is a JSON head, a line feed and raw bytes. Long lists are split into several packets.
"""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

from wheelstep.courier.local_errors import TRANSFER_ERRORS

SOCKET_NAME = "successor"  # socket in the state folder, where a new process finds the serving one
MAX_PACKET_BYTES = 96 * 1024  # bytes of a packet; less than the kernel's socket buffers hold
ROWS_PER_PACKET = 200  # entries of a list in one packet
_WRITE_TIMEOUT_S = 2.0
_CREDENTIALS = struct.Struct("3i")  # process, user and group, see unix(7)
_REPEATED_ERRORS = TRANSFER_ERRORS | {errno.EAGAIN}  # nothing was transferred

log = logging.getLogger(__name__)


class ConnectionLostError(Exception):
    """The other process has ended or does not read."""


class Channel:
    """One connection.

    `on_packet` is called for each packet with the descriptors that came with it, which it must take or close;
    `on_close` is called once when the connection ends.
    """

    def __init__(self, sock: socket.socket, on_packet: Callable[[dict[str, Any], bytes, list[int]], None],
                 on_close: Callable[[], None]) -> None:
        self._socket, self._on_packet, self._on_close = sock, on_packet, on_close
        self._order = asyncio.Lock()
        self.open = True
        sock.setblocking(False)
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read)

    def peer_process(self) -> int | None:
        """Return the id of the process at the other end; None where the system can't tell."""
        try:
            credentials = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        except OSError:
            return None
        return int(_CREDENTIALS.unpack(credentials)[0])

    def _read(self) -> None:
        """Receive one packet and pass it on; close the connection if that fails."""
        try:
            data, descriptors, _, _ = socket.recv_fds(self._socket, MAX_PACKET_BYTES, 8)
        except OSError as error:
            if error.errno in _REPEATED_ERRORS:
                return
            data, descriptors = b"", []
        if not data:
            self.close()
            return
        text, _, body = data.partition(b"\n")
        try:
            self._on_packet(json.loads(text), body, descriptors)
        except Exception:
            log.exception("could not process a handover packet: %.200r", text)
            self.close()

    async def send(self, head: dict[str, Any], body: bytes = b"", descriptors: tuple[int, ...] = ()) -> None:
        """Send one packet; concurrent calls are sent in their order. Raises `ConnectionLostError`."""
        data = json.dumps(head, separators=(",", ":")).encode() + b"\n" + body
        async with self._order:
            try:
                async with asyncio.timeout(_WRITE_TIMEOUT_S):
                    while not self._try_send(data, descriptors):
                        await self._writable()
            except (OSError, TimeoutError) as error:
                self.close()
                raise ConnectionLostError(str(error)) from error

    def _try_send(self, data: bytes, descriptors: tuple[int, ...]) -> bool:
        """Try to send. False if the socket is not writable yet; raises `OSError` if the connection has ended."""
        if not self.open:
            raise OSError("the connection has ended")
        try:
            socket.send_fds(self._socket, [data], list(descriptors))
        except OSError as error:
            if error.errno not in _REPEATED_ERRORS:
                raise
            return False
        return True

    async def _writable(self) -> None:
        """Wait until the socket is writable."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_writer(self._socket.fileno(), ready.set)
        try:
            await ready.wait()
        finally:
            if self.open:
                loop.remove_writer(self._socket.fileno())

    async def send_list(self, head: dict[str, Any], rows: list[Any]) -> None:
        """Send a list of any length under the key `rows`; an empty list is sent as one packet."""
        for start in range(0, max(1, len(rows)), ROWS_PER_PACKET):
            await self.send({**head, "rows": rows[start:start + ROWS_PER_PACKET]})

    def close(self) -> None:
        """Close the connection at once; `on_close` is called in the next turn of the loop."""
        if self.open:
            self.open = False
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket.fileno())
            loop.remove_writer(self._socket.fileno())
            self._socket.close()
            loop.call_soon(self._on_close)


def listen(folder: Path) -> socket.socket:
    """Listen for a successor. Only the process that has locked the journal's folder may call this. Raises `OSError`."""
    (folder / SOCKET_NAME).unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    with _ShortSocketPath(folder) as path:
        sock.bind(path)
    os.chmod(folder / SOCKET_NAME, 0o600)
    sock.listen(4)
    return sock


def connect(folder: Path) -> socket.socket:
    """Connect to the serving process. Raises `OSError` if there is none, or too many wait for it already."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with _ShortSocketPath(folder) as path:
            sock.connect(path)
    except OSError:
        sock.close()
        raise
    return sock


class _ShortSocketPath:
    """Context manager for a path to the socket that fits into a socket address (107 bytes), however long the folder's
    path is."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def __enter__(self) -> str:
        self._handle = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._handle}/{SOCKET_NAME}"

    def __exit__(self, *_: object) -> None:
        os.close(self._handle)
