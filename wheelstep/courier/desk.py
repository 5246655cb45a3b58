"""What the clients' side asks of whoever takes messages on, and the ways in which it does not. No I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from wheelstep.courier.request import Request
from wheelstep.journal import Stored


class Desk(Protocol):
    """Who takes messages on."""

    @property
    def ready(self) -> bool:
        """Does the courier take clients?"""

    @property
    def syncs(self) -> bool:
        """Does `durable` ever wait?"""

    def full(self) -> bool:
        """Is the hold limit reached?"""

    def serves(self, destination: int) -> bool:
        """Has any list named it?"""

    def take(self, message: Stored) -> None:
        """Write it down, or raise `NoRoomError`."""

    def holds(self, message: str) -> bool:
        """Was it taken on before, and is its end still owed?"""

    def settles(self, message: str) -> bool:
        """Is it written down for a client that has not heard so yet, and may still be withdrawn?"""

    def durable(self) -> asyncio.Future[None]:
        """Done once what was written outlasts what the operator wants it to; or an error: `NoRoomError`,
        `BadRequestError`, `UnansweredError`. Cancelled where nobody waits any more."""

    def begin(self, name: str) -> None:
        """Its client knows that it was taken on: act on it."""

    def withdraw(self, name: str) -> None:
        """Its client went before the answer: forget it."""

    def handed_in(self, message: Stored, status: int) -> None:
        """It was handed in, and this is the answer."""


class BadRequestError(Exception):
    """What is wrong with a request, for its client."""


class RefusedError(Exception):
    """Any other answer than that a message is taken on."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers


class Connection(Protocol):
    """Where a request came in."""

    def say(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
            keep: bool = True) -> bool:
        """Answer; False if there is nobody any more to hear it."""

    def wait(self, work: asyncio.Future[None], served: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Read no further until the work is done; `served` answers. `held`: it may take a minute."""


class Front(Protocol):
    """What requests mean where it is not the platform's clients that send them (wheelstep.standalone)."""

    def message(self, request: Request) -> Stored:
        """What is handed in; raises `BadRequestError` and `RefusedError`."""

    def other(self, request: Request, connection: Connection) -> None:
        """Answer what is neither that nor asks for health; raises the same."""

    def says(self, message: Stored) -> tuple[tuple[str, str], ...]:
        """Headers that go with its 202."""

    def taken(self, message: Stored) -> None:
        """Its client has heard 202."""


class UnansweredError(Exception):
    """Nobody knows whether it was taken on: no answer would be true."""
