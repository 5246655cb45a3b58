"""What each client connection is charged in the memory budget. No I/O."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from wheelstep.courier.memory_budget import MemoryBudget

CONNECTION_BYTES = 5_000
"""What a connection takes, beside its input and its unsent answers."""
_LARGE_BYTES = 4 * 1024  # beside that: requests that are refused before smaller ones


class Charged(Protocol):
    """A client connection."""

    @property
    def buffered_bytes(self) -> int:
        """The bytes that are kept: of requests, and of answers that the kernel has not taken."""

    @property
    def busy(self) -> bool:
        """Whether a complete request is not answered yet."""


ConnectionT = TypeVar("ConnectionT", bound=Charged)


class ChargedConnections(Generic[ConnectionT]):
    """The open connections with their charges."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bytes: dict[ConnectionT, int] = {}
        self._large: dict[ConnectionT, None] = {}  # the first to become so first

    def update(self, connection: ConnectionT) -> None:
        """Charge what a connection keeps now."""
        buffered_bytes = connection.buffered_bytes
        size_bytes = CONNECTION_BYTES + buffered_bytes
        self._budget.charge(size_bytes - self._bytes.get(connection, 0))
        self._bytes[connection] = size_bytes
        if buffered_bytes < _LARGE_BYTES:
            self._large.pop(connection, None)
        else:
            self._large.setdefault(connection)

    def release(self, connection: ConnectionT) -> None:
        """Give back what a connection was charged; does nothing if that was done."""
        self._budget.charge(-self._bytes.pop(connection, 0))
        self._large.pop(connection, None)

    def first_large(self) -> ConnectionT | None:
        """Return the first of those that keep much, without one whose request is complete."""
        return next((connection for connection in self._large if not connection.busy), None)
