"""Shares the event loop's time among clients whose requests wait to be served. The clock is the event loop's."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

_TURN_S = 0.005  # of one turn of the event loop, which also has to deliver messages


class Servable(Protocol):
    """A connection with complete requests."""

    def serve_next(self) -> bool:
        """Serve one request. Return whether another one can be served now."""


class ServingQueue:
    """Connections with further requests are served in turn, one request each."""

    def __init__(self) -> None:
        self._waiting: dict[Servable, None] = {}  # in order
        self._handle: asyncio.Handle | None = None
        self.held = False

    def hold(self) -> None:
        """Serve nothing until `release`."""
        self.held = True

    def release(self) -> None:
        """Go on after `hold`."""
        self.held = False
        if self._waiting:
            self._schedule()

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, connection: Servable) -> None:
        """Serve a connection's next request in its turn; does nothing if it waits already."""
        self._waiting.setdefault(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._handle is None and not self.held:
            self._handle = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._handle = None
        until_s = time.monotonic() + _TURN_S
        while self._waiting and not self.held:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            if connection.serve_next():
                self._waiting[connection] = None
            if time.monotonic() >= until_s:
                break
        if self._waiting:
            self._schedule()
