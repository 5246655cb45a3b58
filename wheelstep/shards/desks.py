"""The desk of a destination that is routed: what a client hands in goes to its home, or is taken here (desk.Desk)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheelstep.courier.desk import Desk
from wheelstep.journal import Stored

Route = Callable[["RoutedDesk", Stored], "asyncio.Future[None]"]


class RoutedDesk:
    """Of one request. `mine` is the courier's own desk; `route` decides and says when the message is taken."""

    ready = True
    syncs = True  # its answer is waited for

    def __init__(self, mine: Desk, route: Route) -> None:
        self._mine, self._route = mine, route
        self._message: Stored | None = None
        self.inner: Desk | None = None  # who was asked to take it, and is to hear what becomes of it

    def full(self) -> bool:
        return False

    def serves(self, destination: int) -> bool:
        return True  # its home knows

    def holds(self, message: str) -> bool:
        return self._mine.holds(message)

    def settles(self, message: str) -> bool:
        return self._mine.settles(message)

    def take(self, message: Stored) -> None:
        self._message = message

    def durable(self) -> asyncio.Future[None]:
        """Done once its home, or this courier, has taken it; the errors are those of `Desk.durable`."""
        assert self._message is not None
        return self._route(self, self._message)

    def begin(self, name: str) -> None:
        if self.inner is not None:
            self.inner.begin(name)

    def withdraw(self, name: str) -> None:
        if self.inner is not None:
            self.inner.withdraw(name)

    def handed_in(self, message: Stored, status: int) -> None:
        """Its home counts what it answers; what is turned away here is counted here."""
        if self.inner is not None:
            self.inner.handed_in(message, status)
        elif status != 202:
            self._mine.handed_in(message, status)
