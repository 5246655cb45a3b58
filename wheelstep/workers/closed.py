"""The desk of a share that is open nowhere just now: clients are told so, and nothing is taken."""

from __future__ import annotations

import asyncio

from wheelstep.journal import NoRoomError, StoredMessage


class ClosedDesk:
    """It takes nothing and holds nothing (admission.Admission)."""

    ready = False
    syncs = False

    def full(self) -> bool:
        return True

    def serves(self, destination: int) -> bool:
        return True

    def holds(self, message: str) -> bool:
        return False

    def take(self, message: StoredMessage) -> None:
        raise NoRoomError("its share is open nowhere just now")

    def is_unconfirmed(self, message: str) -> bool:
        return False

    def durable(self) -> asyncio.Future[None]:
        raise NoRoomError("its share is open nowhere just now")  # nothing is taken, so nothing waits

    def begin(self, name: str) -> None:
        pass

    def withdraw(self, name: str) -> None:
        pass

    def record_answer(self, message: StoredMessage, status: int) -> None:
        pass
