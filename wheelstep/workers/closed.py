"""Admission to a share that is not open in any worker: its clients are told so, and no message is taken."""

from __future__ import annotations

import asyncio

from wheelstep.journal import NoRoomError, StoredMessage


class ClosedAdmission:
    """Takes no message and holds none (admission.Admission)."""

    ready = False
    syncs = False

    def full(self) -> bool:
        """Return True: there is no room while the share is closed."""
        return True

    def serves(self, destination: int) -> bool:
        """Return True, as only an open share knows its destinations."""
        return True

    def holds(self, message: str) -> bool:
        """Return False."""
        return False

    def take(self, message: StoredMessage) -> None:
        """Raise `NoRoomError`."""
        raise NoRoomError("its share is open nowhere just now")

    def is_unconfirmed(self, message: str) -> bool:
        """Return False."""
        return False

    def durable(self) -> asyncio.Future[None]:
        """Raise `NoRoomError`."""
        raise NoRoomError("its share is open nowhere just now")  # never reached, as no message is taken

    def begin(self, name: str) -> None:
        """Do nothing, as no message was taken."""
        pass

    def withdraw(self, name: str) -> None:
        """Do nothing, as no message was taken."""
        pass

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Do nothing: a closed share records no status."""
        pass
