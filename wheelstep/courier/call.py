"""What travels between an outlet and its owner: a call's messages, how each fared, and what the owner is asked.

No I/O. `form` writes and reads calls, `pool` has their connections, `outlet` carries them out.
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
    until_s: float = math.inf  # its last byte goes out by then, or none does
    once: bool = False  # it may not be sent again


@dataclass(frozen=True, slots=True)
class Result:
    """How one message of a call fared."""

    outcome: Outcome
    spent_us: int = 0
    wait_us: int = 0
    limit: api.LimitReport | None = None
    over: bool = False  # the message is over, and nothing more is owed
    exhausted: bool = False  # the message has had all its attempts
    unfinished: bool = False  # no whole answer came, and the courier has closed the connection

    @property
    def may_still_run(self) -> bool:
        """May the endpoint still be at it?"""
        return self.unfinished or self.outcome in MAY_STILL_RUN


class Gate(Protocol):
    """What the outlet asks of its owner."""

    @property
    def syncs(self) -> bool:
        """Is there anything to wait for between writing an attempt down and its first byte?"""

    async def settled(self, items: Sequence[Item]) -> None:
        """Wait until nothing that must come before these messages is still under way."""

    def may_start(self, endpoint: str, item: Item) -> bool:
        """Asked right before the first byte: may it still go there?"""

    def may_probe(self, endpoint: str) -> bool:
        """The same for a probe."""

    def starting(self, endpoint: str, items: Sequence[Item]) -> None:
        """The first byte follows; none does where this raises `OSError`."""

    def written(self, messages: int) -> None:
        """A call with so many was written whole."""

    async def safe(self) -> bool:
        """Wait until the attempts that were written down are safe; False if they are not to be sent."""

    def told_to_wait(self, endpoint: str, wait_us: int) -> None:
        """An answer told to wait."""

    def ended(self, endpoint: str, results: Sequence[tuple[Item, Result]]) -> None:
        """Each message's one outcome."""

    def probed(self, endpoint: str, result: Result) -> None:
        """A probe's one outcome."""


@dataclass(slots=True)
class Progress:
    """How far an exchange has come; what its end means hangs on it."""

    dialled: bool = False
    link: Connection | None = None  # the call is being written to it, or was

    def ended_by(self, outcome: Outcome) -> Outcome:
        """What such an end means, so far as it had come."""
        if self.link is not None and self.link.written:
            return outcome
        if outcome is Outcome.CANCELLED or not self.dialled:
            return Outcome.NOT_SENT
        return Outcome.CONNECT_FAILED
