"""A simulated courier's interface for clients: the real `ClientServer` with simulated connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from wheelstep.courier.admission import Admission
from wheelstep.courier.client_connection import ClientConnection
from wheelstep.courier.client_server import ClientServer
from wheelstep.courier.request import Request
from wheelstep.journal import StoredMessage
from wheelstep.rehearsal.shard_world.check import Check
from wheelstep.rehearsal.shard_world.process import Process

CLASSES = {"safe": False, "ordered": True, "unsafe": False}  # whether messages of the class are ordered by key


class SimConnection:
    """The connection of one request, with the part of `ClientConnection` that `ClientServer` uses.

    `on_status` gets the answer's status, or 0 if the courier closes the connection without one.
    """

    def __init__(self, server: SimClientServer, message: StoredMessage, on_status: Callable[[int], None]) -> None:
        self._server, self._message, self._on_status = server, message, on_status
        self._pending_work: asyncio.Future[None] | None = None
        self.write_closed = self.awaiting_sync = False
        server.check.open_submissions[server.process.name][message.id] += 1

    def respond(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
                keep: bool = True) -> bool:
        """Answer the request. Returns false if it was answered or closed before."""
        if self.write_closed:
            return False
        self._finish()
        server = self._server
        server.check.on_answered(server.process.name, server.boot, self._message, status)
        if status == 503:
            server.check.world.counts[f"503 {text.strip()}"] += 1
        self._on_status(status)
        return True

    def wait(self, work: asyncio.Future[None], callback: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Call `callback`, which answers, once `work` is done."""
        self._pending_work = work

        def on_done(work: asyncio.Future[None]) -> None:
            self._pending_work = None
            callback(work)
        work.add_done_callback(on_done)

    def close(self) -> None:
        """Close the connection without an answer."""
        if not self.write_closed:
            self._finish()
            self._server.check.world.counts["no answer"] += 1
            self._on_status(0)

    def client_gone(self) -> None:
        """End the connection because its client has closed it; the pending work is cancelled."""
        if not self.write_closed:
            self._finish()
            if self._pending_work is not None:
                self._pending_work.cancel()

    def _finish(self) -> None:
        self.write_closed = True
        self._server.check.open_submissions[self._server.process.name][self._message.id] -= 1


class SimClientServer:
    """The interface for clients of one process of a courier."""

    def __init__(self, process: Process, boot: int, admission: Admission, find_admission: Callable[[int], Admission],
                 check: Check) -> None:
        self.process, self.boot, self.check = process, boot, check
        self.server = ClientServer(admission, CLASSES, 1_000, find_admission)

    def serve(self, request: Request, message: StoredMessage, on_status: Callable[[int], None],
              on_open: Callable[[SimConnection], None]) -> None:
        """Serve a complete request, in an iteration of the process. `on_open` gets its connection first."""
        connection = SimConnection(self, message, on_status)
        on_open(connection)
        self.server.serve(request, cast(ClientConnection, connection))
