"""Data exchanged between the endpoint client and its owner: a call's messages, their results, and the owner's
interface.

No I/O. `form` encodes and decodes calls, `pool` manages their connections, `endpoint_client` carries them out.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wheelstep import interface as api
from wheelstep.courier.connection import Connection
from wheelstep.interface import MAY_STILL_RUN, Outcome


@dataclass(frozen=True, slots=True)
class Item:
    """One message of a call."""

    message: str
    attempt: int
    token: str | None
    body: bytes
    write_until_s: float = math.inf  # its last byte must be written by then, or not at all
    once: bool = False  # it must not be sent again


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one message of a call."""

    outcome: Outcome
    spent_us: int = 0
    wait_us: int = 0
    limit: api.LimitReport | None = None
    over: bool = False  # the message has ended, and nothing more is owed
    exhausted: bool = False  # the message has used all its attempts
    unfinished: bool = False  # no complete answer came, and the courier closed the connection

    @property
    def may_still_run(self) -> bool:
        """Whether the endpoint may still be processing the message."""
        return self.unfinished or self.outcome in MAY_STILL_RUN


@dataclass(frozen=True, slots=True)
class Contradiction:
    """An unrequested answer with the status `found`, after a call with one message was answered `believed` on a
    connection with earlier calls."""

    item: Item
    believed: int
    found: int


class CallOwner(Protocol):
    """What the endpoint client requires of its owner."""

    @property
    def syncs(self) -> bool:
        """Whether the owner may have to wait between recording an attempt and its first byte."""

    async def wait_for_earlier(self, items: Sequence[Item]) -> None:
        """Wait until nothing that must precede these messages is still under way."""

    def may_start(self, endpoint: str, item: Item) -> bool:
        """Return whether the message's first byte may still be written; asked right before it."""

    def may_probe(self, endpoint: str) -> bool:
        """Return whether a probe may still be written."""

    def attempts_starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """Record the attempts, right before the first byte. If this raises `OSError`, nothing is written."""

    def messages_written(self, messages: int) -> None:
        """Note that a call with this many messages was written whole."""

    async def wait_durable(self) -> bool:
        """Wait until the recorded attempts are durable; return False if they must not be sent."""

    def apply_wait(self, endpoint: str, wait_us: int) -> None:
        """Note that an answer asked to wait."""

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Receive the single outcome of each message of a call."""

    def probed(self, endpoint: str, result: Result) -> None:
        """Receive the single outcome of a probe."""


@dataclass(slots=True)
class Progress:
    """How far an exchange has come, which decides what its failure means."""

    dialled: bool = False
    connection: Connection | None = None  # the connection on which the call is or was written

    def ended_by(self, outcome: Outcome) -> Outcome:
        """Return the outcome of an exchange that ended this way, given how far it had come."""
        if self.connection is not None and self.connection.written:
            return outcome
        if outcome is Outcome.CANCELLED or not self.dialled:
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED
