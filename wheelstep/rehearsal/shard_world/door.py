"""The client side of a simulated courier: a real `ClientServer` with simulated connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from wheelstep.courier.admission import Admission
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.request import Request
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import InvariantChecker
from wheelstep.rehearsal.shard_world.process import Process

CLASSES = {"safe": False, "ordered": True, "unsafe": False}  # class -> whether it keeps the order of its keys


class SimConnection:
    """The connection of one request: the part of `ClientConnection` that `ClientServer` uses."""

    transport: asyncio.Transport | None = None  # there is no socket

    def __init__(self, client_server: SimClientServer, message: StoredMessage,
                 on_status: Callable[[int], None]) -> None:
        self._client_server, self._message, self._on_status = client_server, message, on_status
        self._awaited: asyncio.Future[None] | None = None
        self.write_closed = self.awaiting_sync = False
        client_server.check.open_submissions[client_server.process.name][message.id] += 1

    def respond(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
                keep_alive: bool = True, hold_open: bool = False) -> bool:
        """Answer the request; return False if it is over already."""
        if self.write_closed:
            return False
        self._finish()
        client_server = self._client_server
        client_server.check.on_answered(client_server.process.name, client_server.boot, self._message, status)
        if status == 503:
            client_server.check.world.counts[f"503 {text.strip()}"] += 1
        self._on_status(status)
        return True

    def wait(self, work: asyncio.Future[None], on_done: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Call `on_done` once `work` is done; `work` is cancelled if the client goes."""
        self._awaited = work

        def on_awaited_done(work: asyncio.Future[None]) -> None:
            self._awaited = None
            on_done(work)
        work.add_done_callback(on_awaited_done)

    def close(self) -> None:
        """Close the connection without an answer, which the client sees as status 0."""
        if not self.write_closed:
            self._finish()
            self._client_server.check.world.counts["no answer"] += 1
            self._on_status(0)

    def on_client_gone(self) -> None:
        """Handle the client's departure."""
        if not self.write_closed:
            self._finish()
            if self._awaited is not None:
                self._awaited.cancel()

    def _finish(self) -> None:
        self.write_closed = True
        self._client_server.check.open_submissions[self._client_server.process.name][self._message.id] -= 1


class SimClientServer:
    """The client server of one courier process."""

    def __init__(self, process: Process, boot: int, admission: Admission, find: Callable[[int], Admission],
                 check: InvariantChecker) -> None:
        self.process, self.boot, self.check = process, boot, check
        self.server = ClientServer(admission, CLASSES, 1_000, find)

    def serve(self, request: Request, message: StoredMessage, on_status: Callable[[int], None],
              on_opened: Callable[[SimConnection], None]) -> None:
        """Serve a whole request, in a turn of this process. `on_opened` gets its connection, `on_status` its status."""
        connection = SimConnection(self, message, on_status)
        on_opened(connection)
        self.server.serve(request, cast(ClientConnection, connection))
