"""Where clients reach a simulated courier: the real `ClientServer` behind connections that the world carries."""

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

CLASSES = {"safe": False, "ordered": True, "unsafe": False}  # and which of them keep the order of their keys


class SimConnection:
    """One request's, with as much of `ClientConnection` as `ClientServer` uses."""

    def __init__(self, door: Door, message: StoredMessage, heard: Callable[[int], None]) -> None:
        self._door, self._message, self._heard = door, message, heard
        self._waits: asyncio.Future[None] | None = None
        self.write_closed = self.awaiting_sync = False
        door.check.handing[door.process.name][message.id] += 1

    def respond(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
                keep: bool = True) -> bool:
        if self.write_closed:
            return False
        self._over()
        door = self._door
        door.check.answered(door.process.name, door.boot, self._message, status)
        if status == 503:
            door.check.world.count[f"503 {text.strip()}"] += 1
        self._heard(status)
        return True

    def wait(self, work: asyncio.Future[None], served: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        self._waits = work

        def done(work: asyncio.Future[None]) -> None:
            self._waits = None
            served(work)
        work.add_done_callback(done)

    def close(self) -> None:
        """The courier ends it without an answer."""
        if not self.write_closed:
            self._over()
            self._door.check.world.count["no answer"] += 1
            self._heard(0)

    def lost(self) -> None:
        """Its client has gone."""
        if not self.write_closed:
            self._over()
            if self._waits is not None:
                self._waits.cancel()

    def _over(self) -> None:
        self.write_closed = True
        self._door.check.handing[self._door.process.name][self._message.id] -= 1


class Door:
    """Of one life of a courier."""

    def __init__(self, process: Process, boot: int, desk: Admission, find: Callable[[int], Admission],
                 check: Check) -> None:
        self.process, self.boot, self.check = process, boot, check
        self.server = ClientServer(desk, CLASSES, 1_000, find)

    def serve(self, request: Request, message: StoredMessage, heard: Callable[[int], None],
              opened: Callable[[SimConnection], None]) -> None:
        """A request has come whole, in this process's turn."""
        connection = SimConnection(self, message, heard)
        opened(connection)
        self.server.serve(request, cast(ClientConnection, connection))
