"""The admission of a destination whose messages are routed: passed on to their home, or taken here
(admission.Admission)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheelstep.courier.admission import Admission
from wheelstep.journal import StoredMessage

Route = Callable[["RoutedAdmission", StoredMessage], "asyncio.Future[None]"]


class RoutedAdmission:
    """Serves one request. `own_admission` is the courier's own admission; `route` decides, and returns a future that is
    done when the message is taken."""

    ready = True
    syncs = True  # the caller waits for `durable`

    def __init__(self, own_admission: Admission, route: Route) -> None:
        self._own_admission, self._route = own_admission, route
        self._message: StoredMessage | None = None
        self.inner: Admission | None = None  # the one asked to take the message, which hears of its progress

    def full(self) -> bool:
        """False: the admission that takes the message decides."""
        return False

    def serves(self, destination: int) -> bool:
        """True: the message's home decides."""
        return True

    def holds(self, message: str) -> bool:
        """Tells whether this courier holds the message already."""
        return self._own_admission.holds(message)

    def is_unconfirmed(self, message: str) -> bool:
        """As the courier's own admission."""
        return self._own_admission.is_unconfirmed(message)

    def take(self, message: StoredMessage) -> None:
        """Keeps the message until `durable` routes it."""
        self._message = message

    def durable(self) -> asyncio.Future[None]:
        """Routes the message; the future is done once its home, or this courier, has taken it, with the errors of
        `Admission.durable`."""
        assert self._message is not None
        return self._route(self, self._message)

    def begin(self, name: str) -> None:
        """Starts the message's delivery at the admission that took it."""
        if self.inner is not None:
            self.inner.begin(name)

    def withdraw(self, name: str) -> None:
        """Withdraws the message from the admission that was asked."""
        if self.inner is not None:
            self.inner.withdraw(name)

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Counts the answer: at the admission that took the message, or here if it was turned away."""
        if self.inner is not None:
            self.inner.record_answer(message, status)
        elif status != 202:
            self._own_admission.record_answer(message, status)
