"""The interface of a node that the simulation uses.

Imports only `wheelstep.fleet.types`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from wheelstep.fleet.types import Action, Answer, Ask, Packet


class NodeLike(Protocol):
    """The part of `wheelstep.fleet.node.Node` that the simulation uses. Times are those of the machine's clock."""

    left: bool  # whether a departure is complete

    def tick(self, now_us: int) -> list[Action]:
        """Handle the timers that are due."""
        ...

    def packet(self, now_us: int, sender: str, address: str, packet: Packet) -> list[Action]:
        """Handle a datagram."""
        ...

    def asked(self, now_us: int, token: int, sender: str, ask: Ask) -> list[Action]:
        """Handle another node's request; a `Reply` with `token` answers it."""
        ...

    def answered(self, now_us: int, token: int, answer: Answer | None) -> list[Action]:
        """Handle the answer to a `Call`; None if there is none in time or the connection failed."""
        ...

    def saved(self, now_us: int, token: int, ok: bool) -> list[Action]:
        """Handle the end of a `Save`; `ok` says whether the records are synced."""
        ...

    def leave(self, now_us: int) -> list[Action]:
        """Start a departure from the fleet."""
        ...

    def next_us(self) -> int:
        """Return the time of the next timer."""
        ...

    def epoch(self, part: int, now_us: int) -> int | None:
        """Return the epoch under which this node owns a part now, None if it doesn't."""
        ...

    def owner_of(self, part: int) -> str | None:
        """Return the name of a part's owner as this node knows it, None if unknown."""
        ...

    def snapshot(self) -> Sequence[bytes]:
        """Return records that can replace the whole log."""
        ...
