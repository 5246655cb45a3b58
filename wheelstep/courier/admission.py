"""Interfaces between the client server and what accepts messages, and the errors by which it refuses them. No I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from wheelstep.courier.request import Request
from wheelstep.journal import StoredMessage


class Admission(Protocol):
    """What accepts messages from the client server."""

    @property
    def ready(self) -> bool:
        """Whether the courier is ready for clients."""

    @property
    def syncs(self) -> bool:
        """Whether a message is answered only after `durable` is done."""

    def full(self) -> bool:
        """Return whether the hold limit is reached."""

    def serves(self, destination: int) -> bool:
        """Return whether discovery has ever listed the destination."""

    def take(self, message: StoredMessage) -> None:
        """Write a message to the journal. Raises `NoRoomError`."""

    def holds(self, message: str) -> bool:
        """Return whether a message was accepted before, and has not ended or only a short while ago."""

    def is_unconfirmed(self, message: str) -> bool:
        """Return whether a message is written for a client that has no answer yet, so that it may be withdrawn."""

    def durable(self) -> asyncio.Future[None]:
        """Return a future that is done once what was written is as durable as the operator's settings demand. It fails
        with `NoRoomError`, `BadRequestError` or `UnansweredError`, and is cancelled when nobody waits any more."""

    def begin(self, name: str) -> None:
        """Start delivering a message, as its client has been told that it is accepted."""

    def withdraw(self, name: str) -> None:
        """Forget a message that was written, as its client was not told that it is accepted."""

    def record_answer(self, message: StoredMessage, status: int) -> None:
        """Record the status with which a message was answered."""


class BadRequestError(Exception):
    """A request is invalid; the text tells the client why."""


class RefusedError(Exception):
    """A request is answered with a status of its own instead of having its message accepted."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers


class Connection(Protocol):
    """The connection on which a request came."""

    def respond(self, request: Request, status: int, text: str = "", headers: tuple[tuple[str, str], ...] = (),
                keep_alive: bool = True) -> bool:
        """Write an answer. Return False if the client can no longer receive it."""

    def wait(self, work: asyncio.Future[None], on_done: Callable[[asyncio.Future[None]], None],
             held: bool = False) -> None:
        """Stop reading until `work` is done, then call `on_done`, which answers. `held`: it may take a minute."""


class ClientApi(Protocol):
    """Interprets requests of other clients than the platform's, for example those of `wheelstep.standalone`."""

    def message(self, request: Request) -> StoredMessage:
        """Return the message that a request hands in. Raises `BadRequestError` and `RefusedError`."""

    def other(self, request: Request, connection: Connection) -> None:
        """Answer a request that neither hands in a message nor asks for readiness. Raises the same errors."""

    def response_headers(self, message: StoredMessage) -> tuple[tuple[str, str], ...]:
        """Return the headers of the 202 for a message."""

    def taken(self, message: StoredMessage) -> None:
        """Note that the 202 for a message was written."""


class UnansweredError(Exception):
    """It is unknown whether the message was accepted: any answer could be false, so the connection is closed."""
