"""The console's connections: each carries one command, and their number, bytes and time are bounded."""

from __future__ import annotations

import asyncio
import logging
import math

from wheelstep.console.commands import MAX_LINE_BYTES, ConsoleBackend, reply
from wheelstep.courier.client_listener import ClientListener
from wheelstep.courier.config import Address
from wheelstep.courier.listener import BACKLOG, open_listener

MAX_CONNECTIONS = 20  # concurrent connections; one more closes the oldest one whose command is incomplete
SEND_TIME_S = 0.1  # a new connection is not closed for another one sooner, unless a part of its command has come
_MAX_ACCEPTS_PER_TURN = 1  # so that hardly more than the limit are open before the listener pauses
MAX_COMMANDS = 100  # carried out at once, with those whose callers have disconnected
_TIME_LIMIT_S = 5.0  # time limit of a connection, from its opening until it is closed

log = logging.getLogger(__name__)


class _Connection(asyncio.Protocol):
    """One connection."""

    def __init__(self, front: ConsoleServer) -> None:
        self._server = front
        self._line = b""
        self._timeout: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._opened_s = asyncio.get_running_loop().time()
        self.received = False  # its command has been received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's time limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timeout = asyncio.get_running_loop().call_later(_TIME_LIMIT_S, self.abort)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Collect bytes until the command is complete or too long."""
        if self.received:
            return
        self._line += data
        line, found, _ = self._line.partition(b"\n")
        if found or len(self._line) > MAX_LINE_BYTES:
            self._answer(line)
        self._server.limit_connections()

    def displaceable_s(self) -> float:
        """Return since when it may be closed for another connection: it has had time to send its command, or sent a
        part of one. Infinity once the command has been received."""
        if self.received:
            return math.inf
        return -math.inf if self._line else self._opened_s + SEND_TIME_S

    def eof_received(self) -> bool:
        """Treat the end of the input as the end of the command. Return whether a reply is still to be sent."""
        if self._line and not self.received:
            self._answer(self._line)
        return self.received

    def _answer(self, line: bytes) -> None:
        """Have the command carried out, also if its caller disconnects meanwhile."""
        self.received, self._line = True, b""
        self._server.start_command(line[:MAX_LINE_BYTES + 1], self)

    def finish(self, text: bytes) -> None:
        """Send the reply and close the connection."""
        if self._transport is not None:
            self._transport.write(text)
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self._timeout is not None:
            self._timeout.cancel()
        self._server.closed(self)

    def abort_unless_received(self) -> None:
        """Close the connection at once, unless its command has been received."""
        if not self.received:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class ConsoleServer:
    """The listener and its connections."""

    def __init__(self, backend: ConsoleBackend) -> None:
        """Answer commands from `backend`."""
        self.backend = backend
        self._connections: dict[_Connection, None] = {}
        self._displaced: set[_Connection] = set()  # about to be closed
        self._commands: set[asyncio.Task[None]] = set()
        self._listener: ClientListener | None = None
        self._resume: asyncio.TimerHandle | None = None  # set while the listener is paused

    async def start(self, listen: Address) -> int:
        """Listen, and return the port. Raises `OSError`."""
        listener = open_listener(listen)
        listener.listen(BACKLOG)
        self._listener = ClientListener(listener, lambda _: _Connection(self), max_accepts=_MAX_ACCEPTS_PER_TURN)
        self._listener.resume()
        return int(listener.getsockname()[1])

    def start_command(self, line: bytes, connection: _Connection) -> None:
        """Carry out a command in a task of its own, since it may have to wait for another process."""
        if len(self._commands) >= MAX_COMMANDS:
            connection.finish(b"-ERR too many commands at once; try again\n")
            return
        task = asyncio.get_running_loop().create_task(self._run_command(line, connection))
        self._commands.add(task)
        task.add_done_callback(self._commands.discard)

    async def _run_command(self, line: bytes, connection: _Connection) -> None:
        try:
            connection.finish(await reply(line, self.backend))
        except Exception:
            log.exception("a console command failed: %.80r", line)
            connection.finish(b"-ERR failed; the log has more\n")

    def opened(self, connection: _Connection) -> None:
        """Add a connection."""
        self._connections[connection] = None
        self.limit_connections()

    def closed(self, connection: _Connection) -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)
        self._displaced.discard(connection)
        self.limit_connections()

    def limit_connections(self) -> None:
        """Beyond `MAX_CONNECTIONS`, close the oldest connections that have sent no complete command.

        While those beyond the limit have had no time to send one, further connections stay in the kernel's queue. So
        clients that never finish their command do not displace those that have, nor those that are about to send it.
        """
        now_s = asyncio.get_running_loop().time()
        kept = [connection for connection in self._connections if connection not in self._displaced]
        kept.sort(key=_Connection.displaceable_s)
        resume_s = math.inf
        for connection in kept[:max(0, len(kept) - MAX_CONNECTIONS)]:
            if connection.displaceable_s() <= now_s:
                self._displace(connection)
            else:
                resume_s = min(resume_s, connection.displaceable_s())
        self._pause_listener(resume_s)

    def _displace(self, connection: _Connection) -> None:
        """Close a connection once what the kernel has of it was read, unless that is its whole command."""
        self._displaced.add(connection)
        loop = asyncio.get_running_loop()
        # The loop polls between the two callbacks, and reads before the second.
        loop.call_soon(loop.call_soon, connection.abort_unless_received)

    def _pause_listener(self, until_s: float) -> None:
        """Accept no connection until a time of the loop; infinity: resume."""
        if self._listener is None:
            return
        if self._resume is not None:
            self._resume.cancel()
            self._resume = None
            if until_s == math.inf:
                self._listener.resume()
        if until_s < math.inf:
            self._listener.pause()
            self._resume = asyncio.get_running_loop().call_at(until_s, self.limit_connections)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._pause_listener(math.inf)
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.abort()
        for command in self._commands:
            command.cancel()
